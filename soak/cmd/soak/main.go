// Command soak runs seeded schedules of faults against a fleet of daemon
// processes on loopback and checks the product's invariants while they run.
package main

import (
	"cmp"
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
	Daemon  string        `required:"" type:"existingfile" help:"Path of the daemon's executable."`
	Seed    []uint64      `help:"Seeds to run; without any, --count random ones."`
	Count   int           `default:"10" help:"Number of random seeds."`
	Hosts   int           `default:"6" help:"Number of daemons."`
	Clients int           `default:"3" help:"Number of clients of each daemon."`
	Length  time.Duration `default:"20s" help:"Length of the schedule of events."`
	Untimed bool          `help:"Skip invariants that have a time limit, for use on a busy machine."`
	Keep    string        `default:"soak-logs" type:"path" help:"Folder for the logs of failed seeds."`
	Events  bool          `help:"Print events as they happen."`
}

const description = `Runs seeded schedules of faults against a fleet of daemon processes on
loopback. Exit codes: 0 all invariants held, 1 at least one was violated, 2 bad
arguments, 3 the harness failed.`

// Exit codes.
const (
	exitViolated = 1
	exitHarness  = 3
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
	exitCode := 0
	for _, seed := range args.Seed {
		violated, err := runSeed(ctx, &args, seed)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitHarness)
		}
		if violated {
			exitCode = exitViolated
		}
	}
	os.Exit(exitCode)
}

// runSeed runs one seed and reports whether an invariant was violated. It keeps
// the logs of a seed that failed and removes those of others.
func runSeed(ctx context.Context, args *arguments, seed uint64) (bool, error) {
	dir := filepath.Join(args.Keep, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return false, err
	}
	out := io.Discard
	if args.Events {
		out = os.Stdout
	}
	result, err := runner.Run(ctx, runner.Options{
		Seed: seed, Hosts: args.Hosts, Clients: args.Clients, Length: args.Length,
		Daemon: args.Daemon, Dir: dir, CheckTimeLimits: !args.Untimed, Out: out,
	})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d hosts %d: %d requests, %d served, rollout: %s, broken: %v\n", seed, args.Hosts, result.Requests, result.Served, cmp.Or(result.Rollout, "none"), invariant.Kinds(result.Violations))
	if len(result.Violations) == 0 {
		return false, os.RemoveAll(dir)
	}
	for _, violation := range result.Violations[:min(len(result.Violations), maxPrinted)] {
		fmt.Println("  " + violation)
	}
	fmt.Printf("  replay: soak --daemon %s --seed %d --hosts %d --clients %d --length %s; logs: %s\n",
		args.Daemon, seed, args.Hosts, args.Clients, args.Length, dir)
	return true, nil
}

// maxPrinted is the largest number of violations printed for one seed.
const maxPrinted = 12
