package manifest_test

import (
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
					if _, err := sender.ApplyFull(newest, services); err != nil {
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
		applied, err := store.ApplyFull(c.version, []target.Service{newHost("a.example", int(c.version))})
		if err != nil || applied != c.applied {
			t.Errorf("version %d: applied %t, error %v; want only version 5 applied, once", c.version, applied, err)
		}
	}
	if v := store.Snapshot().Version(); v != 5 {
		t.Errorf("version %d in force, want 5", v)
	}
}
