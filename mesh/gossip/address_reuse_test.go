package gossip_test

import (
	"testing"

	"fescuehoist.example/mesh/member"
)

// TestReusedAddressFailsPreviousServer reassigns the address of a killed daemon to
// another one. The previous server must be failed, and the new one joins only if it
// belongs to the same mesh.
func TestReusedAddressFailsPreviousServer(t *testing.T) {
	for _, c := range []struct {
		name string
		id   member.ServerID
		mesh string
		// joins means that the new daemon belongs to the mesh.
		joins bool
	}{
		{"same server name in another mesh", "server-2", "other", false},
		{"other server name in another mesh", "server-9", "other", false},
		{"other server name in the same mesh", "server-9", "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInBubble(t, 6, 2, func(f *fleet) {
				f.kill(f.daemons[2])
				f.cfg.Mesh = c.mesh
				moved := f.startAt("server-2", c.id, "domain-0", 5)
				defer f.kill(moved)
				f.daemons = append(f.daemons[:2], f.daemons[3:]...)
				want := 5
				if c.joins {
					want = 6
				}
				f.eventually("killed server failed", func() bool { return f.allSeeFailed("server-2") })
				f.eventually("all daemons see the expected number of servers", func() bool { return f.allSee(want) })
				if !c.joins && moved.table.Len() != 1 {
					f.t.Errorf("daemon of another mesh knows %d servers, want 1", moved.table.Len())
				}
			})
		})
	}
}

// allSeeFailed reports whether every daemon sees the server as failed.
func (f *fleet) allSeeFailed(id member.ServerID) bool {
	for _, d := range f.daemons {
		if r, _ := d.table.Get(id); r.Health != member.Failed {
			return false
		}
	}
	return true
}
