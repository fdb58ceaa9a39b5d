package link

import "time"

// Body is a body on its way to the host. The methods of a nil Body do nothing.
type Body struct {
	gate   *Gate
	length int64
	// observed means that the body was sent without a grant.
	observed bool
	// arrived counts the bytes that arrived.
	arrived             int64
	startedAt, arriving time.Time
	// carriedAt is when the link has carried a body of which the arrival is not seen.
	carriedAt time.Time
}

func (b *Body) remaining() int64 { return max(b.length-b.arrived, 0) }

// Arrived counts bytes of the body that arrived.
func (b *Body) Arrived(bytes int) {
	if b == nil || bytes <= 0 {
		return
	}
	g := b.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	b.arrived += int64(bytes)
	b.arriving = time.Now()
	if !b.observed {
		g.arriving = b.arriving
	}
	if len(g.waiting) > 0 {
		g.fill(b.arriving)
	}
}

// endAtRate ends the body once the link has carried it.
func (b *Body) endAtRate() {
	b.gate.mu.Lock()
	defer b.gate.mu.Unlock()
	carried := b.gate.shortest(b.length)
	b.carriedAt = b.startedAt.Add(carried)
	time.AfterFunc(carried, b.End)
}

// End ends a body that arrived or that will not. It may be called more than once.
func (b *Body) End() {
	if b == nil {
		return
	}
	b.gate.mu.Lock()
	defer b.gate.mu.Unlock()
	b.end()
}

func (b *Body) end() {
	g := b.gate
	if !g.bodies[b] {
		return
	}
	delete(g.bodies, b)
	now := time.Now()
	if b.observed {
		g.observed--
	} else if b.remaining() == 0 {
		g.measure(b, now)
	}
	g.fill(now)
}

// measure adds the arrival of a body to the measured rate. Bodies share the link, so the
// time of one begins with the end of the one before it.
func (g *Gate) measure(b *Body, now time.Time) {
	start := b.startedAt
	if g.lastEnd.After(start) {
		start = g.lastEnd
	}
	g.lastEnd = now
	if b.length < minSampleBytes {
		return
	}
	sample := g.rate
	if elapsed := now.Sub(start).Seconds(); elapsed > 0 {
		sample = min(float64(b.length)/elapsed, g.rate)
	}
	g.measured = max(g.measured+rateGain*(sample-g.measured), minRateShare*g.rate)
}

// countsUntil returns when a body no longer counts as on its way unless more of it
// arrives: its sender may be dead or slow, and the link is free for others then.
func (g *Gate) countsUntil(b *Body) time.Time {
	if !b.carriedAt.IsZero() {
		return b.carriedAt
	}
	since := b.arriving
	if !b.observed && g.arriving.After(since) {
		// It may only wait in the queue of the link, behind the other.
		since = g.arriving
	}
	stalled := since.Add(stallTime)
	slow := b.startedAt.Add(slowFactor*g.shortest(b.length) + stallTime)
	if slow.Before(stalled) {
		return slow
	}
	return stalled
}
