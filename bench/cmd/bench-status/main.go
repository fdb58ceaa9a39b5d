// Command bench-status measures the cost of collecting status in one failure domain:
// bytes between daemons, writes to the platform and processor time. It exits with 1
// if a figure is over its bound.
package main

import (
	"context"
	"fmt"
	"time"

	"fescuehoist.example/bench/figure"
	"fescuehoist.example/bench/statusbench"
)

type arguments struct {
	Interval time.Duration `help:"Time between two status reports of a daemon." default:"2s"`

	figure.Output
}

// Bounds at the largest size, the one that the project is designed for.
const (
	// maxBytes bounds the control traffic of a daemon, in bytes per second.
	maxBytes = 25 << 10
	// maxWrites bounds the writes to the platform per second of one failure domain.
	// The nine domains of the largest mesh together may use half of the several
	// hundred writes per second that the platform accepts.
	maxWrites = 16
	// maxSummary is the largest value that the platform accepts, in bytes.
	maxSummary = 1 << 20
)

func main() {
	figure.Main("bench-status", "Measures the cost of collecting status in one failure domain.", &arguments{})
}

// Run measures all sizes and reports whether every figure is within its bound.
func (a *arguments) Run(ctx context.Context) (bool, error) {
	report := a.Report()
	for _, size := range statusbench.Sizes() {
		r, err := statusbench.Run(ctx, size, a.Interval)
		if err != nil {
			return false, err
		}
		addFigures(report, size, r)
	}
	return a.Finish(report)
}

// addFigures adds the figures of one size to a report.
func addFigures(to *figure.Report, s statusbench.Size, r *statusbench.Result) {
	name := fmt.Sprintf("status.%d-daemons-%d-services", s.Daemons, s.Services)
	to.AddAtMost(name+".sent-mean", r.SentMean, "B/s", maxBytes)
	to.AddAtMost(name+".sent-and-received-max", r.TrafficMax, "B/s", maxBytes)
	to.AddAtMost(name+".summary-written-max", r.SummaryWriteRateMax, "B/s", maxBytes)
	to.AddAtMost(name+".summary-max", r.SummaryMax, "B", maxSummary)
	to.AddAtMost(name+".writes", r.Writes, "1/s", maxWrites)
	to.AddUnbounded(name+".processor", r.CPU.Seconds()*1000, "ms/daemon/interval")
}
