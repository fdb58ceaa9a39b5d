package invariant

import (
	"fmt"
	"time"
)

// RollbackLimit is how long after a rollback requests may be sent that still run
// at the release that was rolled back. It is the setting rollouts.rollback_within
// of this test installation.
const RollbackLimit = 5 * time.Second

// Final states of a rollout in the platform's store.
const (
	Completed  = "completed"
	RolledBack = "rolled_back"
)

// Outcome is the final state of a rollout.
type Outcome struct {
	Service, Release, State string
	// ObservedAt is when the state was first seen in the store.
	ObservedAt time.Time
}

// RolloutViolations returns the executions at a release that the outcome of a
// rollout forbids. releaseOf returns the release of an instance.
func (c *Checker) RolloutViolations(o Outcome, releaseOf func(instance string) string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []string
	for id, rec := range c.requests {
		for _, execution := range rec.executions {
			if execution.Service != o.Service {
				continue
			}
			isNew := releaseOf(execution.Instance) == o.Release
			if after := execution.At.Sub(o.ObservedAt); o.State == Completed && !isNew && after > 0 {
				found = append(found, fmt.Sprintf("rollout: %s executed %s %s after %s was completed", execution.Instance, id, after, o.Release))
			}
			if after := rec.request.SentAt.Sub(o.ObservedAt); o.State == RolledBack && isNew && after > RollbackLimit {
				found = append(found, fmt.Sprintf("rollout: %s executed %s, sent %s after %s was rolled back", execution.Instance, id, after, o.Release))
			}
		}
	}
	return found
}
