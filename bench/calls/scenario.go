// Package calls measures the share of good calls and the latency of each class of a
// deployment under load and faults, and compares them with the declared targets.
package calls

import (
	"cmp"
	"slices"

	"fescuehoist.example/bench/fleet"
	"fescuehoist.example/bench/load"
	"fescuehoist.example/mesh/target"
)

// Scenario is one load profile with its faults.
type Scenario struct {
	Name string
	// FloodLeastUrgent and FloodMostUrgent flood the least and the most urgent class.
	FloodLeastUrgent, FloodMostUrgent bool
	// OneClient makes a single client send the flood, while the other clients
	// send their normal load of the same class.
	OneClient bool
	// LoseDomain kills every host of a failure domain during the run.
	LoseDomain bool
	// Misreporting gives one server of each service fewer slots than it announces
	// and makes another one slow. Both still announce themselves as healthy.
	Misreporting bool
}

// Scenarios returns all scenarios.
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

// Offered load of a class as a share of its service's slots.
const (
	// normalUrgent is the normal load of the most urgent class of a service,
	// normalOther that of each other class. With two classes they add up to 60% of
	// the slots.
	normalUrgent = 0.36
	normalOther  = 0.24
	// floodShare is the load of a flooded class.
	floodShare = 3.0
	// aboveGuarantee is the load of the other classes of the service while its most
	// urgent class, the most urgent of all, is flooded, as a multiple of their
	// guaranteed shares.
	aboveGuarantee = 1.2
)

// clients are the names of the clients that send the normal load.
var clients = []string{"client-a", "client-b", "client-c", "client-d"}

// floodClient is the client that sends the flood if OneClient is set.
const floodClient = "client-flood"

// lostDomain is the suffix of the name of the failure domain that is lost.
const lostDomain = "-c"

// Faults of the servers of a misreporting scenario.
const (
	// slotsDivisor divides the slots of the server that announces too many.
	slotsDivisor = 3
	// slowServerFactor multiplies the service times of the slow server.
	slowServerFactor = 2
)

// deployment returns the named deployment, with its servers modified for the
// scenario.
func (s *Scenario) deployment(name string) *fleet.Deployment {
	d := fleet.Nuqta()
	if name == "trinacria" {
		d = fleet.Trinacria()
	}
	if !s.Misreporting {
		return d
	}
	serverCount := map[string]int{}
	for i := range d.Servers {
		server := &d.Servers[i]
		serverCount[server.Service]++
		switch serverCount[server.Service] {
		case 1:
			server.Announced, server.Slots = server.Slots, server.Slots/slotsDivisor
		case 2:
			server.Slowdown = slowServerFactor
		}
	}
	return d
}

// demand is the load of one class and its entitlement under the targets.
type demand struct {
	service *target.Service
	class   *target.Class
	// serviceSeconds is the service time of a call in seconds.
	serviceSeconds float64
	// offered is the offered load, reserved the part of it within the guaranteed
	// share, and entitled what the targets entitle the class to; all in slots.
	offered, reserved, entitled float64
	// streams are the indexes of the class's streams in the plan.
	streams []int
}

// plan is the load of one scenario on one deployment.
type plan struct {
	streams []load.Stream
	demands []*demand
}

// newPlan returns the streams of a scenario on a deployment, and the demand of each
// class.
func (s *Scenario) newPlan(d *fleet.Deployment, targets []*target.Service) *plan {
	p := &plan{}
	mostUrgentClass, leastUrgentClass := mostAndLeastUrgent(targets)
	for _, service := range targets {
		slots := announcedSlots(d, service.Name)
		var demands []*demand
		for i := range service.Classes {
			c := &service.Classes[i]
			share := normalOther
			if c == mostUrgent(service) {
				share = normalUrgent
			}
			flooded := (s.FloodMostUrgent && c == mostUrgentClass) || (s.FloodLeastUrgent && c == leastUrgentClass)
			if s.FloodMostUrgent && !flooded && mostUrgent(service) == mostUrgentClass {
				share = aboveGuarantee * c.GuaranteedShare
			}
			demands = append(demands, p.addClass(s, service, c, d, slots*share, flooded, slots))
		}
		s.setEntitlements(demands, s.effectiveSlots(d, service.Name))
		p.demands = append(p.demands, demands...)
	}
	return p
}

// addClass adds the streams of one class and returns its demand. normal is the
// normal load of the class and slots the number of slots of its service.
func (p *plan) addClass(s *Scenario, service *target.Service, c *target.Class, d *fleet.Deployment,
	normal float64, flooded bool, slots float64) *demand {
	m := &demand{service: service, class: c, serviceSeconds: d.Work(c.Method, c.Path).Seconds(), offered: normal}
	stream := load.Stream{
		Service: service.Name, Class: c.Name, Method: c.Method, Path: c.Path, Clients: clients,
		Rate: normal / m.serviceSeconds, Latency: c.Latency, Idempotent: c.Idempotent, BodySize: bodySize(c.Method),
	}
	if flooded && !s.OneClient {
		m.offered = slots * floodShare
		stream.Rate = m.offered / m.serviceSeconds
	}
	m.streams = append(m.streams, len(p.streams))
	p.streams = append(p.streams, stream)
	if flooded && s.OneClient {
		m.offered += slots * floodShare
		stream.Rate, stream.Clients = slots*floodShare/m.serviceSeconds, []string{floodClient}
		m.streams = append(m.streams, len(p.streams))
		p.streams = append(p.streams, stream)
	}
	return m
}

// bodySize returns the size of a request's body in bytes.
func bodySize(method string) int {
	if method == "GET" {
		return 0
	}
	return 1 << 10
}

// announcedSlots returns the number of slots that the servers of a service
// announce.
func announcedSlots(d *fleet.Deployment, service string) float64 {
	n := 0
	for _, server := range d.Servers {
		if server.Service == service {
			n += max(server.Slots, server.Announced)
		}
	}
	return float64(n)
}

// effectiveSlots returns the number of slots of a service, without those of the
// lost failure domain and with those of slow servers divided by their slowdown.
func (s *Scenario) effectiveSlots(d *fleet.Deployment, service string) float64 {
	n := 0.0
	for _, server := range d.Servers {
		if server.Service != service || (s.LoseDomain && inLostDomain(server.Domain)) {
			continue
		}
		n += float64(server.Slots) / float64(max(server.Slowdown, 1))
	}
	return n
}

func inLostDomain(domain string) bool { return domain[len(domain)-len(lostDomain):] == lostDomain }

// setEntitlements computes the slots that the targets entitle each class of a
// service to: its guaranteed share, and of the remaining slots those that more
// urgent classes do not use.
func (s *Scenario) setEntitlements(demands []*demand, slots float64) {
	available := slots
	for _, m := range demands {
		m.reserved = min(m.offered, m.class.GuaranteedShare*slots)
		m.entitled = m.reserved
		available -= m.reserved
	}
	byRank := slices.Clone(demands)
	slices.SortFunc(byRank, func(a, b *demand) int { return cmp.Compare(a.class.Rank, b.class.Rank) })
	for _, m := range byRank {
		granted := min(m.offered-m.reserved, available)
		m.entitled += granted
		available -= granted
	}
}

// mostUrgent returns the class of a service with the lowest rank.
func mostUrgent(s *target.Service) *target.Class {
	most := &s.Classes[0]
	for i := range s.Classes {
		if s.Classes[i].Rank < most.Rank {
			most = &s.Classes[i]
		}
	}
	return most
}

// mostAndLeastUrgent returns the classes with the lowest and the highest rank of
// all services.
func mostAndLeastUrgent(targets []*target.Service) (most, least *target.Class) {
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
