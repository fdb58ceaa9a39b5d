// Package discover finds the other daemons of an installation without configured
// seeds: each daemon registers one small entry in the platform, and a starting
// daemon reads the entries once. After that, peers gossip all changes. An entry also
// holds the advisories that its daemon issued, for daemons that start later.
package discover

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"

	"fescuehoist.example/mesh/advisory"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/revision"
	"fescuehoist.example/mesh/wait"
)

// Entry is the address of one daemon.
type Entry struct {
	Server member.ServerID
	Domain string
	// PeerAddress accepts the gossip streams of other daemons.
	PeerAddress string
	// Advisories are those that the daemon issued.
	Advisories []advisory.Aged
	// Epoch is the latest epoch of the platform's store in which the entry is known to hold
	// all of them, or 0 if none is. If it is an earlier one than the store's, some may be lost.
	Epoch uint64
	// Revision is that of the entry's last change, or zero if there is no entry.
	Revision revision.Revision
}

// ErrChanged means that a registry made no change since the entry has another revision
// than the call names.
var ErrChanged = errors.New("the registry has another revision of the entry")

// Registry stores entries in the platform. Writes name the revision that they change,
// since one that got no response may be carried out later.
type Registry interface {
	// Write creates a daemon's entry if its revision is zero, and otherwise replaces it.
	// It returns the new revision, or ErrChanged.
	Write(ctx context.Context, e Entry) (revision.Revision, error)
	// Get returns a daemon's entry, which is empty if there is none.
	Get(ctx context.Context, server member.ServerID) (Entry, error)
	// List returns the entries, without those that cannot be decoded.
	List(ctx context.Context) ([]Entry, error)
	// Remove deletes a daemon's entry, or returns ErrChanged; a missing one is not an
	// error.
	Remove(ctx context.Context, e Entry) error
}

// Peers manages the gossip streams to other daemons.
type Peers interface {
	// AddContacts adds peer addresses to dial.
	AddContacts(addresses []string)
	// PeerCount returns the number of open streams.
	PeerCount() int
}

// Members reports what this daemon knows about other daemons.
type Members interface {
	// IsSweeper reports whether this daemon removes the entries of daemons that
	// are gone.
	IsSweeper() bool
	// Gone reports whether a daemon has left, has failed or is unknown.
	Gone(server member.ServerID) bool
}

// Config sets how a daemon finds other daemons.
type Config struct {
	// CallTimeout bounds a call to the registry.
	CallTimeout time.Duration
	// RetryBase and RetryMax bound the jittered exponential delay between failed
	// calls.
	RetryBase, RetryMax time.Duration
	// IsolationCheckInterval is the mean interval between checks for open streams; a
	// daemon without any lists the entries again.
	IsolationCheckInterval time.Duration
	// EarlyCheckInterval is that interval in the EarlyPeriod after the start: entries may be
	// missing then that their daemons are about to write again.
	EarlyCheckInterval, EarlyPeriod time.Duration
	// RestoreSpread is the longest time after which a daemon writes its entry again when the
	// store came back from an older copy. Advisories are written at once.
	RestoreSpread time.Duration
	// MaxContacts is the number of random entries that are added as contacts.
	MaxContacts int
	// Retention is the minimum time for which an entry outlives its daemon; the
	// maximum is twice as long.
	Retention time.Duration
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		CallTimeout: time.Second, RetryBase: 100 * time.Millisecond, RetryMax: time.Second,
		IsolationCheckInterval: 4 * time.Second, EarlyCheckInterval: time.Second, EarlyPeriod: 10 * time.Second,
		RestoreSpread: time.Second, MaxContacts: 8, Retention: 10 * time.Minute,
	}
}

// Logger receives the log messages of a Finder.
type Logger interface {
	Infof(format string, args ...any)
	Warnf(format string, args ...any)
}

// Finder registers this daemon and finds other daemons.
type Finder struct {
	cfg        Config
	self       Entry
	registry   Registry
	peers      Peers
	members    Members
	advisories *advisory.Book
	logger     Logger
	// Epochs holds the epochs of the platform's store; nil means that it counts none. It must
	// be set before Run.
	Epochs *revision.Epochs

	startedAt time.Time
	// goneAtLastSweep holds the daemons that were gone at the last sweep.
	goneAtLastSweep map[member.ServerID]bool

	// outdated means that the entry of this daemon, as it was listed at the start, is
	// missing or names another address.
	outdated bool
	// stored is the entry of this daemon as it was last read or written; its revision is zero
	// if that is not known.
	stored Entry
	// epoch is the epoch of the store for which the entry was last checked, and storeAt when
	// it has to be written at the latest; zero if it need not.
	epoch   uint64
	storeAt time.Time
	// lostAt is when the store was last found to have come back from an older copy, adoptAt
	// when it is checked next whether this daemon stores the advisories of others, or zero.
	lostAt, adoptAt time.Time
	// lost means that the listed entries include some that were written in an earlier epoch.
	lost bool

	// listed is closed after the first listing, which found neighbors entries of the
	// own failure domain.
	listed    chan struct{}
	neighbors int
	// registered is the number of entries that were last listed.
	registered atomic.Int64
}

// New returns a finder; Run starts it.
func New(cfg Config, self Entry, registry Registry, peers Peers, members Members, advisories *advisory.Book, logger Logger) *Finder {
	return &Finder{
		cfg: cfg, self: self, registry: registry, peers: peers, members: members, advisories: advisories, logger: logger, listed: make(chan struct{}),
	}
}

// Neighbors returns the number of other daemons of the failure domain that the
// registry named at the start of this one, or 0 if ctx ends before it was read.
func (f *Finder) Neighbors(ctx context.Context) int {
	select {
	case <-f.listed:
		return f.neighbors
	case <-ctx.Done():
		return 0
	}
}

// Registered returns the number of daemons that the registry named when it was last read,
// 0 before that.
func (f *Finder) Registered() int { return int(f.registered.Load()) }

// Run registers the daemon, adds registered daemons as contacts, and does so again
// whenever the daemon has no open stream, until ctx ends. The entry is written
// before the others are read, so that of two daemons that start at the same time
// at least one finds the other.
func (f *Finder) Run(ctx context.Context) error {
	f.startedAt = time.Now()
	if f.withTimeout(ctx, f.create) == nil {
		failed := f.retry(ctx, "list the registered daemons", f.readEntries)
		f.setCompleteness(ctx, failed)
	} else {
		f.retry(ctx, "read the advisories of the registered daemons", f.readAdvisories)
		f.setCompleteness(ctx, true)
		f.retry(ctx, "register this daemon", f.create)
		f.retry(ctx, "list the registered daemons", f.readEntries)
	}
	if f.outdated {
		f.retry(ctx, "replace the entry of this daemon", f.replaceEntry)
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.maintainContacts(ctx) })
	g.Go(func() error { return f.maintainEntry(ctx) })
	return g.Wait()
}

// create creates the entry of this daemon. One that exists is left as it is.
func (f *Finder) create(ctx context.Context) error {
	_, err := f.registry.Write(ctx, f.self)
	if errors.Is(err, ErrChanged) {
		return nil
	}
	return err
}

// setCompleteness records that the advisories in all entries have been read. While the
// registry failed, other daemons could not store theirs either, and the store may have lost
// those in entries of an earlier epoch.
func (f *Finder) setCompleteness(ctx context.Context, failed bool) {
	if ctx.Err() != nil {
		return
	}
	c := advisory.Complete
	if failed || f.lost {
		c = advisory.Doubtful
	}
	f.advisories.SetCompleteness(c)
	f.logger.Infof("holding %d advisories from before the start, which are %s", len(f.advisories.Live()), c)
}

// maintainContacts adds contacts while the daemon has no open stream, and sweeps, until
// ctx ends.
func (f *Finder) maintainContacts(ctx context.Context) error {
	sweepAt := time.Now().Add(f.cfg.Retention)
	for wait.For(ctx, wait.Jitter(f.checkInterval())) == nil {
		if f.peers.PeerCount() == 0 {
			f.retry(ctx, "list the registered daemons", f.findContacts)
			continue
		}
		if time.Now().After(sweepAt) {
			sweepAt = time.Now().Add(f.cfg.Retention)
			f.trySweep(ctx)
		}
	}
	return nil
}

func (f *Finder) checkInterval() time.Duration {
	if time.Since(f.startedAt) < f.cfg.EarlyPeriod {
		return f.cfg.EarlyCheckInterval
	}
	return f.cfg.IsolationCheckInterval
}

// trySweep sweeps if this daemon is the sweeper. A failed sweep is not retried
// before the next one is due.
func (f *Finder) trySweep(ctx context.Context) {
	if !f.members.IsSweeper() {
		f.goneAtLastSweep = nil
		return
	}
	if err := f.withTimeout(ctx, f.sweep); err != nil {
		f.logger.Warnf("cannot remove the registry entries of gone daemons, will retry at the next sweep: %v", err)
	}
}

// sweep removes the entries of daemons that were gone at the last sweep and still
// are.
func (f *Finder) sweep(ctx context.Context) error {
	entries, err := f.registry.List(ctx)
	if err != nil {
		return err
	}
	gone := map[member.ServerID]bool{}
	for _, e := range entries {
		if e.Server == f.self.Server || !f.members.Gone(e.Server) {
			continue
		}
		if !f.goneAtLastSweep[e.Server] {
			gone[e.Server] = true
			continue
		}
		if err := f.registry.Remove(ctx, e); err != nil {
			if errors.Is(err, ErrChanged) {
				continue
			}
			return err
		}
		f.logger.Infof("removed the registry entry of gone server %q", e.Server)
	}
	f.goneAtLastSweep = gone
	return nil
}

// retry repeats a call until it succeeds or ctx ends, and reports whether it failed
// before.
func (f *Finder) retry(ctx context.Context, action string, call func(context.Context) error) (failed bool) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = f.cfg.RetryBase, f.cfg.RetryMax
	for ; ctx.Err() == nil; failed = true {
		err := f.withTimeout(ctx, call)
		if err == nil {
			return failed
		}
		if !failed && ctx.Err() == nil {
			f.logger.Warnf("cannot %s, will retry: %v", action, err)
		}
		_ = wait.For(ctx, delay.NextBackOff())
	}
	return failed
}

func (f *Finder) withTimeout(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.CallTimeout)
	defer cancel()
	return call(ctx)
}

// readEntries reads the entries at the start of the daemon.
func (f *Finder) readEntries(ctx context.Context) error {
	entries, err := f.list(ctx)
	if err != nil {
		return err
	}
	f.epoch = f.Epochs.Latest()
	f.recordOwn(entries)
	f.neighbors = f.addContacts(entries)
	close(f.listed)
	return nil
}

// recordOwn records the state of this daemon's own entry.
func (f *Finder) recordOwn(entries []Entry) {
	f.outdated = true
	for _, e := range entries {
		if e.Server == f.self.Server {
			f.stored = e
			f.outdated = e.PeerAddress != f.self.PeerAddress || e.Domain != f.self.Domain
		}
	}
}

// findContacts reads the entries again and adds contacts.
func (f *Finder) findContacts(ctx context.Context) error {
	entries, err := f.list(ctx)
	if err == nil {
		f.addContacts(entries)
	}
	return err
}

// addContacts adds up to MaxContacts random registered daemons as contacts. It returns
// the number of other daemons in the own failure domain.
func (f *Finder) addContacts(entries []Entry) (neighbors int) {
	var addresses []string
	for _, e := range entries {
		if e.Server == f.self.Server || e.PeerAddress == f.self.PeerAddress {
			continue
		}
		addresses = append(addresses, e.PeerAddress)
		if e.Domain == f.self.Domain {
			neighbors++
		}
	}
	f.logger.Infof("found %d other registered daemons", len(addresses))
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	f.peers.AddContacts(addresses[:min(len(addresses), f.cfg.MaxContacts)])
	return neighbors
}

func (f *Finder) readAdvisories(ctx context.Context) error {
	_, err := f.list(ctx)
	return err
}

// list returns the entries after it has added their advisories.
func (f *Finder) list(ctx context.Context) ([]Entry, error) {
	entries, err := f.registry.List(ctx)
	if err != nil {
		return nil, err
	}
	f.registered.Store(int64(len(entries)))
	f.lost = false
	for _, e := range entries {
		f.lost = f.lost || (e.Epoch > 0 && e.Epoch < e.Revision.Epoch)
		if e.Server == f.self.Server {
			f.advisories.Restore(e.Advisories)
			continue
		}
		f.advisories.Merge(e.Advisories)
	}
	return entries, nil
}
