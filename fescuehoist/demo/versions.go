package demo

import (
	"context"
	"fmt"
	"time"

	"fescuehoist.example/bench/fleet"
	"fescuehoist.example/mesh/manifest"
)

// sampleInterval is the time between samples of the daemons' state.
const sampleInterval = 20 * time.Millisecond

// versions records each time that a daemon's version in force decreased.
type versions struct{ reverts []string }

// sample checks the version in force of all members every sampleInterval, until
// ctx ends.
func (v *versions) sample(ctx context.Context, members []*fleet.Member) {
	highest := make([]manifest.Version, len(members))
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		for i, m := range members {
			got := m.Daemon.State().InForce
			if got < highest[i] {
				v.reverts = append(v.reverts, fmt.Sprintf("%s went from version %d to %d", m.Server.Name, highest[i], got))
			}
			highest[i] = max(highest[i], got)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// reverted lists the daemons whose version decreased, with both versions.
func (v *versions) reverted() []string { return v.reverts }
