package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/bench/fleet"
	"fescuehoist.example/fescuehoist/view"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/forecast"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/stop"
)

// Times of the planned stop.
const (
	stopLead = 500 * time.Millisecond
	// stopGrace is how long after its stop began a server may get new work.
	stopGrace  = 3 * time.Second
	stopLength = time.Hour
	askedAhead = 24 * time.Hour
)

// plannedStop is what is known of the planned stop.
type plannedStop struct {
	member *fleet.Member
	// cut counts, by reason, the calls that were cut before the first fault, and
	// late those that a limit in time ended.
	cut, late map[string]int
	// closed is the number of requests that had run once the daemon of the
	// server took no more calls and the last one had ended.
	closed int

	mu sync.Mutex
	// early is the number of requests that ran within the grace time.
	early   int
	counted chan struct{}
}

// plan forecasts a stop of one server, plans it, and waits until it begins.
func (d *demo) plan(ctx context.Context) error {
	v, err := view.Load(ctx, d.client)
	if err != nil {
		return err
	}
	m := d.fleet.Members[1]
	now := time.Now()
	one := stop.Stop{
		ID: "demo", Author: "demo", Servers: []member.ServerID{member.ServerID(m.Server.Name)},
		From: now.Add(stopLead), Until: now.Add(stopLength),
	}
	list := v.Stops.With(one, now)
	broken := forecast.AddedMisses(forecast.Run(v.Input(v.Stops, stopLength)), forecast.Run(v.Input(list, stopLength)))
	d.say("forecast: a stop of %s breaks %d targets", m.Server.Name, len(broken))
	d.ask(v)
	if err := (&platformhttp.StatusStore{Client: d.client}).SaveStops(ctx, list); err != nil {
		return err
	}
	d.planned.member = m
	d.planned.counted = make(chan struct{})
	time.AfterFunc(time.Until(one.From.Add(stopGrace)), d.planned.count)
	return d.awaitStop(ctx, m)
}

// ask forecasts the stop of all servers but one of the first service.
func (d *demo) ask(v *view.View) {
	one := stop.Stop{ID: "asked-about", From: v.At.Add(askedAhead), Until: v.At.Add(askedAhead + time.Hour)}
	for i := range v.Overview.Servers {
		if s := &v.Overview.Servers[i]; s.Service == d.Targets[0].Name {
			one.Servers = append(one.Servers, s.Server)
		}
	}
	one.Servers = one.Servers[:max(len(one.Servers)-1, 0)]
	f := forecast.Run(v.Input(v.Stops.With(one, v.At), one.Until.Sub(v.At)))
	d.result.Forecast = view.NewForecast(f)
}

// awaitStop waits until the daemon of the server has begun the stop.
func (d *demo) awaitStop(ctx context.Context, m *fleet.Member) error {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for m.Daemon.State().State != member.Draining.String() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for the stop of %s: %w", m.Server.Name, ctx.Err())
		case <-tick.C:
		}
	}
	d.say("server %s takes no new calls, as planned", m.Server.Name)
	for !m.Daemon.State().Idle {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for the last call of %s: %w", m.Server.Name, ctx.Err())
		case <-tick.C:
		}
	}
	d.planned.closed = runs(m)
	return nil
}

// look takes the status near the end.
func (d *demo) look(ctx context.Context) error {
	v, err := view.Load(ctx, d.client)
	if err == nil {
		d.result.Status = view.NewStatus(v)
	}
	return err
}

func (p *plannedStop) count() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.early = runs(p.member)
	close(p.counted)
}

// awaitCount waits for the end of the grace time of the planned stop.
func (d *demo) awaitCount(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-d.planned.counted:
		return nil
	}
}

// waits tells the failures that a limit in time decides, which a busy machine
// brings about by itself, from those of connections that ended.
func waits(reasons map[string]int) (ended, late map[string]int) {
	ended, late = map[string]int{}, map[string]int{}
	for reason, n := range reasons {
		switch call.Reason(reason) {
		case call.Deadline, call.Silent, call.Unrecorded, call.Repeated:
			late[reason] = n
		default:
			ended[reason] = n
		}
	}
	return ended, late
}

// ranSince returns how many requests the server has run since it had run some.
func (p *plannedStop) ranSince(since int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return runs(p.member) - since
}

func runs(m *fleet.Member) int {
	n := 0
	for _, times := range m.Backend.Runs() {
		n += times
	}
	return n
}

// lastService returns the members of the service that was started last.
func (d *demo) lastService() []*fleet.Member {
	var members []*fleet.Member
	name := d.fleet.Members[len(d.fleet.Members)-1].Server.Service
	for _, m := range d.fleet.Members {
		if m.Server.Service == name {
			members = append(members, m)
		}
	}
	return members
}
