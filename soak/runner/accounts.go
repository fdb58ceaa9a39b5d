package runner

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fescuehoist.example/platform/platformtest"
	"fescuehoist.example/soak/invariant"
)

const (
	// accountCount is the number of client accounts. Account 0 has an allowance.
	accountCount = 3
	// keysPerAccount is the number of keys that an account holds at any time.
	keysPerAccount = 2
	// initialRate and loweredRate are the allowance of account 0 in requests a
	// second; its burst is as large. Clients of six hosts send about twice the
	// initial rate on a machine that is not busy.
	initialRate = 40
	loweredRate = 10
	// limitedShare is the share of the requests that account 0 sends,
	// revokedShare that of requests with a revoked key, and invalidShare that of
	// requests without a key, and as many with one that was never held.
	limitedShare = 0.3
	revokedShare = 0.1
	invalidShare = 0.03
	// unheldKey is a key that no version holds, unknownAccount an account name
	// that clients forge.
	unheldKey      = "never-held-by-any-account"
	unknownAccount = "forged-account"
)

// newOperator returns an operator that has written no version yet.
func newOperator(store *platformtest.Store, checker *invariant.Checker) *operator {
	o := &operator{store: store, checker: checker}
	for i := range accountCount {
		a := platformtest.Account{Name: fmt.Sprint("account-", i)}
		for range keysPerAccount {
			a.Keys = append(a.Keys, o.newKey())
		}
		o.accounts = append(o.accounts, a)
	}
	o.accounts[0].Rate, o.accounts[0].Burst = initialRate, initialRate
	return o
}

// newKey returns a key that no version has held.
func (o *operator) newKey() string {
	o.keyCount++
	return fmt.Sprintf("key-of-the-soak-%04d", o.keyCount)
}

// replaceKey writes a version that removes the oldest key of an account, in turn,
// and adds a new one.
func (o *operator) replaceKey() {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := &o.accounts[len(o.revoked)%len(o.accounts)]
	revoked, added := a.Keys[0], o.newKey()
	a.Keys = append(a.Keys[1:], added)
	at := o.write()
	o.revoked = append(o.revoked, revoked)
	o.checker.RecordRevocation(revoked, at)
	o.checker.RecordKey(added, a.Name, at)
}

// lowerAllowance writes a version that lowers the allowance of account 0.
func (o *operator) lowerAllowance() {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := &o.accounts[0]
	a.Rate, a.Burst = loweredRate, loweredRate
	o.checker.RecordLimit(a.Name, a.Rate, a.Burst, o.write())
}

// recordAccounts records the keys and the allowance of the first version.
func (o *operator) recordAccounts(at time.Time) {
	for _, a := range o.accounts {
		for _, key := range a.Keys {
			o.checker.RecordKey(key, a.Name, at)
		}
		if a.Rate > 0 {
			o.checker.RecordLimit(a.Name, a.Rate, a.Burst, at)
		}
	}
}

// pickKey returns the key that a client presents with its next request; it is
// empty for none.
func (o *operator) pickKey(rng *rand.Rand) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := rng.Float64()
	switch {
	case n < invalidShare:
		return ""
	case n < 2*invalidShare:
		return unheldKey
	case n < 2*invalidShare+revokedShare && len(o.revoked) > 0:
		return o.revoked[rng.IntN(len(o.revoked))]
	}
	a := &o.accounts[0]
	if rng.Float64() >= limitedShare {
		a = &o.accounts[1+rng.IntN(len(o.accounts)-1)]
	}
	return a.Keys[rng.IntN(len(a.Keys))]
}

// mayBeUnauthorized reports whether a daemon may have answered a request with 401.
// It waits for a version that is being written, which may revoke the key.
func (o *operator) mayBeUnauthorized(r invariant.Request) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.checker.MayBeUnauthorized(r.Key, r.SentAt)
}
