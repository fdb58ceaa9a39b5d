package target

import (
	"fmt"
	"strings"
	"testing"
)

func testAccount(name string, keys ...string) Account {
	a := Account{Name: name}
	for _, k := range keys {
		a.Keys = append(a.Keys, DigestKey([]byte(k)))
	}
	return a
}

// Guards against a change of one account that sends all accounts to the daemons.
func TestGroupAccountsChangeOfOneAccountChangesOneGroup(t *testing.T) {
	var accounts []Account
	for i := range 100 {
		accounts = append(accounts, testAccount(fmt.Sprint("account-", i), fmt.Sprint("key-", i)))
	}
	before := map[string]Digest{}
	for _, g := range GroupAccounts(accounts) {
		if !IsAccountGroup(g.Name) || ValidHost(g.Name) {
			t.Errorf("group %q: want a name of a group that no service can have", g.Name)
		}
		before[g.Name] = g.Digest()
	}
	accounts[17].Burst = 3
	changed := 0
	for _, g := range GroupAccounts(accounts) {
		if before[g.Name] != g.Digest() {
			changed++
		}
	}
	if changed != 1 || len(before) != AccountGroups {
		t.Errorf("%d of %d groups changed, want 1 of %d", changed, len(before), AccountGroups)
	}
}

// Guards against bad accounts that are put in force, and against errors that do not say
// which account is wrong.
func TestAccountsWithProblemsAreRefusedByName(t *testing.T) {
	for name, c := range map[string]struct {
		accounts []Account
		want     string
	}{
		"negative rate":     {[]Account{{Name: "a", Rate: -1}}, `account "a", rate: -1`},
		"negative burst":    {[]Account{{Name: "a", Burst: -2}}, `account "a", burst: -2`},
		"negative rank":     {[]Account{{Name: "a", Rank: -1}}, `account "a", rank: -1`},
		"no name":           {[]Account{{}}, "an account has no name"},
		"name with a break": {[]Account{{Name: "a\r\nX: y"}}, "name"},
		"unreadable":        {[]Account{{Name: "a", Fault: "not a number"}}, `account "a": not a number`},
		"name with a space": {[]Account{{Name: "a "}}, "name"},
		"long name":         {[]Account{{Name: strings.Repeat("a", MaxAccountNameLength+1)}}, "name"},
		"shared key":        {[]Account{testAccount("a", "k"), testAccount("b", "k")}, `account "b", keys: a key is held by account "a", too`},
		"declared twice":    {[]Account{testAccount("a", "k"), testAccount("a", "l")}, `account "a", name: declared twice`},
	} {
		sound := testAccount("z", "key-of-z")
		var groups []*AccountGroup
		for _, g := range GroupAccounts(append(c.accounts, sound)) {
			groups = append(groups, &g)
		}
		directory, problems := NewAccounts(groups)
		if len(problems) != 1 || !strings.Contains(problems[0].Error(), c.want) {
			t.Errorf("%s: got %v, want one problem with %q", name, problems, c.want)
		}
		if directory.ByKey(sound.Keys[0]) == nil || !directory.Required() {
			t.Errorf("%s: the key of another account is unknown", name)
		}
		for _, a := range c.accounts {
			for _, k := range a.Keys {
				if holder := directory.ByKey(k); (holder != nil) == directory.RefusesKey(k) {
					t.Errorf("%s: a key is held by %+v, refused: %t; want one of both", name, holder, directory.RefusesKey(k))
				}
			}
		}
	}
}

// Guards against calls that need no key since all accounts of a version have problems.
func TestAccountsWithProblemsStillRequireKeys(t *testing.T) {
	groups := GroupAccounts([]Account{{Name: "a", Rate: -1}})
	if directory, _ := NewAccounts([]*AccountGroup{&groups[0]}); directory.Len() > 0 || !directory.Required() {
		t.Errorf("%d accounts, keys required: %t; want none and true", directory.Len(), directory.Required())
	}
}

// Guards against names that pages allow and daemons refuse.
func TestAccountsTakeUnusualNames(t *testing.T) {
	for _, name := range []string{"Perth North", "a", "Ørsted & Söner", "7/11", "\"quoted\", it's", strings.Repeat("n", 300)} {
		groups := GroupAccounts([]Account{testAccount(name, "k")})
		if directory, problems := NewAccounts([]*AccountGroup{&groups[0]}); len(problems) > 0 || directory.ByName(name) == nil {
			t.Errorf("name %.40q: problems %v, want none", name, problems)
		}
	}
}

func TestAccountRankPrecedesRankOfClass(t *testing.T) {
	urgent, other := Account{Rank: 1}, Account{Rank: 2}
	if urgent.RankFor(MaxRank) >= other.RankFor(1) {
		t.Errorf("rank %d of the least urgent class of the urgent account, %d of the most urgent one of the other; want the former first",
			urgent.RankFor(MaxRank), other.RankFor(1))
	}
}
