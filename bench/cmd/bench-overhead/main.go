// Command bench-overhead measures the time that two daemons add to a call. It
// exits with 1 if that is over its bound.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"fescuehoist.example/adapters/targetfile"
	"fescuehoist.example/bench/overhead"
)

type arguments struct {
	Examples string        `help:"Folder with the targets of each deployment." default:"examples" type:"existingdir"`
	Rounds   int           `help:"Rounds of each kind of call." default:"28"`
	Length   time.Duration `help:"Length of a round." default:"250ms"`
	Interval time.Duration `help:"Time between the calls of a round, in whole milliseconds." default:"1ms"`
	Profile  string        `help:"File for a processor profile; none if empty."`
	JSON     bool          `help:"Print the figures as JSON." name:"json"`
}

func main() {
	var args arguments
	k := kong.Parse(&args, kong.Name("bench-overhead"),
		kong.Description("Measures the time that two daemons add to a call."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	held, err := args.run(ctx)
	k.FatalIfErrorf(err)
	if !held {
		stop()
		os.Exit(1)
	}
}

// run measures everything and reports whether the bound held.
func (a *arguments) run(ctx context.Context) (bool, error) {
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
	result, err := overhead.Run(ctx, o)
	if err != nil {
		return false, err
	}
	return result.Holds(), a.print(result)
}

func (a *arguments) print(r *overhead.Result) error {
	if a.JSON {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(r.Figures)
	}
	for _, f := range r.Figures {
		fmt.Println(f)
	}
	return nil
}
