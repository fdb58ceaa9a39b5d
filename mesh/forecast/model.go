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
	// shapeAge is how long the shape of a day counts.
	shapeAge = 8 * 24 * time.Hour
	// choices is the number of backend servers that a call chooses between;
	// their slots act as one pool.
	choices = 2
	// demandDoubt is the share by which demand is varied.
	demandDoubt = 0.1
	// fewCalls is the number of measured calls below which a forecast is of
	// low confidence.
	fewCalls = 100
	// calm is the probability of waiting below which measured latencies are
	// taken to hold no waiting.
	calm = 0.05
)

// Expectation is what a class is expected to get.
type Expectation struct {
	// Demand is in calls a second.
	Demand float64
	// Served is the share of calls that are answered, Good the share that is
	// answered within the target latency.
	Served, Good float64
	// P99 is the latency within which 99 in 100 answers come.
	P99 time.Duration
	// Load is the work of all classes of the service as a share of its slots.
	Load float64
	// Slots is the number of slots of the service's backend servers.
	Slots int
}

// view is a way to vary the model's inputs.
type view struct {
	demand  float64
	choices int
	stops   bool
}

var (
	nominal      = view{demand: 1, choices: choices, stops: true}
	withoutStops = view{demand: 1, choices: choices}
	doubtful     = []view{
		{demand: 1 - demandDoubt, choices: choices, stops: true},
		{demand: 1 + demandDoubt, choices: choices, stops: true},
		{demand: 1, choices: 1, stops: true},
		{demand: 1, choices: 1 << 10, stops: true},
	}
)

// model holds what is known of one service.
type model struct {
	in       *Input
	service  *target.Service
	servers  []*status.ServerOverview
	measured []*status.ClassOverview
	// work is the mean service time of each class.
	work []time.Duration
	base []distribution
}

// index finds what was measured by name.
type index struct {
	servers map[string][]*status.ServerOverview
	classes map[status.ClassKey]*status.ClassOverview
}

func newIndex(o *status.Overview) *index {
	x := &index{servers: map[string][]*status.ServerOverview{}, classes: map[status.ClassKey]*status.ClassOverview{}}
	for i := range o.Servers {
		s := &o.Servers[i]
		x.servers[s.Service] = append(x.servers[s.Service], s)
	}
	for i := range o.Classes {
		x.classes[o.Classes[i].ClassKey] = &o.Classes[i]
	}
	return x
}

func newModel(in *Input, x *index, s *target.Service) *model {
	m := &model{in: in, service: s, servers: x.servers[s.Name]}
	for i := range s.Classes {
		c := x.classes[status.ClassKey{Service: s.Name, Class: s.Classes[i].Name}]
		if c == nil {
			c = &status.ClassOverview{Counts: &status.Counts{}}
		}
		m.measured = append(m.measured, c)
		m.work = append(m.work, c.Counts.ServiceTime.Mean())
	}
	var rates []float64
	for _, c := range m.measured {
		rates = append(rates, c.Rate)
	}
	current := m.queue(in.Now, nominal, rates)
	for i := range s.Classes {
		m.base = append(m.base, newBase(m.measured[i].Counts, current.busy < calm))
	}
	return m
}

// rates returns the demand of each class at a time, in calls a second.
func (m *model) rates(at time.Time, factor float64) []float64 {
	rates := make([]float64, len(m.measured))
	for i, c := range m.measured {
		rates[i] = factor * demandAt(c, m.in.Now, at)
	}
	return rates
}

// demandAt returns the demand of a class at a time: that of the same hour of an
// earlier day where it is known, else the recent peak.
func demandAt(c *status.ClassOverview, now, at time.Time) float64 {
	hour := at.Unix() / int64(time.Hour/time.Second)
	oldest := now.Add(-shapeAge).Unix() / int64(time.Hour/time.Second)
	peak := c.HourlyPeaks[hour%status.HoursPerDay]
	known := peak.Hour >= oldest && peak.Hour > 0
	if known && at.Sub(now) >= time.Hour {
		return peak.Rate
	}
	if known {
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

// available reports whether a backend server takes calls at a time. One that
// drains without a planned stop is leaving.
func (m *model) available(s *status.ServerOverview, at time.Time, stops bool) bool {
	planned := false
	for i := range m.in.Stops {
		one := &m.in.Stops[i]
		if !one.Covers(s.Server, s.Domain) {
			continue
		}
		planned = planned || one.Active(m.in.Now)
		if stops && one.Active(at) {
			return false
		}
	}
	switch s.State {
	case member.Draining.String():
		return planned
	case member.Left.String(), member.Failed.String():
		return false
	}
	return true
}

// queueing is the state of a service's slots and queues.
type queueing struct {
	slots, pool float64
	// load is the work of each class, in slots.
	load []float64
	// granted is the part of load that is run.
	granted []float64
	// busy is the probability that a call finds all slots of its pool taken.
	busy float64
	// turn is the mean time until a taken slot of the pool is free, in
	// seconds.
	turn float64
}

func (m *model) queue(at time.Time, v view, rates []float64) *queueing {
	slots, servers := m.capacity(at, v.stops)
	q := &queueing{slots: float64(slots), load: make([]float64, len(rates))}
	if servers == 0 {
		q.granted = make([]float64, len(rates))
		q.busy = 1
		return q
	}
	total, square := 0.0, 0.0
	for i := range rates {
		q.load[i] = rates[i] * m.work[i].Seconds()
		total += q.load[i]
		square += q.load[i] * m.work[i].Seconds()
	}
	q.granted = grant(m.service.Classes, q.load, q.slots)
	q.pool = q.slots * float64(min(v.choices, servers)) / float64(servers)
	q.busy = erlangC(q.pool, total/q.slots*q.pool)
	if total > 0 {
		// The mean rest of a service time under way is that of the mix of
		// classes as the slots see it.
		q.turn = square / total / q.pool
	}
	return q
}

// grant divides the slots: first each class its kept share, then the rest to
// the ranks in order; within a rank in proportion to what is still wanted.
func grant(classes []target.Class, load []float64, slots float64) []float64 {
	granted := make([]float64, len(load))
	left := slots
	for i := range load {
		granted[i] = min(load[i], classes[i].GuaranteedShare*slots)
		left -= granted[i]
	}
	for _, rank := range ranks(classes) {
		wanted := 0.0
		for i := range load {
			if classes[i].Rank == rank {
				wanted += load[i] - granted[i]
			}
		}
		if wanted <= 0 {
			continue
		}
		part := min(1, max(left, 0)/wanted)
		for i := range load {
			if classes[i].Rank == rank {
				more := part * (load[i] - granted[i])
				granted[i] += more
				left -= more
			}
		}
	}
	return granted
}

func ranks(classes []target.Class) []int {
	var all []int
	for i := range classes {
		all = append(all, classes[i].Rank)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// saturated is the share of its work that a class must get to count as served
// in full.
const saturated = 0.999

// expect returns what a class gets at a time.
func (m *model) expect(i int, at time.Time, v view) Expectation {
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
	e.Served = q.granted[i] / q.load[i]
	c := &m.service.Classes[i]
	w := m.wait(i, q)
	if e.Served < saturated {
		w = m.fullQueue(i, q)
	}
	e.Good = e.Served * m.base[i].shareWithin(c.Latency.Seconds(), w)
	e.P99 = time.Duration(m.base[i].quantile(0.99, w, c.Timeout.Seconds()) * float64(time.Second))
	return e
}

// waiting is the distribution of the time in the queue: none with probability
// 1-busy, else fixed plus an exponential time.
type waiting struct{ busy, fixed, mean float64 }

// wait returns the waiting of a class that is served in full, after the
// formula for queues with priorities that do not interrupt what runs.
func (m *model) wait(i int, q *queueing) waiting {
	own := m.service.Classes[i].Rank
	above, upTo, kept := 0.0, 0.0, 0.0
	for j := range q.load {
		switch rank := m.service.Classes[j].Rank; {
		case rank < own:
			above += q.granted[j]
			upTo += q.granted[j]
		case rank == own:
			upTo += q.granted[j]
		case q.granted[j] < saturated*q.load[j]:
			kept += min(q.granted[j], m.service.Classes[j].GuaranteedShare*q.slots)
		}
	}
	usable := max(q.slots-kept, 1)
	spare := max(1-above/usable, minSpare) * max(1-upTo/usable, minSpare)
	return waiting{busy: q.busy, mean: q.turn / spare}
}

// minSpare bounds how long a queue is taken to get.
const minSpare = 0.01

// fullQueue returns the waiting of a class whose queue is always full: until
// the calls before have run, at most as long as the gate lets a call wait.
func (m *model) fullQueue(i int, q *queueing) waiting {
	limit := admit.MaxQueueTime(m.service.Classes[i].Latency, 0, m.work[i]).Seconds()
	if q.granted[i] == 0 {
		return waiting{busy: 1, fixed: limit}
	}
	rate := q.granted[i] / m.work[i].Seconds()
	return waiting{busy: 1, fixed: min(admit.QueuePerSlot*q.slots/rate, limit)}
}

// confidence says how far the verdict on a class holds when inputs vary.
func (m *model) confidence(i int, at time.Time) Confidence {
	if m.measured[i].Counts.Offered < fewCalls {
		return Low
	}
	c := &m.service.Classes[i]
	met := m.expect(i, at, nominal).Good >= c.Success
	agree := 0
	for _, v := range doubtful {
		if (m.expect(i, at, v).Good >= c.Success) == met {
			agree++
		}
	}
	switch {
	case agree == len(doubtful):
		return High
	case agree >= len(doubtful)/2:
		return Medium
	}
	return Low
}
