package idempotency

import (
	"fmt"
	"testing"

	"fescuehoist.example/mesh/member"
)

// daemonCount is the number of daemons that choosing replicas is designed for.
const daemonCount = 18_000

func BenchmarkReplicasFor(b *testing.B) {
	table := member.NewTable("nobody")
	var records []member.Record
	for i := range daemonCount {
		r := record(i, member.Ready)
		r.Domain = fmt.Sprint("d", i%9)
		records = append(records, r)
	}
	table.Merge(records)
	replicas := NewReplicas(DefaultConfig(), table)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		replicas.For(ID{Service: "lookup", Key: fmt.Sprint(n)})
	}
}
