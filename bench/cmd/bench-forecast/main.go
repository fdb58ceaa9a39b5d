// Command bench-forecast forecasts the effect of planned stops, executes the stops
// under the same load, and compares both. It exits with 1 if a figure is over its
// bound.
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
	Case     []string      `help:"Cases to run. Default: all."`
	Examples string        `help:"Folder with the targets of each deployment." default:"examples" type:"existingdir"`
	Seed     uint64        `help:"Seed for the order in which daemons are called." default:"1"`
	Measure  time.Duration `help:"Time during which demand is measured." default:"2500ms"`
	Observe  time.Duration `help:"Time during which calls are counted after the stop has begun." default:"2500ms"`

	figure.Output
}

// Bounds on the error of a forecast.
const (
	// maxShareError bounds the error of the share of calls that are served.
	maxShareError = 0.10
	// maxP99Error bounds the error of the 99th percentile of the latency, as a
	// share of the target latency. A larger error would mislead clients about
	// their latency.
	maxP99Error = 1.0
)

func main() {
	figure.Main("bench-forecast", "Forecasts the effect of planned stops, executes the stops under the same load, and compares both.", &arguments{})
}

// Run measures the selected cases and reports whether every figure is within its
// bound.
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
		reportCase(c, outcomes, r, a.TextWriter())
	}
	return a.Finish(r)
}

// reportCase prints the outcomes of a case to text and adds its figures to r.
func reportCase(c forecastbench.Case, outcomes []forecastbench.Outcome, r *figure.Report, text io.Writer) {
	mispredicted, unintended, shareError, latencyError := 0, 0, 0.0, 0.0
	for i := range outcomes {
		o := &outcomes[i]
		fmt.Fprintf(text, "%s: %s\n", c.Name, o.Line())
		if !o.TargetPredicted() {
			mispredicted++
		}
		if (o.Good < o.Target.Success) != slices.Contains(c.MissedClasses, o.Class) {
			unintended++
		}
		shareError = math.Max(shareError, math.Abs(o.Predicted.Served-o.Served))
		latencyError = math.Max(latencyError, math.Abs((o.Predicted.P99-o.P99).Seconds())/o.Target.Latency.Seconds())
	}
	name := "forecast." + c.Name
	r.AddAtMost(name+".surprises", float64(mispredicted), "classes", 0)
	r.AddAtMost(name+".unintended", float64(unintended), "classes", 0)
	r.AddAtMost(name+".served-error", shareError, "share", maxShareError)
	r.AddAtMost(name+".p99-error", latencyError, "of-target-latency", maxP99Error)
}
