package invariant

import (
	"fmt"
	"slices"
	"time"

	"fescuehoist.example/platform/platformtest"
)

const (
	// RevokeLimit is how long after the acceptance of its revocation a key may
	// still be used. It is the setting accounts.revoke_within of this test
	// installation.
	RevokeLimit = 5 * time.Second
	// allowanceWindow is the window in which the requests of an account are
	// counted: the default of the setting accounts.window.
	allowanceWindow = 5 * time.Second
	// allowanceOvershoot and allowanceSlack are the share and the number of
	// requests by which an account may exceed its allowance in a window.
	allowanceOvershoot = 0.1
	allowanceSlack     = 20
)

// heldKey is an API key that some version of the configuration held.
type heldKey struct {
	account string
	// addedAt and revokedAt are when the versions that added and removed the key
	// were accepted; revokedAt is zero for a key in force.
	addedAt, revokedAt time.Time
}

// limit is the allowance of an account from a version on.
type limit struct {
	rate, burst float64
	acceptedAt  time.Time
}

// RecordKey records that a version with a new key of an account was accepted.
func (c *Checker) RecordKey(key, account string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys[key] = heldKey{account: account, addedAt: at}
}

// RecordRevocation records that a version without a key was accepted.
func (c *Checker) RecordRevocation(key string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.keys[key]
	held.revokedAt = at
	c.keys[key] = held
}

// RecordLimit records that a version with another allowance of an account was
// accepted. Each allowance must be lower than the one before it.
func (c *Checker) RecordLimit(account string, rate, burst float64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits[account] = append(c.limits[account], limit{rate, burst, at})
}

// MayBeUnauthorized reports whether a daemon may have answered a request that
// was sent at a time with 401. It may if the key is not held, or if it was added
// so recently that a configuration without it may count as the newest.
func (c *Checker) MayBeUnauthorized(key string, sentAt time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, found := c.keys[key]
	return !found || !held.revokedAt.IsZero() || sentAt.Sub(held.addedAt) <= RevokeLimit
}

// checkAccount checks on behalf of which account a request was executed, and
// whether its key permitted that.
func (c *Checker) checkAccount(r *Request, execution *platformtest.Execution) []string {
	var found []string
	if execution.Key != "" {
		found = append(found, "key: a backend server got an API key")
	}
	var account string
	if !r.Public {
		held, known := c.keys[r.Key]
		account = held.account
		if !known {
			return append(found, "key: executed without a key that a version held")
		}
		if after := r.SentAt.Sub(held.revokedAt); !held.revokedAt.IsZero() && after > RevokeLimit {
			found = append(found, fmt.Sprintf("revoked: executed, sent %s after the revocation of its key was accepted", after))
		}
	}
	if execution.Account != account {
		found = append(found, fmt.Sprintf("account: executed for account %q, want %q", execution.Account, account))
	}
	return found
}

// AllowanceViolations returns the accounts that exceeded their allowance in some
// window. A daemon takes keys only while its configuration was the newest within
// RevokeLimit, so after that a lower allowance is in force wherever requests run.
// It is binding one window later.
func (c *Checker) AllowanceViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := map[string][]time.Time{}
	for _, rec := range c.requests {
		if len(rec.executions) > 0 && !rec.request.Public {
			account := c.keys[rec.request.Key].account
			sent[account] = append(sent[account], rec.request.SentAt)
		}
	}
	var found []string
	for account, limits := range c.limits {
		times := sent[account]
		slices.SortFunc(times, time.Time.Compare)
		for i, l := range limits {
			from := l.acceptedAt
			if i > 0 {
				from = from.Add(RevokeLimit + allowanceWindow)
			}
			allowed := (l.rate*allowanceWindow.Seconds()+l.burst)*(1+allowanceOvershoot) + allowanceSlack
			if n, at := fullestWindow(times, from); float64(n) > allowed {
				found = append(found, fmt.Sprintf("allowance: %d requests of %s ran that were sent within %s from %s, want at most %.0f",
					n, account, allowanceWindow, at.Format("15:04:05.000"), allowed))
			}
		}
	}
	return found
}

// fullestWindow returns the largest number of times in a window that starts at or
// after from, and the start of that window. The times are sorted.
func fullestWindow(times []time.Time, from time.Time) (most int, at time.Time) {
	end := 0
	for i, t := range times {
		for end < len(times) && times[end].Sub(t) < allowanceWindow {
			end++
		}
		if !t.Before(from) && end-i > most {
			most, at = end-i, t
		}
	}
	return most, at
}
