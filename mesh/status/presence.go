package status

import (
	"cmp"
	"slices"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
)

// MaxNamed is the maximum number of daemons and of refusals listed in a
// summary.
const MaxNamed = 16

// Presence counts a group of daemons by the version that they have in force.
type Presence struct {
	// Daemons holds the number of daemons by version in force.
	Daemons map[manifest.Version]int
	// Behind lists the daemons with the lowest versions.
	Behind []Laggard
	// Refusals holds the number of daemons by the refusal that keeps a version
	// out of force.
	Refusals map[Refusal]int
}

// Laggard is a daemon and the version that it has in force.
type Laggard struct {
	Server  member.ServerID
	Version manifest.Version
}

// Refusal is a version that cannot be put in force, and why.
type Refusal struct {
	Version manifest.Version
	Reason  string
}

// newPresence returns the presence of one daemon.
func newPresence(server member.ServerID, v manifest.Version, refusal *manifest.Refusal) *Presence {
	p := &Presence{
		Daemons:  map[manifest.Version]int{v: 1},
		Behind:   []Laggard{{Server: server, Version: v}},
		Refusals: map[Refusal]int{},
	}
	if refusal != nil {
		p.Refusals[Refusal{Version: refusal.Version, Reason: refusal.Error()}] = 1
	}
	return p
}

// add adds the presence of other daemons.
func (p *Presence) add(other *Presence) {
	for v, n := range other.Daemons {
		p.Daemons[v] += n
	}
	for r, n := range other.Refusals {
		if _, known := p.Refusals[r]; known || len(p.Refusals) < MaxNamed {
			p.Refusals[r] += n
		}
	}
	p.Behind = append(p.Behind, other.Behind...)
	slices.SortFunc(p.Behind, func(a, b Laggard) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Server, b.Server))
	})
	p.Behind = p.Behind[:min(len(p.Behind), MaxNamed)]
}

// count returns the number of daemons.
func (p *Presence) count() int {
	total := 0
	for _, n := range p.Daemons {
		total += n
	}
	return total
}

// newest returns the highest version in force.
func (p *Presence) newest() manifest.Version {
	var newest manifest.Version
	for v := range p.Daemons {
		newest = max(newest, v)
	}
	return newest
}
