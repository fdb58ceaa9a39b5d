package forecastbench

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/bench/fleet"
	"fescuehoist.example/bench/load"
	"fescuehoist.example/fescuehoistd/daemon"
	"fescuehoist.example/mesh/forecast"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/status"
	"fescuehoist.example/mesh/stop"
	"fescuehoist.example/mesh/target"
	"fescuehoist.example/mesh/wait"
)

// Options set the length of a run.
type Options struct {
	Targets []*target.Service
	Seed    uint64
	// Measure is how long demand is measured before the forecast, Observe how
	// long calls are counted after the stop has begun.
	Measure, Observe time.Duration
}

// Times of a run.
const (
	reportInterval = 250 * time.Millisecond
	startLimit     = 10 * time.Second
	leadTime       = time.Second
	settleTime     = time.Second
	stopLength     = time.Hour
)

// Outcome compares a class's forecast with what it got.
type Outcome struct {
	Class    status.ClassKey
	Target   *target.Class
	Predicted forecast.Expectation
	// Confidence is that of the forecast.
	Confidence forecast.Confidence
	// Served and Good are the shares observed, P99 the latency of answers.
	Served, Good float64
	P99          time.Duration
	Offered      int
}

// TargetPredicted reports whether the forecast was right about the target.
func (o *Outcome) TargetPredicted() bool {
	return (o.Predicted.Good >= o.Target.Success) == (o.Good >= o.Target.Success)
}

// run is one case under way.
type run struct {
	Options
	c          Case
	deployment *fleet.Deployment
	fleet      *fleet.Fleet
	client     *platformhttp.Client
	store      *platformhttp.StatusStore
}

// Run carries a case out.
func Run(ctx context.Context, c Case, o Options) ([]Outcome, error) {
	r := &run{Options: o, c: c, deployment: deployment()}
	f, err := fleet.Start(ctx, r.deployment, fleet.Options{Tune: func(c *daemon.Config) {
		c.Status.Interval = reportInterval
		c.Status.WindowIntervals = int(o.Measure / reportInterval)
	}})
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	r.fleet = f
	r.client = platformhttp.NewClient(f.PlatformAddress)
	defer r.client.Close()
	r.store = &platformhttp.StatusStore{Client: r.client}
	if err := r.begin(ctx); err != nil {
		return nil, err
	}
	return r.compare(ctx)
}

func (r *run) begin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	editor := manifest.NewEditor(&platformhttp.Repository{Client: r.client})
	change, err := editor.Publish(ctx, &manifest.Edit{ID: uuid.NewString(), Author: "bench", Update: r.Targets})
	if err != nil {
		return err
	}
	if err := r.fleet.AwaitVersion(ctx, r.fleet.Members, change.Version); err != nil {
		return err
	}
	return r.fleet.AwaitReady(ctx, r.fleet.Members, len(r.fleet.Members))
}

// compare offers the load, forecasts, lets the stop begin, and counts.
func (r *run) compare(ctx context.Context) ([]Outcome, error) {
	before, endBefore := context.WithCancel(ctx)
	defer endBefore()
	running := make(chan struct{})
	first := r.generator("before-")
	go func() {
		first.Run(before)
		close(running)
	}()
	if err := wait.For(ctx, r.Measure+4*reportInterval); err != nil {
		return nil, err
	}
	f, err := r.forecast(ctx)
	if err != nil {
		return nil, err
	}
	if err := wait.For(ctx, leadTime+settleTime); err != nil {
		return nil, err
	}
	after, endAfter := context.WithTimeout(ctx, r.Observe)
	defer endAfter()
	second := r.generator("after-")
	endBefore()
	second.Run(after)
	<-running
	return r.outcomes(f, second), nil
}

// forecast plans the stop and returns what it foresees.
func (r *run) forecast(ctx context.Context) (*forecast.Forecast, error) {
	now := time.Now()
	planned := stop.Stop{ID: r.c.Name, Author: "bench", Servers: r.c.Stop, From: now.Add(leadTime), Until: now.Add(stopLength)}
	list, err := r.store.Stops(ctx)
	if err != nil {
		return nil, err
	}
	list = list.With(planned, now)
	summaries, _, err := r.store.Summaries(ctx)
	if err != nil {
		return nil, err
	}
	f := forecast.Run(&forecast.Input{
		Now: now, Horizon: stopLength, Services: r.Targets, Status: status.Combine(summaries), Stops: list.Stops,
	})
	return f, r.store.SaveStops(ctx, list)
}

func (r *run) generator(name string) *load.Generator {
	var callers []string
	for _, m := range r.fleet.Members {
		callers = append(callers, m.Callers)
	}
	var streams []load.Stream
	for _, s := range r.Targets {
		for i := range s.Classes {
			c := &s.Classes[i]
			share := r.c.Load[status.ClassKey{Service: s.Name, Class: c.Name}]
			if share == 0 {
				continue
			}
			streams = append(streams, load.Stream{
				Service: s.Name, Class: c.Name, Method: c.Method, Path: c.Path, Clients: []string{"client-a", "client-b"},
				Rate: rate(r.deployment, s.Name, c, share), Latency: c.Latency, Idempotent: c.Idempotent,
			})
		}
	}
	g := load.New(r.Seed, callers, streams)
	g.IDPrefix = name
	return g
}

func (r *run) outcomes(f *forecast.Forecast, g *load.Generator) []Outcome {
	var outcomes []Outcome
	for _, report := range g.Reports() {
		key := status.ClassKey{Service: report.Stream.Service, Class: report.Stream.Class}
		for i := range f.Classes {
			c := &f.Classes[i]
			if c.Class != key {
				continue
			}
			outcomes = append(outcomes, Outcome{
				Class: key, Target: c.Target, Predicted: c.Expectation, Confidence: c.Confidence,
				Served: share(report.Answered, report.Offered), Good: share(report.Good, report.Offered),
				P99: time.Duration(report.Latency.ValueAtQuantile(99)) * time.Microsecond, Offered: report.Offered,
			})
		}
	}
	return outcomes
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

// Line formats the outcome for people.
func (o *Outcome) Line() string {
	return fmt.Sprintf("%-18s foreseen: served %.3f good %.3f p99 %s (%s)  observed: served %.3f good %.3f p99 %s of %d calls; target %.2f in %s",
		o.Class, o.Predicted.Served, o.Predicted.Good, o.Predicted.P99.Round(time.Millisecond), o.Confidence,
		o.Served, o.Good, o.P99.Round(time.Millisecond), o.Offered, o.Target.Success, o.Target.Latency)
}
