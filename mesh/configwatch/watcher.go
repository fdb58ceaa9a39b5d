// Package configwatch watches the platform's object store for the configuration,
// which operators write there as a whole, under version numbers of their own. One
// daemon in each failure domain reads it; the others receive it by gossip.
//
// A daemon does not rely on the detection of failed readers, which takes longer
// than a change may. Confirmations by the source spread with the heartbeats, and a
// daemon that has not received one for a while asks the source itself.
package configwatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/revision"
	"fescuehoist.example/mesh/target"
	"fescuehoist.example/mesh/wait"
)

// Errors that a Source returns.
var (
	// ErrUnchanged means that the wait ended without a later configuration.
	ErrUnchanged = errors.New("no later configuration yet")
	// ErrCompacted means that the source no longer has the changes after the
	// requested revision: it has dropped them, or came back from an older copy.
	ErrCompacted = errors.New("the source no longer has the changes after the requested revision")
	// ErrMalformed means that the source responded with a configuration that
	// cannot be decoded.
	ErrMalformed = errors.New("malformed configuration")
	// ErrNoConfiguration means that no configuration was written yet.
	ErrNoConfiguration = errors.New("there is no configuration yet")
	errNotApplied      = errors.New("the newest configuration cannot be applied")
)

// Configuration is one version of the configuration as the operator wrote it.
type Configuration struct {
	Version  manifest.Version
	Services []target.Service
	Accounts []target.Account
	// Problems are those of parts that could not be translated and are left out.
	Problems []target.Problem
}

// Source provides the configurations that operators write.
type Source interface {
	// Latest returns the newest configuration and its revision,
	// ErrNoConfiguration, or ErrMalformed with the revision.
	Latest(ctx context.Context) (*Configuration, revision.Revision, error)
	// Next waits for a configuration after a revision, for limit at most. It
	// returns ErrUnchanged or ErrMalformed with the revision from which the next
	// call continues, or ErrCompacted.
	Next(ctx context.Context, after revision.Revision, limit time.Duration) (*Configuration, revision.Revision, error)
	// Ping makes a cheap call that returns nil if the source is reachable.
	Ping(ctx context.Context) error
}

// Logger receives the log messages of a Watcher.
type Logger interface {
	Infof(format string, args ...any)
	Warnf(format string, args ...any)
}

// Announcer announces to the other daemons whether this daemon can reach the
// source.
type Announcer interface{ SetStoreUnreachable(unreachable bool) }

// Watcher reads the source while this daemon is the reader of its failure domain,
// and checks it on its own when no daemon has confirmed the configuration lately.
type Watcher struct {
	cfg       Config
	self      member.ServerID
	domain    string
	source    Source
	members   *member.Table
	configs   *manifest.Store
	announcer Announcer
	logger    Logger
	// Neighborhood may be nil: then the daemon does not wait for others at its
	// start. It must be set before Run.
	Neighborhood Neighborhood

	// refused is why the newest configuration of the source could not be applied, empty if it
	// was.
	refused string
	// reread means that the source no longer has the changes after the known
	// revision.
	reread           bool
	storeUnreachable bool
	// reader is the daemon that was last known to read for the failure domain.
	reader member.ServerID
	// probeAt is when a source that was unreachable is probed again.
	probeAt time.Time
	// checkAfter is the earliest time of the next check of the source; before the
	// first confirmation it counts from the start.
	checkAfter time.Time
	// verifyAfter is the earliest time of a check for the age of the verification alone.
	verifyAfter time.Time
	checkDelay  *backoff.ExponentialBackOff
}

// New returns a Watcher; Run starts it.
func New(cfg Config, self member.ServerID, domain string, source Source, members *member.Table,
	configs *manifest.Store, announcer Announcer, logger Logger) *Watcher {
	return &Watcher{
		cfg: cfg, self: self, domain: domain, source: source, members: members, configs: configs,
		announcer: announcer, logger: logger, checkDelay: newBackOff(&cfg),
	}
}

func newBackOff(cfg *Config) *backoff.ExponentialBackOff {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = cfg.RetryBase, cfg.RetryMax
	return delay
}

// Run keeps the configuration current until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.awaitTurn(ctx)
	delay := newBackOff(&w.cfg)
	w.checkAfter = time.Now().Add(w.cfg.CheckAge)
	for ctx.Err() == nil {
		changed := w.members.Changed()
		roles := w.chooseReaders()
		w.logReader(roles.reader)
		if roles.reader != w.self {
			w.follow(ctx, roles.rank, changed)
			continue
		}
		start := time.Now()
		if w.read(ctx, w.watchTimeout(&roles)) {
			delay.Reset()
			_ = wait.For(ctx, w.cfg.MinReadInterval-time.Since(start))
			continue
		}
		_ = wait.For(ctx, delay.NextBackOff())
	}
	return nil
}

// logReader logs a change of the daemon that reads for the failure domain.
func (w *Watcher) logReader(reader member.ServerID) {
	if reader == w.reader {
		return
	}
	w.logger.Infof("server %q reads the platform's store for failure domain %s, previously %q; known version %d",
		reader, w.domain, w.reader, w.configs.KnownVersion())
	w.reader = reader
}

// read makes one call to the source as the reader of the failure domain. It
// reports whether the source responded and has a configuration.
func (w *Watcher) read(ctx context.Context, limit time.Duration) bool {
	err := w.callSource(ctx, limit)
	if ctx.Err() != nil {
		return false
	}
	w.setReachable(err == nil || errors.Is(err, ErrNoConfiguration) || errors.Is(err, errNotApplied), err)
	return err == nil
}

// callSource makes one call to the source, which waits for a change for limit at
// most, and records what it returns. A source that has dropped its history has
// responded, too; the next call reads the whole configuration. A configuration that cannot be
// applied confirms and verifies nothing, here or at other daemons: it may take away keys.
func (w *Watcher) callSource(ctx context.Context, limit time.Duration) error {
	known := w.configs.Confirmation().Revision
	if known.IsZero() || w.reread {
		limit = 0
	}
	start, asked := time.Now(), w.configs.Now()
	c, at, err := w.query(ctx, known, limit)
	switch {
	case err == nil:
		w.reread = false
		err = w.apply(c)
	case errors.Is(err, ErrMalformed):
		w.reread = false
		err = w.reject(0, fmt.Errorf("expected a configuration, found: %w", err))
	case errors.Is(err, ErrCompacted):
		w.logger.Infof("the platform's store no longer has the changes after revision %s, reading the whole configuration", known)
		w.reread = true
		return nil
	case errors.Is(err, ErrUnchanged):
		err = nil
	}
	if err != nil {
		return err
	}
	// An answer that was delayed on its way says nothing about the time after the
	// source gave it.
	confirmed := start.Add(min(time.Since(start), limit))
	w.configs.ConfirmFromSource(at, confirmed)
	w.configs.Verify(w.configs.KnownVersion(), asked)
	w.configs.SkipQuorum()
	return nil
}

// query waits for a change after a revision, or reads the whole configuration if
// the changes since then are unknown.
func (w *Watcher) query(ctx context.Context, after revision.Revision, limit time.Duration) (*Configuration, revision.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, limit+w.cfg.CallTimeout)
	defer cancel()
	if after.IsZero() || w.reread {
		return w.source.Latest(ctx)
	}
	return w.source.Next(ctx, after, limit)
}

func (w *Watcher) apply(c *Configuration) error {
	known := w.configs.KnownVersion()
	changed, err := w.configs.ApplyFull(c.Version, c.Services, c.Accounts, c.Problems)
	if err != nil {
		return w.reject(c.Version, err)
	}
	w.refused = ""
	if changed {
		w.logger.Infof("version %d read from the platform, previous version %d", c.Version, known)
	}
	return nil
}

// reject records a configuration that cannot be applied, with its version if that is known,
// and returns the error. The known version stays in force until a later one is written.
func (w *Watcher) reject(v manifest.Version, err error) error {
	if w.refused != err.Error() {
		w.refused = err.Error()
		w.logger.Warnf("configuration not applied, keeping version %d: %v", w.configs.KnownVersion(), err)
	}
	w.configs.SetRejection(manifest.NewRefusal(v, "", "%v", err))
	return fmt.Errorf("%w: %w", errNotApplied, err)
}

// setReachable records whether the source is reachable and announces a change to
// the peers. The error is logged if it is not.
func (w *Watcher) setReachable(reachable bool, err error) {
	if w.storeUnreachable != reachable {
		return
	}
	w.storeUnreachable = !reachable
	w.probeAt = time.Now().Add(wait.Jitter(w.cfg.ProbeInterval))
	w.announcer.SetStoreUnreachable(w.storeUnreachable)
	if w.storeUnreachable {
		w.logger.Warnf("the platform's store is unreachable, leaving it to other daemons of the failure domain and retrying: %v", err)
		return
	}
	w.logger.Infof("the platform's store is reachable again")
}
