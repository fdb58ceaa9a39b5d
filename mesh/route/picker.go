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

const (
	// crossingCost is the time that a call takes to another failure domain and
	// back.
	crossingCost = 3 * time.Millisecond
	// defaultService stands for a service time that is not known.
	defaultService = 50 * time.Millisecond
	// draws is the number of random servers that are compared.
	draws = 2
	// maxEjected is the share of a service's servers that may be left out; if
	// more fail, none is.
	maxEjected = 0.5
	// minSeen is the number of servers below which none is dropped, and
	// forgetAfter how long a server goes without calls before it may be.
	minSeen     = 64
	forgetAfter = time.Minute
	// anywhere stands for any failure domain.
	anywhere = ""
)

// Picker chooses backend servers by what this daemon saw of them.
type Picker struct {
	domain string

	mu   sync.Mutex
	seen map[member.ServerID]*observation
	// forgetAt is the number of servers at which old ones are dropped.
	forgetAt int
}

// NewPicker returns a picker for a daemon in the given failure domain.
func NewPicker(domain string) *Picker {
	return &Picker{domain: domain, seen: map[member.ServerID]*observation{}, forgetAt: minSeen}
}

// Query says what a call needs of a server.
type Query struct {
	// Class names the class of the call.
	Class string
	// Tried lists the servers that the call was sent to already.
	Tried []member.ServerID
	// NeedRoom asks for a server that likely has room.
	NeedRoom bool
}

// Outcome is what a call told of its server.
type Outcome struct {
	// Class names the class of the call.
	Class string
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
		o := p.observe(chosen.Server)
		o.inflight++
		o.usedAt = time.Now()
	}
	return chosen
}

func (p *Picker) choose(servers []*member.Record, q Query) *member.Record {
	if q.NeedRoom {
		return p.roomy(servers, q)
	}
	d := draw{picker: p, servers: servers, tried: q.Tried, now: time.Now()}
	var best *member.Record
	for range draws {
		best = p.cheaper(q.Class, best, d.next(best, anywhere))
	}
	return p.cheaper(q.Class, best, d.next(best, p.domain))
}

// cheaper returns the server with the lower cost; either may be nil.
func (p *Picker) cheaper(class string, a, b *member.Record) *member.Record {
	if a == nil || (b != nil && p.cost(class, b) < p.cost(class, a)) {
		return b
	}
	return a
}

// maxLooked bounds the servers that are looked at for room.
const maxLooked = 16

// roomy returns the cheapest of some servers that likely have room, or nil.
func (p *Picker) roomy(servers []*member.Record, q Query) *member.Record {
	var best *member.Record
	now := time.Now()
	for i, r := range around(servers) {
		if i >= maxLooked {
			break
		}
		if slices.Contains(q.Tried, r.Server) || !p.observe(r.Server).hasRoom(now) {
			continue
		}
		if best == nil || p.cost(q.Class, r) < p.cost(q.Class, best) {
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

// draw is one call's choice of random servers.
type draw struct {
	picker  *Picker
	servers []*member.Record
	tried   []member.ServerID
	now     time.Time
	// counted says that keepEjected is known: whether so many servers fail
	// that none is left out.
	counted, keepEjected bool
}

// next returns a random server of a failure domain, or of any, that was not
// tried, is not ejected and is not other.
func (d *draw) next(other *member.Record, domain string) *member.Record {
	for _, r := range around(d.servers) {
		if r == other || (domain != anywhere && r.Domain != domain) || slices.Contains(d.tried, r.Server) {
			continue
		}
		if !d.leftOut(r) {
			return r
		}
	}
	return nil
}

func (d *draw) leftOut(r *member.Record) bool {
	if !d.picker.observe(r.Server).ejected(d.now) {
		return false
	}
	if !d.counted {
		d.keepEjected = !d.picker.mayEject(d.servers, d.now)
		d.counted = true
	}
	return !d.keepEjected
}

// mayEject reports whether few enough servers are ejected to leave them out.
func (p *Picker) mayEject(servers []*member.Record, now time.Time) bool {
	n := 0
	for _, r := range servers {
		if p.observe(r.Server).ejected(now) {
			n++
		}
	}
	return float64(n) <= maxEjected*float64(len(servers))
}

// cost estimates how long a call of a class would take, the more so the less room the
// server has.
func (p *Picker) cost(class string, r *member.Record) time.Duration {
	o, now := p.observe(r.Server), time.Now()
	busy, limit := o.busy(r.Slots, now)
	service := o.services[class]
	if service == 0 {
		service = defaultService
	}
	share := float64(busy+1) / float64(limit)
	cost := service + time.Duration(share*float64(service))
	if r.Domain != p.domain {
		cost += crossingCost
	}
	if r.Health == member.Suspected || now.Sub(o.refusedAt) < RefusalLifetime {
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
	o.note(out, time.Now())
}

func (p *Picker) observe(server member.ServerID) *observation {
	o := p.seen[server]
	if o == nil {
		p.forget()
		o = &observation{services: map[string]time.Duration{}}
		p.seen[server] = o
	}
	return o
}

// forget drops servers that were not called for long, whenever the number of
// servers has doubled since the last time.
func (p *Picker) forget() {
	if len(p.seen) < p.forgetAt {
		return
	}
	now := time.Now()
	for id, o := range p.seen {
		if o.inflight == 0 && now.Sub(o.usedAt) > forgetAfter {
			delete(p.seen, id)
		}
	}
	p.forgetAt = max(2*len(p.seen), minSeen)
}
