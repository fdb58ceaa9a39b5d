package stop

import (
	"context"
	"sync"
	"time"

	"fescuehoist.example/mesh/member"
)

// Server is the backend server that is stopped.
type Server interface {
	// Suspend stops accepting new calls; running calls end normally.
	Suspend()
	// Resume accepts new calls again.
	Resume()
}

// Logger receives the log messages of an Executor.
type Logger interface {
	Infof(format string, args ...any)
}

// Executor carries out the planned stops of one backend server by the clock of
// its host.
type Executor struct {
	self   member.ServerID
	domain string
	server Server
	logger Logger

	mu      sync.Mutex
	list    *List
	changed chan struct{}
}

// NewExecutor returns an executor; Run starts it.
func NewExecutor(self member.ServerID, domain string, server Server, logger Logger) *Executor {
	return &Executor{self: self, domain: domain, server: server, logger: logger, list: &List{}, changed: make(chan struct{})}
}

// Update replaces the list of stops if l has a higher revision.
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

// List returns the current list of stops.
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
	activeID := ""
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		list, changed := e.state()
		now := time.Now()
		activeID = e.apply(list.At(e.self, e.domain, now), activeID)
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

// apply suspends or resumes the server if the active stop, nil for none,
// requires it. It returns the ID of that stop, or "".
func (e *Executor) apply(active *Stop, activeID string) string {
	switch {
	case active != nil && activeID == "":
		e.logger.Infof("planned stop %s has started: no new calls until %s", active.ID, active.Until.UTC().Format(time.RFC3339))
		e.server.Suspend()
	case active == nil && activeID != "":
		e.logger.Infof("planned stop %s has ended: accepting calls", activeID)
		e.server.Resume()
	}
	if active == nil {
		return ""
	}
	return active.ID
}
