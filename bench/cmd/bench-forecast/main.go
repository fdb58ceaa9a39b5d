// Command bench-forecast forecasts planned stops, carries them out under the
// same load, and compares. It exits with 1 if a figure is over its bound.
package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"path/filepath"
	"slices"
	"time"

	"fescuehoist.example/adapters/targetfile"
	"fescuehoist.example/bench/figure"
	"fescuehoist.example/bench/forecastbench"
)

type arguments struct {
	Case     []string      `help:"Cases to run; all if none is given."`
	Examples string        `help:"Folder with the targets of each deployment." default:"examples" type:"existingdir"`
	Seed     uint64        `help:"Seed of the order in which daemons are called." default:"1"`
	Measure  time.Duration `help:"Time in which demand is measured." default:"2500ms"`
	Observe  time.Duration `help:"Time in which calls are counted after the stop has begun." default:"2500ms"`

	figure.Output
}

// Bounds on the error of a forecast.
const (
	// maxShareError bounds the error of the share of calls served.
	maxShareError = 0.10
	// maxP99Error bounds the error of the 99th percentile, as a share of the
	// target latency. Above it latencies tell clients something else.
	maxP99Error = 1.0
)

func main() {
	figure.Main("bench-forecast", "Forecasts planned stops, carries them out under the same load, and compares.", &arguments{})
}

// Run measures everything and reports whether every bound held.
func (a *arguments) Run(ctx context.Context) (bool, error) {
	targets, err := targetfile.Load(filepath.Join(a.Examples, "nuqta", "targets.toml"))
	if err != nil {
		return false, err
	}
	o := forecastbench.Options{Targets: targets, Seed: a.Seed, Measure: a.Measure, Observe: a.Observe}
	r := a.Report()
	for _, c := range forecastbench.Cases() {
		if len(a.Case) > 0 && !slices.Contains(a.Case, c.Name) {
			continue
		}
		outcomes, err := forecastbench.Run(ctx, c, o)
		if err != nil {
			return false, fmt.Errorf("%s: %w", c.Name, err)
		}
		report(c, outcomes, r, a.TextWriter())
	}
	return a.Finish(r)
}

// report prints a case and adds its figures.
func report(c forecastbench.Case, outcomes []forecastbench.Outcome, r *figure.Report, text io.Writer) {
	surprises, contrived, shareError, latencyError := 0, 0, 0.0, 0.0
	for i := range outcomes {
		o := &outcomes[i]
		fmt.Fprintf(text, "%s: %s\n", c.Name, o.Line())
		if !o.TargetPredicted() {
			surprises++
		}
		if (o.Good < o.Target.Success) != slices.Contains(c.MissedClasses, o.Class) {
			contrived++
		}
		shareError = math.Max(shareError, math.Abs(o.Predicted.Served-o.Served))
		latencyError = math.Max(latencyError, math.Abs((o.Predicted.P99-o.P99).Seconds())/o.Target.Latency.Seconds())
	}
	name := "forecast." + c.Name
	r.AddAtMost(name+".surprises", float64(surprises), "classes", 0)
	r.AddAtMost(name+".unintended", float64(contrived), "classes", 0)
	r.AddAtMost(name+".served-error", shareError, "share", maxShareError)
	r.AddAtMost(name+".p99-error", latencyError, "of-target-latency", maxP99Error)
}
