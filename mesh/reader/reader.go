// Package reader elects a few daemons of each failure domain to watch the
// platform for configuration changes. Each of them holds a lease; the others
// receive the configuration by gossip.
package reader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/wait"
)

// ErrHeld is returned when another daemon holds the lease.
var ErrHeld = errors.New("another daemon holds the lease")

// Claim is a request to acquire or renew a lease.
type Claim struct {
	// Name is the lease's name.
	Name string
	// Holder is the daemon that requests the lease.
	Holder member.ServerID
	// TTL is the time after which the lease expires unless it is renewed.
	TTL time.Duration
	// HolderGone reports whether the current holder is known to have left or
	// failed; its lease is then taken over before it expires. Nil: never.
	HolderGone func(member.ServerID) bool
}

// BlockedBy reports whether a lease held by other prevents the claim. An empty
// other stands for a lease without a holder.
func (c *Claim) BlockedBy(other member.ServerID) bool {
	return other != "" && other != c.Holder && (c.HolderGone == nil || !c.HolderGone(other))
}

// Leases grants leases that are stored on the platform.
type Leases interface {
	// Acquire acquires or renews a lease, or returns ErrHeld.
	Acquire(ctx context.Context, c Claim) error
	// Release ends the lease if holder holds it, or returns ErrHeld.
	Release(ctx context.Context, name string, holder member.ServerID) error
}

// Config holds the settings of a Reader.
type Config struct {
	// PerDomain is the number of readers in each failure domain.
	PerDomain int
	// LeaseTTL is the time after which a lease expires unless it is renewed.
	LeaseTTL time.Duration
	// JoinTimeout is how long a starting daemon waits for the first record of
	// another daemon before it reads the platform. Without this wait, daemons
	// that start together know no peers yet, so all of them would take
	// themselves for readers and call the platform.
	JoinTimeout time.Duration
	// WatchRate (calls per second) and WatchBurst (calls at once) bound the
	// watch calls to the platform.
	WatchRate  float64
	WatchBurst int
	// RetryBase and RetryMax are the initial and the longest delay of the
	// jittered exponential backoff after failed calls to the platform.
	RetryBase, RetryMax time.Duration
}

// DefaultConfig returns the default settings, which suit a fleet of any size.
func DefaultConfig() Config {
	return Config{
		PerDomain: 2, LeaseTTL: 10 * time.Second, JoinTimeout: 3 * time.Second,
		WatchRate: 5, WatchBurst: 5,
		RetryBase: 100 * time.Millisecond, RetryMax: 5 * time.Second,
	}
}

// releaseTimeout bounds the call that releases the lease of a daemon that stops
// reading.
const releaseTimeout = time.Second

// Logger receives the log messages of a Reader.
type Logger interface {
	Infof(format string, args ...any)
}

// Reader watches the platform for configuration changes while this daemon is
// one of the readers of its failure domain.
type Reader struct {
	cfg        Config
	self       member.ServerID
	domain     string
	repository manifest.Repository
	leases     Leases
	members    *member.Table
	configs    *manifest.Store
	logger     Logger
}

// New returns a Reader; Run starts it.
func New(cfg Config, self member.ServerID, domain string, repository manifest.Repository, leases Leases,
	members *member.Table, configs *manifest.Store, logger Logger) *Reader {
	return &Reader{cfg: cfg, self: self, domain: domain, repository: repository, leases: leases, members: members, configs: configs, logger: logger}
}

// Run watches the platform whenever this daemon is among the first PerDomain
// daemons of its failure domain in hash order, until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	if r.awaitPeer(ctx) != nil {
		return nil
	}
	for {
		changed := r.members.Changed()
		if position := r.position(); position < r.cfg.PerDomain {
			r.readAtPosition(ctx, fmt.Sprintf("reader-%s-%d", r.domain, position))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// awaitPeer waits until this daemon knows another one, for JoinTimeout at most.
func (r *Reader) awaitPeer(ctx context.Context) error {
	joinCtx, cancel := context.WithTimeout(ctx, r.cfg.JoinTimeout)
	defer cancel()
	for {
		changed := r.members.Changed()
		for _, m := range r.members.View().All() {
			if m.Server != r.self {
				return nil
			}
		}
		select {
		case <-joinCtx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// position returns the number of live daemons of the failure domain that come
// before this one in hash order.
func (r *Reader) position() int {
	own := xxhash.Sum64String(string(r.self))
	n := 0
	for _, m := range r.members.View().All() {
		if m.Domain != r.domain || m.Terminal() || m.Server == r.self {
			continue
		}
		if xxhash.Sum64String(string(m.Server)) < own {
			n++
		}
	}
	return n
}

// readAtPosition holds the lease and watches the platform until the daemon's
// position in hash order changes.
func (r *Reader) readAtPosition(ctx context.Context, lease string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.awaitPositionChange(ctx, lease) })
	g.Go(func() error { return r.acquireAndWatch(ctx, lease) })
	_ = g.Wait()
}

var errPositionChanged = errors.New("the daemon's position among the readers has changed")

// awaitPositionChange returns errPositionChanged once the lease no longer belongs
// to the daemon's position.
func (r *Reader) awaitPositionChange(ctx context.Context, lease string) error {
	for {
		changed := r.members.Changed()
		if fmt.Sprintf("reader-%s-%d", r.domain, r.position()) != lease {
			return errPositionChanged
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// acquireAndWatch acquires the lease, retrying with backoff, and watches the
// platform while it is renewed.
func (r *Reader) acquireAndWatch(ctx context.Context, lease string) error {
	delay := r.newBackoff()
	for {
		err := r.leases.Acquire(ctx, r.newClaim(lease))
		if err == nil {
			delay.Reset()
			r.logger.Infof("acquired lease %s, watching the platform's configuration", lease)
			r.watchUnderLease(ctx, lease)
		}
		if err := wait.For(ctx, delay.NextBackOff()); err != nil {
			return err
		}
	}
}

// newClaim returns the claim for a lease. It also claims the lease of a daemon
// that has left or failed: two readers at the same time are harmless, whereas
// without a reader the domain would miss changes until the lease expires.
func (r *Reader) newClaim(lease string) Claim {
	gone := func(holder member.ServerID) bool {
		m, known := r.members.Get(holder)
		return known && m.Terminal()
	}
	return Claim{Name: lease, Holder: r.self, TTL: r.cfg.LeaseTTL, HolderGone: gone}
}

// watchUnderLease watches the platform until another daemon takes the lease or ctx
// ends, and then releases the lease.
func (r *Reader) watchUnderLease(ctx context.Context, lease string) {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.renewLease(ctx, lease) })
	g.Go(func() error { return r.watch(ctx) })
	_ = g.Wait()
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	_ = r.leases.Release(releaseCtx, lease, r.self)
}

// renewLease renews the lease every third of its TTL until another daemon holds
// it. Other failures do not end the watch: while the platform is unavailable no
// daemon can read it, and the order of versions does not depend on the lease.
func (r *Reader) renewLease(ctx context.Context, lease string) error {
	for {
		if err := wait.For(ctx, r.cfg.LeaseTTL/3); err != nil {
			return err
		}
		err := r.leases.Acquire(ctx, r.newClaim(lease))
		if errors.Is(err, ErrHeld) {
			r.logger.Infof("lost lease %s to another daemon, stopping the watch", lease)
			return err
		}
	}
}

func (r *Reader) newBackoff() *backoff.ExponentialBackOff {
	d := backoff.NewExponentialBackOff()
	d.InitialInterval, d.MaxInterval = r.cfg.RetryBase, r.cfg.RetryMax
	return d
}
