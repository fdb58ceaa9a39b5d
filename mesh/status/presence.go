package status

import (
	"cmp"
	"slices"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
)

// MaxNamed bounds the daemons and refusals that a summary names.
const MaxNamed = 16

// Presence says which versions some daemons have in force.
type Presence struct {
	// Daemons counts by version in force.
	Daemons map[manifest.Version]int
	// Behind names the daemons with the lowest versions.
	Behind []Laggard
	// Refusals counts daemons by the refusal that keeps a version out.
	Refusals map[Refusal]int
}

// Laggard is a daemon and the version that it has in force.
type Laggard struct {
	Server  member.ServerID
	Version manifest.Version
}

// Refusal is a version that is not put in force, and why.
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
