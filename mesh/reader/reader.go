// Package reader lets a few daemons of each failure domain watch the platform
// for the configuration, each under a lease, on behalf of all others.
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

// ErrHeld says that another daemon holds the lease.
var ErrHeld = errors.New("another daemon holds the lease")

// Claim asks for a lease.
type Claim struct {
	// Name is the lease's name.
	Name string
	// Holder is the daemon that wants it.
	Holder member.ServerID
	// TTL is how long the lease lasts without renewal.
	TTL time.Duration
	// HolderGone reports whether another holder is known to be gone, so that its
	// lease need not lapse first. Nil means that nobody is.
	HolderGone func(member.ServerID) bool
}

// BlockedBy reports whether a lease of other stands in the way of the claim.
func (c *Claim) BlockedBy(other member.ServerID) bool {
	return other != "" && other != c.Holder && (c.HolderGone == nil || !c.HolderGone(other))
}

// Leases grants leases that the platform keeps.
type Leases interface {
	// Acquire takes or renews a lease, or returns ErrHeld.
	Acquire(ctx context.Context, c Claim) error
	// Release gives the lease up if holder has it.
	Release(ctx context.Context, name string, holder member.ServerID) error
}

// Config sets how a daemon reads the platform.
type Config struct {
	// PerDomain is the number of readers in each failure domain.
	PerDomain int
	// LeaseTTL is how long a lease lasts without renewal.
	LeaseTTL time.Duration
	// JoinTimeout is how long a starting daemon waits to hear of other daemons
	// before it reads. Without it a herd of starting daemons, each of which
	// knows nobody yet, would all turn to the platform.
	JoinTimeout time.Duration
	// WatchRate and WatchBurst bound the watch's calls, per second and at once.
	WatchRate  float64
	WatchBurst int
	// RetryBase and RetryMax bound the jittered exponential delay between
	// failed calls to the platform.
	RetryBase, RetryMax time.Duration
}

// DefaultConfig returns the settings for a fleet of any size.
func DefaultConfig() Config {
	return Config{
		PerDomain: 2, LeaseTTL: 10 * time.Second, JoinTimeout: 3 * time.Second,
		WatchRate: 5, WatchBurst: 5,
		RetryBase: 100 * time.Millisecond, RetryMax: 5 * time.Second,
	}
}

// releaseTimeout bounds the release of a lease by a daemon that stops reading.
const releaseTimeout = time.Second

// Logger takes short messages about reading.
type Logger interface {
	Infof(format string, args ...any)
}

// Reader is this daemon's part in reading the platform.
type Reader struct {
	cfg     Config
	self    member.ServerID
	domain  string
	repo    manifest.Repository
	leases  Leases
	members *member.Table
	configs *manifest.Store
	out     Logger
}

// New returns a reader; Run starts it.
func New(cfg Config, self member.ServerID, domain string, repo manifest.Repository, leases Leases,
	members *member.Table, log *manifest.Store, out Logger) *Reader {
	return &Reader{cfg: cfg, self: self, domain: domain, repo: repo, leases: leases, members: members, configs: log, out: out}
}

// Run reads while this daemon is among the first of its failure domain by
// hash, until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	if r.join(ctx) != nil {
		return nil
	}
	for {
		changed := r.members.Changed()
		if place := r.place(); place < r.cfg.PerDomain {
			r.serve(ctx, fmt.Sprintf("reader-%s-%d", r.domain, place))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// join waits until this daemon knows another one, or for JoinLimit.
func (r *Reader) join(ctx context.Context) error {
	limit, cancel := context.WithTimeout(ctx, r.cfg.JoinTimeout)
	defer cancel()
	for {
		changed := r.members.Changed()
		for _, m := range r.members.View().All() {
			if m.Server != r.self {
				return nil
			}
		}
		select {
		case <-limit.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// place counts the live daemons of the failure domain that come before this
// one in hash order.
func (r *Reader) place() int {
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

// serve holds the lease and watches until the daemon's place is another's.
func (r *Reader) serve(ctx context.Context, lease string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.resign(ctx, lease) })
	g.Go(func() error { return r.hold(ctx, lease) })
	_ = g.Wait()
}

var errResigned = errors.New("the place is another daemon's now")

// resign ends the service when the daemon's place changes.
func (r *Reader) resign(ctx context.Context, lease string) error {
	for {
		changed := r.members.Changed()
		if fmt.Sprintf("reader-%s-%d", r.domain, r.place()) != lease {
			return errResigned
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// hold acquires the lease and watches while it is renewed.
func (r *Reader) hold(ctx context.Context, lease string) error {
	delay := r.delay()
	for {
		err := r.leases.Acquire(ctx, r.claim(lease))
		if err == nil {
			delay.Reset()
			r.out.Infof("holds lease %s", lease)
			r.watchUnderLease(ctx, lease)
		}
		if err := wait.For(ctx, delay.NextBackOff()); err != nil {
			return err
		}
	}
}

// claim asks for a lease, also for that of a daemon that has left or failed: two
// readers at once do no harm, none for the rest of a lease would.
func (r *Reader) claim(lease string) Claim {
	gone := func(holder member.ServerID) bool {
		m, known := r.members.Get(holder)
		return known && m.Terminal()
	}
	return Claim{Name: lease, Holder: r.self, TTL: r.cfg.LeaseTTL, HolderGone: gone}
}

// watchUnderLease watches until the lease cannot be renewed.
func (r *Reader) watchUnderLease(ctx context.Context, lease string) {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.renew(ctx, lease) })
	g.Go(func() error { return r.watch(ctx) })
	_ = g.Wait()
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	_ = r.leases.Release(release, lease, r.self)
}

// renew keeps the lease. While the platform is away the watch goes on: it
// cannot read either, and the order of versions does not rest on the lease.
func (r *Reader) renew(ctx context.Context, lease string) error {
	for {
		if err := wait.For(ctx, r.cfg.LeaseTTL/3); err != nil {
			return err
		}
		err := r.leases.Acquire(ctx, r.claim(lease))
		if errors.Is(err, ErrHeld) {
			r.out.Infof("lost lease %s", lease)
			return err
		}
	}
}

func (r *Reader) delay() *backoff.ExponentialBackOff {
	d := backoff.NewExponentialBackOff()
	d.InitialInterval, d.MaxInterval = r.cfg.RetryBase, r.cfg.RetryMax
	return d
}
