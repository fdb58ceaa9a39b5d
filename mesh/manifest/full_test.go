package manifest_test

import (
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
					if _, err := sender.ApplyFull(newest, services, nil); err != nil {
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
		applied, err := store.ApplyFull(c.version, []target.Service{newHost("a.example", int(c.version))}, nil)
		if err != nil || applied != c.applied {
			t.Errorf("version %d: applied %t, error %v; want only version 5 applied, once", c.version, applied, err)
		}
	}
	if v := store.Snapshot().Version(); v != 5 {
		t.Errorf("version %d in force, want 5", v)
	}
}

// Guards against a service with problems that keeps all others from being applied.
func TestStoreByServiceKeepsOnlyServicesWithProblems(t *testing.T) {
	bad := newHost("b.example", 2)
	bad.Classes[0].Rank = 99
	added := bad
	added.Name = "c.example"
	store := manifest.NewStore()
	store.ApplyByService()
	for _, step := range []struct {
		version manifest.Version
		hosts   []target.Service
		// b is the timeout of b.example in force, in seconds; problem is a part of the
		// refusal's text.
		b       int
		problem string
	}{
		{1, []target.Service{newHost("a.example", 1), newHost("b.example", 1)}, 1, ""},
		{4, []target.Service{newHost("a.example", 4), bad, added}, 1, `version 4 refused in part: service "b.example", class "search", rank: 99`},
		{5, []target.Service{newHost("a.example", 5), bad, newHost("Not A Name", 1)}, 1, `service "Not A Name", name: not a name`},
		{6, []target.Service{newHost("a.example", 6), newHost("b.example", 6), newHost("b.example", 7)}, 6, `service "b.example", name: declared twice`},
		{9, []target.Service{newHost("a.example", 9), newHost("b.example", 9)}, 9, ""},
	} {
		if _, err := store.ApplyFull(step.version, step.hosts, nil); err != nil {
			t.Fatal(err)
		}
		snapshot, refusal := store.Snapshot(), store.Refusal()
		if v, a := snapshot.Version(), snapshot.Service("a.example").Classes[0].Timeout; v != step.version || a != time.Duration(step.version)*time.Second {
			t.Errorf("version %d in force with timeout %s of the sound host, want version %d", v, a, step.version)
		}
		if b := snapshot.Service("b.example").Classes[0].Timeout; b != time.Duration(step.b)*time.Second {
			t.Errorf("version %d: timeout %s of the host with problems, want %ds", step.version, b, step.b)
		}
		if refused := snapshot.Refused("c.example"); refused != (step.version == 4) {
			t.Errorf("version %d: the host that never had a valid content is refused: %t", step.version, refused)
		}
		if (refusal == nil) != (step.problem == "") || (refusal != nil && (!refusal.InPart || !strings.Contains(refusal.Error(), step.problem))) {
			t.Errorf("version %d: refusal %v, want one in part with %q", step.version, refusal, step.problem)
		}
	}
}

// A daemon that starts has no earlier content, but the other hosts of the version.
func TestStoreByServiceAppliesFirstVersionWithProblems(t *testing.T) {
	bad := newHost("b.example", 2)
	bad.Classes[0].Rank = 99
	reader, peer := manifest.NewStore(), manifest.NewStore()
	for _, s := range []*manifest.Store{reader, peer} {
		s.ApplyByService()
	}
	if _, err := reader.ApplyFull(4, []target.Service{newHost("a.example", 4), bad}, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := peer.ApplyUpdate(reader.UpdateSince(0)); err != nil {
		t.Fatal(err)
	}
	for name, s := range map[string]*manifest.Store{"reader": reader, "peer": peer} {
		snapshot := s.Snapshot()
		if snapshot.Version() != 4 || snapshot.Service("a.example") == nil || !snapshot.Refused("b.example") || s.Refusal().ServiceCount() != 1 {
			t.Errorf("%s: version %d, refusal %v; want version 4 with a.example and without b.example", name, snapshot.Version(), s.Refusal())
		}
	}
}
