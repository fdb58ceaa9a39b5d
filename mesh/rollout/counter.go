package rollout

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/revision"
)

const (
	// warmUpTime is how long the run times of a server are not counted after its start:
	// servers that have just started take about twice as long for about 3 s.
	warmUpTime = 3500 * time.Millisecond
	// lately is the time within which answers count as recent. The few requests to an
	// unproven release are seconds apart.
	lately = 5 * time.Second
	// minCutInterval is the shortest time between two calls without an answer that count as
	// failures. A server that crashes or stops for a moment ends many calls at once.
	minCutInterval = 200 * time.Millisecond
	// minRunTime keeps logarithms finite.
	minRunTime = 100 * time.Microsecond
)

// counter counts the calls to one server since its daemon heard of an order.
type counter struct {
	order   revision.Revision
	heardAt time.Duration

	mu sync.Mutex
	// instance is the current start of the server, which was seen first at since.
	instance string
	since    time.Duration
	cutAt    time.Duration
	classes  map[classKey]*Count
	servers  map[string]*recentAnswers
}

type classKey struct{ release, class string }

// recentAnswers tells when servers of a release answered last; 0 means never.
type recentAnswers struct{ answeredAt, failedAt time.Duration }

func newCounter(order revision.Revision, now time.Duration) *counter {
	return &counter{
		order: order, heardAt: now, since: now, cutAt: now - minCutInterval,
		classes: map[classKey]*Count{}, servers: map[string]*recentAnswers{},
	}
}

// setInstance notes that an instance of the server was seen at a time.
func (c *counter) setInstance(instance string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if instance != c.instance {
		c.instance, c.since = instance, at
	}
}

// result is how a call ended.
type result uint8

const (
	succeeded result = iota
	failed
	// cut calls ended without an answer.
	cut
	// canceled calls were given up by their callers.
	canceled
	notRun
)

func resultOf(answer *call.Answer, err error) result {
	if err == nil {
		if answer.Failed() {
			return failed
		}
		return succeeded
	}
	var f *call.Failure
	switch {
	case !errors.As(err, &f):
		return cut
	case f.Verdict == call.NotRun:
		return notRun
	case f.Reason == call.Canceled:
		return canceled
	}
	return cut
}

// add counts a call that ended at a time after it ran for elapsed.
func (c *counter) add(release, class string, r result, elapsed, now time.Duration) {
	if r == notRun {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n, server := c.classes[classKey{release, class}], c.servers[release]
	if n == nil {
		n = &Count{}
		c.classes[classKey{release, class}] = n
	}
	if server == nil {
		server = &recentAnswers{}
		c.servers[release] = server
	}
	n.Answered++
	n.Total += elapsed
	server.answeredAt = now
	if r == failed || (r == cut && now-c.cutAt >= minCutInterval) {
		n.Failed++
		server.failedAt = now
	}
	if r == cut {
		c.cutAt = max(c.cutAt, now)
	}
	if r != failed && now-elapsed-c.since >= warmUpTime {
		log := math.Log(max(elapsed, minRunTime).Seconds())
		n.Timed++
		n.LogSum += log
		n.LogSquares += log * log
	}
}

// recent returns 1 if the server answered lately as a release, and 1 if an answer failed.
func (c *counter) recent(release string, now time.Duration) (active, failing int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	server := c.servers[release]
	if server == nil {
		return 0, 0
	}
	if now-server.answeredAt < lately {
		active = 1
	}
	if server.failedAt > 0 && now-server.failedAt < lately {
		failing = 1
	}
	return active, failing
}

// counts returns the counts of all classes.
func (c *counter) counts(service string) []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make([]Count, 0, len(c.classes))
	for key, n := range c.classes {
		count := *n
		count.Service, count.Release, count.Class, count.Order = service, key.release, key.class, c.order
		counts = append(counts, count)
	}
	return counts
}

// Handler counts the calls that a handler runs at the server beside the daemon.
type Handler struct {
	Handler  call.Handler
	Follower *Follower
}

// Call passes the call to the handler.
func (h *Handler) Call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	a := h.Follower.Current().Of(r.Service)
	if a == nil || a.State.Final() {
		return h.Handler.Call(ctx, r)
	}
	own, _ := h.Follower.own()
	start := h.Follower.now()
	answer, err := h.Handler.Call(ctx, r)
	h.Follower.count(a.Order, own.Release, r.ClassName, resultOf(answer, err), start)
	return answer, err
}

// count counts a call that started at a time of the clock, under an order, and ends now. One
// that ends under a later order tells nothing about that.
func (f *Follower) count(order revision.Revision, release, class string, r result, start time.Duration) {
	f.mu.Lock()
	c := f.counter
	f.mu.Unlock()
	if c == nil || c.order != order {
		return
	}
	now := f.now()
	c.add(release, class, r, now-start, now)
}
