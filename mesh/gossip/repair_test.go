package gossip_test

import (
	"testing"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/manifest/manifesttest"
	"fescuehoist.example/mesh/target"
)

// TestBodyFromOnePeerRepairsFaultyVersion gives all daemons a version whose body was
// missing on the platform, which they refuse; then one of them receives the body,
// which must reach the others.
func TestBodyFromOnePeerRepairsFaultyVersion(t *testing.T) {
	runInBubble(t, 8, 2, func(f *fleet) {
		s := manifesttest.Service("lookup", time.Second)
		faulty, complete := manifesttest.NewHistory("edit"), manifesttest.NewHistory("edit")
		faulty.EditBodies([]*target.Service{s}, []manifest.Body{{Digest: s.Digest(), Fault: "missing"}})
		complete.Edit(s)
		if err := f.daemons[0].node.Receive(faulty.Delta(0, 1)); err != nil {
			t.Fatal(err)
		}
		f.eventually("all daemons refuse the version", func() bool {
			for _, d := range f.daemons {
				if d.configs.KnownVersion() != 1 || d.configs.Refusal() == nil {
					return false
				}
			}
			return f.allAtVersion(0)
		})
		if err := f.daemons[3].node.Receive(complete.Delta(0, 1)); err != nil {
			t.Fatal(err)
		}
		f.eventually("repaired version in force", func() bool { return f.allAtVersion(1) })
	})
}
