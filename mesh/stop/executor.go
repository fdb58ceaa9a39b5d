package stop

import (
	"context"
	"sync"
	"time"

	"fescuehoist.example/mesh/member"
)

// Server is the backend server that stops.
type Server interface {
	// Suspend takes no new calls; those that run end.
	Suspend()
	// Resume takes new calls again.
	Resume()
}

// Logger takes short messages about stops.
type Logger interface {
	Infof(format string, args ...any)
}

// Executor carries out the planned stops of one backend server, by the clock
// of its host.
type Executor struct {
	self   member.ServerID
	domain string
	server Server
	out    Logger

	mu      sync.Mutex
	list    *List
	changed chan struct{}
}

// NewExecutor returns an executor; Run starts it.
func NewExecutor(self member.ServerID, domain string, server Server, out Logger) *Executor {
	return &Executor{self: self, domain: domain, server: server, out: out, list: &List{}, changed: make(chan struct{})}
}

// Update takes a list of stops unless a newer one is known.
func (e *Executor) Update(l *List) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l == nil || l.Revision <= e.list.Revision {
		return
	}
	e.list = l
	close(e.changed)
	e.changed = make(chan struct{})
}

// List returns the stops known.
func (e *Executor) List() *List {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list
}

func (e *Executor) state() (*List, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list, e.changed
}

// Run suspends and resumes the backend server until ctx ends.
func (e *Executor) Run(ctx context.Context) error {
	stopped := ""
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		list, changed := e.state()
		now := time.Now()
		stopped = e.apply(list.At(e.self, e.domain, now), stopped)
		timer.Stop()
		if next := list.next(e.self, e.domain, now); !next.IsZero() {
			timer.Reset(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-timer.C:
		}
	}
}

// apply brings the server in line with the stop under way, nil for none, and
// returns its id.
func (e *Executor) apply(s *Stop, stopped string) string {
	switch {
	case s != nil && stopped == "":
		e.out.Infof("planned stop %s begins; it ends at %s", s.ID, s.Until.UTC().Format(time.RFC3339))
		e.server.Suspend()
	case s == nil && stopped != "":
		e.out.Infof("planned stop %s has ended", stopped)
		e.server.Resume()
	}
	if s == nil {
		return ""
	}
	return s.ID
}
