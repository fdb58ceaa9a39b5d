package route

import (
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

// crossingCost is the queue, as a share of a server's limit, at which a server
// of another failure domain becomes the better choice.
const crossingCost = 0.25

// Picker chooses backend servers by what this daemon saw of them.
type Picker struct {
	domain string

	mu   sync.Mutex
	seen map[member.ServerID]*observation
}

// observation is what this daemon knows of one backend server's load.
type observation struct {
	inflight  int
	load      call.Load
	loadAt    time.Time
	refusedAt time.Time
}

// NewPicker returns a picker for a daemon in the given failure domain.
func NewPicker(domain string) *Picker {
	return &Picker{domain: domain, seen: map[member.ServerID]*observation{}}
}

// Pick returns the better of two random servers that are not excluded, or nil
// if there is none, and counts a call to it as in flight.
func (p *Picker) Pick(s *Service, exclude []member.ServerID) *member.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.draw(s.Servers, exclude, nil)
	if a == nil {
		return nil
	}
	b := p.draw(s.Servers, exclude, a)
	if b != nil && p.cost(b) < p.cost(a) {
		a = b
	}
	p.observe(a.Server).inflight++
	return a
}

// draw returns a random server that is neither excluded nor other.
func (p *Picker) draw(servers []*member.Record, exclude []member.ServerID, other *member.Record) *member.Record {
	n := len(servers)
	if n == 0 {
		return nil
	}
	start := rand.IntN(n)
	for i := range n {
		r := servers[(start+i)%n]
		if r != other && !slices.Contains(exclude, r.Server) {
			return r
		}
	}
	return nil
}

// cost estimates how long a call would wait, in shares of the server's limit.
func (p *Picker) cost(r *member.Record) float64 {
	o := p.observe(r.Server)
	busy := o.inflight
	limit := max(r.Slots, 1)
	if time.Since(o.loadAt) < LoadLifetime {
		busy = max(busy, o.load.Running+o.load.Queued)
		limit = max(o.load.Limit, 1)
	}
	cost := float64(busy) / float64(limit)
	if r.Domain != p.domain {
		cost += crossingCost
	}
	if r.Health == member.Suspected {
		cost++
	}
	if time.Since(o.refusedAt) < RefusalLifetime {
		cost++
	}
	return cost
}

// Done ends a call that Pick started and notes what it told of the server.
func (p *Picker) Done(server member.ServerID, load call.Load, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.observe(server)
	o.inflight--
	now := time.Now()
	if load.Limit > 0 {
		o.load, o.loadAt = load, now
	}
	if refused {
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
