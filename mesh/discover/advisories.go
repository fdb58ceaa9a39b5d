package discover

import (
	"context"
	"time"

	"fescuehoist.example/mesh/revision"
)

// minStoreInterval is the time between two writes of the daemon's entry.
const minStoreInterval = 250 * time.Millisecond

// storeAdvisories writes the daemon's entry whenever it issued advisories, until ctx ends.
func (f *Finder) storeAdvisories(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := f.advisories.Changed()
		due, found := f.advisories.StoreDue()
		if found && !time.Now().Before(due) {
			f.retry(ctx, "store the advisories of this daemon", f.replaceEntry)
			changed, due = nil, time.Now().Add(minStoreInterval)
		}
		var timer <-chan time.Time
		if found {
			timer = time.After(time.Until(due))
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer:
		}
	}
	return nil
}

// replaceEntry writes the entry of this daemon with the advisories that it issued.
func (f *Finder) replaceEntry(ctx context.Context) error {
	if f.revision.IsZero() {
		if err := f.readOwn(ctx); err != nil {
			return err
		}
	}
	e := f.self
	e.Advisories, e.Revision = f.advisories.Issued(), f.revision
	// A failed write may be carried out later, so the entry is read before the next one.
	f.revision = revision.Revision{}
	written, err := f.registry.Write(ctx, e)
	if err != nil {
		return err
	}
	f.revision = written
	f.advisories.MarkStored(e.Advisories)
	return nil
}

// readOwn reads the entry of this daemon, which may hold advisories of an earlier write.
func (f *Finder) readOwn(ctx context.Context) error {
	e, err := f.registry.Get(ctx, f.self.Server)
	if err != nil {
		return err
	}
	f.advisories.Restore(e.Advisories)
	f.revision = e.Revision
	return nil
}
