package configwatch

import (
	"context"
	"math/rand/v2"
)

// Neighborhood tells a starting daemon how many others there are.
type Neighborhood interface {
	// Neighbors returns the number of other daemons of the failure domain, or 0 if
	// ctx ends before it is known.
	Neighbors(ctx context.Context) int
}

// awaitTurn delays the first call to the source while many daemons start together:
// each of them knows no other yet and would read the source for the whole failure
// domain. Some read at once, chosen at random since nobody knows which of the
// registered daemons are running. The others wait until they know of a reader, for
// JoinWait at most.
func (w *Watcher) awaitTurn(ctx context.Context) {
	if w.Neighborhood == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, w.cfg.JoinWait)
	defer cancel()
	if all := 1 + w.Neighborhood.Neighbors(ctx); rand.IntN(all) < w.cfg.FirstReaders {
		return
	}
	for {
		changed := w.members.Changed()
		if w.chooseReaders().reader != w.self {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
