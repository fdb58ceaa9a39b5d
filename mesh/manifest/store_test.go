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

// invalidBodies are the ways in which the content of a service can be invalid.
var invalidBodies = []struct {
	name, reason string
	body         func(s *target.Service) manifest.Body
}{
	{"missing", "missing body", func(s *target.Service) manifest.Body {
		return manifest.Body{Digest: s.Digest(), Fault: "missing body"}
	}},
	{"invalid target", "rank: -1", func(s *target.Service) manifest.Body {
		bad := *s
		bad.Classes = append([]target.Class(nil), s.Classes...)
		bad.Classes[0].Rank = -1
		return manifest.Body{Digest: bad.Digest(), Service: &bad}
	}},
	{"body of another service", "names service \"zebra\"", func(s *target.Service) manifest.Body {
		other := manifesttest.Service("zebra", s.Classes[0].Latency)
		return manifest.Body{Digest: other.Digest(), Service: other}
	}},
}

func TestStoreKeepsLastValidVersionAfterInvalidUpdate(t *testing.T) {
	for _, bad := range invalidBodies {
		t.Run(bad.name, func(t *testing.T) {
			h := manifesttest.NewHistory("h")
			h.Edit(manifesttest.Service("archive", time.Second), manifesttest.Service("lookup", time.Second))
			s := manifesttest.Service("lookup", 2*time.Second)
			valid := manifesttest.Service("archive", 3*time.Second)
			h.EditBodies([]*target.Service{valid, s}, []manifest.Body{{Digest: valid.Digest(), Service: valid}, bad.body(s)})
			h.Edit(manifesttest.Service("lookup", 4*time.Second))
			store := manifest.NewStore()
			for v := range h.Version() {
				if _, err := store.ApplyUpdate(h.Delta(v, v+1)); err != nil {
					t.Fatal(err)
				}
				if v+1 == 2 {
					expectRefusal(t, store, 1, 2, bad.reason)
					if got := store.Snapshot().Service("archive").Classes[0].Latency; got != time.Second {
						t.Errorf("part of the refused version is in force: latency %s, want 1s", got)
					}
				}
			}
			if v := store.Snapshot().Version(); v != 3 || store.Refusal() != nil {
				t.Errorf("version %d in force, refusal %v; want version 3, no refusal", v, store.Refusal())
			}
		})
	}
}

// expectRefusal fails the test unless version inForce is in force and version
// refused is refused for the reason.
func expectRefusal(t *testing.T, store *manifest.Store, inForce, refused manifest.Version, reason string) {
	t.Helper()
	if v := store.Snapshot().Version(); v != inForce {
		t.Errorf("version %d in force, want %d", v, inForce)
	}
	r := store.Refusal()
	if r == nil || r.Version != refused || !strings.Contains(r.Error(), reason) {
		t.Errorf("refusal %v; want one of version %d with %q", r, refused, reason)
	}
}

// drawUpdate returns an update that may overlap or lag behind others, and may
// have missing or wrong bodies.
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

func TestStoreVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := manifesttest.NewHistory("h")
		valid := map[manifest.Version]bool{0: true}
		bad := map[string]bool{}
		for v := range rapid.IntRange(1, 8).Draw(t, "versions") {
			s := manifesttest.Service(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service"), time.Duration(v+1)*time.Second)
			body := manifest.Body{Digest: s.Digest(), Service: s}
			kind := rapid.IntRange(0, 2*len(invalidBodies)).Draw(t, "kind")
			bad[s.Name] = kind < len(invalidBodies)
			if bad[s.Name] {
				body = invalidBodies[kind].body(s)
			}
			h.EditBodies([]*target.Service{s}, []manifest.Body{body})
			valid[h.Version()] = !bad["a"] && !bad["b"] && !bad["c"]
		}
		store := manifest.NewStore()
		var known, inForce manifest.Version
		receive := func(u *manifest.Update) {
			_, _ = store.ApplyUpdate(u)
			s := store.Snapshot()
			if store.KnownVersion() < known || s.Version() < inForce {
				t.Fatalf("versions decreased: known %d, in force %d before; known %d, in force %d after", known, inForce, store.KnownVersion(), s.Version())
			}
			known, inForce = store.KnownVersion(), s.Version()
			if !valid[inForce] || (valid[known] && inForce != known) {
				t.Fatalf("version %d in force, %d known, valid versions %v", inForce, known, valid)
			}
			expectSnapshot(t, h, s)
		}
		for range rapid.IntRange(1, 20).Draw(t, "updates") {
			receive(drawUpdate(t, h))
		}
		receive(h.DeltaWithBase(h.Version(), h.Version()))
		if known != h.Version() {
			t.Fatalf("known version %d at the end, want %d", known, h.Version())
		}
	})
}

// expectSnapshot fails the test unless the snapshot has all content of its
// version and nothing else.
func expectSnapshot(t *rapid.T, h *manifesttest.History, s *manifest.Snapshot) {
	refs := h.Tables[s.Version()].Refs
	if s.Len() != len(refs) {
		t.Fatalf("snapshot of version %d has %d services, want %d", s.Version(), s.Len(), len(refs))
	}
	for _, ref := range refs {
		if got := s.Service(ref.Service); got == nil || got.Digest() != ref.Digest {
			t.Fatalf("snapshot of version %d has wrong content of service %s", s.Version(), ref.Service)
		}
	}
}

func TestStoreReplacesFaultByValidContent(t *testing.T) {
	s := manifesttest.Service("lookup", time.Second)
	faulty, complete := manifesttest.NewHistory("h"), manifesttest.NewHistory("h")
	faulty.EditBodies([]*target.Service{s}, []manifest.Body{{Digest: s.Digest(), Fault: "missing"}})
	complete.Edit(s)
	store := manifest.NewStore()
	if _, err := store.ApplyUpdate(faulty.Delta(0, 1)); err != nil {
		t.Fatal(err)
	}
	expectRefusal(t, store, 0, 1, "missing")
	digests, from := store.FaultyDigests()
	if d := cmp.Diff([]target.Digest{s.Digest()}, digests); d != "" || from != 0 {
		t.Errorf("FaultyDigests from version %d, want 0; diff (-want +got):\n%s", from, d)
	}
	if _, err := store.ApplyUpdate(complete.Delta(0, 1)); err != nil {
		t.Fatal(err)
	}
	if _, err := store.ApplyUpdate(faulty.Delta(0, 1)); err != nil {
		t.Fatal(err)
	}
	if store.Snapshot().Version() != 1 || store.Refusal() != nil {
		t.Errorf("version %d in force, refusal %v; want version 1, no refusal", store.Snapshot().Version(), store.Refusal())
	}
}

func TestStoreRefusesForkUntilUpdateWithBase(t *testing.T) {
	ours, theirs := manifesttest.NewHistory("ours"), manifesttest.NewHistory("theirs")
	for i := range 3 {
		ours.Edit(manifesttest.Service("lookup", time.Duration(i+1)*time.Second))
		theirs.Edit(manifesttest.Service("archive", time.Duration(i+1)*time.Second))
	}
	store := manifest.NewStore()
	if _, err := store.ApplyUpdate(ours.Delta(0, 2)); err != nil {
		t.Fatal(err)
	}
	if _, err := store.ApplyUpdate(theirs.Delta(1, 3)); !errors.Is(err, manifest.ErrForked) {
		t.Errorf("error %v, want ErrForked", err)
	}
	expectRefusal(t, store, 2, 3, "version history was replaced")
	if _, err := store.ApplyUpdate(theirs.DeltaWithBase(3, 3)); err != nil {
		t.Fatal(err)
	}
	if store.Snapshot().Version() != 3 || store.Snapshot().Service("archive") == nil || store.Refusal() != nil {
		t.Errorf("version %d in force, refusal %v; want version 3 with service archive, no refusal", store.Snapshot().Version(), store.Refusal())
	}
}

func TestStoreIgnoresMalformedUpdate(t *testing.T) {
	h := manifesttest.NewHistory("h")
	h.Edit(manifesttest.Service("a", time.Second), manifesttest.Service("b", time.Second))
	for name, corrupt := range map[string]func(u *manifest.Update){
		"unsorted table":      func(u *manifest.Update) { u.Base.Refs[0], u.Base.Refs[1] = u.Base.Refs[1], u.Base.Refs[0] },
		"invalid digest":      func(u *manifest.Update) { u.Base.Refs[0].Digest = "x" },
		"empty service name":  func(u *manifest.Update) { u.Base.Refs[0].Service = "" },
		"too many services":   func(u *manifest.Update) { u.Base.Refs = make([]manifest.Ref, manifest.MaxServices+1) },
		"gap between changes": func(u *manifest.Update) { u.Changes = []manifest.Change{{Version: 2}, {Version: 4}} },
		"empty edit id":       func(u *manifest.Update) { u.Changes = []manifest.Change{{Version: 2, Table: u.Base.Digest()}} },
		"fault too long":      func(u *manifest.Update) { u.Bodies[0].Fault = strings.Repeat("x", 1<<20) },
	} {
		t.Run(name, func(t *testing.T) {
			u := h.DeltaWithBase(1, 1)
			u.Base = &manifest.Table{Version: 1, Refs: append([]manifest.Ref(nil), u.Base.Refs...)}
			corrupt(u)
			store := manifest.NewStore()
			if _, err := store.ApplyUpdate(u); !errors.Is(err, manifest.ErrMalformed) {
				t.Errorf("error %v, want ErrMalformed", err)
			}
			if store.KnownVersion() != 0 {
				t.Errorf("known version %d, want 0", store.KnownVersion())
			}
		})
	}
}

func TestQuorumActivatesNewestReportedVersion(t *testing.T) {
	h := manifesttest.NewHistory("h")
	for i := range 5 {
		h.Edit(manifesttest.Service("lookup", time.Duration(i+1)*time.Second))
	}
	store := manifest.NewStore()
	store.RequireQuorum(2)
	store.ObserveVersion("lagging", 3)
	if _, err := store.ApplyUpdate(h.Delta(0, 3)); err != nil {
		t.Fatal(err)
	}
	if v := store.Snapshot().Version(); v != 0 {
		t.Errorf("version %d in force after the report of the lagging source, want 0", v)
	}
	store.ObserveVersion("newest", 5)
	if v := store.Snapshot().Version(); v != 0 {
		t.Errorf("version %d in force before the newest reported version is known, want 0", v)
	}
	if _, err := store.ApplyUpdate(h.Delta(3, 5)); err != nil {
		t.Fatal(err)
	}
	if v := store.Snapshot().Version(); v != 5 {
		t.Errorf("version %d in force at the end, want 5", v)
	}
}

func TestSkipQuorumActivatesKnownVersion(t *testing.T) {
	h := manifesttest.NewHistory("h")
	h.Edit(manifesttest.Service("lookup", time.Second))
	store := manifest.NewStore()
	store.RequireQuorum(3)
	if _, err := store.ApplyUpdate(h.Delta(0, 1)); err != nil {
		t.Fatal(err)
	}
	changed := store.Changed()
	store.SkipQuorum()
	<-changed
	if v := store.Snapshot().Version(); v != 1 {
		t.Errorf("version %d in force, want 1", v)
	}
}
