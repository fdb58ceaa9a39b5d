// Command bench-calls measures what each class of work gets under load and
// faults. It exits with 1 if a figure is over its bound.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

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
	Duration   time.Duration `help:"Time in which calls are counted." default:"1500ms"`
	JSON       bool          `help:"Print the results as JSON." name:"json"`
}

func main() {
	var args arguments
	k := kong.Parse(&args, kong.Name("bench-calls"),
		kong.Description("Measures what each class of work gets under load and faults."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	held, err := args.run(ctx)
	k.FatalIfErrorf(err)
	if !held {
		stop()
		os.Exit(1)
	}
}

// run measures everything asked for and reports whether every bound held.
func (a *arguments) run(ctx context.Context) (bool, error) {
	var results []*calls.Result
	for _, name := range a.Deployment {
		for _, s := range calls.Scenarios() {
			if !chosen(a.Scenario, s.Name, len(a.Baseline) > 0) {
				continue
			}
			r, err := a.measure(ctx, s, name, nil)
			if err != nil {
				return false, err
			}
			results = append(results, r)
		}
	}
	compared, err := a.compare(ctx)
	if err != nil {
		return false, err
	}
	if a.JSON {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		err = e.Encode(append(results, compared...))
	}
	return !slices.ContainsFunc(results, func(r *calls.Result) bool { return !r.Holds() }), err
}

// compare measures the baselines on the first deployment. Their figures have
// no bounds.
func (a *arguments) compare(ctx context.Context) ([]*calls.Result, error) {
	var results []*calls.Result
	for _, b := range calls.Baselines() {
		if !chosen(a.Baseline, b.Name, len(a.Scenario) > 0) {
			continue
		}
		for _, s := range calls.Scenarios() {
			if s.Name != b.Scenario {
				continue
			}
			r, err := a.measure(ctx, s, a.Deployment[0], &b)
			if err != nil {
				return nil, err
			}
			results = append(results, r)
		}
	}
	return results, nil
}

// chosen reports whether a name was asked for, given whether an empty list
// means none.
func chosen(names []string, name string, none bool) bool {
	if len(names) == 0 {
		return !none
	}
	return slices.Contains(names, name)
}

func (a *arguments) measure(ctx context.Context, s calls.Scenario, deployment string, b *calls.Baseline) (*calls.Result, error) {
	targets, err := targetfile.Load(filepath.Join(a.Examples, deployment, "targets.toml"))
	if err != nil {
		return nil, err
	}
	o := calls.Options{Deployment: deployment, Targets: targets, Seed: a.Seed, Warmup: a.Warmup, Duration: a.Duration}
	if b != nil {
		o.Policy = b.Policy
	}
	r, err := calls.Run(ctx, s, o)
	if err != nil {
		return nil, err
	}
	if b != nil {
		r.Compared(b.Name)
	}
	if !a.JSON {
		r.Print(os.Stdout)
		fmt.Println()
	}
	return r, nil
}
