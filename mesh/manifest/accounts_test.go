package manifest_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
)

func account(name string, keys ...string) target.Account {
	a := target.Account{Name: name}
	for _, k := range keys {
		a.Keys = append(a.Keys, target.DigestKey([]byte(k)))
	}
	return a
}

func holder(s *manifest.Store, key string) string {
	if a := s.Snapshot().Accounts().ByKey(target.DigestKey([]byte(key))); a != nil {
		return a.Name
	}
	return ""
}

// Guards against a revoked key that stays in use at daemons which follow by differences.
func TestAccountsReachPeersAndRevokedKeysDoNot(t *testing.T) {
	services := []target.Service{newHost("a.example", 1)}
	reader, peer := manifest.NewStore(), manifest.NewStore()
	for v, accounts := range [][]target.Account{
		{account("one", "k1", "k2"), account("two", "k3")},
		{account("one", "k2"), account("two", "k3", "k4")},
		{account("two", "k3")},
		nil,
	} {
		if _, err := reader.ApplyFull(manifest.Version(v+1), services, accounts, nil); err != nil {
			t.Fatal(err)
		}
		if _, err := peer.ApplyUpdate(reader.UpdateSince(peer.KnownVersion())); err != nil {
			t.Fatal(err)
		}
		want := map[string]string{}
		for _, a := range accounts {
			want[a.Name] = a.Name
		}
		for key, expected := range map[string]string{
			"k1": []string{"one", "", "", ""}[v], "k2": []string{"one", "one", "", ""}[v],
			"k3": []string{"two", "two", "two", ""}[v], "k4": []string{"", "two", "", ""}[v],
		} {
			if got := holder(peer, key); got != expected {
				t.Errorf("version %d: key %s is held by %q, want %q", v+1, key, got, expected)
			}
		}
		if n := peer.Snapshot().Accounts().Len(); n != len(want) {
			t.Errorf("version %d: %d accounts, want %d", v+1, n, len(want))
		}
	}
}

// Guards against an account with problems that takes the keys of others away, or keeps keys
// in use that the version has taken away from any account.
func TestAccountsWithProblemsCostOnlyThemselves(t *testing.T) {
	bad := account("two", "k3")
	bad.Rate = -1
	unread := account("two", "k3")
	unread.Fault = "burst: expected a number"
	for name, c := range map[string]struct {
		accounts []target.Account
		// k2 is the holder of a key that accounts one and two may have.
		k2 string
	}{
		"key of two accounts": {[]target.Account{account("one", "k1", "k2"), account("two", "k2")}, ""},
		"negative rate":       {[]target.Account{account("one", "k1", "k2"), bad}, "one"},
		"unreadable":          {[]target.Account{account("one", "k1", "k2"), unread}, "one"},
		"no usable name":      {[]target.Account{account("one", "k1", "k2"), account("two\n", "k3")}, "one"},
		"declared twice":      {[]target.Account{account("one", "k1", "k2"), account("two"), account("two", "k3")}, "one"},
	} {
		t.Run(name, func(t *testing.T) {
			reader, peer := manifest.NewStore(), manifest.NewStore()
			services := []target.Service{newHost("a.example", 1)}
			// Many accounts, so that each group has some.
			var before, after []target.Account
			for i := range 8 * target.AccountGroups {
				before = append(before, account(fmt.Sprint("other-", i), fmt.Sprint("old-", i)))
				after = append(after, account(fmt.Sprint("other-", i), fmt.Sprint("new-", i)))
			}
			for v, accounts := range [][]target.Account{
				append(before, account("one", "k1", "k2"), account("two", "k3")),
				append(after, c.accounts...),
			} {
				for _, s := range []*manifest.Store{reader, peer} {
					s.ApplyByService()
				}
				if _, err := reader.ApplyFull(manifest.Version(v+1), services, accounts, nil); err != nil {
					t.Fatal(err)
				}
				if _, err := peer.ApplyUpdate(reader.UpdateSince(peer.KnownVersion())); err != nil {
					t.Fatal(err)
				}
			}
			for role, s := range map[string]*manifest.Store{"reader": reader, "peer": peer} {
				for i := range before {
					if old, current := holder(s, fmt.Sprint("old-", i)), holder(s, fmt.Sprint("new-", i)); old != "" || current != after[i].Name {
						t.Errorf("%s: account %s: old key held by %q, new one by %q", role, after[i].Name, old, current)
					}
				}
				if holder(s, "k1") != "one" || holder(s, "k2") != c.k2 || holder(s, "k3") != "" {
					t.Errorf("%s: keys are held by %q, %q and %q; want one, %q and none", role, holder(s, "k1"), holder(s, "k2"), holder(s, "k3"), c.k2)
				}
				if r := s.Refusal(); r == nil || !r.InPart || !strings.Contains(r.Error(), `account "two`) {
					t.Errorf("%s: refusal %v, want one in part that names account two", role, r)
				}
			}
		})
	}
}

// Guards against a daemon that takes its configuration for newer than was shown.
func TestVerificationIsNeverYoungerThanTheQuestion(t *testing.T) {
	store := manifest.NewStore()
	now := time.Duration(0)
	store.SetClock(func() time.Duration { return now })
	if _, _, known := store.VerificationAge(); known {
		t.Error("a store that was never verified has an age, want none")
	}
	if _, err := store.ApplyFull(5, []target.Service{newHost("a.example", 1)}, nil, nil); err != nil {
		t.Fatal(err)
	}
	now = 10 * time.Second
	store.Verify(6, 9*time.Second)
	if _, _, known := store.VerificationAge(); known {
		t.Error("a version that is not known here was verified, want no age")
	}
	store.Verify(5, 8*time.Second)
	store.Verify(5, 7*time.Second)
	if v, age, known := store.VerificationAge(); v != 5 || age != 2*time.Second || !known {
		t.Errorf("version %d, age %s, known %t; want version 5, 2s, true", v, age, known)
	}
}
