package discover

import (
	"context"
	"time"
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

func (f *Finder) replaceEntry(ctx context.Context) error {
	e := f.self
	e.Advisories = f.advisories.Issued()
	if err := f.registry.Replace(ctx, e); err != nil {
		return err
	}
	f.advisories.MarkStored(e.Advisories)
	return nil
}
