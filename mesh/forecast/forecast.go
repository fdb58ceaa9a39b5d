// Package forecast foresees which classes of work will miss their targets,
// from demand, capacity and planned stops, and which clients to tell. It is a
// pure computation.
package forecast

import (
	"slices"
	"time"

	"fescuehoist.example/mesh/status"
	"fescuehoist.example/mesh/stop"
	"fescuehoist.example/mesh/target"
)

// Input is what a forecast rests on.
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

// Forecast is the outcome.
type Forecast struct {
	// From and Until bound the time that was looked at.
	From, Until time.Time
	// Classes says what each class gets at the time when it gets least.
	Classes []ClassForecast
	// Misses are the targets that will be missed, the earliest first.
	Misses []Miss
	// Notices are the clients to tell, the one with the least time left first.
	Notices []Notice
}

// ClassForecast is what a class gets at its worst moment.
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
	// Worst is what the class gets when it gets least.
	Worst Expectation
	// Stops names the planned stops under way meanwhile; the miss is due to
	// them if it would not happen without them.
	Stops      []string
	DueToStops bool
	Confidence Confidence
}

// Shortfall is by how much the share of good calls misses the target.
func (m *Miss) Shortfall() float64 { return m.Target.Success - m.Worst.Good }

// Notice is a client to tell of a miss.
type Notice struct {
	Client string
	Class  status.ClassKey
	// Rate is the client's calls a second.
	Rate        float64
	From, Until time.Time
	// CallBy is the latest moment that keeps the promised notice.
	CallBy time.Time
	// Left is the time until CallBy; below 0 it is too late.
	Left time.Duration
}

// Confidence says how far the outcome of a forecast depends on its inputs.
type Confidence string

// Levels of confidence. High: the outcome is the same with a tenth more or
// less demand, and with a pessimistic and an optimistic view of the queues.
// Medium: it is the same for most of these. Low: for fewer, or hardly any calls
// were measured.
const (
	High   Confidence = "high"
	Medium Confidence = "medium"
	Low    Confidence = "low"
)

// Run computes the forecast.
func Run(in *Input) *Forecast {
	f := &Forecast{From: in.Now, Until: in.Now.Add(in.Horizon)}
	edges, x := in.edges(), newIndex(in.Status)
	for _, s := range in.Services {
		m := newModel(in, x, s)
		for i := range s.Classes {
			f.addClass(m, i, edges)
		}
	}
	slices.SortStableFunc(f.Misses, func(a, b Miss) int { return a.From.Compare(b.From) })
	f.Notices = Notices(in, f.Misses)
	return f
}

// edges returns the moments at which demand or capacity may change.
func (in *Input) edges() []time.Time {
	end := in.Now.Add(in.Horizon)
	edges := []time.Time{in.Now, end}
	for t := in.Now.Truncate(time.Hour).Add(time.Hour); t.Before(end); t = t.Add(time.Hour) {
		edges = append(edges, t)
	}
	for i := range in.Stops {
		for _, t := range []time.Time{in.Stops[i].From, in.Stops[i].Until} {
			if t.After(in.Now) && t.Before(end) {
				edges = append(edges, t)
			}
		}
	}
	slices.SortFunc(edges, time.Time.Compare)
	return slices.CompactFunc(edges, time.Time.Equal)
}

// addClass goes through the time between the edges for one class.
func (f *Forecast) addClass(m *model, i int, edges []time.Time) {
	c := &m.service.Classes[i]
	key := status.ClassKey{Service: m.service.Name, Class: c.Name}
	worst := ClassForecast{Class: key, Target: c}
	var open *Miss
	for n := range edges[:len(edges)-1] {
		from, until := edges[n], edges[n+1]
		e := m.expect(i, from, nominal)
		if n == 0 || e.Good < worst.Good {
			worst.At, worst.Expectation, worst.Confidence = from, e, m.confidence(i, from)
		}
		if e.Good >= c.Success {
			open = nil
			continue
		}
		if open == nil {
			f.Misses = append(f.Misses, Miss{Class: key, Target: c, From: from, Worst: e, Confidence: m.confidence(i, from)})
			open = &f.Misses[len(f.Misses)-1]
		}
		open.extend(m, i, from, until, e)
	}
	f.Classes = append(f.Classes, worst)
}

// extend lengthens a miss by the time from one edge to the next.
func (miss *Miss) extend(m *model, i int, from, until time.Time, e Expectation) {
	miss.Until = until
	if e.Good < miss.Worst.Good {
		miss.Worst, miss.Confidence = e, m.confidence(i, from)
	}
	active := m.in.active(from)
	for _, id := range active {
		if !slices.Contains(miss.Stops, id) {
			miss.Stops = append(miss.Stops, id)
		}
	}
	unhindered := m.expect(i, from, withoutStops)
	if len(active) > 0 && unhindered.Good >= m.service.Classes[i].Success {
		miss.DueToStops = true
	}
}

func (in *Input) active(at time.Time) []string {
	var ids []string
	for i := range in.Stops {
		if in.Stops[i].Active(at) {
			ids = append(ids, in.Stops[i].ID)
		}
	}
	return ids
}

// Notices lists the clients of all classes that clients call and that miss, the
// one with the least time left first.
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

// AddedMisses returns the misses of with that are not in without, or are worse
// there by more than tolerance.
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

// tolerance is the difference in the share of good calls that counts as none.
const tolerance = 0.005

func (m *Miss) contains(other *Miss) bool {
	return m.Class == other.Class && !m.From.After(other.From) && !m.Until.Before(other.Until) &&
		m.Worst.Good <= other.Worst.Good+tolerance
}
