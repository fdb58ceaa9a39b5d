package route

import (
	"math/rand/v2"
	"time"

	"fescuehoist.example/mesh/call"
)

const (
	// LoadLifetime is how long a reported load counts.
	LoadLifetime = time.Second
	// RefusalLifetime is how long a server that refused a call for want of
	// room is avoided.
	RefusalLifetime = 50 * time.Millisecond
	// RoomLifetime is how long a server is thought to have the room that it
	// had.
	RoomLifetime = 200 * time.Millisecond
	// MinEjection is how long a server that fails is left out at first; it
	// doubles with each further failure up to MaxEjection.
	MinEjection = 200 * time.Millisecond
	// MaxEjection is the longest time for which a server is left out.
	MaxEjection = 5 * time.Second
	// toleratedFailures is the number of failures in a row, short of one to
	// connect or a connection that fell silent, before a server is left out.
	toleratedFailures = 2
)

// observation is what this daemon knows of one backend server's load.
type observation struct {
	inflight int
	load     call.Load
	loadAt   time.Time
	// inflightThen is what was in flight when the load was reported.
	inflightThen int
	refusedAt    time.Time
	// services holds the service time of each class that was reported.
	services map[string]time.Duration
	// failures counts the failures since the last answer.
	failures     int
	ejectedUntil time.Time
	usedAt       time.Time
}

// note takes the outcome of a call in.
func (o *observation) note(out Outcome, now time.Time) {
	if out.Load.Limit > 0 {
		o.load, o.loadAt, o.inflightThen = out.Load, now, o.inflight
		o.services[out.Class] = out.Load.ServiceTime
	}
	if out.Failure == nil {
		o.failures, o.ejectedUntil = 0, time.Time{}
		return
	}
	switch out.Failure.Reason {
	case call.Overloaded, call.Shed:
		o.refusedAt = now
	case call.Unreachable, call.Draining, call.Misdirected, call.Unconfigured:
		o.fail(toleratedFailures+1, now)
	case call.Silent:
		o.fail(toleratedFailures+1, now)
	case call.Cut, call.Failed:
		o.fail(1, now)
	case call.Deadline:
		if out.Failure.Verdict != call.NotRun {
			o.fail(1, now)
		}
	}
}

// fail counts a failure and leaves the server out for a time once there are
// too many. A call that began before the server was left out adds nothing.
func (o *observation) fail(weight int, now time.Time) {
	if o.ejected(now) {
		return
	}
	o.failures += weight
	if o.failures <= toleratedFailures {
		return
	}
	period := MinEjection << min(o.failures/(toleratedFailures+1)-1, maxDoublings)
	period = min(period, MaxEjection)
	o.ejectedUntil = now.Add(period/2 + rand.N(period/2))
}

// maxDoublings bounds the doublings of an ejection.
const maxDoublings = 8

func (o *observation) ejected(now time.Time) bool { return now.Before(o.ejectedUntil) }

// busy estimates the calls at a server and its limit.
func (o *observation) busy(slots int, now time.Time) (int, int) {
	if now.Sub(o.loadAt) >= LoadLifetime {
		return o.inflight, max(slots, 1)
	}
	reported := o.load.Running + o.load.Queued + o.inflight - o.inflightThen
	return max(o.inflight, reported), max(o.load.Limit, 1)
}

// mayHaveRoom reports whether the server may have a free slot. What it said of
// late counts; without that, it is worth a try unless it refused a call of late.
func (o *observation) mayHaveRoom(slots int, now time.Time) bool {
	if o.ejected(now) {
		return false
	}
	if now.Sub(o.loadAt) < RoomLifetime && o.loadAt.After(o.refusedAt) {
		return o.load.Queued == 0 && max(o.load.Running, o.inflight) < o.load.Limit
	}
	return now.Sub(o.refusedAt) >= RefusalLifetime && o.inflight < slots
}
