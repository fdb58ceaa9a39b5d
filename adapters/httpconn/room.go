package httpconn

import (
	"cmp"
	"errors"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// crowdedShare is the share of the maximum of open connections above which each
	// answer ends its connection once no request of it is running.
	crowdedShare = 0.75
	// closedShare is the share of the maximum of open connections that is closed at
	// once when it is reached, idle ones only.
	closedShare = 1.0 / 16
	// refusedShare is the number of connections beyond the maximum whose requests
	// are refused, as a share of the maximum. Further ones are closed unread.
	refusedShare = 1.0 / 8
	// refusalTimeout limits the wait for the request on a connection whose requests
	// are refused.
	refusalTimeout = time.Second
	// minScanInterval is the time between two searches for idle connections after
	// one that found none.
	minScanInterval = 50 * time.Millisecond
	// reportInterval is the time between two reports of connections beyond the
	// maximum.
	reportInterval = time.Second
)

var errCrowded = errors.New("too many open connections")

// Crowding counts what happened to connections because too many were open.
type Crowding struct {
	// ClosedIdle counts idle connections that were closed to make room, Refused those
	// beyond the maximum whose requests were refused, Dropped those that were closed
	// without reading from them.
	ClosedIdle, Refused, Dropped uint64
}

// room bounds the open connections of a server. It is guarded by Server.mu, but for
// crowded.
type room struct {
	// limit is the maximum of open connections, refusing the number of those beyond.
	limit, refusing int
	// minIdleAge is how long a connection must have been idle to be closed.
	minIdleAge time.Duration
	crowded    atomic.Bool
	counts     Crowding
	nextScan   time.Time
	nextReport time.Time
	// report is called when connections are beyond the maximum, once in
	// reportInterval at most; it may be nil.
	report func(limit int, total Crowding)
}

// admit adds a session, which refuses its requests if the maximum is reached. It
// returns false if there is no room even for that.
func (s *Server) admit(n *session, now time.Time) bool {
	r := &s.room
	if len(s.sessions)-r.refusing >= r.limit {
		s.closeIdleSessions(now)
	}
	switch {
	case len(s.sessions)-r.refusing < r.limit:
	case float64(r.refusing) < max(refusedShare*float64(r.limit), 1):
		n.refusing = true
		r.refusing++
		r.counts.Refused++
	default:
		r.counts.Dropped++
		s.reportCrowding(now)
		return false
	}
	s.sessions[n] = true
	s.updateCrowded()
	if n.refusing {
		s.reportCrowding(now)
	}
	return true
}

// release removes a session that has ended or is closed.
func (s *Server) release(n *session) {
	if !s.sessions[n] {
		return
	}
	delete(s.sessions, n)
	if n.refusing {
		s.room.refusing--
	}
	s.updateCrowded()
}

func (s *Server) updateCrowded() {
	s.room.crowded.Store(float64(len(s.sessions)) > crowdedShare*float64(s.room.limit))
}

// closeIdleSessions closes some of the sessions that have been idle for longest.
func (s *Server) closeIdleSessions(now time.Time) {
	r := &s.room
	if now.Before(r.nextScan) {
		return
	}
	type idleSession struct {
		*session
		since time.Time
	}
	var idle []idleSession
	for n := range s.sessions {
		if since, ok := n.idle(); ok && now.Sub(since) >= r.minIdleAge {
			idle = append(idle, idleSession{n, since})
		}
	}
	if len(idle) == 0 {
		r.nextScan = now.Add(minScanInterval)
		return
	}
	slices.SortFunc(idle, func(a, b idleSession) int { return cmp.Compare(a.since.UnixNano(), b.since.UnixNano()) })
	for _, n := range idle[:min(len(idle), max(int(closedShare*float64(r.limit)), 1))] {
		if n.closeIfIdle() {
			s.release(n.session)
			r.counts.ClosedIdle++
		}
	}
	s.reportCrowding(now)
}

func (s *Server) reportCrowding(now time.Time) {
	if s.room.report == nil || now.Before(s.room.nextReport) {
		return
	}
	s.room.nextReport = now.Add(reportInterval)
	s.room.report(s.room.limit, s.room.counts)
}
