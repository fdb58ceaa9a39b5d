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

// Output holds the flags that select how figures are printed.
type Output struct {
	JSON bool `help:"Print the figures as JSON." name:"json"`
}

// Report returns a report that prints its lines to standard output unless JSON is
// selected.
func (o Output) Report() *Report {
	if o.JSON {
		return &Report{}
	}
	return &Report{Out: os.Stdout}
}

// TextWriter returns the writer for text other than figures: standard output, or
// none if JSON is selected.
func (o Output) TextWriter() io.Writer {
	if o.JSON {
		return io.Discard
	}
	return os.Stdout
}

// Finish prints the figures as JSON if that is selected, and reports whether all of
// them are within their bounds.
func (o Output) Finish(r *Report) (bool, error) {
	if o.JSON {
		return r.WithinBounds(), PrintJSON(r.Figures)
	}
	return r.WithinBounds(), nil
}

// PrintJSON prints a value as indented JSON to standard output.
func PrintJSON(value any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// Benchmark is the command line of a benchmark.
type Benchmark interface {
	// Run measures and reports whether every figure is within its bound.
	Run(ctx context.Context) (bool, error)
}

// Main parses the command line and runs the benchmark until it ends or is
// interrupted. It exits with 1 if the benchmark fails or a figure is over its
// bound.
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
