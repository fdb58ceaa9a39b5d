// Package link decides when large request bodies are sent to a host, so that at any time
// only a bounded number of bytes is on its way over the host's network link.
package link

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/target"
)

const (
	// MinBytes is the size in bytes up to which a body is sent without a grant over any
	// link; freeTime is the same as the time that the link takes: the request for the
	// grant would take about as long.
	MinBytes = 8 << 10
	freeTime = 5 * time.Millisecond
	// windowTime is how long the link takes for the bytes that may be on their way at
	// the same time, unless a single body is larger.
	windowTime = 40 * time.Millisecond
	// overlapTime is how long before the end of the bodies on their way the next one is
	// granted. Its first byte arrives one round trip later, at most 2.8 ms in the
	// network and some time at the sender.
	overlapTime = 4 * time.Millisecond
	// stallTime is how long no body may arrive, or one may take beyond slowFactor times
	// its time on the link, before other bodies are granted beside it. Shorter times fill
	// the queue of the link with bodies of senders that are only late.
	stallTime  = 40 * time.Millisecond
	slowFactor = 2
	// targetShare is the share of the target latency within which a body that has to
	// wait must have arrived and the call have run; the rest is for the answer.
	targetShare = 0.75
	// rateGain is the weight of one body in the moving average of the measured rate;
	// minRateShare is the least share of the link's rate that is assumed to be left for
	// bodies beside other traffic.
	rateGain     = 0.1
	minRateShare = 0.25
	// minSampleBytes is the size of the smallest body whose arrival is measured: the
	// round trip dominates the time of smaller ones.
	minSampleBytes = 16 << 10
	// maxObserved bounds the bodies without a grant that are tracked at the same time.
	maxObserved = 16
)

var (
	errTooLate = errors.New("body could not arrive over the link of the host in time")
	errNoSlot  = errors.New("call would wait too long for a slot once its body has arrived")
)

// Gate grants the bodies that are sent to one host. Waiting ones are granted by rank,
// then by the time left.
type Gate struct {
	// rate is the rate of the link in bytes per second; 0 means that it is unknown and
	// nothing is bounded. window and overlap are windowTime and overlapTime in bytes, free
	// is the size up to which a body needs no grant.
	rate, window, overlap float64
	free                  int64

	mu sync.Mutex
	// measured is the mean rate in bytes per second at which granted bodies arrived.
	measured float64
	lastEnd  time.Time
	// arriving is when a byte of a granted body arrived last.
	arriving time.Time
	bodies   map[*Body]bool
	observed int
	waiting  []*waiter
	// timer decides again once a body on its way no longer counts. It is nil until the
	// first body waits.
	timer  *time.Timer
	counts Counts
}

// Counts describes the bodies at a gate.
type Counts struct {
	// InTransit and Waiting are in bytes: on their way, and not yet granted.
	InTransit int64 `json:"bytes_in_transit"`
	Waiting   int64 `json:"bytes_waiting"`
	// Granted and Refused count bodies since the start.
	Granted uint64 `json:"granted"`
	Refused uint64 `json:"refused"`
	// Rate is the mean rate in bytes per second at which granted bodies arrived.
	Rate float64 `json:"bytes_per_second"`
}

// waiter is a body that is not yet granted.
type waiter struct {
	rank   int
	length int64
	since  time.Time
	// latest is when the body must have arrived.
	latest time.Time
	// decided is closed once body or refusal is set.
	decided chan struct{}
	body    *Body
	refusal *call.Failure
}

// NewGate returns a gate for a link of the given bandwidth in Mbit/s; 0 means that the
// bandwidth is unknown and nothing is bounded.
func NewGate(mbps int) *Gate {
	rate := BytesPerSecond(mbps)
	return &Gate{
		rate: rate, measured: rate, window: rate * windowTime.Seconds(), overlap: rate * overlapTime.Seconds(),
		free: int64(FreeBytes(mbps)), bodies: map[*Body]bool{},
	}
}

// BytesPerSecond returns the rate of a link of the given bandwidth in Mbit/s.
func BytesPerSecond(mbps int) float64 { return float64(mbps) * 1e6 / 8 }

// FreeBytes returns the size in bytes up to which a body needs no grant of a host whose
// link has the given bandwidth in Mbit/s. Without a known bandwidth none needs one.
func FreeBytes(mbps int) int {
	if mbps == 0 {
		return math.MaxInt
	}
	return max(MinBytes, int(BytesPerSecond(mbps)*freeTime.Seconds()))
}

// Slots is what is known of the slots at which a call runs once its body has arrived.
type Slots struct {
	// Wait is how long the call would wait for a slot if it were there now.
	Wait time.Duration
	// Service is the mean run time of calls of its class.
	Service time.Duration
}

// Enter waits until a body of the given length in bytes may be sent. The returned Body
// must be told what arrives, and must be ended. slots is called when the body asks, and
// again after it waited. An error is a *call.Failure with verdict NotRun, and reason
// Overloaded if the body cannot arrive and be worked on in time.
func (g *Gate) Enter(ctx context.Context, r *call.Request, length int64, slots func() Slots) (*Body, error) {
	if length <= g.free {
		return nil, nil
	}
	w, refusal := g.arrive(ctx, r, length, slots())
	if refusal != nil {
		return nil, refusal
	}
	waited := false
	select {
	case <-w.decided:
	default:
		waited = true
		if err := g.await(ctx, w); err != nil {
			return nil, err
		}
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	// The slots may have filled while the body waited.
	if waited && slots().Wait > time.Until(w.latest) {
		return nil, g.withdraw(w.body)
	}
	return w.body, nil
}

// withdraw takes back the grant of a body whose call would get no slot in time.
func (g *Gate) withdraw(b *Body) *call.Failure {
	g.mu.Lock()
	defer g.mu.Unlock()
	b.end()
	g.counts.Granted--
	return g.refusal(errNoSlot)
}

// Send waits until a body of the given length in bytes may leave over the link of the
// sending host, where bodies to all other hosts meet. The returned Body counts until the
// link has carried it at its rate, or is ended before. An error is a *call.Failure with
// verdict NotRun; no other server would help, so its reason is not Overloaded.
func (g *Gate) Send(ctx context.Context, r *call.Request, length int64) (*Body, error) {
	ranked := &call.Request{}
	if r.Class != nil {
		ranked.Class = &target.Class{Rank: r.Class.Rank}
	}
	b, err := g.Enter(ctx, ranked, length, func() Slots { return Slots{} })
	var f *call.Failure
	if errors.As(err, &f) && f.Reason == call.Overloaded {
		f.Reason = call.Deadline
	}
	if b != nil {
		b.endAtRate()
	}
	return b, err
}

// Observe tracks a body that arrives without a grant, for example from a caller. Granted
// ones wait for it for windowTime at most.
func (g *Gate) Observe(length int64) *Body {
	if length <= g.free {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.observed >= maxObserved {
		return nil
	}
	g.observed++
	return g.start(length, true, time.Now())
}

// Wait returns how long a body that asks now would wait until it may be sent.
func (g *Gate) Wait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.bodies) == 0 && len(g.waiting) == 0 {
		return 0
	}
	return g.duration(g.bytesAhead(len(g.waiting), time.Now()))
}

// Counts returns the state of the gate.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.counts
	c.Rate = g.measured
	for b := range g.bodies {
		c.InTransit += b.remaining()
	}
	for _, w := range g.waiting {
		c.Waiting += w.length
	}
	return c
}

// arrive grants a body, queues it or refuses it.
func (g *Gate) arrive(ctx context.Context, r *call.Request, length int64, s Slots) (*waiter, *call.Failure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	w := &waiter{length: length, since: now, decided: make(chan struct{})}
	remaining, hasDeadline := timeLeft(ctx, r, s.Service, now)
	free := len(g.waiting) == 0 && g.mayGrant(w, now)
	// A body that finds the link free is judged by its deadline and the rate of the link
	// alone, so that a target or an estimate that is too low never excludes it.
	if !free || !hasDeadline || s.Wait > 0 {
		remaining = min(remaining, max(targetTime(r, s.Service), g.shortest(length)))
	}
	w.latest = now.Add(remaining)
	if r.Class != nil {
		w.rank = r.Class.Rank
	}
	if s.Wait > remaining {
		return nil, g.refusal(errNoSlot)
	}
	if free {
		if g.shortest(length) > remaining {
			return nil, g.refusal(errTooLate)
		}
		g.grant(w, now)
		return w, nil
	}
	place := g.place(w)
	if g.duration(g.bytesAhead(place, now)+float64(length)) > remaining {
		return nil, g.refusal(errTooLate)
	}
	g.waiting = slices.Insert(g.waiting, place, w)
	g.refuseBehind(place, now)
	g.setTimer(now)
	return w, nil
}

// noDeadline is the time left for a call without a deadline and a target.
const noDeadline = time.Hour

// timeLeft returns how long the body of a call may take to arrive so that the call ends
// before its deadline, and whether it has one.
func timeLeft(ctx context.Context, r *call.Request, service time.Duration, now time.Time) (time.Duration, bool) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return targetTime(r, service), false
	}
	return deadline.Sub(now) - service, true
}

// targetTime returns the same for the target latency of its class.
func targetTime(r *call.Request, service time.Duration) time.Duration {
	if r.Class == nil || r.Class.Latency == 0 {
		return noDeadline
	}
	return time.Duration(targetShare*float64(r.Class.Latency)) - r.Elapsed - service
}

// place returns the index at which a body waits: behind those of the same rank that have
// less time left.
func (g *Gate) place(w *waiter) int {
	for i, other := range g.waiting {
		if w.rank < other.rank || (w.rank == other.rank && w.latest.Before(other.latest)) {
			return i
		}
	}
	return len(g.waiting)
}

// refuseBehind refuses the bodies that can no longer arrive in time because the one at
// place was put before them.
func (g *Gate) refuseBehind(place int, now time.Time) {
	ahead := g.bytesAhead(place+1, now)
	kept := g.waiting[:place+1]
	for _, w := range g.waiting[place+1:] {
		if now.Add(g.duration(ahead + float64(w.length))).After(w.latest) {
			g.refuse(w)
			continue
		}
		ahead += float64(w.length)
		kept = append(kept, w)
	}
	clear(g.waiting[len(kept):])
	g.waiting = kept
}

// bytesAhead returns the bytes on their way and those that wait at the first n places.
func (g *Gate) bytesAhead(n int, now time.Time) float64 {
	granted, observed := g.inTransit(now)
	for _, w := range g.waiting[:n] {
		granted += float64(w.length)
	}
	return granted + observed
}

// inTransit returns the bytes that are on their way, with a grant and without one.
func (g *Gate) inTransit(now time.Time) (granted, observed float64) {
	for b := range g.bodies {
		switch {
		case !now.Before(g.countsUntil(b)):
		case b.observed:
			observed += float64(b.remaining())
		default:
			granted += float64(b.remaining())
		}
	}
	return granted, min(observed, g.window)
}

// mayGrant reports whether a body may be sent beside those on their way.
func (g *Gate) mayGrant(w *waiter, now time.Time) bool {
	granted, observed := g.inTransit(now)
	total := granted + observed
	if total <= g.overlap || total+float64(w.length) <= g.window {
		return true
	}
	// Bodies without a grant only delay granted ones: nothing bounds them.
	return granted <= g.overlap && now.Sub(w.since) >= windowTime
}

// fill grants the bodies for which there is room. It must be called when there is more.
func (g *Gate) fill(now time.Time) {
	for len(g.waiting) > 0 {
		w := g.waiting[0]
		tooLate := now.Add(g.shortest(w.length)).After(w.latest)
		if !tooLate && !g.mayGrant(w, now) {
			g.setTimer(now)
			return
		}
		g.waiting = slices.Delete(g.waiting, 0, 1)
		if tooLate {
			g.refuse(w)
			continue
		}
		g.grant(w, now)
	}
}

// setTimer makes fill run when the first body on its way no longer counts, or bodies
// without a grant no longer delay the first waiting one.
func (g *Gate) setTimer(now time.Time) {
	if len(g.waiting) == 0 {
		return
	}
	next := now.Add(stallTime)
	for b := range g.bodies {
		if until := g.countsUntil(b); until.After(now) && until.Before(next) {
			next = until
		}
	}
	if w := g.waiting[0].since.Add(windowTime); w.After(now) && w.Before(next) {
		next = w
	}
	if g.timer == nil {
		g.timer = time.AfterFunc(next.Sub(now), func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.fill(time.Now())
		})
		return
	}
	g.timer.Reset(next.Sub(now))
}

func (g *Gate) grant(w *waiter, now time.Time) {
	g.counts.Granted++
	w.body = g.start(w.length, false, now)
	close(w.decided)
}

func (g *Gate) start(length int64, observed bool, now time.Time) *Body {
	b := &Body{gate: g, length: length, observed: observed, startedAt: now, arriving: now}
	g.bodies[b] = true
	return b
}

func (g *Gate) refuse(w *waiter) {
	w.refusal = g.refusal(errTooLate)
	close(w.decided)
}

func (g *Gate) refusal(cause error) *call.Failure {
	g.counts.Refused++
	return call.Refuse(call.Overloaded, cause)
}

// await returns once the body is granted or refused. When it can no longer arrive in
// time or ctx ends, it removes the body from the queue and returns the refusal.
func (g *Gate) await(ctx context.Context, w *waiter) error {
	expired := time.NewTimer(time.Until(w.latest) - g.shortest(w.length))
	defer expired.Stop()
	select {
	case <-w.decided:
		return nil
	case <-expired.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.Index(g.waiting, w)
	if i < 0 {
		if ctx.Err() == nil || w.body == nil {
			return nil
		}
		w.body.end()
		return call.Refuse(call.ReasonOf(ctx, call.Canceled), ctx.Err())
	}
	g.waiting = slices.Delete(g.waiting, i, i+1)
	g.fill(time.Now())
	if ctx.Err() != nil {
		return call.Refuse(call.ReasonOf(ctx, call.Canceled), ctx.Err())
	}
	return g.refusal(errTooLate)
}

// shortest returns how long the link takes for some bytes without other traffic.
func (g *Gate) shortest(length int64) time.Duration {
	return time.Duration(float64(length) / g.rate * float64(time.Second))
}

// duration returns how long the link is expected to take for some bytes.
func (g *Gate) duration(bytes float64) time.Duration {
	return time.Duration(bytes / g.measured * float64(time.Second))
}
