package gossip_test

import (
	"testing"

	"fescuehoist.example/mesh/member"
)

// TestAddressThatMoves gives the address of a killed daemon to another one.
func TestAddressThatMoves(t *testing.T) {
	for _, c := range []struct {
		name string
		id   member.ServerID
		mesh string
		// joins says that the new daemon belongs to the mesh.
		joins bool
	}{
		{"to the same server of another mesh", "server-2", "other", false},
		{"to another server of another mesh", "server-9", "other", false},
		{"to another server of the mesh", "server-9", "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, 6, 2, func(f *fleet) {
				f.kill(f.daemons[2])
				f.cfg.Mesh = c.mesh
				moved := f.startAt("server-2", c.id, "domain-0", 5)
				defer f.kill(moved)
				f.daemons = append(f.daemons[:2], f.daemons[3:]...)
				want := 5
				if c.joins {
					want = 6
				}
				f.eventually("the killed server is failed", func() bool { return f.failed("server-2") })
				f.eventually("the view is right", func() bool { return f.alive(want) })
				if !c.joins && moved.table.Len() != 1 {
					f.t.Errorf("the daemon of another mesh knows %d servers", moved.table.Len())
				}
			})
		})
	}
}

// failed reports whether every daemon sees the server as failed.
func (f *fleet) failed(id member.ServerID) bool {
	for _, d := range f.daemons {
		if r, _ := d.table.Get(id); r.Health != member.Failed {
			return false
		}
	}
	return true
}
