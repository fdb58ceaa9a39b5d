// Command bench-status measures what gathering status costs in one failure
// domain: bytes between daemons, writes to the platform and processor time.
package main

import (
	"context"
	"fmt"
	"time"

	"fescuehoist.example/bench/figure"
	"fescuehoist.example/bench/statusbench"
)

type arguments struct {
	Interval time.Duration `help:"Time between reports." default:"2s"`

	figure.Output
}

// Bounds at the size that the project is designed for.
const (
	// maxBytes bounds the bytes a second that a daemon spends on control.
	maxBytes = 25 << 10
	// maxWrites bounds the writes a second of one failure domain: a ninth of
	// half the platform's several hundred.
	maxWrites = 16
	// maxSummary bounds a value in the platform, in bytes.
	maxSummary = 1 << 20
)

func main() {
	figure.Main("bench-status", "Measures what gathering status costs.", &arguments{})
}

// Run measures everything and reports whether every bound held.
func (a *arguments) Run(ctx context.Context) (bool, error) {
	report := a.Report()
	for _, size := range statusbench.Sizes() {
		r, err := statusbench.Run(ctx, size, a.Interval)
		if err != nil {
			return false, err
		}
		add(report, size, r)
	}
	return a.Finish(report)
}

func add(to *figure.Report, s statusbench.Size, r *statusbench.Result) {
	name := fmt.Sprintf("status.%d-daemons-%d-services", s.Daemons, s.Services)
	to.AddAtMost(name+".sent-mean", r.SentMean, "B/s", maxBytes)
	to.AddAtMost(name+".sent-and-received-max", r.TrafficMax, "B/s", maxBytes)
	to.AddAtMost(name+".summary-written-max", r.SummaryWriteRateMax, "B/s", maxBytes)
	to.AddAtMost(name+".summary-max", r.SummaryMax, "B", maxSummary)
	to.AddAtMost(name+".writes", r.Writes, "1/s", maxWrites)
	to.AddUnbounded(name+".processor", r.CPU.Seconds()*1000, "ms/daemon/interval")
}
