package manifest_test

import (
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
		if _, err := reader.ApplyFull(manifest.Version(v+1), services, accounts); err != nil {
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

// Guards against a bad version that removes accounts which are in use.
func TestAccountsInForceStayWhenLaterOnesAreInvalid(t *testing.T) {
	store := manifest.NewStore()
	store.ApplyByService()
	services := []target.Service{newHost("a.example", 1)}
	if _, err := store.ApplyFull(1, services, []target.Account{account("one", "k1")}); err != nil {
		t.Fatal(err)
	}
	bad := account("two", "k2")
	bad.Rate = -1
	for v, accounts := range map[manifest.Version][]target.Account{
		2: {account("one", "k1"), account("two", "k1")},
		3: {account("one", "k1"), bad},
	} {
		if _, err := store.ApplyFull(v, services, accounts); err != nil {
			t.Fatal(err)
		}
		if holder(store, "k1") != "one" || holder(store, "k2") != "" {
			t.Errorf("version %d: key k1 is held by %q and k2 by %q, want \"one\" and none", v, holder(store, "k1"), holder(store, "k2"))
		}
		if r := store.Refusal(); r == nil || !strings.Contains(r.Error(), `account "two"`) {
			t.Errorf("version %d: refusal %v, want one that names account \"two\"", v, r)
		}
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
	if _, err := store.ApplyFull(5, []target.Service{newHost("a.example", 1)}, nil); err != nil {
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
