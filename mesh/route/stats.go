package route

import (
	"math/rand/v2"
	"time"

	"fescuehoist.example/mesh/call"
)

const (
	// LoadLifetime is how long a reported load is used.
	LoadLifetime = time.Second
	// RefusalLifetime is how long a server is avoided after it refused a call
	// because it had no capacity.
	RefusalLifetime = 50 * time.Millisecond
	// CapacityLifetime is how long a server's reported capacity is assumed to
	// be unchanged.
	CapacityLifetime = 200 * time.Millisecond
	// MinEjection is how long a failing server is ejected at first; the time
	// doubles with each further failure up to MaxEjection.
	MinEjection = 200 * time.Millisecond
	// MaxEjection is the longest time for which a server is ejected.
	MaxEjection = 5 * time.Second
	// toleratedFailures is the number of consecutive failures that do not yet
	// eject a server. A failure to connect and a connection that stops
	// responding eject it at once.
	toleratedFailures = 2
)

// serverStats holds what this daemon knows of one backend server's load and
// failures.
type serverStats struct {
	inflight int
	load     call.Load
	loadAt   time.Time
	// inflightAtReport is the value of inflight when the load was reported.
	inflightAtReport int
	refusedAt        time.Time
	// serviceTimes holds the last reported service time of each class.
	serviceTimes map[string]time.Duration
	// failures counts the failures since the last successful call.
	failures     int
	ejectedUntil time.Time
	pickedAt     time.Time
	// linkFreeAt is when the link of the server's host is expected to have carried the
	// bodies that are sent or wait there.
	linkFreeAt time.Time
	// leavingInstance is the instance that said last that it will stop soon.
	leavingInstance string
}

// record updates the statistics with the outcome of a call.
func (s *serverStats) record(outcome Outcome, now time.Time) {
	if outcome.Load.Limit > 0 {
		s.load, s.loadAt, s.inflightAtReport = outcome.Load, now, s.inflight
		s.serviceTimes[outcome.Class] = outcome.Load.ServiceTime
		s.linkFreeAt = now.Add(outcome.Load.LinkWait)
	}
	if outcome.LeavingInstance != "" {
		s.leavingInstance = outcome.LeavingInstance
	}
	if outcome.Failure == nil {
		s.failures, s.ejectedUntil = 0, time.Time{}
		return
	}
	switch outcome.Failure.Reason {
	case call.Overloaded, call.Shed:
		if !refusedByLink(outcome.Load) {
			s.refusedAt = now
		}
	case call.Unreachable, call.Draining, call.Misdirected, call.Unconfigured:
		s.recordFailure(toleratedFailures+1, now)
	case call.Silent:
		s.recordFailure(toleratedFailures+1, now)
	case call.Cut, call.Failed:
		s.recordFailure(1, now)
	case call.Deadline:
		if outcome.Failure.Verdict != call.NotRun {
			s.recordFailure(1, now)
		}
	}
}

// isLeaving reports whether an instance has said that it will stop soon.
func (s *serverStats) isLeaving(instance string) bool {
	return instance != "" && instance == s.leavingInstance
}

// recordFailure counts a failure and ejects the server once there are more than
// toleratedFailures. Failures during an ejection do not count: they belong to
// calls that began before it.
func (s *serverStats) recordFailure(weight int, now time.Time) {
	if s.ejected(now) {
		return
	}
	s.failures += weight
	if s.failures <= toleratedFailures {
		return
	}
	period := MinEjection << min(s.failures/(toleratedFailures+1)-1, maxDoublings)
	period = min(period, MaxEjection)
	s.ejectedUntil = now.Add(period/2 + rand.N(period/2))
}

// maxDoublings bounds how often the time of an ejection doubles.
const maxDoublings = 8

func (s *serverStats) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// occupancy estimates the number of calls at a server and returns it with the
// server's limit.
func (s *serverStats) occupancy(slots int, now time.Time) (int, int) {
	if now.Sub(s.loadAt) >= LoadLifetime {
		return s.inflight, max(slots, 1)
	}
	reported := s.load.Running + s.load.Queued + s.inflight - s.inflightAtReport
	return max(s.inflight, reported), max(s.load.Limit, 1)
}

// mayHaveCapacity reports whether the server may have a free slot. A load
// reported recently and after the last refusal decides. Without one, the server
// may have a free slot unless it refused a call recently or calls from here use
// all its slots.
func (s *serverStats) mayHaveCapacity(slots int, now time.Time) bool {
	if s.ejected(now) {
		return false
	}
	if now.Sub(s.loadAt) < CapacityLifetime && s.loadAt.After(s.refusedAt) {
		return s.load.Queued == 0 && max(s.load.Running, s.inflight) < s.load.Limit
	}
	return now.Sub(s.refusedAt) >= RefusalLifetime && s.inflight < slots
}
