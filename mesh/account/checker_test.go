package account_test

import (
	"testing"
	"time"

	"fescuehoist.example/mesh/account"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/route"
	"fescuehoist.example/mesh/target"
)

const revokeWithin = 5 * time.Second

// newStore returns a store with one account that holds the key "valid", and its clock.
func newStore(t *testing.T, accounts ...target.Account) (*manifest.Store, *time.Duration) {
	t.Helper()
	store, now := manifest.NewStore(), new(time.Duration)
	store.SetClock(func() time.Duration { return *now })
	class := target.Class{Name: "search", Path: "/", Rank: 3, Success: 0.9, Latency: time.Second, Timeout: time.Second}
	if _, err := store.ApplyFull(1, []target.Service{{Name: "a.example", Classes: []target.Class{class}}}, accounts, nil); err != nil {
		t.Fatal(err)
	}
	return store, now
}

func newCall(key string, public bool) *call.Request {
	r := &call.Request{Class: &target.Class{Name: "search", Rank: 3, Public: public}}
	if key != "" {
		r.KeyDigest, r.HasKey = target.DigestKey([]byte(key)), true
	}
	return r
}

func TestCheckerAuthorize(t *testing.T) {
	holder := target.Account{Name: "one", Rank: 2, Keys: []target.KeyDigest{target.DigestKey([]byte("valid"))}}
	for name, c := range map[string]struct {
		accounts     []target.Account
		key          string
		public       bool
		wantReason   call.Reason
		wantAccount  string
		wantOwnClass bool
	}{
		"valid key":              {accounts: []target.Account{holder}, key: "valid", wantAccount: "one", wantOwnClass: true},
		"unknown key":            {accounts: []target.Account{holder}, key: "other", wantReason: call.Unauthorized},
		"no key":                 {accounts: []target.Account{holder}, wantReason: call.Unauthorized},
		"public class":           {accounts: []target.Account{holder}, public: true},
		"public class and a key": {accounts: []target.Account{holder}, key: "valid", public: true},
		"no accounts":            {key: "valid"},
	} {
		store, _ := newStore(t, c.accounts...)
		r := newCall(c.key, c.public)
		class := r.Class
		f := (&account.Checker{Configs: store}).Authorize(r, route.NewRouter(store, member.NewTable("self")).Table())
		if (f == nil) != (c.wantReason == "") || (f != nil && (f.Reason != c.wantReason || f.Verdict != call.NotRun)) {
			t.Errorf("%s: failure %v, want reason %q and verdict not-run", name, f, c.wantReason)
		}
		if r.Account != c.wantAccount || r.HasKey || r.KeyDigest != (target.KeyDigest{}) {
			t.Errorf("%s: account %q, key left: %t; want account %q without its key", name, r.Account, r.HasKey, c.wantAccount)
		}
		if (r.Class != class) != c.wantOwnClass || class.Rank != 3 {
			t.Errorf("%s: rank %d, that of the class is now %d; want the account's rank in a class of its own", name, r.Class.Rank, class.Rank)
		}
	}
}

// Guards against a revoked key that works on a daemon which hears of no revocation: one that
// starts, one that is cut off, and one that was suspended for a while.
func TestCheckerTakesKeysOnlyWhileVerified(t *testing.T) {
	store, now := newStore(t, target.Account{Name: "one", Keys: []target.KeyDigest{target.DigestKey([]byte("valid"))}})
	checker := &account.Checker{Configs: store, RevokeWithin: revokeWithin}
	table := route.NewRouter(store, member.NewTable("self")).Table()
	reason := func() call.Reason {
		if f := checker.Authorize(newCall("valid", false), table); f != nil {
			return f.Reason
		}
		return ""
	}
	if got := reason(); got != call.Unconfigured {
		t.Errorf("never verified: reason %q, want %q", got, call.Unconfigured)
	}
	store.Verify(1, *now)
	*now += revokeWithin / 2
	if got := reason(); got != "" {
		t.Errorf("verified %s ago: reason %q, want none", revokeWithin/2, got)
	}
	*now += revokeWithin / 2
	if got := reason(); got != call.Unconfigured {
		t.Errorf("verified %s ago: reason %q, want %q", revokeWithin, got, call.Unconfigured)
	}
	if f := checker.Authorize(newCall("", true), table); f != nil {
		t.Errorf("public class: failure %v, want none", f)
	}
}

// Guards against a revoked key that works while the routing table still has the accounts
// before the revocation, although the configuration is verified with it: a daemon that was
// suspended gets both in one moment and rebuilds the table later.
func TestCheckerIgnoresVerificationsOfLaterAccounts(t *testing.T) {
	holder := target.Account{Name: "one", Keys: []target.KeyDigest{target.DigestKey([]byte("valid"))}}
	store, now := newStore(t, holder)
	checker := &account.Checker{Configs: store, RevokeWithin: revokeWithin}
	router := route.NewRouter(store, member.NewTable("self"))
	store.Verify(1, *now)
	*now += revokeWithin / 2
	holder.Keys = []target.KeyDigest{target.DigestKey([]byte("new"))}
	class := target.Class{Name: "search", Path: "/", Rank: 3, Success: 0.9, Latency: time.Second, Timeout: time.Second}
	if _, err := store.ApplyFull(2, []target.Service{{Name: "a.example", Classes: []target.Class{class}}}, []target.Account{holder}, nil); err != nil {
		t.Fatal(err)
	}
	store.Verify(2, *now)
	if f := checker.Authorize(newCall("valid", false), router.Table()); f != nil {
		t.Errorf("table before the revocation, verified %s ago: failure %v, want none", revokeWithin/2, f)
	}
	*now += revokeWithin / 2
	store.Verify(2, *now)
	if f := checker.Authorize(newCall("valid", false), router.Table()); f == nil || f.Reason != call.Unconfigured {
		t.Errorf("table before the revocation, verified %s ago: failure %v, want reason %q", revokeWithin, f, call.Unconfigured)
	}
	updated := route.NewRouter(store, member.NewTable("self")).Table()
	if f := checker.Authorize(newCall("new", false), updated); f != nil {
		t.Errorf("newest table: failure %v, want none", f)
	}
}

// Guards against a version whose accounts are not valid, with which calls need no key, run on
// behalf of one of two holders of a key, or are denied for good.
func TestCheckerWithoutValidAccountsRefusesCalls(t *testing.T) {
	key := []target.KeyDigest{target.DigestKey([]byte("valid"))}
	for name, accounts := range map[string][]target.Account{
		"key of two accounts": {{Name: "one", Keys: key}, {Name: "two", Keys: key}},
		"negative rate":       {{Name: "one", Keys: key, Rate: -1}},
	} {
		store := manifest.NewStore()
		store.ApplyByService()
		class := target.Class{Name: "search", Path: "/", Rank: 3, Success: 0.9, Latency: time.Second, Timeout: time.Second}
		if _, err := store.ApplyFull(1, []target.Service{{Name: "a.example", Classes: []target.Class{class}}}, accounts, nil); err != nil {
			t.Fatal(err)
		}
		table := route.NewRouter(store, member.NewTable("self")).Table()
		checker := &account.Checker{Configs: store}
		for key, want := range map[string]call.Reason{"": call.Unauthorized, "unknown": call.Unauthorized, "valid": call.Unconfigured} {
			if f := checker.Authorize(newCall(key, false), table); f == nil || f.Reason != want {
				t.Errorf("%s: key %q: failure %v, want reason %q", name, key, f, want)
			}
		}
		if f := checker.Authorize(newCall("", true), table); f != nil {
			t.Errorf("%s: public class: failure %v, want none", name, f)
		}
	}
}

func BenchmarkAuthorizeAmongThousandAccounts(b *testing.B) {
	accounts := make([]target.Account, 1000)
	for i := range accounts {
		name := "account-" + string(rune('a'+i%26)) + time.Duration(i).String()
		accounts[i] = target.Account{Name: name, Keys: []target.KeyDigest{target.DigestKey([]byte(name))}}
	}
	store := manifest.NewStore()
	class := target.Class{Name: "search", Path: "/", Rank: 3, Success: 0.9, Latency: time.Second, Timeout: time.Second}
	if _, err := store.ApplyFull(1, []target.Service{{Name: "a.example", Classes: []target.Class{class}}}, accounts, nil); err != nil {
		b.Fatal(err)
	}
	table := route.NewRouter(store, member.NewTable("self")).Table()
	checker := &account.Checker{Configs: store}
	key := []byte(accounts[500].Name)
	b.ReportAllocs()
	for b.Loop() {
		r := call.Request{Class: &class, KeyDigest: target.DigestKey(key), HasKey: true}
		if checker.Authorize(&r, table) != nil {
			b.Fatal("refused")
		}
	}
}
