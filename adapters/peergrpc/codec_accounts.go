package peergrpc

import (
	"fmt"

	"fescuehoist.example/adapters/peergrpc/peerpb"
	"fescuehoist.example/mesh/target"
)

func encodeAccounts(g *target.AccountGroup) *peerpb.AccountGroup {
	out := &peerpb.AccountGroup{Name: g.Name}
	for i := range g.Accounts {
		a := &g.Accounts[i]
		account := &peerpb.Account{Name: a.Name, Rank: int32(a.Rank), Rate: a.Rate, Burst: a.Burst, Fault: a.Fault}
		for k := range a.Keys {
			account.Keys = append(account.Keys, a.Keys[k][:])
		}
		out.Accounts = append(out.Accounts, account)
	}
	return out
}

func decodeAccounts(in *peerpb.AccountGroup) (*target.AccountGroup, error) {
	g := &target.AccountGroup{Name: in.GetName()}
	for _, account := range in.GetAccounts() {
		a := target.Account{Name: account.GetName(), Rank: int(account.GetRank()), Rate: account.GetRate(), Burst: account.GetBurst(), Fault: account.GetFault()}
		for _, k := range account.GetKeys() {
			if len(k) != len(target.KeyDigest{}) {
				return nil, fmt.Errorf("account %.80q: digest of a key has %d bytes, want %d", a.Name, len(k), len(target.KeyDigest{}))
			}
			a.Keys = append(a.Keys, target.KeyDigest(k))
		}
		g.Accounts = append(g.Accounts, a)
	}
	return g, nil
}
