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

// Times of the planned stop and of the forecast of a stop.
const (
	stopLead = 500 * time.Millisecond
	// stopGrace is the time after the start of its stop in which a server may
	// still get new requests.
	stopGrace    = 3 * time.Second
	stopLength   = time.Hour
	forecastLead = 24 * time.Hour
)

// plannedStop records the planned stop and the counts that are checked after it.
type plannedStop struct {
	member *fleet.Member
	// cut counts, by reason, the calls before the kill whose connection ended;
	// timedOut counts those that a time limit ended.
	cut, timedOut map[string]int
	// executionsAtClose is the number of executions at the server once its
	// daemon took no new calls and the last call had ended.
	executionsAtClose int

	mu sync.Mutex
	// executionsInGrace is the number of executions at the server by the end of
	// stopGrace; graceEnded is closed once it is set.
	executionsInGrace int
	graceEnded        chan struct{}
}

// planStop forecasts a stop of one server, plans it, and waits until the server's
// daemon takes no new calls and the last call has ended.
func (d *demo) planStop(ctx context.Context) error {
	v, err := view.Load(ctx, d.client)
	if err != nil {
		return err
	}
	m := d.fleet.Members[1]
	now := time.Now()
	proposed := stop.Stop{
		ID: "demo", Author: "demo", Servers: []member.ServerID{member.ServerID(m.Server.Name)},
		From: now.Add(stopLead), Until: now.Add(stopLength),
	}
	list := v.Stops.With(proposed, now)
	broken := forecast.AddedMisses(forecast.Run(v.Input(v.Stops, stopLength)), forecast.Run(v.Input(list, stopLength)))
	d.logf("forecast: a stop of %s breaks %d targets", m.Server.Name, len(broken))
	d.forecastStop(v)
	if err := (&platformhttp.StatusStore{Client: d.client}).SaveStops(ctx, list); err != nil {
		return err
	}
	d.planned.member = m
	d.planned.graceEnded = make(chan struct{})
	time.AfterFunc(time.Until(proposed.From.Add(stopGrace)), d.planned.countGraceExecutions)
	return d.awaitStop(ctx, m)
}

// forecastStop forecasts a stop of all servers but one of the first service.
func (d *demo) forecastStop(v *view.View) {
	proposed := stop.Stop{ID: "asked-about", From: v.At.Add(forecastLead), Until: v.At.Add(forecastLead + time.Hour)}
	for i := range v.Overview.Servers {
		if s := &v.Overview.Servers[i]; s.Service == d.Targets[0].Name {
			proposed.Servers = append(proposed.Servers, s.Server)
		}
	}
	proposed.Servers = proposed.Servers[:max(len(proposed.Servers)-1, 0)]
	f := forecast.Run(v.Input(v.Stops.With(proposed, v.At), proposed.Until.Sub(v.At)))
	d.result.Forecast = view.NewForecast(f)
}

// awaitStop waits until the server's daemon drains and its last call has ended.
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
	d.logf("server %s takes no new calls, as planned", m.Server.Name)
	for !m.Daemon.State().Idle {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for the last call of %s: %w", m.Server.Name, ctx.Err())
		case <-tick.C:
		}
	}
	d.planned.executionsAtClose = executionCount(m)
	return nil
}

// takeStatus stores the current status in the result.
func (d *demo) takeStatus(ctx context.Context) error {
	v, err := view.Load(ctx, d.client)
	if err == nil {
		d.result.Status = view.NewStatus(v)
	}
	return err
}

// countGraceExecutions sets executionsInGrace; call it at the end of stopGrace.
func (p *plannedStop) countGraceExecutions() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.executionsInGrace = executionCount(p.member)
	close(p.graceEnded)
}

// awaitGraceEnd waits for the end of stopGrace.
func (d *demo) awaitGraceEnd(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-d.planned.graceEnded:
		return nil
	}
}

// splitByTimeLimit splits counts of failures into those caused by a time limit,
// which a busy machine can cause without a fault, and those of connections that
// ended.
func splitByTimeLimit(reasons map[string]int) (ended, timedOut map[string]int) {
	ended, timedOut = map[string]int{}, map[string]int{}
	for reason, n := range reasons {
		switch call.Reason(reason) {
		case call.Deadline, call.Silent, call.Unrecorded, call.Repeated:
			timedOut[reason] = n
		default:
			ended[reason] = n
		}
	}
	return ended, timedOut
}

// executionsSince returns by how much the executions of the server exceed since.
func (p *plannedStop) executionsSince(since int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return executionCount(p.member) - since
}

// executionCount returns the number of executions at the member's backend server.
func executionCount(m *fleet.Member) int {
	n := 0
	for _, times := range m.Backend.Executions() {
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
