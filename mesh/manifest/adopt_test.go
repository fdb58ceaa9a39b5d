package manifest_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
)

func host(name string, timeout int) target.Service {
	return target.Service{Name: name, Classes: []target.Class{{
		Name: "search", Path: "/", Rank: 1, Success: 0.9, Latency: time.Millisecond, Timeout: time.Duration(timeout) * time.Second,
		Attempts: 2, Parts: []target.Part{{Service: "lookup", Weight: 9}, {Service: "archive", Weight: 1}},
	}}}
}

// TestAdoptedVersionsReachPeersThroughGaps lets two readers adopt different
// versions of one history, and a third daemon hear of them from both.
func TestAdoptedVersionsReachPeersThroughGaps(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		readers := []*manifest.Store{manifest.NewStore(), manifest.NewStore()}
		listener := manifest.NewStore()
		newest, last := manifest.Version(0), manifest.Version(0)
		for range rapid.IntRange(1, 12).Draw(rt, "edits") {
			newest += manifest.Version(rapid.IntRange(1, 5).Draw(rt, "step"))
			services := []target.Service{host("a.example", int(newest))}
			if newest%2 == 0 {
				services = append(services, host("b.example", 1))
			}
			for i, r := range readers {
				if rapid.Bool().Draw(rt, "sees") || i == 0 {
					if _, err := r.ApplyFull(newest, services); err != nil {
						rt.Fatal(err)
					}
				}
			}
			from := rapid.SampledFrom(readers).Draw(rt, "from")
			update := from.UpdateSince(listener.KnownVersion())
			if update == nil {
				continue
			}
			if _, err := listener.ApplyUpdate(update); err != nil {
				rt.Fatal(err)
			}
			if now := listener.Snapshot().Version(); now < last || now != from.KnownVersion() {
				rt.Fatalf("at version %d after %d; the peer has %d", now, last, from.KnownVersion())
			}
			last = listener.Snapshot().Version()
			if s := listener.Snapshot().Service("a.example"); s.Classes[0].Timeout != time.Duration(last)*time.Second {
				rt.Fatalf("version %d has a timeout of %s", last, s.Classes[0].Timeout)
			}
			if gone := listener.Snapshot().Service("b.example") == nil; gone != (last%2 == 1) {
				rt.Fatalf("version %d: the second host is gone: %t", last, gone)
			}
		}
	})
}

func TestAnOlderVersionIsNotAdopted(t *testing.T) {
	l := manifest.NewStore()
	for _, c := range []struct {
		version manifest.Version
		fresh   bool
	}{{5, true}, {3, false}, {5, false}} {
		fresh, err := l.ApplyFull(c.version, []target.Service{host("a.example", int(c.version))})
		if err != nil || fresh != c.fresh {
			t.Errorf("version %d: fresh %t, %v", c.version, fresh, err)
		}
	}
	if v := l.Snapshot().Version(); v != 5 {
		t.Errorf("version %d is in force", v)
	}
}
