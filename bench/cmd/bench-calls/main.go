// Command bench-calls measures what each class of work gets under load and
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
	Scenario   []string      `help:"Scenarios to run; all if none is given."`
	Baseline   []string      `help:"Baselines to run; all if no scenario is given."`
	Examples   string        `help:"Folder with the targets of each deployment." default:"examples" type:"existingdir"`
	Seed       uint64        `help:"Seed of the order in which daemons are called." default:"1"`
	Warmup     time.Duration `help:"Time before calls are counted." default:"500ms"`
	Duration   time.Duration `help:"Time in which calls are counted." default:"2s"`
	Parallel   int           `help:"Scenarios to run at once." default:"2"`

	figure.Output
}

func main() {
	figure.Main("bench-calls", "Measures what each class of work gets under load and faults.", &arguments{})
}

// job is one scenario on one deployment, under a baseline or the project's own
// policy.
type job struct {
	deployment string
	scenario   calls.Scenario
	baseline   *calls.Baseline
}

// Run measures everything and reports whether every bound held.
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
	held := !slices.ContainsFunc(results, func(r *calls.Result) bool { return !r.WithinBounds() })
	return held, a.print(results)
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

// scenarios returns the scenarios asked for; those of the deployments
// take turns.
func (a *arguments) scenarios() []job {
	var jobs []job
	for _, s := range calls.Scenarios() {
		if !chosen(a.Scenario, s.Name, len(a.Baseline) > 0) {
			continue
		}
		for _, name := range a.Deployment {
			jobs = append(jobs, job{deployment: name, scenario: s})
		}
	}
	return jobs
}

// baselines returns the baselines asked for, on the first deployment. Their
// figures have no bounds.
func (a *arguments) baselines() []job {
	var jobs []job
	for _, b := range calls.Baselines() {
		if !chosen(a.Baseline, b.Name, len(a.Scenario) > 0) {
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

// chosen reports whether a name was asked for, given whether an empty list
// means none.
func chosen(names []string, name string, none bool) bool {
	if len(names) == 0 {
		return !none
	}
	return slices.Contains(names, name)
}

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
