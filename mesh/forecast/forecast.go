// Package forecast predicts which classes of work will miss their targets, from
// demand, capacity and planned stops, and which clients to notify. It is a pure
// computation.
package forecast

import (
	"slices"
	"time"

	"fescuehoist.example/mesh/status"
	"fescuehoist.example/mesh/stop"
	"fescuehoist.example/mesh/target"
)

// Input holds the data that a forecast is computed from.
type Input struct {
	// Now is the start of the forecast, Horizon its length.
	Now     time.Time
	Horizon time.Duration
	// Services are the targets.
	Services []*target.Service
	// Status gives demand, service times and backend servers.
	Status *status.Overview
	// Stops are the planned stops.
	Stops []stop.Stop
}

// Forecast is the result of Run.
type Forecast struct {
	// From and Until bound the time that the forecast covers.
	From, Until time.Time
	// Classes gives the expectation for each class at its worst moment.
	Classes []ClassForecast
	// Misses are the targets that will be missed, the earliest first.
	Misses []Miss
	// Notices are the clients to notify, the one with the least time left
	// first.
	Notices []Notice
}

// ClassForecast is the expectation for a class at its worst moment.
type ClassForecast struct {
	Class  status.ClassKey
	Target *target.Class
	// At is the start of that moment.
	At time.Time
	Expectation
	Confidence Confidence
}

// Miss is a time during which a class misses its target.
type Miss struct {
	Class       status.ClassKey
	Target      *target.Class
	From, Until time.Time
	// Worst is the expectation at the worst moment of the miss.
	Worst Expectation
	// Stops names the planned stops that are active during the miss; DueToStops
	// means that it would not happen without them.
	Stops      []string
	DueToStops bool
	Confidence Confidence
}

// Shortfall returns by how much the share of good calls misses the target.
func (m *Miss) Shortfall() float64 { return m.Target.Success - m.Worst.Good }

// Notice is a client to notify of a miss.
type Notice struct {
	Client string
	Class  status.ClassKey
	// Rate is the client's calls per second.
	Rate        float64
	From, Until time.Time
	// CallBy is the latest time at which the client can be notified with the
	// notice that the target promises.
	CallBy time.Time
	// Left is the time until CallBy, negative once CallBy has passed.
	Left time.Duration
}

// Confidence says how much the outcome of a forecast depends on its inputs.
type Confidence string

// Levels of confidence. High: the outcome is the same with a tenth more or less
// demand, and with a pessimistic and an optimistic model of the queues. Medium:
// it is the same for at least half of these variations. Low: for fewer, or fewer
// than minMeasuredCalls calls were measured.
const (
	High   Confidence = "high"
	Medium Confidence = "medium"
	Low    Confidence = "low"
)

// Run computes the forecast.
func Run(in *Input) *Forecast {
	f := &Forecast{From: in.Now, Until: in.Now.Add(in.Horizon)}
	boundaries, idx := in.boundaries(), newIndex(in.Status)
	for _, s := range in.Services {
		m := newModel(in, idx, s)
		for i := range s.Classes {
			f.addClass(m, i, boundaries)
		}
	}
	slices.SortStableFunc(f.Misses, func(a, b Miss) int { return a.From.Compare(b.From) })
	f.Notices = Notices(in, f.Misses)
	return f
}

// boundaries returns the times at which demand or capacity may change.
func (in *Input) boundaries() []time.Time {
	end := in.Now.Add(in.Horizon)
	boundaries := []time.Time{in.Now, end}
	for t := in.Now.Truncate(time.Hour).Add(time.Hour); t.Before(end); t = t.Add(time.Hour) {
		boundaries = append(boundaries, t)
	}
	for i := range in.Stops {
		for _, t := range []time.Time{in.Stops[i].From, in.Stops[i].Until} {
			if t.After(in.Now) && t.Before(end) {
				boundaries = append(boundaries, t)
			}
		}
	}
	slices.SortFunc(boundaries, time.Time.Compare)
	return slices.CompactFunc(boundaries, time.Time.Equal)
}

// addClass evaluates one class in each interval between the boundaries.
func (f *Forecast) addClass(m *model, i int, boundaries []time.Time) {
	c := &m.service.Classes[i]
	key := status.ClassKey{Service: m.service.Name, Class: c.Name}
	worst := ClassForecast{Class: key, Target: c}
	var current *Miss
	for n := range boundaries[:len(boundaries)-1] {
		from, until := boundaries[n], boundaries[n+1]
		e := m.expect(i, from, nominal)
		if n == 0 || e.Good < worst.Good {
			worst.At, worst.Expectation, worst.Confidence = from, e, m.confidence(i, from)
		}
		if e.Good >= c.Success {
			current = nil
			continue
		}
		if current == nil {
			f.Misses = append(f.Misses, Miss{Class: key, Target: c, From: from, Worst: e, Confidence: m.confidence(i, from)})
			current = &f.Misses[len(f.Misses)-1]
		}
		current.extend(m, i, from, until, e)
	}
	f.Classes = append(f.Classes, worst)
}

// extend lengthens a miss by the interval from one boundary to the next.
func (miss *Miss) extend(m *model, i int, from, until time.Time, e Expectation) {
	miss.Until = until
	if e.Good < miss.Worst.Good {
		miss.Worst, miss.Confidence = e, m.confidence(i, from)
	}
	active := m.in.activeStops(from)
	for _, id := range active {
		if !slices.Contains(miss.Stops, id) {
			miss.Stops = append(miss.Stops, id)
		}
	}
	withoutStop := m.expect(i, from, withoutStops)
	if len(active) > 0 && withoutStop.Good >= m.service.Classes[i].Success {
		miss.DueToStops = true
	}
}

func (in *Input) activeStops(at time.Time) []string {
	var ids []string
	for i := range in.Stops {
		if in.Stops[i].Active(at) {
			ids = append(ids, in.Stops[i].ID)
		}
	}
	return ids
}

// Notices lists the clients to notify of the misses of all classes that clients
// may call, the one with the least time left first.
func Notices(in *Input, misses []Miss) []Notice {
	var notices []Notice
	for i := range misses {
		m := &misses[i]
		measured := in.Status.Class(m.Class)
		if m.Target.Internal || measured == nil || measured.Counts.Offered == 0 {
			continue
		}
		callBy := m.From.Add(-m.Target.Notice)
		for _, name := range measured.Counts.ClientNames() {
			share := float64(measured.Counts.Clients[name].Offered) / float64(measured.Counts.Offered)
			notices = append(notices, Notice{
				Client: name, Class: m.Class, Rate: share * measured.Rate, From: m.From, Until: m.Until,
				CallBy: callBy, Left: callBy.Sub(in.Now),
			})
		}
	}
	slices.SortStableFunc(notices, func(a, b Notice) int { return a.CallBy.Compare(b.CallBy) })
	return notices
}

// AddedMisses returns the misses of with that are not in without, or that are
// worse in with by more than tolerance.
func AddedMisses(without, with *Forecast) []Miss {
	var added []Miss
	for i := range with.Misses {
		m := &with.Misses[i]
		if !slices.ContainsFunc(without.Misses, func(o Miss) bool { return o.contains(m) }) {
			added = append(added, *m)
		}
	}
	return added
}

// tolerance is the difference in the share of good calls that is ignored.
const tolerance = 0.005

func (m *Miss) contains(other *Miss) bool {
	return m.Class == other.Class && !m.From.After(other.From) && !m.Until.Before(other.Until) &&
		m.Worst.Good <= other.Worst.Good+tolerance
}
