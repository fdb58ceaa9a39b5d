// Command bench-calls measures the share of good calls of each class under load and
// faults. It exits with 1 if a figure is over its bound.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"fescuehoist.example/bench/figure"

	"golang.org/x/sync/errgroup"

	"fescuehoist.example/adapters/targetfile"
	"fescuehoist.example/bench/calls"
)

type arguments struct {
	Deployment []string      `help:"Deployments to run." enum:"nuqta,trinacria" default:"nuqta,trinacria"`
	Scenario   []string      `help:"Scenarios to run. Default: all, or none if a baseline is given."`
	Baseline   []string      `help:"Baselines to run. Default: all, or none if a scenario is given."`
	Examples   string        `help:"Folder with the targets of each deployment." default:"examples" type:"existingdir"`
	Seed       uint64        `help:"Seed for the order in which daemons are called." default:"1"`
	Warmup     time.Duration `help:"Time during which calls are sent but not counted." default:"500ms"`
	Duration   time.Duration `help:"Time during which calls are counted." default:"2s"`
	Parallel   int           `help:"Number of scenarios to run concurrently." default:"2"`

	figure.Output
}

func main() {
	figure.Main("bench-calls", "Measures the share of good calls of each class under load and faults.", &arguments{})
}

// job is one scenario on one deployment with the policy of a baseline; nil is the
// project's own policy.
type job struct {
	deployment string
	scenario   calls.Scenario
	baseline   *calls.Baseline
}

// Run measures the selected scenarios and baselines and reports whether every figure
// is within its bound.
func (a *arguments) Run(ctx context.Context) (bool, error) {
	jobs := append(a.scenarios(), a.baselines()...)
	results := make([]*calls.Result, len(jobs))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(a.Parallel, 1))
	for i, j := range jobs {
		g.Go(func() (err error) {
			results[i], err = a.measure(ctx, j)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return false, err
	}
	withinBounds := !slices.ContainsFunc(results, func(r *calls.Result) bool { return !r.WithinBounds() })
	return withinBounds, a.print(results)
}

func (a *arguments) print(results []*calls.Result) error {
	if a.JSON {
		return figure.PrintJSON(results)
	}
	for _, r := range results {
		r.Print(os.Stdout)
		fmt.Println()
	}
	return nil
}

// scenarios returns the jobs of the selected scenarios, alternating between the
// deployments.
func (a *arguments) scenarios() []job {
	var jobs []job
	for _, s := range calls.Scenarios() {
		if !selected(a.Scenario, s.Name, len(a.Baseline) > 0) {
			continue
		}
		for _, name := range a.Deployment {
			jobs = append(jobs, job{deployment: name, scenario: s})
		}
	}
	return jobs
}

// baselines returns the jobs of the selected baselines, on the first deployment only.
// Their figures have no bounds.
func (a *arguments) baselines() []job {
	var jobs []job
	for _, b := range calls.Baselines() {
		if !selected(a.Baseline, b.Name, len(a.Scenario) > 0) {
			continue
		}
		for _, s := range calls.Scenarios() {
			if s.Name == b.Scenario {
				jobs = append(jobs, job{deployment: a.Deployment[0], scenario: s, baseline: &b})
			}
		}
	}
	return jobs
}

// selected reports whether names contains name. An empty list means all names, or
// none if emptyMeansNone is set.
func selected(names []string, name string, emptyMeansNone bool) bool {
	if len(names) == 0 {
		return !emptyMeansNone
	}
	return slices.Contains(names, name)
}

// measure runs a job, and runs it once more if the generator sent calls late in the
// first run.
func (a *arguments) measure(ctx context.Context, j job) (*calls.Result, error) {
	targets, err := targetfile.Load(filepath.Join(a.Examples, j.deployment, "targets.toml"))
	if err != nil {
		return nil, err
	}
	o := calls.Options{Deployment: j.deployment, Targets: targets, Seed: a.Seed, Warmup: a.Warmup, Duration: a.Duration}
	if j.baseline != nil {
		o.Policy = j.baseline.Policy
	}
	r, err := calls.Run(ctx, j.scenario, o)
	if err == nil && r.GeneratorLate() {
		if r, err = calls.Run(ctx, j.scenario, o); err == nil {
			r.Repeated = true
		}
	}
	if err == nil && j.baseline != nil {
		r.MarkBaseline(j.baseline.Name)
	}
	return r, err
}
