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
	"fescuehoist.example/mesh/target"
	"fescuehoist.example/mesh/wait"
)

// ErrHeld says that another daemon holds the lease.
var ErrHeld = errors.New("another daemon holds the lease")

// Leases grants leases that the platform keeps.
type Leases interface {
	// Acquire takes or renews the named lease, or returns ErrHeld.
	Acquire(ctx context.Context, name string, holder member.ServerID, ttl time.Duration) error
	// Release gives the lease up if holder has it.
	Release(ctx context.Context, name string, holder member.ServerID) error
}

// Config sets how a daemon reads the platform.
type Config struct {
	// PerDomain is the number of readers in each failure domain.
	PerDomain int
	// LeaseTTL is how long a lease lasts without renewal.
	LeaseTTL time.Duration
	// RetryBase and RetryMax bound the jittered exponential delay between
	// failed calls to the platform.
	RetryBase, RetryMax time.Duration
}

// DefaultConfig returns the settings for a fleet of any size.
func DefaultConfig() Config {
	return Config{PerDomain: 2, LeaseTTL: 10 * time.Second, RetryBase: 100 * time.Millisecond, RetryMax: 5 * time.Second}
}

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
	log     *manifest.Log
	out     Logger
}

// New returns a reader; Run starts it.
func New(cfg Config, self member.ServerID, domain string, repo manifest.Repository, leases Leases,
	members *member.Table, log *manifest.Log, out Logger) *Reader {
	return &Reader{cfg: cfg, self: self, domain: domain, repo: repo, leases: leases, members: members, log: log, out: out}
}

// Run reads while this daemon is among the first of its failure domain by
// hash, until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
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
		err := r.leases.Acquire(ctx, lease, r.self, r.cfg.LeaseTTL)
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

// watchUnderLease watches until the lease cannot be renewed.
func (r *Reader) watchUnderLease(ctx context.Context, lease string) {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.renew(ctx, lease) })
	g.Go(func() error { return r.watch(ctx) })
	_ = g.Wait()
	if ctx.Err() != nil {
		release, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.cfg.RetryMax)
		defer cancel()
		_ = r.leases.Release(release, lease, r.self)
	}
}

// renew keeps the lease. While the platform is away the watch goes on: it
// cannot read either, and the order of versions does not rest on the lease.
func (r *Reader) renew(ctx context.Context, lease string) error {
	for {
		if err := wait.For(ctx, r.cfg.LeaseTTL/3); err != nil {
			return err
		}
		err := r.leases.Acquire(ctx, lease, r.self, r.cfg.LeaseTTL)
		if errors.Is(err, ErrHeld) {
			r.out.Infof("lost lease %s", lease)
			return err
		}
	}
}

// watch takes up each new head.
func (r *Reader) watch(ctx context.Context) error {
	delay := r.delay()
	var revision manifest.Revision
	for {
		head, rev, err := r.repo.WaitHead(ctx, revision)
		if err == nil {
			err = r.take(ctx, head)
		}
		if err == nil {
			revision = rev
			delay.Reset()
			continue
		}
		if errors.Is(err, manifest.ErrNotFound) {
			delay.Reset()
		}
		if ctx.Err() == nil && !errors.Is(err, manifest.ErrNotFound) {
			r.out.Infof("cannot read the configuration: %v", err)
		}
		if err := wait.For(ctx, delay.NextBackOff()); err != nil {
			return err
		}
	}
}

// take fetches what the head refers to and gives it to the log.
func (r *Reader) take(ctx context.Context, head *manifest.Head) error {
	if err := head.Check(); err != nil {
		return err
	}
	known := r.log.Known()
	if head.Version <= known {
		return nil
	}
	u := &manifest.Update{}
	if known < head.Base.Version {
		base, err := r.repo.Table(ctx, head.Base)
		if err != nil {
			return err
		}
		u.Base = base
	}
	for i := range head.Changes {
		if head.Changes[i].Version > known {
			u.Changes = append(u.Changes, head.Changes[i])
		}
	}
	bodies, err := r.bodies(ctx, u)
	if err != nil {
		return err
	}
	u.Bodies = bodies
	_, err = r.log.Receive(u)
	return err
}

// bodies fetches the bodies of an update. One that the platform lacks or that
// cannot be decoded makes the version a bad one.
func (r *Reader) bodies(ctx context.Context, u *manifest.Update) ([]manifest.Body, error) {
	refs := map[target.Digest]bool{}
	if u.Base != nil {
		for _, ref := range u.Base.Refs {
			refs[ref.Digest] = true
		}
	}
	for i := range u.Changes {
		for _, ref := range u.Changes[i].Updated {
			refs[ref.Digest] = true
		}
	}
	var bodies []manifest.Body
	for d := range refs {
		s, err := r.repo.Body(ctx, d)
		var bad *manifest.Malformed
		switch {
		case errors.Is(err, manifest.ErrNotFound):
			bodies = append(bodies, manifest.Body{Digest: d, Fault: "the platform has no body " + string(d)})
		case errors.As(err, &bad):
			bodies = append(bodies, manifest.Body{Digest: d, Fault: bad.Error()})
		case err != nil:
			return nil, err
		default:
			bodies = append(bodies, manifest.Body{Digest: d, Service: s})
		}
	}
	return bodies, nil
}

func (r *Reader) delay() *backoff.ExponentialBackOff {
	d := backoff.NewExponentialBackOff()
	d.InitialInterval, d.MaxInterval = r.cfg.RetryBase, r.cfg.RetryMax
	return d
}
