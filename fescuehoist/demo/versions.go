package demo

import (
	"context"
	"fmt"
	"time"

	"fescuehoist.example/bench/fleet"
	"fescuehoist.example/mesh/manifest"
)

// sampleInterval is the time between looks at the daemons.
const sampleInterval = 20 * time.Millisecond

// versions watches which versions the daemons have in force.
type versions struct{ reverts []string }

// sample looks at all members until ctx ends.
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

// reverted lists the times at which a daemon went back.
func (v *versions) reverted() []string { return v.reverts }
