package manifest_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
)

// newHost returns a virtual host that splits its calls over two services.
func newHost(name string, timeout int) target.Service {
	return target.Service{Name: name, Classes: []target.Class{{
		Name: "search", Path: "/", Rank: 1, Success: 0.9, Latency: time.Millisecond, Timeout: time.Duration(timeout) * time.Second,
		Attempts: 2, Parts: []target.Part{{Service: "lookup", Weight: 9}, {Service: "archive", Weight: 1}},
	}}}
}

// TestApplyFullWithVersionGapsReachesPeers applies different versions of one
// history to two stores and sends updates from both to a third one.
func TestApplyFullWithVersionGapsReachesPeers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		senders := []*manifest.Store{manifest.NewStore(), manifest.NewStore()}
		receiver := manifest.NewStore()
		newest, last := manifest.Version(0), manifest.Version(0)
		for range rapid.IntRange(1, 12).Draw(rt, "edits") {
			newest += manifest.Version(rapid.IntRange(1, 5).Draw(rt, "step"))
			services := []target.Service{newHost("a.example", int(newest))}
			if newest%2 == 0 {
				services = append(services, newHost("b.example", 1))
			}
			for i, sender := range senders {
				if rapid.Bool().Draw(rt, "applies") || i == 0 {
					if _, err := sender.ApplyFull(newest, services, nil, nil); err != nil {
						rt.Fatal(err)
					}
				}
			}
			from := rapid.SampledFrom(senders).Draw(rt, "from")
			update := from.UpdateSince(receiver.KnownVersion())
			if update == nil {
				continue
			}
			if _, err := receiver.ApplyUpdate(update); err != nil {
				rt.Fatal(err)
			}
			if current := receiver.Snapshot().Version(); current < last || current != from.KnownVersion() {
				rt.Fatalf("version %d in force after version %d; the sender has version %d", current, last, from.KnownVersion())
			}
			last = receiver.Snapshot().Version()
			if s := receiver.Snapshot().Service("a.example"); s.Classes[0].Timeout != time.Duration(last)*time.Second {
				rt.Fatalf("version %d has timeout %s, want its number in seconds", last, s.Classes[0].Timeout)
			}
			if removed := receiver.Snapshot().Service("b.example") == nil; removed != (last%2 == 1) {
				rt.Fatalf("version %d: second host removed: %t, want the host in even versions only", last, removed)
			}
		}
	})
}

func TestApplyFullIgnoresOlderVersion(t *testing.T) {
	store := manifest.NewStore()
	for _, c := range []struct {
		version manifest.Version
		applied bool
	}{{5, true}, {3, false}, {5, false}} {
		applied, err := store.ApplyFull(c.version, []target.Service{newHost("a.example", int(c.version))}, nil, nil)
		if err != nil || applied != c.applied {
			t.Errorf("version %d: applied %t, error %v; want only version 5 applied, once", c.version, applied, err)
		}
	}
	if v := store.Snapshot().Version(); v != 5 {
		t.Errorf("version %d in force, want 5", v)
	}
}

// withClass returns a host with one more class.
func withClass(s target.Service, c target.Class) target.Service {
	s.Classes = append(s.Classes, c)
	return s
}

// Guards against a class with problems that keeps other classes, of its host or another one,
// from being applied, or whose calls go where an earlier version or a shorter path sends
// them.
func TestStoreByServiceRefusesOnlyClassesWithProblems(t *testing.T) {
	class := target.Class{Name: "export", Path: "/export", Rank: 1, Success: 0.9, Latency: time.Second, Timeout: time.Second}
	bad := class
	bad.Rank = -1
	unread := class
	unread.Fault = "timeout_s: expected a number"
	reader, peer := manifest.NewStore(), manifest.NewStore()
	for _, s := range []*manifest.Store{reader, peer} {
		s.ApplyByService()
	}
	for _, step := range []struct {
		version manifest.Version
		hosts   []target.Service
		// refused means that calls of the class export on b.example are refused; problem
		// is a part of the refusal's text.
		refused bool
		problem string
	}{
		{1, []target.Service{newHost("a.example", 1), withClass(newHost("b.example", 1), class)}, false, ""},
		{4, []target.Service{newHost("a.example", 4), withClass(newHost("b.example", 4), bad)}, true, `version 4 refused in part: service "b.example", class "export", rank: -1`},
		{5, []target.Service{newHost("a.example", 5), withClass(newHost("b.example", 5), unread)}, true, `class "export": timeout_s: expected a number`},
		{6, []target.Service{newHost("a.example", 6), withClass(withClass(newHost("b.example", 6), class), class)}, false, `class "export", name: declared twice`},
		{9, []target.Service{newHost("a.example", 9), withClass(newHost("b.example", 9), class)}, false, ""},
	} {
		if _, err := reader.ApplyFull(step.version, step.hosts, nil, nil); err != nil {
			t.Fatal(err)
		}
		if _, err := peer.ApplyUpdate(reader.UpdateSince(peer.KnownVersion())); err != nil {
			t.Fatal(err)
		}
		for name, store := range map[string]*manifest.Store{"reader": reader, "peer": peer} {
			snapshot, refusal := store.Snapshot(), store.Refusal()
			for _, host := range []string{"a.example", "b.example"} {
				if timeout := snapshot.Service(host).Classes[0].Timeout; snapshot.Version() != step.version || timeout != time.Duration(step.version)*time.Second {
					t.Errorf("%s: version %d in force with timeout %s of %s, want version %d", name, snapshot.Version(), timeout, host, step.version)
				}
			}
			index := snapshot.Index("b.example")
			if c := index.Classify("GET", "/export/x"); c == nil || c.Name != "export" || index.Refuses(c) != step.refused {
				t.Errorf("%s: version %d: calls of the class with problems go to %+v, refused: %t; want %t", name, step.version, c, c != nil && index.Refuses(c), step.refused)
			}
			if c := index.Classify("GET", "/other"); c == nil || index.Refuses(c) {
				t.Errorf("%s: version %d: calls of the other class are refused", name, step.version)
			}
			if (refusal == nil) != (step.problem == "") || (refusal != nil && (!refusal.InPart || !strings.Contains(refusal.Error(), step.problem))) {
				t.Errorf("%s: version %d: refusal %v, want one in part with %q", name, step.version, refusal, step.problem)
			}
		}
	}
}

// Guards against a service without usable content that keeps all others from being applied.
func TestStoreByServiceKeepsOnlyServicesWithoutContent(t *testing.T) {
	store := manifest.NewStore()
	store.ApplyByService()
	faults := func(v manifest.Version, names ...string) {
		t.Helper()
		next := &manifest.Table{Version: v}
		var bodies []manifest.Body
		for _, name := range []string{"a.example", "b.example", "c.example"} {
			host := newHost(name, int(v))
			body := manifest.Body{Digest: host.Digest(), Service: &host}
			if slices.Contains(names, name) {
				body.Service, body.Fault = nil, "the platform has no such body"
			}
			next.Refs = append(next.Refs, manifest.Ref{Service: name, Digest: body.Digest})
			bodies = append(bodies, body)
		}
		if _, err := store.ApplyUpdate(&manifest.Update{Base: next, Bodies: bodies}); err != nil {
			t.Fatal(err)
		}
	}
	faults(1, "c.example")
	faults(4, "b.example", "c.example")
	snapshot := store.Snapshot()
	for name, want := range map[string]time.Duration{"a.example": 4 * time.Second, "b.example": time.Second} {
		if timeout := snapshot.Service(name).Classes[0].Timeout; timeout != want {
			t.Errorf("timeout %s of %s in version %d, want %s", timeout, name, snapshot.Version(), want)
		}
	}
	if !snapshot.Refused("c.example") || snapshot.Refused("b.example") || store.Refusal() == nil {
		t.Errorf("refused: %t for the host that never had a content, %t for the other; refusal %v", snapshot.Refused("c.example"), snapshot.Refused("b.example"), store.Refusal())
	}
}

// Guards against hosts that no caller can name, or that a source left out, without a word.
func TestApplyFullReportsWhatIsLeftOut(t *testing.T) {
	store := manifest.NewStore()
	store.ApplyByService()
	leftOut := []target.Problem{{Service: "c.example", Position: 2, Field: "prefix", Text: "none"}}
	hosts := []target.Service{newHost("a.example", 5), newHost("Not A Name", 1), newHost("a.example", 6), newHost("under_score", 5)}
	if _, err := store.ApplyFull(5, hosts, nil, leftOut); err != nil {
		t.Fatal(err)
	}
	for _, problem := range []string{`service "Not A Name", name: not a name`, `service "a.example", name: declared twice`, `service "c.example", prefix: none`} {
		if r := store.Refusal(); r == nil || !r.InPart || !strings.Contains(r.Error(), problem) {
			t.Errorf("refusal %v, want one in part with %q", r, problem)
		}
	}
	if s := store.Snapshot(); s.Len() != 2 || s.Service("a.example").Classes[0].Timeout != 5*time.Second || s.Service("under_score") == nil {
		t.Errorf("%d hosts in force, want a.example as declared first and under_score", s.Len())
	}
}

// Guards against a version that no daemon applies since it has more hosts than operators of
// the native platform may declare.
func TestApplyFullLeavesNumberOfHostsToPlatform(t *testing.T) {
	reader, peer := manifest.NewStore(), manifest.NewStore()
	for v := manifest.Version(1); v <= 2; v++ {
		hosts := make([]target.Service, manifest.MaxDeclaredServices+1)
		for i := range hosts {
			hosts[i] = newHost(fmt.Sprint("host-", i, ".example"), int(v))
		}
		if _, err := reader.ApplyFull(v, hosts, nil, nil); err != nil {
			t.Fatal(err)
		}
		if _, err := peer.ApplyUpdate(reader.UpdateSince(peer.KnownVersion())); err != nil {
			t.Fatal(err)
		}
		if peer.Snapshot().Version() != v || peer.Snapshot().Len() != len(hosts) {
			t.Errorf("version %d with %d hosts in force, want version %d with %d", peer.Snapshot().Version(), peer.Snapshot().Len(), v, len(hosts))
		}
	}
}
