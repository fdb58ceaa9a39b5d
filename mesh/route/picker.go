package route

import (
	"cmp"
	"iter"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
)

const (
	// crossDomainLatency is the round-trip time of a call to another failure
	// domain.
	crossDomainLatency = 3 * time.Millisecond
	// crossDomainCostPerKB is the cost of sending one kilobyte to another
	// failure domain, as a share of the class's target latency. If all servers are
	// busy, so are those of other failure domains. lateCrossDomainCostPerKB is the
	// cost for a call that the own failure domain would run at once, but too slowly.
	crossDomainCostPerKB     = 0.2
	lateCrossDomainCostPerKB = 0.05
	// targetShare is the share of the target latency that the expected duration of
	// a call may take at a server that counts as good enough. The rest is for calls
	// that take longer than the mean.
	targetShare = 0.75
	// queueingThreshold is the share of a server's limit up to which a call
	// hardly waits; waitAtLimit is the wait when the server is at its limit, as
	// a share of the service time.
	queueingThreshold = 0.7
	waitAtLimit       = 0.25
	// sizeGain is the weight of one call in the moving average of a class's
	// size.
	sizeGain = 0.05
	// maxSizes bounds the classes whose mean sizes are kept.
	maxSizes = 4096
	// defaultServiceTime replaces an unknown service time when estimating the
	// wait for a slot. The call itself is then assumed to run for
	// initialServiceTime: less than usual, so that a new server gets calls.
	defaultServiceTime = 50 * time.Millisecond
	initialServiceTime = 10 * time.Millisecond
	// costRatioMargin is the share of another's cost below which a server of the
	// same failure domain is preferred; between closer ones chance decides.
	costRatioMargin = 0.9
	// costMargin is the difference in cost up to which chance decides between
	// servers of the same failure domain, whatever the costs are.
	costMargin = 2 * time.Millisecond
	// localSamples and globalSamples are the numbers of random servers that are
	// compared, from the daemon's own failure domain and from all of them.
	localSamples  = 4
	globalSamples = 2
	// maxEjectedShare is the share of a service's servers that may be ejected.
	// If more fail, none is treated as ejected.
	maxEjectedShare = 0.5
	// minTracked is the number of servers below which no statistics are
	// dropped; statsRetention is how long those of a server without calls are
	// kept.
	minTracked     = 64
	statsRetention = time.Minute
	// anyDomain matches every failure domain.
	anyDomain = ""
)

// Picker chooses backend servers by the load and the failures that this daemon
// has seen.
type Picker struct {
	// Self is the server of this daemon's host, to which bodies cross no link. It must be
	// set before the first call.
	Self          member.ServerID
	domain        string
	isUnreachable func(*member.Record) bool

	mu    sync.Mutex
	stats map[member.ServerID]*serverStats
	// meanSizes holds the mean size in bytes of the calls of each class.
	meanSizes map[string]float64
	// evictAt is the number of tracked servers at which idle ones are dropped.
	evictAt int
}

// NewPicker returns a picker for a daemon in the given failure domain. Servers
// for which isUnreachable returns true are not chosen unless a query allows
// them; with nil, all servers are reachable.
func NewPicker(domain string, isUnreachable func(*member.Record) bool) *Picker {
	if isUnreachable == nil {
		isUnreachable = func(*member.Record) bool { return false }
	}
	return &Picker{domain: domain, isUnreachable: isUnreachable, stats: map[member.ServerID]*serverStats{}, meanSizes: map[string]float64{}, evictAt: minTracked}
}

// Query describes which server a call needs.
type Query struct {
	// Class names the class of the call; Latency is the target latency of the
	// class and Elapsed the part of it that has passed.
	Class            string
	Latency, Elapsed time.Duration
	// Body is the size of the body in bytes.
	Body int
	// Draw is a random number from 0 to 1 that is the same for all attempts of a call. It
	// decides whether a release that is being rolled out gets the call.
	Draw float64
	// Tried lists the servers that the call was already sent to.
	Tried []member.ServerID
	// NeedCapacity restricts the choice to servers that may have a free slot.
	NeedCapacity bool
	// AllowUnreachable also allows servers that are marked as unreachable.
	AllowUnreachable bool
	// late means that the servers of the own failure domain have a free slot, but
	// are not expected to meet the target.
	late bool
	// linkLate means that no server of the own failure domain is expected to meet the
	// target, and that the body is large for the links of the service.
	linkLate bool
}

// Outcome is the result of a call as far as it concerns the server's
// statistics.
type Outcome struct {
	// Class names the class of the call.
	Class string
	// Size is the number of bytes of the request and its answer.
	Size int
	// Load is zero if the answer carried none.
	Load call.Load
	// Failure is nil if the call was answered.
	Failure *call.Failure
	// LeavingInstance is the instance of the server if its answer says that it will
	// stop soon.
	LeavingInstance string
}

// Pick compares some random servers that were not tried, most of them from the
// daemon's own failure domain, and returns the one with the lowest cost, or nil
// if there is none. It counts a call to that server as in flight until Done.
func (p *Picker) Pick(s *Service, q Query) *member.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	chosen := p.chooseFor(s, q)
	if chosen != nil {
		stats := p.statsFor(chosen.Server)
		stats.inflight++
		stats.pickedAt = time.Now()
		p.occupyLink(q, chosen, stats.pickedAt)
	}
	return chosen
}

// chooseFor chooses among the servers of a service that the call may go to.
func (p *Picker) chooseFor(s *Service, q Query) *member.Record {
	first, second := s.candidates(&q)
	if chosen := p.choose(first, q); chosen != nil || len(second) == 0 {
		return chosen
	}
	return p.choose(second, q)
}

func (p *Picker) choose(servers []*member.Record, q Query) *member.Record {
	if q.NeedCapacity {
		return p.pickWithCapacity(servers, q)
	}
	s := sampler{picker: p, servers: servers, query: &q, now: time.Now()}
	var best *member.Record
	for range localSamples {
		best = p.cheaper(q, best, s.next(best, p.domain))
	}
	if best != nil && p.hasFreeSlot(best) {
		if p.meetsTarget(q, best) {
			return best
		}
		q.late = true
	}
	if best != nil && p.usesLink(q, best) && !p.meetsTarget(q, best) {
		q.linkLate = true
		return cmp.Or(p.pickWithCapacity(servers, q), best)
	}
	for range globalSamples {
		best = p.cheaper(q, best, s.next(best, anyDomain))
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
		limit = time.Duration(costRatioMargin*float64(limit)) - costMargin
	}
	if p.cost(q, b) < limit {
		return b
	}
	return a
}

// hasFreeSlot reports whether a call to a server is not expected to wait.
func (p *Picker) hasFreeSlot(r *member.Record) bool {
	calls, limit := p.known(r.Server).occupancy(r.Slots, time.Now())
	return calls < limit
}

// meetsTarget reports whether a server is expected to
// answer a call in time, so that no other failure domain needs to be considered.
func (p *Picker) meetsTarget(q Query, r *member.Record) bool {
	return q.Elapsed+p.cost(q, r) <= time.Duration(targetShare*float64(q.Latency))
}

// maxCapacityChecks bounds the servers that are checked for free capacity.
const maxCapacityChecks = 16

// pickWithCapacity returns the cheapest of up to maxCapacityChecks servers that
// may have a free slot, or nil.
func (p *Picker) pickWithCapacity(servers []*member.Record, q Query) *member.Record {
	var best *member.Record
	now := time.Now()
	for i, r := range fromRandom(servers) {
		if i >= maxCapacityChecks {
			break
		}
		if p.excluded(&q, r) || !p.known(r.Server).mayHaveCapacity(r.Slots, now) {
			continue
		}
		if p.usesLink(q, r) && !p.arrivesInTime(q, r) {
			continue
		}
		if best == nil || p.cost(q, r) < p.cost(q, best) {
			best = r
		}
	}
	return best
}

// excluded reports whether the call must not go to a server.
func (p *Picker) excluded(q *Query, r *member.Record) bool { return p.exclusion(q, r) != "" }

// exclusion returns why the call must not go to a server; it is empty if it may.
func (p *Picker) exclusion(q *Query, r *member.Record) Exclusion {
	switch {
	case slices.Contains(q.Tried, r.Server):
		return Tried
	case !q.AllowUnreachable && p.isUnreachable(r):
		return Unreachable
	case p.known(r.Server).isLeaving(r.Instance):
		return Leaving
	}
	return ""
}

// fromRandom yields every server once, starting at a random one.
func fromRandom(servers []*member.Record) iter.Seq2[int, *member.Record] {
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

// sampler draws random servers for one call.
type sampler struct {
	picker  *Picker
	servers []*member.Record
	query   *Query
	now     time.Time
	// counted means that ignoreEjections is known: whether so many servers fail
	// that none is treated as ejected.
	counted, ignoreEjections bool
}

// next returns a random server of a failure domain, or of any, that the call
// may go to, that is not ejected and that is not exclude; nil if there is none.
func (s *sampler) next(exclude *member.Record, domain string) *member.Record {
	if len(s.servers) == 0 {
		return nil
	}
	for range randomDraws {
		if r := s.servers[rand.IntN(len(s.servers))]; s.allowed(r, exclude, domain) {
			return r
		}
	}
	for _, r := range fromRandom(s.servers) {
		if s.allowed(r, exclude, domain) {
			return r
		}
	}
	return nil
}

// randomDraws is the number of draws before the servers are searched in order, which
// prefers those that follow many that are not allowed, for example of other domains.
const randomDraws = 8

func (s *sampler) allowed(r, exclude *member.Record, domain string) bool {
	return r != exclude && (domain == anyDomain || r.Domain == domain) && !s.picker.excluded(s.query, r) && !s.ejected(r)
}

func (s *sampler) ejected(r *member.Record) bool {
	if !s.picker.known(r.Server).ejected(s.now) {
		return false
	}
	if !s.counted {
		s.ignoreEjections = !s.picker.mayEject(s.servers, s.now)
		s.counted = true
	}
	return !s.ignoreEjections
}

// mayEject reports whether the ejected servers are at most maxEjectedShare of
// all.
func (p *Picker) mayEject(servers []*member.Record, now time.Time) bool {
	n := 0
	for _, r := range servers {
		if p.known(r.Server).ejected(now) {
			n++
		}
	}
	return float64(n) <= maxEjectedShare*float64(len(servers))
}

// cost estimates how long a call would take at a server. The price of crossing
// to another failure domain is expressed as time.
func (p *Picker) cost(q Query, r *member.Record) time.Duration {
	e := p.estimate(&q, r, time.Now())
	return e.Cost()
}

// estimate returns the cost of a call at a server by its parts.
func (p *Picker) estimate(q *Query, r *member.Record, now time.Time) (e Estimate) {
	stats := p.known(r.Server)
	e.Calls, e.Limit = stats.occupancy(r.Slots, now)
	e.ServiceTime = stats.serviceTimes[q.Class]
	serviceTime := e.ServiceTime
	e.Run = serviceTime
	if serviceTime == 0 {
		serviceTime, e.Run = defaultServiceTime, initialServiceTime
	}
	e.Wait = time.Duration(queueWait(e.Calls, e.Limit) * float64(serviceTime))
	e.Link = p.linkTime(*q, r, now)
	if r.Domain != p.domain {
		e.Crossing = p.crossDomainCost(*q)
	}
	if r.Health == member.Suspected || now.Sub(stats.refusedAt) < RefusalLifetime {
		e.Doubt = serviceTime
	}
	return e
}

// queueWait estimates how long a call waits at a server, in service times.
func queueWait(calls, limit int) float64 {
	load := float64(calls+1) / float64(limit)
	if load <= queueingThreshold {
		return 0
	}
	if load <= 1 {
		return waitAtLimit * (load - queueingThreshold) / (1 - queueingThreshold)
	}
	return waitAtLimit + load - 1
}

// crossDomainCost returns the price of a call to another failure domain: the
// round trip, plus a share of the target latency for each kilobyte of the
// class's mean size.
func (p *Picker) crossDomainCost(q Query) time.Duration {
	if q.linkLate {
		return crossDomainLatency
	}
	perKB := crossDomainCostPerKB
	if q.late {
		perKB = lateCrossDomainCostPerKB
	}
	kilobytes := p.meanSizes[q.Class] / 1024
	return crossDomainLatency + time.Duration(kilobytes*perKB*float64(q.Latency))
}

// Done ends a call that Pick counted and updates the server's statistics with
// its outcome.
func (p *Picker) Done(server member.ServerID, outcome Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.statsFor(server)
	stats.inflight--
	stats.record(outcome, time.Now())
	if outcome.Size > 0 {
		p.recordSize(outcome)
	}
}

func (p *Picker) recordSize(outcome Outcome) {
	mean, known := p.meanSizes[outcome.Class]
	if !known {
		if len(p.meanSizes) >= maxSizes {
			clear(p.meanSizes)
		}
		mean = float64(outcome.Size)
	}
	p.meanSizes[outcome.Class] = mean + sizeGain*(float64(outcome.Size)-mean)
}

// unknownServer holds the statistics of a server to which no call went.
var unknownServer = &serverStats{}

// known returns the statistics of a server for reading; it does not begin to keep any.
func (p *Picker) known(server member.ServerID) *serverStats {
	if stats := p.stats[server]; stats != nil {
		return stats
	}
	return unknownServer
}

// statsFor returns the statistics of a server, and begins to keep them.
func (p *Picker) statsFor(server member.ServerID) *serverStats {
	stats := p.stats[server]
	if stats == nil {
		p.evictIdle()
		stats = &serverStats{serviceTimes: map[string]time.Duration{}}
		p.stats[server] = stats
	}
	return stats
}

// evictIdle drops the statistics of servers without calls in the last
// statsRetention. It runs when the number of tracked servers has doubled since
// the last time.
func (p *Picker) evictIdle() {
	if len(p.stats) < p.evictAt {
		return
	}
	now := time.Now()
	for id, stats := range p.stats {
		if stats.inflight == 0 && now.Sub(stats.pickedAt) > statsRetention {
			delete(p.stats, id)
		}
	}
	p.evictAt = max(2*len(p.stats), minTracked)
}
