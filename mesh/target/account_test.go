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
		"shared key":        {[]Account{testAccount("a", "k"), testAccount("b", "k")}, `account "b", keys: a key is held by account "a", too`},
		"declared twice":    {[]Account{testAccount("a", "k"), testAccount("a", "l")}, `account "a", name: declared twice`},
	} {
		var problems []Problem
		var groups []*AccountGroup
		for _, g := range GroupAccounts(c.accounts) {
			problems = append(problems, g.Validate()...)
			groups = append(groups, &g)
		}
		if len(problems) == 0 {
			_, problems = NewAccounts(groups)
		}
		if len(problems) != 1 || !strings.Contains(problems[0].Error(), c.want) {
			t.Errorf("%s: got %v, want one problem with %q", name, problems, c.want)
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
