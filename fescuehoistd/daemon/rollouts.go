package daemon

import (
	"maps"
	"slices"
	"time"

	"fescuehoist.example/adapters/boottime"
	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/adapters/telemetry"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/rollout"
	"fescuehoist.example/mesh/target"
)

// rollouts follows the orders of rollouts. It is nil if the settings do not ask for that or
// the platform has no orders.
type rollouts struct {
	follower   *rollout.Follower
	controller *rollout.Controller
}

func (d *Daemon) buildRollouts(self member.ServerID) {
	s, orders := &d.cfg.Settings.Rollouts, d.platformAdapter.orders()
	if !s.Enabled() || orders == nil {
		return
	}
	own := func() (member.Record, bool) { return d.members.Get(self) }
	load := func() int {
		l := d.gate.Load()
		return l.Running + l.Queued
	}
	cfg := rollout.DefaultConfig(rolloutLimits(s))
	r := &rollouts{
		follower:   rollout.NewFollower(boottime.Now, own, load),
		controller: rollout.NewController(cfg, orders, &rolloutFleet{configs: d.configs, members: d.members}, d.partLogger("rollout"), boottime.Now),
	}
	r.follower.Orders = orders
	d.rollouts = r
	d.collection.collector.Releases, d.collection.collector.Judge = r.follower, r.controller
}

func rolloutLimits(s *settings.Rollouts) rollout.Limits {
	return rollout.Limits{Share: s.ExposureShare, Slack: s.ExposureSlack, Within: s.RollbackWithin}
}

// followRollouts lets the choice of servers and the calls to the own backend server follow
// the directions.
func (d *Daemon) followRollouts() {
	f := d.rollouts.follower
	d.router.Directions, d.inbound.Releases = f, f
	d.inbound.Backend = &rollout.Handler{Handler: d.inbound.Backend, Follower: f}
}

// rolloutFleet tells what a controller needs to know of services and servers.
type rolloutFleet struct {
	configs *manifest.Store
	members *member.Table

	// mixed holds the result of Mixed for view. The controller asks for it with each
	// decision, up to 20 times a second, while its lock is held.
	view  *member.View
	mixed []string
}

// Servers returns the records of the servers of a service.
func (f *rolloutFleet) Servers(service string) []*member.Record {
	return f.members.View().Service(service)
}

// Mixed returns the services that have servers of several releases.
func (f *rolloutFleet) Mixed() []string {
	view := f.members.View()
	if view == f.view {
		return f.mixed
	}
	first, mixed := map[string]string{}, map[string]bool{}
	for _, r := range view.All() {
		if !r.Routable() {
			continue
		}
		if release, known := first[r.Service]; !known {
			first[r.Service] = r.Release
		} else if release != r.Release {
			mixed[r.Service] = true
		}
	}
	f.view, f.mixed = view, slices.Collect(maps.Keys(mixed))
	return f.mixed
}

// Known reports whether a class routes to a service or a server announces it.
func (f *rolloutFleet) Known(service string) bool {
	return f.LongestTimeout(service) > 0 || len(f.Servers(service)) > 0
}

// LongestTimeout returns the longest timeout of the classes that route to a service.
func (f *rolloutFleet) LongestTimeout(service string) time.Duration {
	var longest time.Duration
	f.configs.Snapshot().Each(func(s *target.Service) {
		for i := range s.Classes {
			if c := &s.Classes[i]; c.RoutesTo(s.Name, service) {
				longest = max(longest, c.Timeout)
			}
		}
	})
	return longest
}

// Rollouts is the state of the rollouts as a daemon knows it.
type Rollouts struct {
	// Orders is empty but at the daemon that controls the rollouts.
	Orders []rollout.Status `json:"orders"`
	// Directions are those that the daemon follows.
	Directions []Direction `json:"directions"`
}

// Direction is a direction that a daemon follows.
type Direction struct {
	Service string `json:"service"`
	Release string `json:"release"`
	State   string `json:"state"`
	// Share is that in use: 0 if the direction is out of date.
	Share   float64 `json:"share"`
	Servers int     `json:"servers,omitempty"`
	// Order is the revision at which the order began.
	Order string `json:"order"`
}

// state returns the state, or nil without rollouts.
func (r *rollouts) state() *Rollouts {
	if r == nil {
		return nil
	}
	out := &Rollouts{Orders: r.controller.Status()}
	for _, a := range r.follower.Current().All() {
		out.Directions = append(out.Directions, Direction{a.Service, a.Release, a.State.String(), a.CurrentShare(), a.Servers, a.Order.String()})
	}
	return out
}

func (r *rollouts) metrics() []telemetry.Metric {
	if r == nil {
		return nil
	}
	return []telemetry.Metric{
		{Name: "fescuehoist.rollout.share", Description: "Share of the requests to a service that go to the ordered release, in thousandths.", Label: "service",
			Read: func() []telemetry.Point {
				return r.points(func(a *rollout.Active) uint64 { return uint64(a.CurrentShare() * 1000) })
			}},
		{Name: "fescuehoist.rollout.state", Description: "State of the rollout of a service: 1 running, 2 rolled back, 3 completed.", Label: "service",
			Read: func() []telemetry.Point { return r.points(func(a *rollout.Active) uint64 { return uint64(a.State) }) }},
		{Name: "fescuehoist.rollout.answers", Description: "Calls that the backend server ran since the order of the running rollout, by release and whether they failed.", Label: "result",
			Read: r.answers},
		{Name: "fescuehoist.rollout.orders.refused", Description: "Orders that are not valid, at the daemon that controls the rollouts.",
			Read: r.refused},
	}
}

func (r *rollouts) points(value func(*rollout.Active) uint64) []telemetry.Point {
	var points []telemetry.Point
	for _, a := range r.follower.Current().All() {
		points = append(points, telemetry.Point{Label: a.Service, Value: value(a)})
	}
	return points
}

func (r *rollouts) answers() []telemetry.Point {
	totals := map[string]uint64{}
	for _, c := range r.follower.Counts() {
		if c.Class != "" {
			totals[c.Release+" served"] += c.Answered - c.Failed
			totals[c.Release+" failed"] += c.Failed
		}
	}
	var points []telemetry.Point
	for label, n := range totals {
		points = append(points, telemetry.Point{Label: label, Value: n})
	}
	return points
}

func (r *rollouts) refused() []telemetry.Point {
	n := 0
	for _, s := range r.controller.Status() {
		if s.State == rollout.Refused {
			n++
		}
	}
	return telemetry.SinglePoint(uint64(n))
}
