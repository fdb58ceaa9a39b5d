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
	// recheckBase and recheckMax bound the time between two attempts to reach a
	// server's daemon; it doubles with each failure.
	recheckBase = 200 * time.Millisecond
	recheckMax  = time.Second
	// recheckLimit is how long a daemon that nobody reaches is looked for. After
	// that its record has failed, or a call shows whether it is back.
	recheckLimit = 20 * time.Second
	// maxDoubts bounds the servers whose first check waits for a task.
	maxDoubts = 256
)

// ErrNotResponding says that nothing at an address answered in time, not even to
// refuse a connection.
var ErrNotResponding = errors.New("nothing answers")

// Prober opens a connection to a daemon's address for calls and closes it. The
// error is ErrUnanswered if the host is silent.
type Prober interface {
	Probe(ctx context.Context, address string) error
}

// UnreachableServers are the servers whose daemons cannot be reached from here. No call is
// spent on them: a connection is tried until one opens.
type UnreachableServers struct {
	out    Logger
	doubts chan *member.Record

	mu sync.Mutex
	// absent holds addresses: a server that moves is reached at its new one.
	absent map[string]bool
	// calls holds the ends of the calls that may run again elsewhere, by address.
	calls map[string]map[*context.CancelCauseFunc]bool
}

// Logger takes short messages about servers.
type Logger interface {
	Infof(format string, args ...any)
	Warnf(format string, args ...any)
}

// NewUnreachableServers returns an empty set; Run checks on its servers.
func NewUnreachableServers(out Logger) *UnreachableServers {
	return &UnreachableServers{
		out: out, doubts: make(chan *member.Record, maxDoubts),
		absent: map[string]bool{}, calls: map[string]map[*context.CancelCauseFunc]bool{},
	}
}

// Run checks on each absent server in a task of its own, until ctx ends.
func (a *UnreachableServers) Run(ctx context.Context, reach Prober) error {
	g, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case r := <-a.doubts:
			g.Go(func() error {
				a.look(ctx, reach, r)
				return nil
			})
		}
	}
}

// look tries to reach a server's daemon until it answers.
func (a *UnreachableServers) look(ctx context.Context, reach Prober, r *member.Record) {
	pause, end := recheckBase, time.Now().Add(recheckLimit)
	for ctx.Err() == nil && time.Now().Before(end) {
		err := reach.Probe(ctx, r.CallAddress)
		if err == nil {
			break
		}
		if errors.Is(err, ErrNotResponding) {
			a.giveUp(r, err)
		}
		_ = wait.For(ctx, wait.Jitter(pause))
		pause = min(2*pause, recheckMax)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.absent, r.CallAddress)
	a.out.Infof("server %s is tried again", r.Server)
}

// giveUp ends the calls that wait for a server and may run again. A daemon that
// merely takes no new connections may still answer them.
func (a *UnreachableServers) giveUp(r *member.Record, cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := len(a.calls[r.CallAddress]); n > 0 {
		a.out.Warnf("server %s is silent: %d calls go elsewhere", r.Server, n)
	}
	for end := range a.calls[r.CallAddress] {
		(*end)(cause)
	}
}

// Add notes that a server's daemon cannot be reached.
func (a *UnreachableServers) Add(r *member.Record, cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.absent[r.CallAddress] {
		return
	}
	select {
	case a.doubts <- r:
	default:
		return
	}
	a.absent[r.CallAddress] = true
	a.out.Warnf("server %s cannot be reached: %v", r.Server, cause)
}

// Contains reports whether a server's daemon cannot be reached.
func (a *UnreachableServers) Contains(r *member.Record) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.absent[r.CallAddress]
}

// CallContext returns a context for a call that may run again: it ends once the
// server's daemon cannot be reached. The caller must call the returned function
// when the call has ended.
func (a *UnreachableServers) CallContext(ctx context.Context, r *member.Record) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.calls[r.CallAddress] == nil {
		a.calls[r.CallAddress] = map[*context.CancelCauseFunc]bool{}
	}
	a.calls[r.CallAddress][&cancel] = true
	return ctx, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.calls[r.CallAddress], &cancel)
		if len(a.calls[r.CallAddress]) == 0 {
			delete(a.calls, r.CallAddress)
		}
		cancel(nil)
	}
}
