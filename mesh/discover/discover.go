// Package discover finds the other daemons of an installation without seeds:
// each daemon keeps one small entry in the platform, and a starting one reads
// the entries once. After that, peers tell each other of all changes.
package discover

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/wait"
)

// Entry says where one daemon can be reached.
type Entry struct {
	Server member.ServerID
	Domain string
	// PeerAddress takes the streams of other daemons.
	PeerAddress string
}

// Registry keeps entries in the platform.
type Registry interface {
	// Register writes a daemon's entry, or does nothing if it stands already.
	Register(ctx context.Context, e Entry) error
	// List returns the entries; unreadable ones are left out.
	List(ctx context.Context) ([]Entry, error)
	// Remove deletes the entry of a daemon; an absent one is no error.
	Remove(ctx context.Context, server member.ServerID) error
}

// Peers are the streams to other daemons.
type Peers interface {
	// Meet adds addresses to ask.
	Meet(addresses []string)
	// Peers returns the number of open streams.
	Peers() int
}

// Members says what is known of other daemons.
type Members interface {
	// IsSweeper reports whether this daemon looks after the entries of others.
	IsSweeper() bool
	// Gone reports whether a daemon is known to have left or failed, or is not
	// known at all.
	Gone(server member.ServerID) bool
}

// Config sets how a daemon finds others.
type Config struct {
	// CallTimeout bounds a call to the registry.
	CallTimeout time.Duration
	// RetryBase and RetryMax bound the jittered exponential delay between
	// failed calls.
	RetryBase, RetryMax time.Duration
	// IsolationLimit is how long a daemon goes without any stream before it
	// reads the entries again.
	IsolationLimit time.Duration
	// MaxContacts is the number of random entries that are asked.
	MaxContacts int
	// Retention is how long an entry outlives its daemon, at least; twice that at
	// most.
	Retention time.Duration
}

// DefaultConfig returns the defaults of a daemon.
func DefaultConfig() Config {
	return Config{
		CallTimeout: time.Second, RetryBase: 100 * time.Millisecond, RetryMax: time.Second,
		IsolationLimit: 4 * time.Second, MaxContacts: 8, Retention: 10 * time.Minute,
	}
}

// Logger takes short messages about discovery.
type Logger interface {
	Infof(format string, args ...any)
	Warnf(format string, args ...any)
}

// Finder is this daemon's part in discovery.
type Finder struct {
	cfg      Config
	own      Entry
	registry Registry
	peers    Peers
	members  Members
	out      Logger

	// stale names the daemons that were gone at the last sweep.
	stale map[member.ServerID]bool
}

// New returns a finder; Run starts it.
func New(cfg Config, own Entry, registry Registry, peers Peers, members Members, out Logger) *Finder {
	return &Finder{cfg: cfg, own: own, registry: registry, peers: peers, members: members, out: out}
}

// Run registers the daemon, meets others, and looks again whenever it has been
// without peers for a while, until ctx ends. The entry is written before the
// others are read, so that of two daemons that start together one at least
// finds the other.
func (f *Finder) Run(ctx context.Context) error {
	f.until(ctx, "register", func(ctx context.Context) error { return f.registry.Register(ctx, f.own) })
	f.until(ctx, "list the daemons", f.meet)
	sweepAt := time.Now().Add(f.cfg.Retention)
	for wait.For(ctx, wait.Jitter(f.cfg.IsolationLimit)) == nil {
		if f.peers.Peers() == 0 {
			f.until(ctx, "list the daemons", f.meet)
			continue
		}
		if time.Now().After(sweepAt) {
			sweepAt = time.Now().Add(f.cfg.Retention)
			f.trySweep(ctx)
		}
	}
	return nil
}

// trySweep removes old entries if that is this daemon's part. A failed sweep
// waits for the next one.
func (f *Finder) trySweep(ctx context.Context) {
	if !f.members.IsSweeper() {
		f.stale = nil
		return
	}
	if err := f.bounded(ctx, f.sweep); err != nil {
		f.out.Warnf("cannot remove entries of daemons that are gone: %v", err)
	}
}

// sweep removes the entries of daemons that were gone at the last sweep and
// still are.
func (f *Finder) sweep(ctx context.Context) error {
	entries, err := f.registry.List(ctx)
	if err != nil {
		return err
	}
	gone := map[member.ServerID]bool{}
	for _, e := range entries {
		if e.Server == f.own.Server || !f.members.Gone(e.Server) {
			continue
		}
		if !f.stale[e.Server] {
			gone[e.Server] = true
			continue
		}
		if err := f.registry.Remove(ctx, e.Server); err != nil {
			return err
		}
		f.out.Infof("removed the entry of %s, which is gone", e.Server)
	}
	f.stale = gone
	return nil
}

// until repeats a call until it succeeds or ctx ends.
func (f *Finder) until(ctx context.Context, what string, call func(context.Context) error) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = f.cfg.RetryBase, f.cfg.RetryMax
	for failed := false; ctx.Err() == nil; failed = true {
		err := f.bounded(ctx, call)
		if err == nil {
			return
		}
		if !failed && ctx.Err() == nil {
			f.out.Warnf("cannot %s, trying on: %v", what, err)
		}
		_ = wait.For(ctx, delay.NextBackOff())
	}
}

func (f *Finder) bounded(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.CallTimeout)
	defer cancel()
	return call(ctx)
}

// meet hands some of the listed daemons over as contacts.
func (f *Finder) meet(ctx context.Context) error {
	entries, err := f.registry.List(ctx)
	if err != nil {
		return err
	}
	var addresses []string
	for _, e := range entries {
		if e.Server != f.own.Server && e.PeerAddress != f.own.PeerAddress {
			addresses = append(addresses, e.PeerAddress)
		}
	}
	f.out.Infof("%d other daemons are registered", len(addresses))
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	f.peers.Meet(addresses[:min(len(addresses), f.cfg.MaxContacts)])
	return nil
}
