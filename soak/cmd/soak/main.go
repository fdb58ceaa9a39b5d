// Command soak plays seeded schedules of faults against a fleet of real daemons
// on loopback and checks the promises of the product meanwhile.
package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"fescuehoist.example/soak/invariant"
	"fescuehoist.example/soak/runner"
)

type arguments struct {
	Daemon  string        `required:"" type:"existingfile" help:"The daemon's program."`
	Seed    []uint64      `help:"Seeds to play; without any, --count fresh ones."`
	Count   int           `default:"10" help:"Number of fresh seeds."`
	Hosts   int           `default:"6" help:"Number of daemons."`
	Clients int           `default:"3" help:"Clients at each daemon."`
	Length  time.Duration `default:"20s" help:"How long events go on."`
	Untimed bool          `help:"Leave out promises that have a bound in time, on a busy machine."`
	Keep    string        `default:"soak-logs" type:"path" help:"Folder for the logs of seeds that failed."`
	Events  bool          `help:"Print the events."`
}

const description = `Plays seeded schedules of faults against a fleet of real daemons on
loopback. Exit codes: 0 all promises were kept, 1 one was broken, 2 bad
arguments, 3 the harness failed.`

// Exit codes.
const (
	exitBroken  = 1
	exitHarness = 3
)

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("soak"), kong.Description(description))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if len(args.Seed) == 0 {
		for range args.Count {
			args.Seed = append(args.Seed, uint64(rand.Uint32()))
		}
	}
	code := 0
	for _, seed := range args.Seed {
		broken, err := play(ctx, &args, seed)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitHarness)
		}
		if broken {
			code = exitBroken
		}
	}
	os.Exit(code)
}

// play runs one seed and keeps its logs if it failed.
func play(ctx context.Context, args *arguments, seed uint64) (bool, error) {
	dir := filepath.Join(args.Keep, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return false, err
	}
	out := io.Discard
	if args.Events {
		out = os.Stdout
	}
	result, err := runner.Do(ctx, runner.Options{
		Seed: seed, Hosts: args.Hosts, Clients: args.Clients, Length: args.Length,
		Daemon: args.Daemon, Dir: dir, Timed: !args.Untimed, Out: out,
	})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d hosts %d: %d requests, %d served, broken: %v\n", seed, args.Hosts, result.Requests, result.Served, invariant.Kinds(result.Broken))
	if len(result.Broken) == 0 {
		return false, os.RemoveAll(dir)
	}
	for _, b := range result.Broken[:min(len(result.Broken), maxPrinted)] {
		fmt.Println("  " + b)
	}
	fmt.Printf("  again: soak --daemon %s --seed %d --hosts %d --clients %d --length %s; logs: %s\n",
		args.Daemon, seed, args.Hosts, args.Clients, args.Length, dir)
	return true, nil
}

// maxPrinted bounds the broken promises that are printed of one seed.
const maxPrinted = 12
