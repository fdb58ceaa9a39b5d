package route

import (
	"iter"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
)

// LoadLifetime is how long a reported load counts.
const LoadLifetime = time.Second

// RefusalLifetime is how long a backend server that refused a call is avoided.
const RefusalLifetime = 50 * time.Millisecond

// RoomLifetime is how long a server is thought to have the room that it had.
const RoomLifetime = 200 * time.Millisecond

const (
	// crossingCost is the time that a call takes to another failure domain and
	// back.
	crossingCost = 3 * time.Millisecond
	// defaultService stands for a service time that is not known.
	defaultService = 50 * time.Millisecond
	// draws is the number of random servers that are compared.
	draws = 2
	// anywhere stands for any failure domain.
	anywhere = ""
)

// Picker chooses backend servers by what this daemon saw of them.
type Picker struct {
	domain string

	mu   sync.Mutex
	seen map[member.ServerID]*observation
}

// observation is what this daemon knows of one backend server's load.
type observation struct {
	inflight int
	load     call.Load
	loadAt   time.Time
	// inflightThen is what was in flight when the load was reported.
	inflightThen int
	refusedAt    time.Time
}

// NewPicker returns a picker for a daemon in the given failure domain.
func NewPicker(domain string) *Picker {
	return &Picker{domain: domain, seen: map[member.ServerID]*observation{}}
}

// Query says what a call needs of a server.
type Query struct {
	// Tried lists the servers that the call was sent to already.
	Tried []member.ServerID
	// NeedRoom asks for a server that likely has room.
	NeedRoom bool
}

// Outcome is what a call told of its server.
type Outcome struct {
	// Load is zero if the answer carried none.
	Load call.Load
	// Failure is nil if the call was answered.
	Failure *call.Failure
}

// Pick returns the best of two random servers and one of the own failure
// domain that were not tried, or nil if there is none, and counts a call to it
// as in flight.
func (p *Picker) Pick(s *Service, q Query) *member.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	chosen := p.choose(s.Servers, q)
	if chosen != nil {
		p.observe(chosen.Server).inflight++
	}
	return chosen
}

func (p *Picker) choose(servers []*member.Record, q Query) *member.Record {
	if q.NeedRoom {
		return p.roomy(servers, q.Tried)
	}
	var best *member.Record
	for range draws {
		best = p.cheaper(best, p.draw(servers, q.Tried, best, anywhere))
	}
	return p.cheaper(best, p.draw(servers, q.Tried, best, p.domain))
}

// cheaper returns the server with the lower cost; either may be nil.
func (p *Picker) cheaper(a, b *member.Record) *member.Record {
	if a == nil || (b != nil && p.cost(b) < p.cost(a)) {
		return b
	}
	return a
}

// maxLooked bounds the servers that are looked at for room.
const maxLooked = 16

// roomy returns the cheapest of some servers that likely have room, or nil.
func (p *Picker) roomy(servers []*member.Record, tried []member.ServerID) *member.Record {
	var best *member.Record
	for i, r := range around(servers) {
		if i >= maxLooked {
			break
		}
		if slices.Contains(tried, r.Server) || !p.hasRoom(r) {
			continue
		}
		if best == nil || p.cost(r) < p.cost(best) {
			best = r
		}
	}
	return best
}

// around yields all servers once, from a random one on.
func around(servers []*member.Record) iter.Seq2[int, *member.Record] {
	return func(yield func(int, *member.Record) bool) {
		if len(servers) == 0 {
			return
		}
		start := rand.IntN(len(servers))
		for i := range servers {
			if !yield(i, servers[(start+i)%len(servers)]) {
				return
			}
		}
	}
}

// hasRoom reports whether a server said of late that it has a free slot, and
// did not refuse a call since.
func (p *Picker) hasRoom(r *member.Record) bool {
	o := p.observe(r.Server)
	return time.Since(o.loadAt) < RoomLifetime && o.loadAt.After(o.refusedAt) &&
		o.load.Queued == 0 && max(o.load.Running, o.inflight) < o.load.Limit
}

// draw returns a random server of a failure domain, or of any, that was not
// tried and is not other.
func (p *Picker) draw(servers []*member.Record, tried []member.ServerID, other *member.Record, domain string) *member.Record {
	for _, r := range around(servers) {
		if r == other || (domain != anywhere && r.Domain != domain) || slices.Contains(tried, r.Server) {
			continue
		}
		return r
	}
	return nil
}

// cost estimates how long a call would take, the more so the less room the
// server has.
func (p *Picker) cost(r *member.Record) time.Duration {
	o := p.observe(r.Server)
	busy, limit, service := o.inflight, max(r.Slots, 1), defaultService
	if time.Since(o.loadAt) < LoadLifetime {
		busy = max(busy, o.load.Running+o.load.Queued+o.inflight-o.inflightThen)
		limit = max(o.load.Limit, 1)
	}
	if o.load.Service > 0 {
		service = o.load.Service
	}
	share := float64(busy+1) / float64(limit)
	cost := service + time.Duration(share*float64(service))
	if r.Domain != p.domain {
		cost += crossingCost
	}
	if r.Health == member.Suspected || time.Since(o.refusedAt) < RefusalLifetime {
		cost += service
	}
	return cost
}

// Done ends a call that Pick started and notes what it told of the server.
func (p *Picker) Done(server member.ServerID, out Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.observe(server)
	o.inflight--
	now := time.Now()
	if out.Load.Limit > 0 {
		o.load, o.loadAt, o.inflightThen = out.Load, now, o.inflight
	}
	if out.Failure != nil {
		o.refusedAt = now
	}
}

func (p *Picker) observe(server member.ServerID) *observation {
	o := p.seen[server]
	if o == nil {
		o = &observation{}
		p.seen[server] = o
	}
	return o
}
