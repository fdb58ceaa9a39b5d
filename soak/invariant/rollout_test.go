package invariant

import (
	"testing"
	"time"
)

// Guards against executions at the old release after the completion, and at the
// new one after a rollback, that go unnoticed, and against false reports.
func TestRolloutViolations(t *testing.T) {
	for name, c := range map[string]struct {
		state, instance string
		// sentAfter and executedAfter are counted from the final state.
		sentAfter, executedAfter time.Duration
		wantViolations           int
	}{
		"old before completion":           {Completed, "old", -time.Second, 0, 0},
		"old after completion":            {Completed, "old", -time.Second, time.Millisecond, 1},
		"new after completion":            {Completed, "new", time.Second, time.Second, 0},
		"new soon after rollback":         {RolledBack, "new", RollbackLimit, RollbackLimit + time.Second, 0},
		"new too long after rollback":     {RolledBack, "new", RollbackLimit + time.Millisecond, RollbackLimit + time.Second, 1},
		"old after rollback":              {RolledBack, "old", RollbackLimit + time.Second, RollbackLimit + time.Second, 0},
		"other service, after completion": {Completed, "archive", time.Second, time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			checker, o := NewChecker(), Outcome{Service: "lookup", Release: "new", State: c.state, ObservedAt: time.Now()}
			r := submission()
			r.SentAt = o.ObservedAt.Add(c.sentAfter)
			execution := executionOf(r)
			execution.Instance, execution.At = c.instance, o.ObservedAt.Add(c.executedAfter)
			if c.instance == "archive" {
				execution.Service = "archive"
			}
			checker.RecordRequest(r)
			checker.RecordExecution(execution)
			if found := checker.RolloutViolations(o, func(instance string) string { return instance }); len(found) != c.wantViolations {
				t.Errorf("got %q, want %d violations", found, c.wantViolations)
			}
		})
	}
}
