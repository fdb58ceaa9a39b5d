// Command bench-status measures what gathering status costs in one failure
// domain: bytes between daemons, writes to the platform and processor time.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"fescuehoist.example/bench/gather"
)

type arguments struct {
	Interval time.Duration `help:"Time between reports." default:"2s"`
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
	var args arguments
	k := kong.Parse(&args, kong.Name("bench-status"), kong.Description("Measures what gathering status costs."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	held := true
	for _, size := range gather.Sizes() {
		r, err := gather.Run(ctx, size, args.Interval)
		k.FatalIfErrorf(err)
		held = report(size, r) && held
	}
	if !held {
		stop()
		os.Exit(1)
	}
}

func report(s gather.Size, r *gather.Result) bool {
	name := fmt.Sprintf("status.%d-daemons-%d-services", s.Daemons, s.Services)
	held := line(name+".sent-mean", r.SentMean, "B/s", maxBytes)
	held = line(name+".sent-and-received-max", r.TrafficMax, "B/s", maxBytes) && held
	held = line(name+".summary-written-max", r.WrittenMax, "B/s", maxBytes) && held
	held = line(name+".summary-max", r.SummaryMax, "B", maxSummary) && held
	held = line(name+".writes", r.Writes, "1/s", maxWrites) && held
	fmt.Printf("%s: %.3f ms of processor time a daemon and interval, encoding included\n", name, r.CPU.Seconds()*1000)
	return held
}

func line(name string, value float64, unit string, bound float64) bool {
	verdict := "ok"
	if value > bound {
		verdict = "over"
	}
	fmt.Printf("bench: %s %.1f %s bound %.0f %s\n", name, value, unit, bound, verdict)
	return value <= bound
}
