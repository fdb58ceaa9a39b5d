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

// Options configures a run.
type Options struct {
	Targets []*target.Service
	// Seed determines the order in which daemons are called.
	Seed uint64
	// Measure is the time during which demand is measured before the forecast,
	// Observe the time during which calls are counted after the stop has begun.
	Measure, Observe time.Duration
}

// Times of a run.
const (
	// reportInterval is the time between two status reports of a daemon.
	reportInterval = 250 * time.Millisecond
	// startLimit bounds the time until the targets are in force and all servers
	// ready.
	startLimit = 10 * time.Second
	// leadTime is the time from the forecast to the start of the stop.
	leadTime = time.Second
	// settleTime is the time from the start of the stop until calls are counted.
	settleTime = time.Second
	stopLength = time.Hour
)

// Outcome compares the forecast of a class with its observed result.
type Outcome struct {
	Class     status.ClassKey
	Target    *target.Class
	Predicted forecast.Expectation
	// Confidence is the confidence of the forecast.
	Confidence forecast.Confidence
	// Served and Good are the observed shares of the Offered calls that were
	// answered and that were good. P99 is the 99th percentile of the latency of
	// answered calls.
	Served, Good float64
	P99          time.Duration
	Offered      int
}

// TargetPredicted reports whether the forecast predicted correctly whether the class meets
// its target for good calls.
func (o *Outcome) TargetPredicted() bool {
	return (o.Predicted.Good >= o.Target.Success) == (o.Good >= o.Target.Success)
}

// run is the execution of one case.
type run struct {
	Options
	c          Case
	deployment *fleet.Deployment
	fleet      *fleet.Fleet
	client     *platformhttp.Client
	store      *platformhttp.StatusStore
}

// Run executes a case on a new fleet and returns the outcome of each class that has
// load.
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
	if err := r.publishTargets(ctx); err != nil {
		return nil, err
	}
	return r.measureCase(ctx)
}

// publishTargets publishes the targets and waits until they are in force at all
// daemons and all servers are ready.
func (r *run) publishTargets(ctx context.Context) error {
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

// measureCase runs the load while demand is measured, forecasts the planned stop,
// waits until the stop has begun and settled, and then counts calls of the same load.
func (r *run) measureCase(ctx context.Context) ([]Outcome, error) {
	demandCtx, cancelDemand := context.WithCancel(ctx)
	defer cancelDemand()
	demandDone := make(chan struct{})
	demandLoad := r.generator("before-")
	go func() {
		demandLoad.Run(demandCtx)
		close(demandDone)
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
	observeCtx, cancelObserve := context.WithTimeout(ctx, r.Observe)
	defer cancelObserve()
	observedLoad := r.generator("after-")
	cancelDemand()
	observedLoad.Run(observeCtx)
	<-demandDone
	return r.outcomes(f, observedLoad), nil
}

// forecast returns the forecast for the planned stop and adds the stop to the
// platform's list, so that the daemons execute it.
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

// generator returns a generator of the case's load, with IDs that begin with
// idPrefix.
func (r *run) generator(idPrefix string) *load.Generator {
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
	g.IDPrefix = idPrefix
	return g
}

// outcomes pairs the forecast of each class with the report of its calls.
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
				Served: ratio(report.Answered, report.Offered), Good: ratio(report.Good, report.Offered),
				P99: time.Duration(report.Latency.ValueAtQuantile(99)) * time.Microsecond, Offered: report.Offered,
			})
		}
	}
	return outcomes
}

// ratio returns part divided by total, or by 1 if total is 0.
func ratio(part, total int) float64 { return float64(part) / float64(max(total, 1)) }

// Line returns the outcome as one line of text.
func (o *Outcome) Line() string {
	return fmt.Sprintf("%-18s forecast: served %.3f good %.3f p99 %s (%s)  observed: served %.3f good %.3f p99 %s of %d calls; target %.2f in %s",
		o.Class, o.Predicted.Served, o.Predicted.Good, o.Predicted.P99.Round(time.Millisecond), o.Confidence,
		o.Served, o.Good, o.P99.Round(time.Millisecond), o.Offered, o.Target.Success, o.Target.Latency)
}
