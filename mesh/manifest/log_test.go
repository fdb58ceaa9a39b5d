package manifest_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/manifest/manifesttest"
	"fescuehoist.example/mesh/target"
)

// badBodies are the ways in which the content of a service can be bad.
var badBodies = []struct {
	name, reason string
	body         func(s *target.Service) manifest.Body
}{
	{"missing", "the platform has no body", func(s *target.Service) manifest.Body {
		return manifest.Body{Digest: s.Digest(), Fault: "the platform has no body"}
	}},
	{"invalid target", "rank: 99", func(s *target.Service) manifest.Body {
		bad := *s
		bad.Classes = append([]target.Class(nil), s.Classes...)
		bad.Classes[0].Rank = 99
		return manifest.Body{Digest: bad.Digest(), Service: &bad}
	}},
	{"another service's", "names service \"zebra\"", func(s *target.Service) manifest.Body {
		other := manifesttest.Service("zebra", s.Classes[0].Latency)
		return manifest.Body{Digest: other.Digest(), Service: other}
	}},
}

func TestBadVersionIsRefusedWholeAndTheLastGoodOneStays(t *testing.T) {
	for _, bad := range badBodies {
		t.Run(bad.name, func(t *testing.T) {
			h := manifesttest.NewHistory("h")
			h.Edit(manifesttest.Service("archive", time.Second), manifesttest.Service("lookup", time.Second))
			s := manifesttest.Service("lookup", 2*time.Second)
			good := manifesttest.Service("archive", 3*time.Second)
			h.EditBodies([]*target.Service{good, s}, []manifest.Body{{Digest: good.Digest(), Service: good}, bad.body(s)})
			h.Edit(manifesttest.Service("lookup", 4*time.Second))
			log := manifest.NewStore()
			for v := range h.Version() {
				if _, err := log.ApplyUpdate(h.Delta(v, v+1)); err != nil {
					t.Fatal(err)
				}
				if v+1 == 2 {
					expectRefusal(t, log, 1, 2, bad.reason)
					if got := log.Snapshot().Service("archive").Classes[0].Latency; got != time.Second {
						t.Errorf("a part of the refused version is in force: latency %s", got)
					}
				}
			}
			if v := log.Snapshot().Version(); v != 3 || log.Refusal() != nil {
				t.Errorf("version %d in force, refusal %v", v, log.Refusal())
			}
		})
	}
}

func expectRefusal(t *testing.T, log *manifest.Store, inForce, refused manifest.Version, reason string) {
	t.Helper()
	if v := log.Snapshot().Version(); v != inForce {
		t.Errorf("version %d in force, want %d", v, inForce)
	}
	r := log.Refusal()
	if r == nil || r.Version != refused || !strings.Contains(r.Error(), reason) {
		t.Errorf("refusal %v; want version %d and %q", r, refused, reason)
	}
}

// drawUpdate returns an update as crossing, lagging and faulty sources send it.
func drawUpdate(t *rapid.T, h *manifesttest.History) *manifest.Update {
	to := rapid.Uint64Range(1, uint64(h.Version())).Draw(t, "to")
	from := rapid.Uint64Range(0, to-1).Draw(t, "from")
	u := h.Delta(manifest.Version(from), manifest.Version(to))
	if rapid.Bool().Draw(t, "rebased") {
		base := rapid.Uint64Range(from, to).Draw(t, "base")
		u = h.DeltaWithBase(manifest.Version(base), manifest.Version(to))
	}
	switch rapid.IntRange(0, 5).Draw(t, "fault") {
	case 0:
		u.Bodies = nil
	case 1:
		u.Bodies = append([]manifest.Body(nil), u.Bodies...)
		if len(u.Bodies) > 0 {
			u.Bodies[0].Service = manifesttest.Service("wrong", time.Second)
			u.Bodies[0].Fault = ""
		}
	}
	return u
}

func TestVersionNeverGoesBackInAnyOrderOfUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := manifesttest.NewHistory("h")
		good := map[manifest.Version]bool{0: true}
		bad := map[string]bool{}
		for v := range rapid.IntRange(1, 8).Draw(t, "versions") {
			s := manifesttest.Service(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service"), time.Duration(v+1)*time.Second)
			body := manifest.Body{Digest: s.Digest(), Service: s}
			kind := rapid.IntRange(0, 2*len(badBodies)).Draw(t, "kind")
			bad[s.Name] = kind < len(badBodies)
			if bad[s.Name] {
				body = badBodies[kind].body(s)
			}
			h.EditBodies([]*target.Service{s}, []manifest.Body{body})
			good[h.Version()] = !bad["a"] && !bad["b"] && !bad["c"]
		}
		log := manifest.NewStore()
		var known, inForce manifest.Version
		receive := func(u *manifest.Update) {
			_, _ = log.ApplyUpdate(u)
			s := log.Snapshot()
			if log.KnownVersion() < known || s.Version() < inForce {
				t.Fatalf("went back from %d known and %d in force to %d and %d", known, inForce, log.KnownVersion(), s.Version())
			}
			known, inForce = log.KnownVersion(), s.Version()
			if !good[inForce] || (good[known] && inForce != known) {
				t.Fatalf("version %d in force, %d known, good ones %v", inForce, known, good)
			}
			expectWhole(t, h, s)
		}
		for range rapid.IntRange(1, 20).Draw(t, "updates") {
			receive(drawUpdate(t, h))
		}
		receive(h.DeltaWithBase(h.Version(), h.Version()))
		if known != h.Version() {
			t.Fatalf("knows version %d of %d in the end", known, h.Version())
		}
	})
}

// expectWhole compares a snapshot with all of its version.
func expectWhole(t *rapid.T, h *manifesttest.History, s *manifest.Snapshot) {
	refs := h.Tables[s.Version()].Refs
	if s.Len() != len(refs) {
		t.Fatalf("version %d has %d services in force of %d", s.Version(), s.Len(), len(refs))
	}
	for _, ref := range refs {
		if got := s.Service(ref.Service); got == nil || got.Digest() != ref.Digest {
			t.Fatalf("version %d has another content of service %s in force", s.Version(), ref.Service)
		}
	}
}

func TestGoodContentReplacesAFaultOfTheSameVersion(t *testing.T) {
	s := manifesttest.Service("lookup", time.Second)
	faulty, whole := manifesttest.NewHistory("h"), manifesttest.NewHistory("h")
	faulty.EditBodies([]*target.Service{s}, []manifest.Body{{Digest: s.Digest(), Fault: "missing"}})
	whole.Edit(s)
	log := manifest.NewStore()
	if _, err := log.ApplyUpdate(faulty.Delta(0, 1)); err != nil {
		t.Fatal(err)
	}
	expectRefusal(t, log, 0, 1, "missing")
	digests, from := log.FaultyDigests()
	if d := cmp.Diff([]target.Digest{s.Digest()}, digests); d != "" || from != 0 {
		t.Errorf("asks from version %d: %s", from, d)
	}
	if _, err := log.ApplyUpdate(whole.Delta(0, 1)); err != nil {
		t.Fatal(err)
	}
	if _, err := log.ApplyUpdate(faulty.Delta(0, 1)); err != nil {
		t.Fatal(err)
	}
	if log.Snapshot().Version() != 1 || log.Refusal() != nil {
		t.Errorf("version %d in force, refusal %v", log.Snapshot().Version(), log.Refusal())
	}
}

func TestForkedHistoryIsRefusedAndALaterTableMends(t *testing.T) {
	ours, theirs := manifesttest.NewHistory("ours"), manifesttest.NewHistory("theirs")
	for i := range 3 {
		ours.Edit(manifesttest.Service("lookup", time.Duration(i+1)*time.Second))
		theirs.Edit(manifesttest.Service("archive", time.Duration(i+1)*time.Second))
	}
	log := manifest.NewStore()
	if _, err := log.ApplyUpdate(ours.Delta(0, 2)); err != nil {
		t.Fatal(err)
	}
	if _, err := log.ApplyUpdate(theirs.Delta(1, 3)); !errors.Is(err, manifest.ErrForked) {
		t.Errorf("error %v", err)
	}
	expectRefusal(t, log, 2, 3, "history of versions was replaced")
	if _, err := log.ApplyUpdate(theirs.DeltaWithBase(3, 3)); err != nil {
		t.Fatal(err)
	}
	if log.Snapshot().Version() != 3 || log.Snapshot().Service("archive") == nil || log.Refusal() != nil {
		t.Errorf("version %d in force, refusal %v", log.Snapshot().Version(), log.Refusal())
	}
}

func TestMalformedUpdatesChangeNothing(t *testing.T) {
	h := manifesttest.NewHistory("h")
	h.Edit(manifesttest.Service("a", time.Second), manifesttest.Service("b", time.Second))
	for name, spoil := range map[string]func(u *manifest.Update){
		"unsorted table":     func(u *manifest.Update) { u.Base.Refs[0], u.Base.Refs[1] = u.Base.Refs[1], u.Base.Refs[0] },
		"no digest":          func(u *manifest.Update) { u.Base.Refs[0].Digest = "x" },
		"no name":            func(u *manifest.Update) { u.Base.Refs[0].Service = "" },
		"too many services":  func(u *manifest.Update) { u.Base.Refs = make([]manifest.Ref, manifest.MaxServices+1) },
		"changes with a gap": func(u *manifest.Update) { u.Changes = []manifest.Change{{Version: 2}, {Version: 4}} },
		"no edit id":         func(u *manifest.Update) { u.Changes = []manifest.Change{{Version: 2, Table: u.Base.Digest()}} },
		"long fault":         func(u *manifest.Update) { u.Bodies[0].Fault = strings.Repeat("x", 1<<20) },
	} {
		t.Run(name, func(t *testing.T) {
			u := h.DeltaWithBase(1, 1)
			u.Base = &manifest.Table{Version: 1, Refs: append([]manifest.Ref(nil), u.Base.Refs...)}
			spoil(u)
			log := manifest.NewStore()
			if _, err := log.ApplyUpdate(u); !errors.Is(err, manifest.ErrMalformed) {
				t.Errorf("error %v", err)
			}
			if log.KnownVersion() != 0 {
				t.Errorf("knows version %d", log.KnownVersion())
			}
		})
	}
}

func TestStartingDaemonTakesTheHighestVersionOfSeveralSources(t *testing.T) {
	h := manifesttest.NewHistory("h")
	for i := range 5 {
		h.Edit(manifesttest.Service("lookup", time.Duration(i+1)*time.Second))
	}
	log := manifest.NewStore()
	log.RequireQuorum(2)
	log.ObserveVersion("lagging", 3)
	if _, err := log.ApplyUpdate(h.Delta(0, 3)); err != nil {
		t.Fatal(err)
	}
	if v := log.Snapshot().Version(); v != 0 {
		t.Errorf("version %d in force after the lagging source", v)
	}
	log.ObserveVersion("newest", 5)
	if v := log.Snapshot().Version(); v != 0 {
		t.Errorf("version %d in force before the newest is known", v)
	}
	if _, err := log.ApplyUpdate(h.Delta(3, 5)); err != nil {
		t.Fatal(err)
	}
	if v := log.Snapshot().Version(); v != 5 {
		t.Errorf("version %d in force in the end", v)
	}
}

func TestReleaseEndsTheWaitForSources(t *testing.T) {
	h := manifesttest.NewHistory("h")
	h.Edit(manifesttest.Service("lookup", time.Second))
	log := manifest.NewStore()
	log.RequireQuorum(3)
	if _, err := log.ApplyUpdate(h.Delta(0, 1)); err != nil {
		t.Fatal(err)
	}
	changed := log.Changed()
	log.SkipQuorum()
	<-changed
	if v := log.Snapshot().Version(); v != 1 {
		t.Errorf("version %d in force", v)
	}
}
