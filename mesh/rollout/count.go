package rollout

import (
	"cmp"
	"slices"
	"time"

	"fescuehoist.example/mesh/revision"
)

// Count is what daemons have counted at the servers of one release of a service, in
// absolute values since they heard of the order. With an empty class it describes the
// servers themselves; otherwise it describes the calls of one class that they ran.
type Count struct {
	Service, Release, Class string
	// Order is the order that the daemons have heard of, Target its release.
	Order  revision.Revision
	Target string

	// Servers is the number of servers, Idle the number of those that refuse requests
	// because of the rollout and run none any more.
	Servers, Idle int
	// Active is the number of servers that answered lately, Failing the number of those
	// with answers that failed.
	Active, Failing int
	// State is the highest state that the daemons were told.
	State State
	// Heard is how long ago the first of the daemons heard of the order.
	Heard time.Duration

	// Answered counts the calls that the servers ran, Failed those of them that ended in a
	// server error, were cut or timed out. Total is the time that all of them took.
	Answered, Failed uint64
	Total            time.Duration
	// Timed counts the answers of servers that have warmed up. LogSum and LogSquares are
	// the sums of the natural logarithms of their run times in seconds, and of the squares
	// of these: a release that is slower by a factor differs by its logarithm, whatever the
	// spread of the run times.
	Timed              uint64
	LogSum, LogSquares float64
}

type countKey struct {
	service, release, class string
	order                   revision.Revision
}

func (c *Count) key() countKey { return countKey{c.Service, c.Release, c.Class, c.Order} }

// add adds the counts of other daemons for the same key.
func (c *Count) add(o *Count) {
	c.Servers += o.Servers
	c.Idle += o.Idle
	c.State = max(c.State, o.State)
	c.Heard = max(c.Heard, o.Heard)
	c.Answered += o.Answered
	c.Failed += o.Failed
	c.Total += o.Total
	c.Timed += o.Timed
	c.LogSum += o.LogSum
	c.LogSquares += o.LogSquares
	c.Active += o.Active
	c.Failing += o.Failing
}

// Merge returns the sum of the counts of several senders, sorted by service, release,
// class and order.
func Merge(parts ...[]Count) []Count {
	sums := map[countKey]*Count{}
	for _, part := range parts {
		for i := range part {
			c := part[i]
			if sum := sums[c.key()]; sum != nil {
				sum.add(&c)
			} else {
				sums[c.key()] = &c
			}
		}
	}
	merged := make([]Count, 0, len(sums))
	for _, c := range sums {
		merged = append(merged, *c)
	}
	slices.SortFunc(merged, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Release, b.Release),
			cmp.Compare(a.Class, b.Class), a.Order.Compare(b.Order))
	})
	return merged
}
