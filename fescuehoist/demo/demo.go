// Package demo runs a deployment in one process, makes planned changes and
// faults while calls run, and reports the service that each class got and
// whether the invariants held.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/bench/fleet"
	"fescuehoist.example/bench/load"
	"fescuehoist.example/fescuehoist/view"
	"fescuehoist.example/fescuehoistd/daemon"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
	"fescuehoist.example/standin/platform"
)

// Times and limits of the demonstration.
const (
	convergeTimeout = 10 * time.Second
	minDuration     = 6 * time.Second
	// statusInterval is the time between status reports; statusWindows is the
	// number of intervals that a summary covers.
	statusInterval = 250 * time.Millisecond
	statusWindows  = 8
	// maxOpenCalls is the maximum number of open calls, ten times the usual
	// number. On a machine that cannot keep up, an unbounded backlog would take
	// all processor time from the daemons.
	maxOpenCalls = 512
)

// Options are the options of a demonstration.
type Options struct {
	Deployment string
	Seed       uint64
	Duration   time.Duration
	// Targets are the targets to apply.
	Targets []*target.Service
	// Out receives a line for each event, Log the daemons' logs.
	Out, Log io.Writer
}

// Result is the outcome of a demonstration.
type Result struct {
	Deployment string        `json:"deployment"`
	Seed       uint64        `json:"seed"`
	Classes    []ClassResult `json:"classes"`
	// ConvergenceMS is the time in milliseconds from the acknowledgement of the
	// edit until every live daemon had it in force.
	ConvergenceMS float64     `json:"convergence_ms"`
	Invariants    []Invariant `json:"invariants"`
	// Forecast is the forecast of a stop of all but one of the first service's
	// backend servers. Status is the status near the end of the run.
	Forecast *view.Forecast `json:"forecast"`
	Status   *view.Status   `json:"status"`
}

// ClassResult is the service that one class got, compared with its target.
type ClassResult struct {
	Class      string  `json:"class"`
	Offered    int     `json:"offered"`
	Answered   int     `json:"answered"`
	NotRun     int     `json:"not_run"`
	MayHaveRun int     `json:"may_have_run"`
	P50MS      float64 `json:"p50_ms"`
	P99MS      float64 `json:"p99_ms"`
	Good       float64 `json:"good_share"`
	Target     float64 `json:"target_share"`
	Met        bool    `json:"target_met"`
}

// Invariant is a property that must hold in every run.
type Invariant struct {
	Name  string `json:"name"`
	Holds bool   `json:"holds"`
	// Timed is set if the invariant has a time bound, which a machine busy with
	// other work can exceed without a fault.
	Timed   bool     `json:"timed"`
	Details []string `json:"details,omitempty"`
}

// Holds reports whether every invariant held.
func (r *Result) Holds() bool {
	for _, i := range r.Invariants {
		if !i.Holds {
			return false
		}
	}
	return true
}

// demo is one running demonstration.
type demo struct {
	Options
	deployment *fleet.Deployment
	fleet      *fleet.Fleet
	editor     *manifest.Editor
	generator  *load.Generator
	result     *Result
	client     *platformhttp.Client
	departed   []*fleet.Member
	started    time.Time
	// callsStarted is the time at which calls began.
	callsStarted time.Time
	versions     versions
	planned      plannedStop
}

// Run runs a demonstration. It returns an error for an unknown deployment, for a
// duration below minDuration, and if an event fails or does not end in time; a
// broken invariant is part of the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	d := &demo{Options: o, result: &Result{Deployment: o.Deployment, Seed: o.Seed}, started: time.Now()}
	switch o.Deployment {
	case "nuqta":
		d.deployment = fleet.Nuqta()
	case "trinacria":
		d.deployment = fleet.Trinacria()
	default:
		return nil, oops.In("demo").Errorf("unknown deployment %q, want nuqta or trinacria", o.Deployment)
	}
	if o.Duration < minDuration {
		return nil, oops.In("demo").Errorf("duration %s, want at least %s", o.Duration, minDuration)
	}
	return d.run(ctx)
}

func (d *demo) run(ctx context.Context) (*Result, error) {
	f, err := fleet.Start(ctx, d.deployment, fleet.Options{Log: d.Log, Tune: func(c *daemon.Config) {
		c.Status.Interval, c.Status.WindowIntervals = statusInterval, statusWindows
	}})
	if err != nil {
		return nil, err
	}
	d.fleet = f
	defer func() { _ = f.Close() }()
	client := platformhttp.NewClient(f.PlatformAddress)
	defer client.Close()
	d.client = client
	d.editor = manifest.NewEditor(&platformhttp.Repository{Client: client})
	if err := d.applyTargets(ctx); err != nil {
		return nil, err
	}
	d.generator = load.New(d.Seed, d.callerAddresses(), d.streams())
	d.generator.MaxOpen = maxOpenCalls
	calls, endCalls := context.WithCancel(ctx)
	defer endCalls()
	d.callsStarted = time.Now()
	done := make(chan struct{})
	go func() {
		d.generator.Run(calls)
		close(done)
	}()
	sampled := make(chan struct{})
	go func() {
		d.versions.sample(calls, d.fleet.Members)
		close(sampled)
	}()
	err = d.runEvents(ctx)
	endCalls()
	<-done
	<-sampled
	if err != nil {
		return nil, err
	}
	d.report()
	return d.result, nil
}

// applyTargets applies the targets and waits until every daemon has them in force
// and is ready for calls.
func (d *demo) applyTargets(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	change, err := d.editor.Publish(ctx, &manifest.Edit{ID: uuid.NewString(), Author: "demo", Update: d.Targets})
	if err != nil {
		return err
	}
	d.logf("applied %d services as version %d", len(d.Targets), change.Version)
	if err := d.fleet.AwaitVersion(ctx, d.fleet.Members, change.Version); err != nil {
		return err
	}
	err = d.fleet.AwaitReady(ctx, d.fleet.Members, len(d.fleet.Members))
	if err == nil {
		d.logf("all %d daemons are ready", len(d.fleet.Members))
	}
	return err
}

// eventsTimeout is the time beyond the planned duration that the events may take
// on a busy machine.
const eventsTimeout = 2 * time.Minute

// runEvents changes the deployment while calls run. Each step starts at its share
// of the duration, or when the previous step ends if that is later.
func (d *demo) runEvents(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.Duration+eventsTimeout)
	defer cancel()
	for _, step := range []struct {
		share float64
		do    func(context.Context) error
	}{
		{0.10, d.edit}, {0.24, d.planStop}, {0.45, d.drain}, {0.58, d.kill}, {0.65, d.outage}, {0.95, d.takeStatus},
		{1, d.awaitGraceEnd},
	} {
		if err := d.waitUntil(ctx, step.share); err != nil {
			return err
		}
		if err := step.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

// waitUntil waits until a share of the duration has passed since calls started.
func (d *demo) waitUntil(ctx context.Context, share float64) error {
	left := time.Until(d.callsStarted.Add(time.Duration(share * float64(d.Duration))))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(left):
		return nil
	}
}

// edit changes one target and measures the time until it is in force everywhere.
func (d *demo) edit(ctx context.Context) error {
	s := *d.Targets[0]
	s.Classes = append([]target.Class(nil), s.Classes...)
	s.Classes[0].Latency += 10 * time.Millisecond
	change, err := d.editor.Publish(ctx, &manifest.Edit{ID: uuid.NewString(), Author: "demo", Update: []*target.Service{&s}})
	if err != nil {
		return err
	}
	acknowledged := time.Now()
	err = d.fleet.AwaitVersion(ctx, d.liveMembers(), change.Version)
	d.result.ConvergenceMS = float64(time.Since(acknowledged).Microseconds()) / 1000
	d.logf("edited %s: version %d in force everywhere after %.0f ms", s.Name, change.Version, d.result.ConvergenceMS)
	return err
}

// drain stops the first server of the last service gracefully, as SIGTERM does.
func (d *demo) drain(context.Context) error {
	m := d.lastService()[0]
	d.removeMember(m)
	m.Stop()
	d.logf("server %s has drained and left", m.Server.Name)
	return nil
}

// kill ends the third server abruptly. It takes the counts of failed calls just
// before, as the kill is the first fault.
func (d *demo) kill(context.Context) error {
	d.planned.cut, d.planned.timedOut = splitByTimeLimit(d.generator.MayHaveRunReasons())
	m := d.fleet.Members[2]
	d.removeMember(m)
	m.Kill()
	d.logf("server %s was killed", m.Server.Name)
	return nil
}

// outage makes the platform unavailable, and available again at a share of 0.8
// of the duration.
func (d *demo) outage(ctx context.Context) error {
	d.fleet.Platform.SetFaults(platform.Faults{Outage: true})
	d.logf("the platform is unavailable")
	if err := d.waitUntil(ctx, 0.8); err != nil {
		return err
	}
	d.fleet.Platform.SetFaults(platform.Faults{})
	d.logf("the platform is available again")
	return nil
}

// removeMember directs callers to the daemons other than m.
func (d *demo) removeMember(m *fleet.Member) {
	d.departed = append(d.departed, m)
	d.generator.SetTargets(d.callerAddresses())
}

// liveMembers returns the members that were neither drained nor killed.
func (d *demo) liveMembers() []*fleet.Member {
	var live []*fleet.Member
	for _, m := range d.fleet.Members {
		if !contains(d.departed, m) {
			live = append(live, m)
		}
	}
	return live
}

func contains(members []*fleet.Member, m *fleet.Member) bool {
	for _, member := range members {
		if member == m {
			return true
		}
	}
	return false
}

// callerAddresses returns the addresses for callers of the live daemons.
func (d *demo) callerAddresses() []string {
	var addresses []string
	for _, m := range d.liveMembers() {
		addresses = append(addresses, m.Callers)
	}
	return addresses
}

// logf prints an event with the time since the start in seconds.
func (d *demo) logf(format string, args ...any) {
	fmt.Fprintf(d.Out, "%6.2f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}
