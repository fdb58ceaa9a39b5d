// Package account decides on behalf of which client account a call is made.
package account

import (
	"errors"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/route"
	"fescuehoist.example/mesh/target"
)

var (
	errMissingKey = errors.New("expected the key of a client account, found none")
	errUnknownKey = errors.New("no client account holds the key")
	errRefusedKey = errors.New("the client account that holds the key is not valid")
	errIncomplete = errors.New("the content of some client accounts is not known")
	errUnverified = errors.New("the configuration may be older than the time within which revoked keys must be refused")
)

// revokeMargin is subtracted from the time within which revoked keys must be refused, for
// clocks that differ in speed.
const revokeMargin = 50 * time.Millisecond

// Verifications tells when a directory of accounts was last known to be the newest.
type Verifications interface {
	AccountsAge(*target.Accounts) (time.Duration, bool)
}

// Checker authorizes calls by the API keys that callers present.
type Checker struct {
	Configs Verifications
	// RevokeWithin is the time after which a revoked key must be refused by every daemon,
	// also by one that reaches neither the platform nor other daemons; 0 leaves that to
	// the spread of the configuration.
	RevokeWithin time.Duration
}

// Authorize sets the account of a classified call, and the rank that it has for the
// account. Without accounts in the configuration, and in public classes, calls need no
// key. In any case the key is removed from the call.
func (c *Checker) Authorize(r *call.Request, t *route.Table) *call.Failure {
	key, presented := r.KeyDigest, r.HasKey
	r.KeyDigest, r.HasKey = [len(r.KeyDigest)]byte{}, false
	if !needsKey(r, t) {
		return nil
	}
	if !presented {
		return deny(t.Accounts(), errMissingKey)
	}
	if t.Accounts().RefusesKey(key) {
		return call.Refuse(call.Unconfigured, errRefusedKey)
	}
	return c.assign(r, t.Accounts(), t.Accounts().ByKey(key))
}

// AuthorizeAs decides as Authorize does about a call whose caller presents a key of the
// named account, or none if the name is empty.
func (c *Checker) AuthorizeAs(r *call.Request, t *route.Table, name string) *call.Failure {
	if !needsKey(r, t) {
		return nil
	}
	if name == "" {
		return deny(t.Accounts(), errMissingKey)
	}
	return c.assign(r, t.Accounts(), t.Accounts().ByName(name))
}

// deny returns the failure of a call without the key of an account in the directory. It is
// not final if another daemon may know the account.
func deny(directory *target.Accounts, cause error) *call.Failure {
	if directory.Incomplete() {
		return call.Refuse(call.Unconfigured, errIncomplete)
	}
	return call.Refuse(call.Unauthorized, cause)
}

// needsKey reports whether a classified call needs the key of an account.
func needsKey(r *call.Request, t *route.Table) bool {
	return t.Accounts().Required() && !r.Class.Public
}

// assign sets the account of a call, which is nil if none in the directory holds its key.
func (c *Checker) assign(r *call.Request, directory *target.Accounts, account *target.Account) *call.Failure {
	if !c.verified(directory) {
		return call.Refuse(call.Unconfigured, errUnverified)
	}
	if account == nil {
		return deny(directory, errUnknownKey)
	}
	r.Account, r.Client = account.Name, account.Name
	if account.Rank > 0 {
		class := *r.Class
		class.Rank = account.RankFor(class.Rank)
		r.Class = &class
	}
	return nil
}

// verified reports whether a directory cannot lack the revocation of a key that must be
// refused by now. It need not be the newest one, since the routing table follows the
// configuration with some delay. The time that passes between the check and the use of the
// key does not matter: what counts is when the caller sent the request.
func (c *Checker) verified(directory *target.Accounts) bool {
	if c.RevokeWithin == 0 {
		return true
	}
	age, known := c.Configs.AccountsAge(directory)
	return known && age < c.RevokeWithin-revokeMargin
}
