package figure

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Output says how figures are printed.
type Output struct {
	JSON bool `help:"Print the figures as JSON." name:"json"`
}

// Report returns a report that prints its lines unless JSON is asked for.
func (o Output) Report() *Report {
	if o.JSON {
		return &Report{}
	}
	return &Report{Out: os.Stdout}
}

// TextWriter returns where text beside the figures goes.
func (o Output) TextWriter() io.Writer {
	if o.JSON {
		return io.Discard
	}
	return os.Stdout
}

// Finish prints what is left to print of a run, and reports whether its bounds
// held.
func (o Output) Finish(r *Report) (bool, error) {
	if o.JSON {
		return r.WithinBounds(), PrintJSON(r.Figures)
	}
	return r.WithinBounds(), nil
}

// PrintJSON prints a value as JSON.
func PrintJSON(value any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// Benchmark is the command line of a benchmark.
type Benchmark interface {
	// Run measures and reports whether every bound held.
	Run(ctx context.Context) (bool, error)
}

// Main parses the command line, runs the benchmark until it ends or is
// interrupted, and exits with 1 if a bound did not hold.
func Main(name, description string, b Benchmark) {
	k := kong.Parse(b, kong.Name(name), kong.Description(description))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	held, err := b.Run(ctx)
	stop()
	k.FatalIfErrorf(err)
	if !held {
		os.Exit(1)
	}
}
