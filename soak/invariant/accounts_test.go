package invariant

import (
	"fmt"
	"testing"
	"time"
)

// Guards against 401 for a key that every configuration that may be in force
// holds, and against false reports for others.
func TestMayBeUnauthorized(t *testing.T) {
	now := time.Now()
	checker := NewChecker()
	checker.RecordKey("old", "a", now.Add(-RevokeLimit-time.Millisecond))
	checker.RecordKey("new", "a", now.Add(-RevokeLimit))
	checker.RecordKey("revoked", "a", now.Add(-time.Minute))
	checker.RecordRevocation("revoked", now)
	for key, want := range map[string]bool{"old": false, "new": true, "revoked": true, "unheld": true, "": true} {
		if got := checker.MayBeUnauthorized(key, now); got != want {
			t.Errorf("key %q: got %v, want %v", key, got, want)
		}
	}
}

// Guards against requests over an allowance that go unnoticed, before and after
// it was lowered, and against false reports while the lower one is not binding.
func TestAllowanceViolations(t *testing.T) {
	const rate, burst, lowered = 20, 10, 4 // at most 141 requests in a window, later 53
	const binding = RevokeLimit + allowanceWindow
	for name, c := range map[string]struct {
		// sentAfter is when all requests are sent, after the lower allowance was
		// accepted.
		sentAfter      time.Duration
		count          int
		wantViolations int
	}{
		"higher allowance used up":  {-time.Second, 141, 0},
		"higher allowance exceeded": {-time.Second, 142, 1},
		"lower not binding yet":     {binding - time.Millisecond, 141, 0},
		"lower used up":             {binding, 53, 0},
		"lower exceeded":            {binding, 54, 1},
	} {
		t.Run(name, func(t *testing.T) {
			checker, accepted := NewChecker(), time.Now()
			checker.RecordKey("key-a", "account-a", accepted.Add(-time.Minute))
			checker.RecordLimit("account-a", rate, burst, accepted.Add(-time.Minute))
			checker.RecordLimit("account-a", lowered, burst, accepted)
			for i := range c.count {
				r := submission()
				r.ID, r.SentAt = fmt.Sprint("r-", i), accepted.Add(c.sentAfter)
				checker.RecordRequest(r)
				checker.RecordExecution(executionOf(r))
			}
			if found := checker.AllowanceViolations(); len(found) != c.wantViolations {
				t.Errorf("got %q, want %d violations", found, c.wantViolations)
			}
		})
	}
}
