// Command bench-config measures what a change of configuration costs a daemon
// and the platform. It exits with 1 if a figure is over its bound.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"fescuehoist.example/bench/versions"
)

type arguments struct {
	Services []int  `help:"Numbers of services to measure with." default:"330,3300"`
	Changes  int    `help:"Changes to average over." default:"300"`
	Seed     uint64 `help:"Seed of the choice of services that change." default:"1"`
	JSON     bool   `help:"Print the figures as JSON."`
}

func main() {
	var args arguments
	k := kong.Parse(&args, kong.Name("bench-config"),
		kong.Description("Measures what a change of configuration costs a daemon and the platform."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	held, err := args.run(ctx)
	k.FatalIfErrorf(err)
	if !held {
		stop()
		os.Exit(1)
	}
}

func (a *arguments) run(ctx context.Context) (bool, error) {
	held := true
	var all []*versions.Figure
	for _, n := range a.Services {
		figures, err := versions.Run(ctx, versions.Options{Services: n, Changes: a.Changes, Seed: a.Seed})
		if err != nil {
			return false, err
		}
		for _, f := range figures {
			held = held && f.OK()
			if !a.JSON {
				fmt.Println(f)
			}
		}
		all = append(all, figures...)
	}
	if a.JSON {
		return held, json.NewEncoder(os.Stdout).Encode(all)
	}
	return held, nil
}
