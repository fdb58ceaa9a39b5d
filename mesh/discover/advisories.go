package discover

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"fescuehoist.example/mesh/advisory"
	"fescuehoist.example/mesh/revision"
)

// minStoreInterval is the time between two writes of the daemon's entry.
const minStoreInterval = 250 * time.Millisecond

// adoptDelay is the time after which it is checked once more who stores the advisories of
// daemons that have ended. It is longer than it takes to notice that a daemon has failed.
const adoptDelay = 10 * time.Second

// maintainEntry writes the daemon's entry whenever it issued advisories, and again when the
// store came back from an older copy, until ctx ends.
func (f *Finder) maintainEntry(ctx context.Context) error {
	f.storeAt = f.stampTime()
	for ctx.Err() == nil {
		changed := f.advisories.Changed()
		epoch, risen := f.Epochs.Watch()
		if epoch > f.epoch {
			f.markLost(epoch)
		}
		f.adopt()
		due, found := f.storeDue()
		if found && !time.Now().Before(due) {
			f.retry(ctx, "store the entry of this daemon", f.replaceEntry)
			changed, due = nil, time.Now().Add(minStoreInterval)
		}
		var timer <-chan time.Time
		if found {
			timer = time.After(time.Until(due))
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-risen:
		case <-timer:
		}
	}
	return nil
}

// markLost records that the store has come back from an older copy, which may not hold what
// this daemon has written.
func (f *Finder) markLost(epoch uint64) {
	f.logger.Infof("the store may have lost the entry of this daemon, writing it again: epoch %d, previously %d, %d advisories", epoch, f.epoch, len(f.advisories.Issued()))
	f.epoch = epoch
	f.stored.Revision = revision.Revision{}
	f.advisories.MarkLost()
	f.storeAt = time.Now().Add(rand.N(f.cfg.RestoreSpread))
	f.lostAt = time.Now()
	f.adoptAt = f.lostAt
}

// adopt has this daemon store the advisories of others after the store came back from an
// older copy, if it is the sweeper: the daemons that issued them may have ended.
func (f *Finder) adopt() {
	if f.adoptAt.IsZero() || time.Now().Before(f.adoptAt) {
		return
	}
	last := f.lostAt.Add(adoptDelay)
	switch {
	case f.members.IsSweeper():
		f.adoptAt = time.Time{}
		f.advisories.Adopt()
	case f.adoptAt.Before(last):
		f.adoptAt = last
	default:
		f.adoptAt = time.Time{}
	}
}

// storeDue returns when there is something to do for the entry, and whether there is.
func (f *Finder) storeDue() (due time.Time, found bool) {
	due, found = f.advisories.StoreDue()
	if f.storeAt.After(time.Now().Add(f.cfg.RestoreSpread)) {
		// The advisories may have become complete.
		f.storeAt = f.stampTime()
	}
	for _, at := range []time.Time{f.adoptAt, f.storeAt} {
		if !at.IsZero() && (!found || at.Before(due)) {
			due, found = at, true
		}
	}
	return due, found
}

// stampTime returns when the entry has to be written since it has an earlier epoch than the
// store, or zero if it has not. An entry keeps its epoch until its daemon holds all
// advisories, or those from before its start have expired.
func (f *Finder) stampTime() time.Time {
	switch {
	case f.stored.Epoch >= f.epoch:
		return time.Time{}
	case f.advisories.Completeness() == advisory.Complete:
		return time.Now().Add(rand.N(f.cfg.RestoreSpread))
	}
	return f.startedAt.Add(advisory.Lifetime)
}

// replaceEntry writes the entry of this daemon with the advisories that it issued, unless the
// registry has it as it should be.
func (f *Finder) replaceEntry(ctx context.Context) error {
	if f.stored.Revision.IsZero() {
		if err := f.readOwn(ctx); err != nil {
			return err
		}
	}
	e := f.self
	e.Advisories, e.Revision, e.Epoch = f.advisories.Issued(), f.stored.Revision, f.stored.Epoch
	if f.advisories.Completeness() == advisory.Complete || time.Since(f.startedAt) >= advisory.Lifetime {
		e.Epoch = max(f.epoch, e.Epoch)
	}
	if !f.stored.covers(&e) {
		// A failed write may be carried out later, so the entry is read before the next one.
		f.stored.Revision = revision.Revision{}
		written, err := f.registry.Write(ctx, e)
		if err != nil {
			return err
		}
		f.stored = e
		f.stored.Revision = written
	}
	f.advisories.MarkStored(e.Advisories)
	f.storeAt = f.stampTime()
	return nil
}

// covers reports whether an entry in the registry holds all that another one says.
func (e *Entry) covers(o *Entry) bool {
	if e.Revision.IsZero() || e.PeerAddress != o.PeerAddress || e.Domain != o.Domain || e.Epoch != o.Epoch {
		return false
	}
	return !slices.ContainsFunc(o.Advisories, func(a advisory.Aged) bool {
		return !slices.ContainsFunc(e.Advisories, func(b advisory.Aged) bool { return a.Advisory == b.Advisory })
	})
}

// readOwn reads the entry of this daemon, which may hold advisories of an earlier write.
func (f *Finder) readOwn(ctx context.Context) error {
	e, err := f.registry.Get(ctx, f.self.Server)
	if err != nil {
		return err
	}
	f.advisories.Restore(e.Advisories)
	f.stored = e
	return nil
}
