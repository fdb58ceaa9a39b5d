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
	// crossingShare is the part of a class's target latency that a kilobyte
	// carried to another failure domain counts for.
	crossingShare = 0.02
	// easyLoad is the part of a server's limit up to which a call hardly waits,
	// and queueMargin the wait at the limit, as a part of the service time.
	easyLoad    = 0.7
	queueMargin = 0.25
	// sizeGain is the weight of one call in the mean size of a class.
	sizeGain = 0.05
	// maxSizes bounds the classes whose sizes are remembered.
	maxSizes = 4096
	// defaultService stands for a service time that is not known, where calls
	// wait. A server that is not known yet counts as one with trialService, so
	// that it is tried.
	defaultService = 50 * time.Millisecond
	trialService   = 10 * time.Millisecond
	// clearlyCheaper is the part of another's cost below which a server of the
	// same failure domain is preferred; between closer ones chance decides.
	clearlyCheaper = 0.9
	// closeCosts is the difference in cost up to which chance decides, whatever
	// the costs are.
	closeCosts = 2 * time.Millisecond
	// nearDraws and farDraws are the numbers of random servers of the own failure
	// domain, and of any, that are compared.
	nearDraws = 4
	farDraws  = 2
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
	absent func(*member.Record) bool

	mu   sync.Mutex
	seen map[member.ServerID]*observation
	// sizes holds the mean bytes of the calls of each class.
	sizes map[string]float64
	// forgetAt is the number of servers at which old ones are dropped.
	forgetAt int
}

// NewPicker returns a picker for a daemon in the given failure domain. Servers
// that absent reports are never chosen; nil reports none.
func NewPicker(domain string, absent func(*member.Record) bool) *Picker {
	if absent == nil {
		absent = func(*member.Record) bool { return false }
	}
	return &Picker{domain: domain, absent: absent, seen: map[member.ServerID]*observation{}, sizes: map[string]float64{}, forgetAt: minSeen}
}

// Query says what a call needs of a server.
type Query struct {
	// Class names the class of the call, and Latency is its target.
	Class   string
	Latency time.Duration
	// Tried lists the servers that the call was sent to already.
	Tried []member.ServerID
	// NeedCapacity asks for a server that may have room.
	NeedCapacity bool
	// AllowUnreachable allows servers that could not be reached of late.
	AllowUnreachable bool
}

// Outcome is what a call told of its server.
type Outcome struct {
	// Class names the class of the call.
	Class string
	// Size is the number of bytes of the request and its answer.
	Size int
	// Load is zero if the answer carried none.
	Load call.Load
	// Failure is nil if the call was answered.
	Failure *call.Failure
}

// Pick returns the best of some random servers, most of them of the own failure
// domain, that were not tried, or nil if there is none, and counts a call to it
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
	if q.NeedCapacity {
		return p.roomy(servers, q)
	}
	d := draw{picker: p, servers: servers, query: &q, now: time.Now()}
	var best *member.Record
	for range nearDraws {
		best = p.cheaper(q, best, d.next(best, p.domain))
	}
	for range farDraws {
		best = p.cheaper(q, best, d.next(best, anywhere))
	}
	return best
}

// cheaper returns the server with the lower cost; either may be nil.
func (p *Picker) cheaper(q Query, a, b *member.Record) *member.Record {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	}
	limit := p.cost(q, a)
	if a.Domain == b.Domain {
		limit = time.Duration(clearlyCheaper*float64(limit)) - closeCosts
	}
	if p.cost(q, b) < limit {
		return b
	}
	return a
}

// maxLooked bounds the servers that are looked at for room.
const maxLooked = 16

// roomy returns the cheapest of some servers that may have room, or nil.
func (p *Picker) roomy(servers []*member.Record, q Query) *member.Record {
	var best *member.Record
	now := time.Now()
	for i, r := range around(servers) {
		if i >= maxLooked {
			break
		}
		if p.excluded(&q, r) || !p.observe(r.Server).mayHaveRoom(r.Slots, now) {
			continue
		}
		if best == nil || p.cost(q, r) < p.cost(q, best) {
			best = r
		}
	}
	return best
}

// excluded reports whether a call may not go to a server at all.
func (p *Picker) excluded(q *Query, r *member.Record) bool {
	return slices.Contains(q.Tried, r.Server) || (!q.AllowUnreachable && p.absent(r))
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
	query   *Query
	now     time.Time
	// counted says that keepEjected is known: whether so many servers fail
	// that none is left out.
	counted, keepEjected bool
}

// next returns a random server of a failure domain, or of any, that was not
// tried, is not ejected and is not other.
func (d *draw) next(other *member.Record, domain string) *member.Record {
	for _, r := range around(d.servers) {
		if r == other || (domain != anywhere && r.Domain != domain) || d.picker.excluded(d.query, r) {
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

// cost estimates how long a call would take at a server, with the price of
// crossing to another failure domain as time.
func (p *Picker) cost(q Query, r *member.Record) time.Duration {
	o, now := p.observe(r.Server), time.Now()
	busy, limit := o.busy(r.Slots, now)
	service := o.services[q.Class]
	cost := service
	if service == 0 {
		service, cost = defaultService, trialService
	}
	cost += time.Duration(waiting(busy, limit) * float64(service))
	if r.Domain != p.domain {
		cost += p.crossing(q)
	}
	if r.Health == member.Suspected || now.Sub(o.refusedAt) < RefusalLifetime {
		cost += service
	}
	return cost
}

// waiting estimates how long a call waits at a server, in service times.
func waiting(busy, limit int) float64 {
	load := float64(busy+1) / float64(limit)
	if load <= easyLoad {
		return 0
	}
	if load <= 1 {
		return queueMargin * (load - easyLoad) / (1 - easyLoad)
	}
	return queueMargin + load - 1
}

// crossing returns the price of a call to another failure domain: the way, and
// the bytes by what they are worth to the class.
func (p *Picker) crossing(q Query) time.Duration {
	kilobytes := p.sizes[q.Class] / 1024
	return crossingCost + time.Duration(kilobytes*crossingShare*float64(q.Latency))
}

// Done ends a call that Pick started and notes what it told of the server.
func (p *Picker) Done(server member.ServerID, out Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.observe(server)
	o.inflight--
	o.note(out, time.Now())
	if out.Size > 0 {
		p.noteSize(out)
	}
}

func (p *Picker) noteSize(out Outcome) {
	mean, known := p.sizes[out.Class]
	if !known {
		if len(p.sizes) >= maxSizes {
			clear(p.sizes)
		}
		mean = float64(out.Size)
	}
	p.sizes[out.Class] = mean + sizeGain*(float64(out.Size)-mean)
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
