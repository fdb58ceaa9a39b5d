package forecast

import (
	"math"
	"time"

	"fescuehoist.example/mesh/status"
)

// distribution is the latency of calls that do not wait, in seconds.
type distribution []part

type part struct{ seconds, share float64 }

// newBase returns the latency without waiting: the measured latency while
// nothing waits, else the time that backend servers took.
func newBase(c *status.Counts, calm bool) distribution {
	h := &c.Latency
	if !calm || h.Count() == 0 {
		h = &c.ServiceTime
	}
	var d distribution
	for _, b := range h.Buckets() {
		d = append(d, part{
			seconds: float64(b.Micros) / float64(time.Second/time.Microsecond),
			share:   float64(b.Count) / float64(h.Count()),
		})
	}
	return d
}

// shareWithin returns the share of calls answered within a time when they wait
// as given.
func (d distribution) shareWithin(seconds float64, w waiting) float64 {
	if len(d) == 0 {
		return 1
	}
	within := 0.0
	for _, p := range d {
		within += p.share * w.within(seconds-p.seconds)
	}
	return within
}

// within returns the probability that the waiting takes at most a time.
func (w waiting) within(seconds float64) float64 {
	switch {
	case seconds < 0:
		return 0
	case seconds < w.fixed:
		return 1 - w.busy
	case w.mean == 0:
		return 1
	}
	return 1 - w.busy*math.Exp(-(seconds-w.fixed)/w.mean)
}

// quantileSteps is the number of halvings in the search for a quantile.
const quantileSteps = 40

// quantile returns the time within which a share of calls is answered, at most
// limit.
func (d distribution) quantile(share float64, w waiting, limit float64) float64 {
	if len(d) == 0 {
		return 0
	}
	low, high := 0.0, limit
	for range quantileSteps {
		middle := (low + high) / 2
		if d.shareWithin(middle, w) >= share {
			high = middle
			continue
		}
		low = middle
	}
	return high
}

// erlangC returns the probability that a call waits in a queue of servers with
// the given load, both counted in slots. It is 1 from full load on.
func erlangC(slots, load float64) float64 {
	if load >= slots {
		return 1
	}
	n := max(1, int(math.Round(slots)))
	blocked := 1.0
	for k := 1; k <= n; k++ {
		blocked = load * blocked / (float64(k) + load*blocked)
	}
	rho := load / float64(n)
	if rho >= 1 {
		return 1
	}
	return blocked / (1 - rho*(1-blocked))
}
