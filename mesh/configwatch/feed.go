// Package configwatch follows a configuration that operators write to the platform
// whole, under version numbers of their own. One daemon in each failure domain
// reads it; the others hear of it from their peers.
package configwatch

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/target"
	"fescuehoist.example/mesh/wait"
)

// Errors of a source.
var (
	// ErrUnchanged says that no later configuration came.
	ErrUnchanged = errors.New("no later configuration yet")
	// ErrCompacted says that the source no longer knows what came after a
	// revision.
	ErrCompacted = errors.New("the source has forgotten what came after the revision")
	// ErrNoConfiguration says that no configuration was written yet.
	ErrNoConfiguration = errors.New("there is no configuration yet")
)

// Revision is the source's own order of its states; 0 means none.
type Revision uint64

// Configuration is one version as it was written.
type Configuration struct {
	Version  manifest.Version
	Services []target.Service
}

// Source is where configurations are written.
type Source interface {
	// Latest returns the newest configuration and its revision, or ErrAbsent.
	Latest(ctx context.Context) (*Configuration, Revision, error)
	// Next waits for a configuration after a revision, for limit at most. It
	// returns ErrUnchanged with the revision to go on from, or ErrForgotten.
	Next(ctx context.Context, after Revision, limit time.Duration) (*Configuration, Revision, error)
	// Ping makes a cheap call that shows whether the source can be reached.
	Ping(ctx context.Context) error
}

// Config sets how a daemon follows the source.
type Config struct {
	// WatchTimeout is how long one call waits for a change. A source that has
	// gone silent is noticed after this and CallTimeout.
	WatchTimeout time.Duration
	// CallTimeout bounds a call, beyond the time that it waits.
	CallTimeout time.Duration
	// RetryBase and RetryMax bound the jittered exponential delay between
	// failed calls.
	RetryBase, RetryMax time.Duration
	// ProbeInterval is the mean time between attempts of a daemon that cannot
	// reach the source while others of its failure domain can.
	ProbeInterval time.Duration
	// MinReadInterval is the least time between two readings of changes.
	MinReadInterval time.Duration
}

// DefaultConfig returns the defaults of a daemon.
func DefaultConfig() Config {
	return Config{
		WatchTimeout: 4 * time.Second, CallTimeout: time.Second,
		RetryBase: 100 * time.Millisecond, RetryMax: time.Second,
		ProbeInterval: 2 * time.Second, MinReadInterval: 300 * time.Millisecond,
	}
}

// Logger takes short messages about reading.
type Logger interface {
	Infof(format string, args ...any)
	Warnf(format string, args ...any)
}

// Announcer spreads whether the daemon can reach the source.
type Announcer interface{ SetStoreUnreachable(blind bool) }

// Watcher is this daemon's part in following the source.
type Watcher struct {
	cfg     Config
	self    member.ServerID
	domain  string
	source  Source
	members *member.Table
	configs *manifest.Store
	own     Announcer
	out     Logger

	revision Revision
	blind    bool
}

// New returns a reader; Run starts it.
func New(cfg Config, self member.ServerID, domain string, source Source, members *member.Table,
	log *manifest.Store, own Announcer, out Logger) *Watcher {
	return &Watcher{cfg: cfg, self: self, domain: domain, source: source, members: members, configs: log, own: own, out: out}
}

// Run reads while it is this daemon's turn, until ctx ends.
func (r *Watcher) Run(ctx context.Context) error {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = r.cfg.RetryBase, r.cfg.RetryMax
	for ctx.Err() == nil {
		changed := r.members.Changed()
		switch {
		case r.turn():
			if r.read(ctx) {
				delay.Reset()
				_ = wait.For(ctx, r.cfg.MinReadInterval)
				continue
			}
			_ = wait.For(ctx, delay.NextBackOff())
		case r.blind:
			r.probe(ctx)
		default:
			select {
			case <-ctx.Done():
			case <-changed:
			}
		}
	}
	return nil
}

// turn reports whether this daemon reads for its failure domain: the one with
// the most bandwidth, and the first by hash of these, among those that can
// reach the source, or of all if none can.
func (r *Watcher) turn() bool {
	self, _ := r.members.Get(r.self)
	own := xxhash.Sum64String(string(r.self))
	for _, m := range r.members.View().All() {
		if m.Domain != r.domain || m.Terminal() || m.Health != member.Alive || m.Server == r.self {
			continue
		}
		if m.StoreUnreachable != r.blind {
			if r.blind {
				return false
			}
			continue
		}
		if m.LinkMbps > self.LinkMbps || (m.LinkMbps == self.LinkMbps && xxhash.Sum64String(string(m.Server)) < own) {
			return false
		}
	}
	return true
}

// read makes one call and takes up what it brings. It reports whether the
// source answered.
func (r *Watcher) read(ctx context.Context) bool {
	c, revision, err := r.call(ctx)
	switch {
	case err == nil:
		r.revision = revision
		r.adopt(c)
	case errors.Is(err, ErrUnchanged):
		r.revision = revision
	case errors.Is(err, ErrCompacted):
		r.out.Infof("history is gone after revision %d, reading anew", r.revision)
		r.revision = 0
	case errors.Is(err, ErrNoConfiguration):
		r.see(true, nil)
		return false
	case ctx.Err() != nil:
		return false
	default:
		r.see(false, err)
		return false
	}
	r.see(true, nil)
	r.configs.SkipQuorum()
	return true
}

func (r *Watcher) call(ctx context.Context) (*Configuration, Revision, error) {
	if r.revision == 0 {
		ctx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout)
		defer cancel()
		return r.source.Latest(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.WatchTimeout+r.cfg.CallTimeout)
	defer cancel()
	return r.source.Next(ctx, r.revision, r.cfg.WatchTimeout)
}

func (r *Watcher) adopt(c *Configuration) {
	known := r.configs.KnownVersion()
	fresh, err := r.configs.ApplyFull(c.Version, c.Services)
	switch {
	case err != nil:
		r.out.Warnf("version %d not taken up, version %d stays: %v", c.Version, known, err)
	case fresh:
		r.out.Infof("version %d read from the platform, after version %d", c.Version, known)
	}
}

// see notes whether the source can be reached, and tells the peers of a change.
func (r *Watcher) see(reached bool, err error) {
	if r.blind != reached {
		return
	}
	r.blind = !reached
	r.own.SetStoreUnreachable(r.blind)
	if r.blind {
		r.out.Warnf("lost the platform's store: %v", err)
		return
	}
	r.out.Infof("regained the platform's store")
}

// probe finds out whether the source can be reached again.
func (r *Watcher) probe(ctx context.Context) {
	if wait.For(ctx, wait.Jitter(r.cfg.ProbeInterval)) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout)
	defer cancel()
	if r.source.Ping(ctx) == nil {
		r.see(true, nil)
	}
}
