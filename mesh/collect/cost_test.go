package collect

import (
	"fmt"
	"testing"
	"time"

	"fescuehoist.example/mesh/allowance"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/target"
)

// BenchmarkDecision measures one decision of the fleet's collector, which makes up to 20 a
// second, for daemons in four failure domains with 60 active accounts each.
func BenchmarkDecision(b *testing.B) {
	const window, accounts = 5 * time.Second, 78
	for _, daemons := range []int{72, 300, 1000} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			own, sums := newBook(window), newBook(window)
			count := func(i int) allowance.Count {
				return allowance.Count{Account: fmt.Sprint("account-", i%accounts), Offered: 3, Used: allowance.Series{3, 3, 3, 3, 3}}
			}
			for d := range daemons / 4 {
				r := &Report{From: member.ServerID(fmt.Sprint("server-", d)), Daemons: 1, Present: allowance.Series{1, 1, 1, 1, 1}, Whole: true}
				for i := range 60 {
					r.Accounts = append(r.Accounts, count(d+i))
				}
				own.put(r, 0)
			}
			for d := range 3 {
				r := &Report{From: member.ServerID(fmt.Sprint("domain-", d)), Sum: true, Daemons: daemons / 4, Whole: true}
				for i := range accounts {
					r.Accounts = append(r.Accounts, count(i))
				}
				sums.put(r, 0)
			}
			b.ReportAllocs()
			for b.Loop() {
				t := sum(time.Millisecond, own, sums)
				t.coverage.All = daemons
				for name, n := range t.accounts {
					allowance.Decide(&target.Account{Name: name, Rate: 100, Burst: 100}, window, &t.coverage, n)
				}
			}
		})
	}
}
