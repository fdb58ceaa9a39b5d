package runner

import (
	"context"
	"time"

	"fescuehoist.example/mesh/wait"
	"fescuehoist.example/soak/invariant"
	"fescuehoist.example/soak/plan"
)

const (
	// oldRelease and newRelease are the releases of lookup in a run with a
	// rollout.
	oldRelease = "v1"
	newRelease = "v2"
	// pollInterval is the time between two readings of the state of a rollout.
	pollInterval = 20 * time.Millisecond
	// outcomeWait is how long after the time limit of an order its final state is
	// waited for. Faults may delay a completion until after the limit.
	outcomeWait = 4 * time.Second
)

// hasRollout reports whether one of the events is a rollout.
func hasRollout(events []plan.Event) bool {
	for _, e := range events {
		if e.Kind == plan.Rollout || e.Kind == plan.BadRollout {
			return true
		}
	}
	return false
}

// releaseFor returns the release that host i has. Every other host has the new one.
func releaseFor(i int, rollout bool) string {
	if rollout && i%2 == 0 {
		return newRelease
	}
	return oldRelease
}

// playRollout orders the new release of lookup, which fails all requests if it is
// bad, and waits for the final state, at most until outcomeWait after the time
// limit of the order.
func (r *Runner) playRollout(ctx context.Context, limit time.Duration, bad bool) {
	r.store.OrderRollout(lookup, newRelease, limit)
	for _, h := range r.hosts {
		if bad && h.Service == lookup && h.Release == newRelease {
			h.BreakBackend()
		}
	}
	for until := time.Now().Add(limit + outcomeWait); time.Now().Before(until) && ctx.Err() == nil; _ = wait.For(ctx, pollInterval) {
		state, err := r.store.RolloutState(lookup, newRelease)
		if err != nil {
			r.checker.RecordViolation("rollout: %v", err)
			return
		}
		if state == invariant.Completed || state == invariant.RolledBack {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.outcome = invariant.Outcome{Service: lookup, Release: newRelease, State: state, ObservedAt: time.Now()}
			return
		}
	}
}

// releaseOf returns the release of an instance.
func (r *Runner) releaseOf(instance string) string {
	for _, h := range r.hosts {
		if h.OwnsInstance(instance) {
			return h.Release
		}
	}
	return ""
}
