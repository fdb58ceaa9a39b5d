package route

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/wait"
)

const (
	// minProbeInterval and maxProbeInterval bound the time between two probes
	// of a server's daemon; it doubles with each failure.
	minProbeInterval = 200 * time.Millisecond
	maxProbeInterval = time.Second
	// maxProbeTime is how long an unreachable daemon is probed. After that,
	// either its record is marked as failed, or the next call shows whether the
	// daemon is reachable.
	maxProbeTime = 20 * time.Second
	// maxPendingProbes bounds the servers that wait for Run to start probing
	// them.
	maxPendingProbes = 256
)

// ErrNotResponding reports that an address did not respond in time; a refused
// connection counts as a response.
var ErrNotResponding = errors.New("no response from the address before the timeout")

// Prober opens a connection to the address at which a daemon accepts calls
// and closes it. The error is ErrNotResponding if the host does not respond.
type Prober interface {
	Probe(ctx context.Context, address string) error
}

// UnreachableServers is the set of servers whose daemons cannot be reached from
// here. They get no calls; instead they are probed until a connection opens.
type UnreachableServers struct {
	logger  Logger
	pending chan *member.Record

	mu sync.Mutex
	// unreachable holds addresses rather than servers, so that a server which
	// moves is reachable at its new address.
	unreachable map[string]bool
	// cancels holds the cancel functions of the calls that may be retried on
	// another server, by address.
	cancels map[string]map[*context.CancelCauseFunc]bool
}

// Logger receives the log messages of UnreachableServers.
type Logger interface {
	Infof(format string, args ...any)
	Warnf(format string, args ...any)
}

// NewUnreachableServers returns an empty set; Run probes the servers added to
// it.
func NewUnreachableServers(logger Logger) *UnreachableServers {
	return &UnreachableServers{
		logger: logger, pending: make(chan *member.Record, maxPendingProbes),
		unreachable: map[string]bool{}, cancels: map[string]map[*context.CancelCauseFunc]bool{},
	}
}

// Run probes each unreachable server in a goroutine of its own, until ctx ends.
func (u *UnreachableServers) Run(ctx context.Context, prober Prober) error {
	g, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case r := <-u.pending:
			g.Go(func() error {
				u.probe(ctx, prober, r)
				return nil
			})
		}
	}
}

// probe tries to connect to a server's daemon until it succeeds or maxProbeTime
// has passed, and then removes the server from the set.
func (u *UnreachableServers) probe(ctx context.Context, prober Prober, r *member.Record) {
	backoff, deadline := minProbeInterval, time.Now().Add(maxProbeTime)
	var err error
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if err = prober.Probe(ctx, r.CallAddress); err == nil {
			break
		}
		if errors.Is(err, ErrNotResponding) {
			u.cancelCalls(r, err)
		}
		_ = wait.For(ctx, wait.Jitter(backoff))
		backoff = min(2*backoff, maxProbeInterval)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.unreachable, r.CallAddress)
	switch {
	case err == nil:
		u.logger.Infof("server %s: probing ended, routing calls to it again", r.Server)
	case ctx.Err() == nil:
		u.logger.Warnf("server %s: still unreachable after %s, probing ended, routing calls to it again: %v", r.Server, maxProbeTime, err)
	}
}

// cancelCalls cancels the calls to a server that may be retried elsewhere. It
// is not used when a daemon merely refuses new connections, as that daemon may
// still answer the calls it has.
func (u *UnreachableServers) cancelCalls(r *member.Record, cause error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n := len(u.cancels[r.CallAddress]); n > 0 {
		u.logger.Warnf("server %s is not responding: canceled %d calls that may be retried on other servers", r.Server, n)
	}
	for cancel := range u.cancels[r.CallAddress] {
		(*cancel)(cause)
	}
}

// Add marks a server's daemon as unreachable. If too many servers already wait
// for their first probe, the server is not added.
func (u *UnreachableServers) Add(r *member.Record, cause error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.unreachable[r.CallAddress] {
		return
	}
	select {
	case u.pending <- r:
	default:
		return
	}
	u.unreachable[r.CallAddress] = true
	u.logger.Warnf("server %s is unreachable, probing it and routing no calls to it: %v", r.Server, cause)
}

// Contains reports whether a server's daemon is unreachable.
func (u *UnreachableServers) Contains(r *member.Record) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.unreachable[r.CallAddress]
}

// CallContext returns a context for a call that may be retried elsewhere. It is
// canceled with the cause ErrNotResponding when a probe of the server's daemon
// gets no response. The caller must call the returned function when the call
// has ended.
func (u *UnreachableServers) CallContext(ctx context.Context, r *member.Record) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.cancels[r.CallAddress] == nil {
		u.cancels[r.CallAddress] = map[*context.CancelCauseFunc]bool{}
	}
	u.cancels[r.CallAddress][&cancel] = true
	return ctx, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.cancels[r.CallAddress], &cancel)
		if len(u.cancels[r.CallAddress]) == 0 {
			delete(u.cancels, r.CallAddress)
		}
		cancel(nil)
	}
}
