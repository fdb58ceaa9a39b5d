package httpconn

import (
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
	// ClosedSlow counts connections that were closed to make room since their clients sent
	// or read too slowly.
	ClosedSlow uint64
	// RefusedMemory counts requests that were refused, LostAnswers answers that were given
	// up with their connections, for lack of memory.
	RefusedMemory, LostAnswers uint64
}

// Add adds the counts of another server.
func (c *Crowding) Add(other Crowding) {
	c.ClosedIdle += other.ClosedIdle
	c.Refused += other.Refused
	c.Dropped += other.Dropped
	c.ClosedSlow += other.ClosedSlow
	c.RefusedMemory += other.RefusedMemory
	c.LostAnswers += other.LostAnswers
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
	// nextScan is the earliest time of the next search for idle connections,
	// nextSlowScan of that for slow ones.
	nextScan, nextSlowScan       time.Time
	nextReport, nextMemoryReport time.Time
	// report is called when connections are beyond the maximum, once in
	// reportInterval at most; it may be nil.
	report func(limit int, total Crowding)
	// reportMemory is called when a request or an answer has no room, once in
	// reportInterval at most; it may be nil.
	reportMemory func(total Crowding)
}

// admit adds a session, which refuses its requests if the maximum is reached. It
// returns false if there is no room even for that.
func (s *Server) admit(n *session, now time.Time) bool {
	r := &s.room
	if len(s.sessions)-r.refusing >= r.limit {
		s.closeIdleSessions(now)
	}
	if len(s.sessions)-r.refusing >= r.limit {
		s.closeSlowSessions(now, true)
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
	var idle []waitingSession
	for n := range s.sessions {
		if since, ok := n.idle(); ok && now.Sub(since) >= r.minIdleAge {
			idle = append(idle, waitingSession{n, since})
		}
	}
	if len(idle) == 0 {
		r.nextScan = now.Add(minScanInterval)
		return
	}
	for _, n := range s.longestWaiting(idle) {
		if n.closeIfIdle() {
			s.release(n.session)
			r.counts.ClosedIdle++
		}
	}
	s.reportCrowding(now)
}

// closeSlowSessions closes some of the sessions whose clients have been slow for longest.
func (s *Server) closeSlowSessions(now time.Time, withHeads bool) {
	r := &s.room
	if now.Before(r.nextSlowScan) {
		return
	}
	var slow []waitingSession
	for n := range s.sessions {
		if since, ok := n.slowSince(now, withHeads); ok {
			slow = append(slow, waitingSession{n, since})
		}
	}
	if len(slow) == 0 {
		r.nextSlowScan = now.Add(minScanInterval)
		return
	}
	for _, n := range s.longestWaiting(slow) {
		_ = n.Close()
		s.release(n.session)
		r.counts.ClosedSlow++
	}
	s.reportCrowding(now)
}

// waitingSession is a session that waits for its client since an instant.
type waitingSession struct {
	*session
	since time.Time
}

// longestWaiting returns those of the sessions that are to be closed at once.
func (s *Server) longestWaiting(sessions []waitingSession) []waitingSession {
	slices.SortFunc(sessions, func(a, b waitingSession) int { return a.since.Compare(b.since) })
	return sessions[:min(len(sessions), max(int(closedShare*float64(s.room.limit)), 1))]
}

// MakeMemoryRoom closes some of the connections whose clients send a body or read an answer
// too slowly, if there are any.
func (s *Server) MakeMemoryRoom() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeSlowSessions(time.Now(), false)
}

// reportShort reports that there was no room for a request or an answer.
func (s *Server) reportShort() {
	if s.memory != nil && s.memory.onShort != nil {
		s.memory.onShort()
	}
}

// countMemory counts what happened for lack of memory, and reports it.
func (s *Server) countMemory(count func(*Crowding)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, now := &s.room, time.Now()
	count(&r.counts)
	if r.reportMemory != nil && !now.Before(r.nextMemoryReport) {
		r.nextMemoryReport = now.Add(reportInterval)
		r.reportMemory(r.counts)
	}
}

func (s *Server) reportCrowding(now time.Time) {
	if s.room.report == nil || now.Before(s.room.nextReport) {
		return
	}
	s.room.nextReport = now.Add(reportInterval)
	s.room.report(s.room.limit, s.room.counts)
}
