package forecast

import (
	"math"
	"time"

	"fescuehoist.example/mesh/status"
)

// distribution is the distribution of the latency of calls that do not wait in
// a queue, in seconds.
type distribution []bin

type bin struct{ seconds, share float64 }

// newUnqueuedLatency returns the latency without queueing: the measured latency
// if the service is unloaded, else the service times of the backend servers.
func newUnqueuedLatency(c *status.Counts, unloaded bool) distribution {
	h := &c.Latency
	if !unloaded || h.Count() == 0 {
		h = &c.ServiceTime
	}
	var d distribution
	for _, b := range h.Buckets() {
		d = append(d, bin{
			seconds: float64(b.Micros) / float64(time.Second/time.Microsecond),
			share:   float64(b.Count) / float64(h.Count()),
		})
	}
	return d
}

// shareWithin returns the share of calls answered within a time, given the time
// they wait in the queue.
func (d distribution) shareWithin(seconds float64, w waitTime) float64 {
	if len(d) == 0 {
		return 1
	}
	within := 0.0
	for _, b := range d {
		within += b.share * w.within(seconds-b.seconds)
	}
	return within
}

// within returns the probability that the wait takes at most the given time.
func (w waitTime) within(seconds float64) float64 {
	switch {
	case seconds < 0:
		return 0
	case seconds < w.fixed:
		return 1 - w.probability
	case w.mean == 0:
		return 1
	}
	return 1 - w.probability*math.Exp(-(seconds-w.fixed)/w.mean)
}

// quantileSteps is the number of bisection steps in the search for a quantile.
const quantileSteps = 40

// quantile returns the time in seconds within which the given share of calls is
// answered, at most limit.
func (d distribution) quantile(share float64, w waitTime, limit float64) float64 {
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

// erlangC returns the probability that a call has to wait, by the Erlang C
// formula; slots and load are both counted in slots. It is 1 from full load on.
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
