package idempotency

import (
	"fmt"
	"testing"

	"fescuehoist.example/mesh/member"
)

// fleetSize is the number of daemons that the choice of homes is designed for.
const fleetSize = 18_000

func BenchmarkHomes(b *testing.B) {
	table := member.NewTable("nobody")
	var all []member.Record
	for i := range fleetSize {
		r := record(i, member.Ready)
		r.Domain = fmt.Sprint("d", i%9)
		all = append(all, r)
	}
	table.Merge(all)
	h := NewReplicas(DefaultConfig(), table)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		h.Of(ID{Service: "lookup", Key: fmt.Sprint(n)})
	}
}
