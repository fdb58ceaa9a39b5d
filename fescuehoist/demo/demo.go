// Package demo runs a whole deployment in one process, changes it while calls
// run, and reports what each class got.
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

// Limits of the demonstration.
const (
	convergeLimit = 10 * time.Second
	minDuration   = 6 * time.Second
	// statusInterval is the time between reports of status.
	statusInterval = 250 * time.Millisecond
	statusWindows  = 8
	// maxOpen bounds the calls open at once, ten times what is usual: on a machine
	// that cannot keep up, a backlog without bound would leave the daemons no time.
	maxOpen = 512
)

// Options choose what is demonstrated.
type Options struct {
	Deployment string
	Seed       uint64
	Duration   time.Duration
	// Targets are the targets to apply.
	Targets []*target.Service
	// Out takes the account of what happens; Log the daemons' messages.
	Out, Log io.Writer
}

// Result is the outcome of a demonstration.
type Result struct {
	Deployment string        `json:"deployment"`
	Seed       uint64        `json:"seed"`
	Classes    []ClassResult `json:"classes"`
	// ConvergenceMS is the time from the acknowledgement of the edit until
	// every daemon had it in force, in milliseconds.
	ConvergenceMS float64     `json:"convergence_ms"`
	Invariants    []Invariant `json:"invariants"`
	// Forecast answers what happens if all but one of a service's backend
	// servers stop; Status is taken near the end.
	Forecast *view.Forecast `json:"forecast"`
	Status   *view.Status   `json:"status"`
}

// ClassResult is what one class got.
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

// Invariant is one thing that must always hold.
type Invariant struct {
	Name  string `json:"name"`
	Holds bool   `json:"holds"`
	// Timed says that a bound in time decides, which a machine that is busy with
	// other work can break.
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
	gone       []*fleet.Member
	started    time.Time
	// begun is when the calls began.
	begun    time.Time
	versions versions
	planned  plannedStop
}

// Run carries the demonstration out.
func Run(ctx context.Context, o Options) (*Result, error) {
	d := &demo{Options: o, result: &Result{Deployment: o.Deployment, Seed: o.Seed}, started: time.Now()}
	switch o.Deployment {
	case "nuqta":
		d.deployment = fleet.Nuqta()
	case "trinacria":
		d.deployment = fleet.Trinacria()
	default:
		return nil, oops.In("demo").Errorf("no deployment %q; choose nuqta or trinacria", o.Deployment)
	}
	if o.Duration < minDuration {
		return nil, oops.In("demo").Errorf("duration %s; choose at least %s", o.Duration, minDuration)
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
	if err := d.begin(ctx); err != nil {
		return nil, err
	}
	d.generator = load.New(d.Seed, d.callers(), d.streams())
	d.generator.MaxOpen = maxOpen
	calls, endCalls := context.WithCancel(ctx)
	defer endCalls()
	d.begun = time.Now()
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
	err = d.events(ctx)
	endCalls()
	<-done
	<-sampled
	if err != nil {
		return nil, err
	}
	d.report()
	return d.result, nil
}

// begin applies the targets and waits until every daemon is ready for calls.
func (d *demo) begin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, convergeLimit)
	defer cancel()
	change, err := d.editor.Publish(ctx, &manifest.Edit{ID: uuid.NewString(), Author: "demo", Update: d.Targets})
	if err != nil {
		return err
	}
	d.say("applied %d services as version %d", len(d.Targets), change.Version)
	if err := d.fleet.AwaitVersion(ctx, d.fleet.Members, change.Version); err != nil {
		return err
	}
	err = d.fleet.AwaitReady(ctx, d.fleet.Members, len(d.fleet.Members))
	if err == nil {
		d.say("all %d daemons are ready", len(d.fleet.Members))
	}
	return err
}

// eventsLimit is how much longer than planned the events may take on a machine
// that is busy.
const eventsLimit = 2 * time.Minute

// events changes the deployment while calls run: each step at its share of the
// time, or once the step before it has ended.
func (d *demo) events(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.Duration+eventsLimit)
	defer cancel()
	for _, step := range []struct {
		share float64
		do    func(context.Context) error
	}{
		{0.10, d.edit}, {0.24, d.plan}, {0.45, d.drain}, {0.58, d.kill}, {0.65, d.outage}, {0.95, d.look},
		{1, d.awaitCount},
	} {
		if err := d.until(ctx, step.share); err != nil {
			return err
		}
		if err := step.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) until(ctx context.Context, share float64) error {
	left := time.Until(d.begun.Add(time.Duration(share * float64(d.Duration))))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(left):
		return nil
	}
}

// edit changes one target and measures how long it takes to be in force.
func (d *demo) edit(ctx context.Context) error {
	s := *d.Targets[0]
	s.Classes = append([]target.Class(nil), s.Classes...)
	s.Classes[0].Latency += 10 * time.Millisecond
	change, err := d.editor.Publish(ctx, &manifest.Edit{ID: uuid.NewString(), Author: "demo", Update: []*target.Service{&s}})
	if err != nil {
		return err
	}
	acknowledged := time.Now()
	err = d.fleet.AwaitVersion(ctx, d.live(), change.Version)
	d.result.ConvergenceMS = float64(time.Since(acknowledged).Microseconds()) / 1000
	d.say("edited %s: version %d in force everywhere after %.0f ms", s.Name, change.Version, d.result.ConvergenceMS)
	return err
}

// drain sends the first server of the last service away, as SIGTERM does.
func (d *demo) drain(context.Context) error {
	m := d.lastService()[0]
	d.leave(m)
	m.Stop()
	d.say("server %s was told to leave and has left", m.Server.Name)
	return nil
}

// kill ends the third server without warning.
func (d *demo) kill(context.Context) error {
	d.planned.cut, d.planned.late = waits(d.generator.MayHaveRunReasons())
	m := d.fleet.Members[2]
	d.leave(m)
	m.Kill()
	d.say("server %s was killed", m.Server.Name)
	return nil
}

// outage switches the platform off and on.
func (d *demo) outage(ctx context.Context) error {
	d.fleet.Platform.SetFaults(platform.Faults{Outage: true})
	d.say("the platform is off")
	if err := d.until(ctx, 0.8); err != nil {
		return err
	}
	d.fleet.Platform.SetFaults(platform.Faults{})
	d.say("the platform is on")
	return nil
}

// leave directs callers to the daemons that stay.
func (d *demo) leave(m *fleet.Member) {
	d.gone = append(d.gone, m)
	d.generator.SetTargets(d.callers())
}

func (d *demo) live() []*fleet.Member {
	var live []*fleet.Member
	for _, m := range d.fleet.Members {
		if !contains(d.gone, m) {
			live = append(live, m)
		}
	}
	return live
}

func contains(members []*fleet.Member, m *fleet.Member) bool {
	for _, other := range members {
		if other == m {
			return true
		}
	}
	return false
}

func (d *demo) callers() []string {
	var addresses []string
	for _, m := range d.live() {
		addresses = append(addresses, m.Callers)
	}
	return addresses
}

func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.Out, "%6.2f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}
