// Command bench-overhead measures the latency that two daemons add to a call. It
// exits with 1 if a figure is over its bound.
package main

import (
	"context"
	"os"
	"path/filepath"
	"runtime/pprof"
	"time"

	"fescuehoist.example/adapters/targetfile"
	"fescuehoist.example/bench/figure"
	"fescuehoist.example/bench/overhead"
)

type arguments struct {
	Examples string        `help:"Folder with the targets of each deployment." default:"examples" type:"existingdir"`
	Rounds   int           `help:"Number of rounds of each kind of call." default:"28"`
	Length   time.Duration `help:"Length of a round." default:"250ms"`
	Interval time.Duration `help:"Time between the calls of a round, in whole milliseconds." default:"1ms"`
	Profile  string        `help:"File to write a CPU profile to. Default: no profile."`

	figure.Output
}

func main() {
	figure.Main("bench-overhead", "Measures the latency that two daemons add to a call.", &arguments{})
}

// Run measures all kinds of calls and reports whether every figure is within its
// bound. It writes a CPU profile if one is selected.
func (a *arguments) Run(ctx context.Context) (bool, error) {
	targets, err := targetfile.Load(filepath.Join(a.Examples, "nuqta", "targets.toml"))
	if err != nil {
		return false, err
	}
	if a.Profile != "" {
		f, err := os.Create(a.Profile)
		if err != nil {
			return false, err
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return false, err
		}
		defer pprof.StopCPUProfile()
	}
	o := overhead.Options{Rounds: a.Rounds, Length: a.Length, Interval: a.Interval, Targets: targets}
	report := a.Report()
	if err := overhead.Run(ctx, o, report); err != nil {
		return false, err
	}
	return a.Finish(report)
}
