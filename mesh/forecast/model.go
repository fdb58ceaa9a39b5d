package forecast

import (
	"slices"
	"time"

	"fescuehoist.example/mesh/admit"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/status"
	"fescuehoist.example/mesh/target"
)

// Limits of the model.
const (
	// maxProfileAge is how long the daily profile of the demand is used.
	maxProfileAge = 8 * 24 * time.Hour
	// poolServers is the number of backend servers that a call chooses between;
	// their slots are modeled as one pool.
	poolServers = 2
	// demandVariation is the share by which demand is varied.
	demandVariation = 0.1
	// minMeasuredCalls is the number of measured calls below which a forecast
	// has low confidence.
	minMeasuredCalls = 100
	// negligibleWait is the probability of waiting below which measured
	// latencies are assumed to contain no time in queues.
	negligibleWait = 0.05
)

// Expectation is what a class is expected to get.
type Expectation struct {
	// Demand is in calls per second.
	Demand float64
	// Served is the share of calls that are answered; Good is the share that is
	// answered within the target latency.
	Served, Good float64
	// P99 is the 99th percentile of the latency.
	P99 time.Duration
	// Load is the work of all classes of the service as a share of its slots.
	Load float64
	// Slots is the number of slots of the service's backend servers.
	Slots int
}

// scenario is a variation of the model's inputs.
type scenario struct {
	demand      float64
	poolServers int
	stops       bool
}

var (
	nominal      = scenario{demand: 1, poolServers: poolServers, stops: true}
	withoutStops = scenario{demand: 1, poolServers: poolServers}
	variations   = []scenario{
		{demand: 1 - demandVariation, poolServers: poolServers, stops: true},
		{demand: 1 + demandVariation, poolServers: poolServers, stops: true},
		{demand: 1, poolServers: 1, stops: true},
		{demand: 1, poolServers: 1 << 10, stops: true},
	}
)

// model holds the measurements of one service.
type model struct {
	in       *Input
	service  *target.Service
	servers  []*status.ServerOverview
	measured []*status.ClassOverview
	// serviceTimes holds the mean service time of each class.
	serviceTimes []time.Duration
	unqueued     []distribution
}

// statusIndex finds measurements by name.
type statusIndex struct {
	servers map[string][]*status.ServerOverview
	classes map[status.ClassKey]*status.ClassOverview
}

func newIndex(o *status.Overview) *statusIndex {
	idx := &statusIndex{servers: map[string][]*status.ServerOverview{}, classes: map[status.ClassKey]*status.ClassOverview{}}
	for i := range o.Servers {
		s := &o.Servers[i]
		idx.servers[s.Service] = append(idx.servers[s.Service], s)
	}
	for i := range o.Classes {
		idx.classes[o.Classes[i].ClassKey] = &o.Classes[i]
	}
	return idx
}

func newModel(in *Input, idx *statusIndex, s *target.Service) *model {
	m := &model{in: in, service: s, servers: idx.servers[s.Name]}
	for i := range s.Classes {
		c := idx.classes[status.ClassKey{Service: s.Name, Class: s.Classes[i].Name}]
		if c == nil {
			c = &status.ClassOverview{Counts: &status.Counts{}}
		}
		m.measured = append(m.measured, c)
		m.serviceTimes = append(m.serviceTimes, c.Counts.ServiceTime.Mean())
	}
	var rates []float64
	for _, c := range m.measured {
		rates = append(rates, c.Rate)
	}
	current := m.queue(in.Now, nominal, rates)
	for i := range s.Classes {
		m.unqueued = append(m.unqueued, newUnqueuedLatency(m.measured[i].Counts, current.waitProbability < negligibleWait))
	}
	return m
}

// rates returns the demand of each class at a time, in calls per second.
func (m *model) rates(at time.Time, factor float64) []float64 {
	rates := make([]float64, len(m.measured))
	for i, c := range m.measured {
		rates[i] = factor * demandAt(c, m.in.Now, at)
	}
	return rates
}

// demandAt returns the demand of a class at a time in calls per second: that of
// the same hour in the daily profile if it was measured, else the recent peak.
func demandAt(c *status.ClassOverview, now, at time.Time) float64 {
	hour := at.Unix() / int64(time.Hour/time.Second)
	oldest := now.Add(-maxProfileAge).Unix() / int64(time.Hour/time.Second)
	peak := c.HourlyPeaks[hour%status.HoursPerDay]
	profiled := peak.Hour >= oldest && peak.Hour > 0
	if profiled && at.Sub(now) >= time.Hour {
		return peak.Rate
	}
	if profiled {
		return max(peak.Rate, c.Rate)
	}
	highest := c.Rate
	for _, p := range c.HourlyPeaks {
		if p.Hour >= oldest {
			highest = max(highest, p.Rate)
		}
	}
	return highest
}

// capacity returns the number of slots and of backend servers at a time.
func (m *model) capacity(at time.Time, stops bool) (slots, servers int) {
	for _, s := range m.servers {
		if !m.available(s, at, stops) {
			continue
		}
		slots += s.Slots
		servers++
	}
	return slots, servers
}

// available reports whether a backend server accepts calls at a time. One that
// drains without a planned stop is assumed not to return.
func (m *model) available(s *status.ServerOverview, at time.Time, stops bool) bool {
	drainPlanned := false
	for i := range m.in.Stops {
		scheduled := &m.in.Stops[i]
		if !scheduled.Covers(s.Server, s.Domain) {
			continue
		}
		drainPlanned = drainPlanned || scheduled.Active(m.in.Now)
		if stops && scheduled.Active(at) {
			return false
		}
	}
	switch s.State {
	case member.Draining.String():
		return drainPlanned
	case member.Left.String(), member.Failed.String():
		return false
	}
	return true
}

// queueState is the state of a service's slots and queues.
type queueState struct {
	slots, pool float64
	// load is the work of each class, in slots.
	load []float64
	// allocated is the part of load that is run.
	allocated []float64
	// waitProbability is the probability that a call finds all slots of its
	// pool in use.
	waitProbability float64
	// slotInterval is the mean time until a used slot of the pool is free, in
	// seconds.
	slotInterval float64
}

func (m *model) queue(at time.Time, v scenario, rates []float64) *queueState {
	slots, servers := m.capacity(at, v.stops)
	q := &queueState{slots: float64(slots), load: make([]float64, len(rates))}
	if servers == 0 {
		q.allocated = make([]float64, len(rates))
		q.waitProbability = 1
		return q
	}
	total, square := 0.0, 0.0
	for i := range rates {
		q.load[i] = rates[i] * m.serviceTimes[i].Seconds()
		total += q.load[i]
		square += q.load[i] * m.serviceTimes[i].Seconds()
	}
	q.allocated = allocate(m.service.Classes, q.load, q.slots)
	q.pool = q.slots * float64(min(v.poolServers, servers)) / float64(servers)
	q.waitProbability = erlangC(q.pool, total/q.slots*q.pool)
	if total > 0 {
		// The mean remaining service time is weighted by the time that each
		// class occupies the slots.
		q.slotInterval = square / total / q.pool
	}
	return q
}

// allocate divides the slots: first each class gets its guaranteed share, then
// the ranks get the rest in order; within a rank it is divided in proportion to
// the unmet load.
func allocate(classes []target.Class, load []float64, slots float64) []float64 {
	allocated := make([]float64, len(load))
	remaining := slots
	for i := range load {
		allocated[i] = min(load[i], classes[i].GuaranteedShare*slots)
		remaining -= allocated[i]
	}
	for _, rank := range ranks(classes) {
		unmet := 0.0
		for i := range load {
			if classes[i].Rank == rank {
				unmet += load[i] - allocated[i]
			}
		}
		if unmet <= 0 {
			continue
		}
		fraction := min(1, max(remaining, 0)/unmet)
		for i := range load {
			if classes[i].Rank == rank {
				extra := fraction * (load[i] - allocated[i])
				allocated[i] += extra
				remaining -= extra
			}
		}
	}
	return allocated
}

func ranks(classes []target.Class) []int {
	var all []int
	for i := range classes {
		all = append(all, classes[i].Rank)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// fullyServed is the share of its work that a class must get to count as fully
// served.
const fullyServed = 0.999

// expect returns what a class gets at a time.
func (m *model) expect(i int, at time.Time, v scenario) Expectation {
	rates := m.rates(at, v.demand)
	q := m.queue(at, v, rates)
	e := Expectation{Demand: rates[i], Served: 1, Slots: int(q.slots)}
	for _, l := range q.load {
		e.Load += l
	}
	if q.slots == 0 {
		e.Load = 0
		e.Served = 0
		if rates[i] == 0 {
			e.Served, e.Good = 1, 1
		}
		return e
	}
	e.Load /= q.slots
	if q.load[i] == 0 {
		e.Good = 1
		return e
	}
	e.Served = q.allocated[i] / q.load[i]
	c := &m.service.Classes[i]
	w := m.priorityWait(i, q)
	if e.Served < fullyServed {
		w = m.saturatedWait(i, q)
	}
	e.Good = e.Served * m.unqueued[i].shareWithin(c.Latency.Seconds(), w)
	e.P99 = time.Duration(m.unqueued[i].quantile(0.99, w, c.Timeout.Seconds()) * float64(time.Second))
	return e
}

// waitTime is the distribution of the time in the queue, in seconds: with the
// given probability fixed plus an exponential time, else 0.
type waitTime struct{ probability, fixed, mean float64 }

// priorityWait returns the wait of a class that is fully served, by the formula
// for non-preemptive priority queues.
func (m *model) priorityWait(i int, q *queueState) waitTime {
	own := m.service.Classes[i].Rank
	above, upTo, guaranteed := 0.0, 0.0, 0.0
	for j := range q.load {
		switch rank := m.service.Classes[j].Rank; {
		case rank < own:
			above += q.allocated[j]
			upTo += q.allocated[j]
		case rank == own:
			upTo += q.allocated[j]
		case q.allocated[j] < fullyServed*q.load[j]:
			guaranteed += min(q.allocated[j], m.service.Classes[j].GuaranteedShare*q.slots)
		}
	}
	usable := max(q.slots-guaranteed, 1)
	idleShare := max(1-above/usable, minIdleShare) * max(1-upTo/usable, minIdleShare)
	return waitTime{probability: q.waitProbability, mean: q.slotInterval / idleShare}
}

// minIdleShare bounds the modeled length of a queue.
const minIdleShare = 0.01

// saturatedWait returns the wait of a class whose queue is always full: the
// time that the queued calls take, at most the gate's maximum queue time.
func (m *model) saturatedWait(i int, q *queueState) waitTime {
	limit := admit.MaxQueueTime(m.service.Classes[i].Latency, 0, m.serviceTimes[i]).Seconds()
	if q.allocated[i] == 0 {
		return waitTime{probability: 1, fixed: limit}
	}
	rate := q.allocated[i] / m.serviceTimes[i].Seconds()
	return waitTime{probability: 1, fixed: min(admit.QueuePerSlot*q.slots/rate, limit)}
}

// confidence says how well the outcome for a class holds when inputs vary.
func (m *model) confidence(i int, at time.Time) Confidence {
	if m.measured[i].Counts.Offered < minMeasuredCalls {
		return Low
	}
	c := &m.service.Classes[i]
	met := m.expect(i, at, nominal).Good >= c.Success
	agreeing := 0
	for _, v := range variations {
		if (m.expect(i, at, v).Good >= c.Success) == met {
			agreeing++
		}
	}
	switch {
	case agreeing == len(variations):
		return High
	case agreeing >= len(variations)/2:
		return Medium
	}
	return Low
}
