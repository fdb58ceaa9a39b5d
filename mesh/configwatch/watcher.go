// Package configwatch watches the platform's object store for the configuration,
// which operators write there as a whole, under version numbers of their own. One
// daemon in each failure domain reads it; the others receive it by gossip.
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

// Errors that a Source returns.
var (
	// ErrUnchanged means that the wait ended without a later configuration.
	ErrUnchanged = errors.New("no later configuration yet")
	// ErrCompacted means that the source has dropped the changes after the
	// requested revision.
	ErrCompacted = errors.New("the source has dropped the changes after the requested revision")
	// ErrNoConfiguration means that no configuration was written yet.
	ErrNoConfiguration = errors.New("there is no configuration yet")
)

// Revision numbers the states of the source in the order in which the source had
// them; 0 means none.
type Revision uint64

// Configuration is one version of the configuration as the operator wrote it.
type Configuration struct {
	Version  manifest.Version
	Services []target.Service
}

// Source provides the configurations that operators write.
type Source interface {
	// Latest returns the newest configuration and its revision, or
	// ErrNoConfiguration.
	Latest(ctx context.Context) (*Configuration, Revision, error)
	// Next waits for a configuration after a revision, for limit at most. It
	// returns ErrUnchanged with the revision from which the next call continues,
	// or ErrCompacted.
	Next(ctx context.Context, after Revision, limit time.Duration) (*Configuration, Revision, error)
	// Ping makes a cheap call that returns nil if the source is reachable.
	Ping(ctx context.Context) error
}

// Config holds the settings of a Watcher.
type Config struct {
	// WatchTimeout is how long one call waits for a change. A source that no
	// longer responds is detected after WatchTimeout plus CallTimeout.
	WatchTimeout time.Duration
	// CallTimeout bounds a call, in addition to the time that it waits for a
	// change.
	CallTimeout time.Duration
	// RetryBase and RetryMax are the initial and the longest delay of the
	// jittered exponential backoff after failed calls.
	RetryBase, RetryMax time.Duration
	// ProbeInterval is the mean time between the pings of a daemon that cannot
	// reach the source while others of its failure domain can.
	ProbeInterval time.Duration
	// MinReadInterval is the shortest time between two reads of the source.
	MinReadInterval time.Duration
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		WatchTimeout: 4 * time.Second, CallTimeout: time.Second,
		RetryBase: 100 * time.Millisecond, RetryMax: time.Second,
		ProbeInterval: 2 * time.Second, MinReadInterval: 300 * time.Millisecond,
	}
}

// Logger receives the log messages of a Watcher.
type Logger interface {
	Infof(format string, args ...any)
	Warnf(format string, args ...any)
}

// Announcer announces to the other daemons whether this daemon can reach the
// source.
type Announcer interface{ SetStoreUnreachable(unreachable bool) }

// Watcher reads the source while this daemon is the reader of its failure domain.
type Watcher struct {
	cfg       Config
	self      member.ServerID
	domain    string
	source    Source
	members   *member.Table
	configs   *manifest.Store
	announcer Announcer
	logger    Logger

	revision         Revision
	storeUnreachable bool
	// reader is the daemon that was last known to read for the failure domain.
	reader member.ServerID
}

// New returns a Watcher; Run starts it.
func New(cfg Config, self member.ServerID, domain string, source Source, members *member.Table,
	configs *manifest.Store, announcer Announcer, logger Logger) *Watcher {
	return &Watcher{cfg: cfg, self: self, domain: domain, source: source, members: members, configs: configs, announcer: announcer, logger: logger}
}

// Run reads the source while this daemon is the reader of its failure domain,
// until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = w.cfg.RetryBase, w.cfg.RetryMax
	for ctx.Err() == nil {
		changed := w.members.Changed()
		w.updateReader()
		switch {
		case w.reader == w.self:
			if w.readOnce(ctx) {
				delay.Reset()
				_ = wait.For(ctx, w.cfg.MinReadInterval)
				continue
			}
			_ = wait.For(ctx, delay.NextBackOff())
		case w.storeUnreachable:
			w.probe(ctx)
		default:
			select {
			case <-ctx.Done():
			case <-changed:
			}
		}
	}
	return nil
}

// updateReader determines which daemon reads for the failure domain and logs a
// change.
func (w *Watcher) updateReader() {
	reader := w.domainReader()
	if reader == w.reader {
		return
	}
	w.logger.Infof("server %q reads the platform's store for failure domain %s, previously %q; known version %d",
		reader, w.domain, w.reader, w.configs.KnownVersion())
	w.reader = reader
}

// domainReader returns the daemon that reads the source for this failure domain.
// It is chosen among the daemons that can reach the source, or among all if none
// can: the one with the most bandwidth, ties broken by hash order.
func (w *Watcher) domainReader() member.ServerID {
	own, _ := w.members.Get(w.self)
	best := member.Record{Server: w.self, LinkMbps: own.LinkMbps, StoreUnreachable: w.storeUnreachable}
	for _, m := range w.members.View().All() {
		if m.Server != w.self && m.Domain == w.domain && !m.Terminal() && m.Health == member.Alive && precedes(m, &best) {
			best = *m
		}
	}
	return best.Server
}

// precedes reports whether daemon a is preferred to b as a reader.
func precedes(a, b *member.Record) bool {
	switch {
	case a.StoreUnreachable != b.StoreUnreachable:
		return b.StoreUnreachable
	case a.LinkMbps != b.LinkMbps:
		return a.LinkMbps > b.LinkMbps
	}
	return xxhash.Sum64String(string(a.Server)) < xxhash.Sum64String(string(b.Server))
}

// readOnce makes one call to the source and applies the configuration that it
// returns. It reports whether the source responded and has a configuration.
func (w *Watcher) readOnce(ctx context.Context) bool {
	c, revision, err := w.callSource(ctx)
	switch {
	case err == nil:
		w.revision = revision
		w.apply(c)
	case errors.Is(err, ErrUnchanged):
		w.revision = revision
	case errors.Is(err, ErrCompacted):
		w.logger.Infof("the platform's store has dropped the changes after revision %d, reading the whole configuration", w.revision)
		w.revision = 0
	case errors.Is(err, ErrNoConfiguration):
		w.setReachable(true, nil)
		return false
	case ctx.Err() != nil:
		return false
	default:
		w.setReachable(false, err)
		return false
	}
	w.setReachable(true, nil)
	w.configs.SkipQuorum()
	return true
}

func (w *Watcher) callSource(ctx context.Context) (*Configuration, Revision, error) {
	if w.revision == 0 {
		ctx, cancel := context.WithTimeout(ctx, w.cfg.CallTimeout)
		defer cancel()
		return w.source.Latest(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, w.cfg.WatchTimeout+w.cfg.CallTimeout)
	defer cancel()
	return w.source.Next(ctx, w.revision, w.cfg.WatchTimeout)
}

func (w *Watcher) apply(c *Configuration) {
	known := w.configs.KnownVersion()
	changed, err := w.configs.ApplyFull(c.Version, c.Services)
	switch {
	case err != nil:
		w.logger.Warnf("version %d not applied, keeping version %d: %v", c.Version, known, err)
	case changed:
		w.logger.Infof("version %d read from the platform, previous version %d", c.Version, known)
	}
}

// setReachable records whether the source is reachable and announces a change to
// the peers. The error is logged if it is not.
func (w *Watcher) setReachable(reachable bool, err error) {
	if w.storeUnreachable != reachable {
		return
	}
	w.storeUnreachable = !reachable
	w.announcer.SetStoreUnreachable(w.storeUnreachable)
	if w.storeUnreachable {
		w.logger.Warnf("the platform's store is unreachable, leaving it to other daemons of the failure domain and retrying: %v", err)
		return
	}
	w.logger.Infof("the platform's store is reachable again")
}

// probe pings the source after a jittered ProbeInterval and records it as
// reachable if it responds.
func (w *Watcher) probe(ctx context.Context) {
	if wait.For(ctx, wait.Jitter(w.cfg.ProbeInterval)) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, w.cfg.CallTimeout)
	defer cancel()
	if w.source.Ping(ctx) == nil {
		w.setReachable(true, nil)
	}
}
