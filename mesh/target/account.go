package target

import (
	"crypto/sha256"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// KeyDigest is the SHA-256 hash of an API key. Keys are kept and compared in this form
// only, so neither a memory dump nor the time of a comparison tells anything about them.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key []byte) KeyDigest { return sha256.Sum256(key) }

// Account is a client account: on its behalf callers make calls.
type Account struct {
	Name string
	// Keys are the digests of the keys that callers may present.
	Keys []KeyDigest
	// Rank orders accounts by urgency, 1 first, before the ranks of classes; 0 leaves the
	// order to these.
	Rank int
	// Rate is the number of requests a second, and Burst the number in addition, that
	// all daemons together admit. A Rate of 0 means no limit.
	Rate, Burst float64
	// Fault says why the declaration could not be read; its keys are refused.
	Fault string
}

// rankSpan is above the ranks of all classes.
const rankSpan = 1 << 32

// RankFor returns the rank of a call of the account in a class with the given rank. The
// account's rank takes precedence; calls without an account precede all others, since
// backend servers make them while they run a request of an account.
func (a *Account) RankFor(class int) int { return a.Rank*rankSpan + class }

// Limited reports whether the account has an allowance.
func (a *Account) Limited() bool { return a.Rate > 0 }

// AccountGroups is the number of groups into which accounts are divided by hash, so that
// a change of one account sends only its group to the daemons.
const AccountGroups = 16

// accountGroupNames holds the names of the groups. None can be that of a host or service.
var accountGroupNames = func() (names [AccountGroups]string) {
	for i := range names {
		names[i] = fmt.Sprintf("accounts/%02d", i)
	}
	return names
}()

// AccountGroup holds the accounts of one group, sorted by name.
type AccountGroup struct {
	// Name identifies the group in a version.
	Name     string
	Accounts []Account
}

// IsAccountGroup reports whether a name is that of an account group.
func IsAccountGroup(name string) bool {
	return slices.Contains(accountGroupNames[:], name)
}

// GroupAccounts divides accounts into groups; empty groups are left out.
func GroupAccounts(accounts []Account) []AccountGroup {
	var groups [AccountGroups]AccountGroup
	for i := range accounts {
		n := xxhash.Sum64String(accounts[i].Name) % AccountGroups
		groups[n].Name = accountGroupNames[n]
		groups[n].Accounts = append(groups[n].Accounts, accounts[i])
	}
	for i := range groups {
		slices.SortStableFunc(groups[i].Accounts, func(a, b Account) int { return strings.Compare(a.Name, b.Name) })
	}
	return slices.DeleteFunc(groups[:], func(g AccountGroup) bool { return len(g.Accounts) == 0 })
}

// Digest returns the SHA-256 hash of the group's fields in hexadecimal.
func (g *AccountGroup) Digest() Digest {
	h := NewHasher()
	h.WriteString(g.Name)
	h.WriteUint64(uint64(len(g.Accounts)))
	for i := range g.Accounts {
		a := &g.Accounts[i]
		h.WriteString(a.Name)
		h.WriteUint64(uint64(len(a.Keys)))
		for k := range a.Keys {
			h.WriteString(string(a.Keys[k][:]))
		}
		h.WriteUint64(uint64(a.Rank))
		h.WriteUint64(math.Float64bits(a.Rate))
		h.WriteUint64(math.Float64bits(a.Burst))
		if a.Fault != "" {
			h.WriteString(a.Fault)
		}
	}
	return h.Digest()
}

func (a *Account) validate() []Problem {
	var problems []Problem
	add := func(field, format string, args ...any) {
		problems = append(problems, Problem{Account: fmt.Sprintf("%.80s", a.Name), Field: field, Text: fmt.Sprintf(format, args...)})
	}
	if a.Fault != "" {
		add("", "%s", a.Fault)
		return problems
	}
	if a.Name == "" {
		add("name", "an account has no name; write 1 to %d bytes", MaxAccountNameLength)
	} else if !UsableAccount(a.Name) {
		add("name", "%.80q; write 1 to %d bytes without control characters, and no space at either end", a.Name, MaxAccountNameLength)
	}
	if a.Rank < 0 {
		add("rank", "%d; write 1 (most urgent) or more, or 0 to leave the order to the ranks of classes", a.Rank)
	}
	if !(a.Rate >= 0) || math.IsInf(a.Rate, 0) {
		add("rate", "%g; write a number of requests a second of at least 0", a.Rate)
	}
	if !(a.Burst >= 0) || math.IsInf(a.Burst, 0) {
		add("burst", "%g; write a number of requests of at least 0", a.Burst)
	}
	return problems
}

// Accounts is an immutable directory of the accounts of one version. A nil directory
// has none.
type Accounts struct {
	byKey  map[KeyDigest]*Account
	byName map[string]*Account
	// limited is the number of accounts with an allowance.
	limited int
	// refusedKeys are the keys that accounts with problems or several accounts hold.
	refusedKeys map[KeyDigest]bool
	// refused is the number of accounts that are left out because of problems.
	refused int
	// incomplete means that the version has accounts whose content is not known.
	incomplete bool
}

// AsIncomplete returns the directory for a version that has more accounts, whose content the
// daemon does not know.
func (d *Accounts) AsIncomplete() *Accounts {
	c := *d
	c.incomplete = true
	return &c
}

// Incomplete reports whether the version has accounts that the daemon does not know.
func (d *Accounts) Incomplete() bool { return d != nil && d.incomplete }

// Required reports whether calls need the key of an account.
func (d *Accounts) Required() bool {
	return d != nil && (len(d.byName) > 0 || d.refused > 0 || d.incomplete)
}

// NewAccounts returns the directory of groups, with the problems of accounts. An account
// with a problem is left out, and so is a key that belongs to two accounts; nothing else is.
// Of two accounts with one name the first declaration counts.
func NewAccounts(groups []*AccountGroup) (*Accounts, []Problem) {
	var accounts []*Account
	for _, g := range groups {
		for i := range g.Accounts {
			accounts = append(accounts, &g.Accounts[i])
		}
	}
	slices.SortStableFunc(accounts, func(a, b *Account) int { return strings.Compare(a.Name, b.Name) })
	d := &Accounts{byKey: map[KeyDigest]*Account{}, byName: map[string]*Account{}, refusedKeys: map[KeyDigest]bool{}}
	var problems []Problem
	var shared []KeyDigest
	for _, a := range accounts {
		found, keys := d.add(a)
		problems, shared = append(problems, found...), append(shared, keys...)
	}
	for _, k := range shared {
		delete(d.byKey, k)
		d.refusedKeys[k] = true
	}
	return d, problems
}

// add adds an account and returns its problems and the keys that another account holds.
func (d *Accounts) add(a *Account) (problems []Problem, shared []KeyDigest) {
	problems = a.validate()
	if d.byName[a.Name] != nil {
		problems = append(problems, Problem{Account: a.Name, Field: "name", Text: "declared twice; declare each account once"})
	}
	if len(problems) > 0 {
		d.refused++
		for _, k := range a.Keys {
			d.refusedKeys[k] = true
		}
		return problems, nil
	}
	d.byName[a.Name] = a
	if a.Limited() {
		d.limited++
	}
	for _, k := range a.Keys {
		if other := d.byKey[k]; other != nil && other != a {
			problems = append(problems, Problem{Account: a.Name, Field: "keys", Text: fmt.Sprintf("a key is held by account %q, too; a key must belong to one account", other.Name)})
			shared = append(shared, k)
			continue
		}
		d.byKey[k] = a
	}
	return problems, shared
}

// ByKey returns the account that holds a key, or nil.
func (d *Accounts) ByKey(k KeyDigest) *Account {
	if d == nil {
		return nil
	}
	return d.byKey[k]
}

// RefusesKey reports whether a key that no account of the directory holds belongs to a part
// of the version that has problems.
func (d *Accounts) RefusesKey(k KeyDigest) bool {
	return d != nil && d.byKey[k] == nil && d.refusedKeys[k]
}

// ByName returns the named account, or nil.
func (d *Accounts) ByName(name string) *Account {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// Len returns the number of accounts.
func (d *Accounts) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// HasLimited reports whether an account has an allowance.
func (d *Accounts) HasLimited() bool { return d != nil && d.limited > 0 }
