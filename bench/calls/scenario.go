// Package calls measures what each class of work gets from a deployment under
// load and faults, and compares it with what its targets declare.
package calls

import (
	"cmp"
	"slices"

	"fescuehoist.example/bench/fleet"
	"fescuehoist.example/bench/load"
	"fescuehoist.example/mesh/target"
)

// Scenario is one kind of load, with its faults.
type Scenario struct {
	Name string
	// FloodLeastUrgent and FloodMostUrgent flood the least and the most urgent class.
	FloodLeastUrgent, FloodMostUrgent bool
	// OneClient says that a single client makes the flood, beside the others'
	// calm calls of the same class.
	OneClient bool
	// LoseDomain ends every host of a failure domain while calls run.
	LoseDomain bool
	// Misreporting gives a server of each service fewer slots than it announces, and
	// makes another slow; both go on to announce themselves as healthy.
	Misreporting bool
}

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "calm"},
		{Name: "flood-least", FloodLeastUrgent: true},
		{Name: "flood-most", FloodMostUrgent: true},
		{Name: "flood-both", FloodLeastUrgent: true, FloodMostUrgent: true},
		{Name: "lost-domain", FloodLeastUrgent: true, LoseDomain: true},
		{Name: "one-client", FloodMostUrgent: true, OneClient: true},
		{Name: "lying", Misreporting: true},
	}
}

// Shares of a service's capacity that are offered.
const (
	// calmUrgent and calmOther make up 60% of the capacity.
	calmUrgent = 0.36
	calmOther  = 0.24
	// flood is offered of a flooded class.
	flood = 3.0
	// beyondKeep is offered of the other classes during a flood of the most
	// urgent class, as a multiple of the share that they keep.
	beyondKeep = 1.2
)

// Names of clients; the last makes floods alone.
var clients = []string{"client-a", "client-b", "client-c", "client-d"}

const floodClient = "client-flood"

// lostDomain is the failure domain that is lost, as the suffix of its name.
const lostDomain = "-c"

// Ways in which a server lies.
const (
	lyingSlots    = 3
	lyingSlowdown = 2
)

// deployment returns the named deployment, changed as the scenario asks.
func (s *Scenario) deployment(name string) *fleet.Deployment {
	d := fleet.Nuqta()
	if name == "trinacria" {
		d = fleet.Trinacria()
	}
	if !s.Misreporting {
		return d
	}
	seen := map[string]int{}
	for i := range d.Servers {
		server := &d.Servers[i]
		seen[server.Service]++
		switch seen[server.Service] {
		case 1:
			server.Announced, server.Slots = server.Slots, server.Slots/lyingSlots
		case 2:
			server.Slowdown = lyingSlowdown
		}
	}
	return d
}

// demand is what is offered of one class, and what the targets entitle it to,
// in slots.
type demand struct {
	service *target.Service
	class   *target.Class
	// seconds is the service time of a call.
	seconds                     float64
	offered, reserved, entitled float64
	streams                     []int
}

// plan is the load of one scenario on one deployment.
type plan struct {
	streams []load.Stream
	demands []*demand
}

// newPlan returns the load of a scenario.
func (s *Scenario) newPlan(d *fleet.Deployment, targets []*target.Service) *plan {
	p := &plan{}
	most, least := extremes(targets)
	for _, service := range targets {
		slots := announcedSlots(d, service.Name)
		var demands []*demand
		for i := range service.Classes {
			c := &service.Classes[i]
			share := calmOther
			if c == mostUrgent(service) {
				share = calmUrgent
			}
			flooded := (s.FloodMostUrgent && c == most) || (s.FloodLeastUrgent && c == least)
			if s.FloodMostUrgent && !flooded && mostUrgent(service) == most {
				share = beyondKeep * c.GuaranteedShare
			}
			demands = append(demands, p.add(s, service, c, d, slots*share, flooded, slots))
		}
		s.entitle(demands, s.slotsLeft(d, service.Name))
		p.demands = append(p.demands, demands...)
	}
	return p
}

// add plans the calls of one class, given the slots that calm calls use.
func (p *plan) add(s *Scenario, service *target.Service, c *target.Class, d *fleet.Deployment,
	calm float64, flooded bool, slots float64) *demand {
	m := &demand{service: service, class: c, seconds: d.Work(c.Method, c.Path).Seconds(), offered: calm}
	stream := load.Stream{
		Service: service.Name, Class: c.Name, Method: c.Method, Path: c.Path, Clients: clients,
		Rate: calm / m.seconds, Latency: c.Latency, Idempotent: c.Idempotent, BodySize: bodySize(c.Method),
	}
	if flooded && !s.OneClient {
		m.offered = slots * flood
		stream.Rate = m.offered / m.seconds
	}
	m.streams = append(m.streams, len(p.streams))
	p.streams = append(p.streams, stream)
	if flooded && s.OneClient {
		m.offered += slots * flood
		stream.Rate, stream.Clients = slots*flood/m.seconds, []string{floodClient}
		m.streams = append(m.streams, len(p.streams))
		p.streams = append(p.streams, stream)
	}
	return m
}

func bodySize(method string) int {
	if method == "GET" {
		return 0
	}
	return 1 << 10
}

// announcedSlots returns the slots that the servers of a service announce.
func announcedSlots(d *fleet.Deployment, service string) float64 {
	n := 0
	for _, server := range d.Servers {
		if server.Service == service {
			n += max(server.Slots, server.Announced)
		}
	}
	return float64(n)
}

// slotsLeft returns the slots of a service, as many as remain after a loss and
// as slow ones are worth.
func (s *Scenario) slotsLeft(d *fleet.Deployment, service string) float64 {
	n := 0.0
	for _, server := range d.Servers {
		if server.Service != service || (s.LoseDomain && lost(server.Domain)) {
			continue
		}
		n += float64(server.Slots) / float64(max(server.Slowdown, 1))
	}
	return n
}

func lost(domain string) bool { return domain[len(domain)-len(lostDomain):] == lostDomain }

// entitle works out what the targets of a service entitle each class to: the
// share that it keeps, and of the rest what more urgent classes leave.
func (s *Scenario) entitle(demands []*demand, slots float64) {
	left := slots
	for _, m := range demands {
		m.reserved = min(m.offered, m.class.GuaranteedShare*slots)
		m.entitled = m.reserved
		left -= m.reserved
	}
	byRank := slices.Clone(demands)
	slices.SortFunc(byRank, func(a, b *demand) int { return cmp.Compare(a.class.Rank, b.class.Rank) })
	for _, m := range byRank {
		more := min(m.offered-m.reserved, left)
		m.entitled += more
		left -= more
	}
}

func mostUrgent(s *target.Service) *target.Class {
	most := &s.Classes[0]
	for i := range s.Classes {
		if s.Classes[i].Rank < most.Rank {
			most = &s.Classes[i]
		}
	}
	return most
}

// extremes returns the most and the least urgent class of all.
func extremes(targets []*target.Service) (most, least *target.Class) {
	for _, s := range targets {
		for i := range s.Classes {
			c := &s.Classes[i]
			if most == nil || c.Rank < most.Rank {
				most = c
			}
			if least == nil || c.Rank > least.Rank {
				least = c
			}
		}
	}
	return most, least
}
