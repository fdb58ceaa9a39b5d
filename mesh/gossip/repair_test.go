package gossip_test

import (
	"testing"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/manifest/manifesttest"
	"fescuehoist.example/mesh/target"
)

// TestContentHeardAfterItsFault gives all daemons a version whose body the
// platform lacked, and then one of them the body.
func TestContentHeardAfterItsFault(t *testing.T) {
	inBubble(t, 8, 2, func(f *fleet) {
		s := manifesttest.Service("lookup", time.Second)
		faulty, whole := manifesttest.NewHistory("edit"), manifesttest.NewHistory("edit")
		faulty.EditBodies([]*target.Service{s}, []manifest.Body{{Digest: s.Digest(), Fault: "missing"}})
		whole.Edit(s)
		if err := f.daemons[0].node.Receive(faulty.Delta(0, 1)); err != nil {
			t.Fatal(err)
		}
		f.eventually("all refuse", func() bool {
			for _, d := range f.daemons {
				if d.configs.KnownVersion() != 1 || d.configs.Refusal() == nil {
					return false
				}
			}
			return f.at(0)
		})
		if err := f.daemons[3].node.Receive(whole.Delta(0, 1)); err != nil {
			t.Fatal(err)
		}
		f.eventually("all have it in force", func() bool { return f.at(1) })
	})
}
