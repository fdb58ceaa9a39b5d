// Command bench-caller drives calls of every class of a file of targets into
// daemons that run as separate processes, and compares what callers were told
// with what the stand-in backend servers ran.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/targetfile"
	"fescuehoist.example/bench/load"
	"fescuehoist.example/mesh/target"
	"fescuehoist.example/standin/backend"
)

type arguments struct {
	Targets  string        `required:"" help:"File of targets (TOML)."`
	Daemons  []string      `required:"" help:"Callers' addresses of the daemons."`
	Backends []string      `help:"Addresses of the stand-in backend servers to compare with; those out of reach are named."`
	Rate     float64       `default:"50" help:"Calls a second of each class."`
	Duration time.Duration `default:"10s" help:"How long calls are offered."`
	Seed     uint64        `default:"1" help:"Seed of the random choices."`
}

const runsTimeout = 2 * time.Second

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("bench-caller"), kong.Description(
		"Offers calls on schedule. Exits with 1 if an answer or a verdict was wrong."))
	if err := run(&args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args *arguments) error {
	services, err := targetfile.Load(args.Targets)
	if err != nil {
		return err
	}
	g := load.New(args.Seed, args.Daemons, streams(services, args.Rate))
	ctx, cancel := context.WithTimeout(context.Background(), args.Duration)
	defer cancel()
	g.Run(ctx)
	print(g.Reports())
	runs, away := collect(args.Backends)
	violations := g.Violations(runs)
	if len(away) > 0 {
		fmt.Printf("not compared, as these backend servers are out of reach: %v\n", away)
		violations = nil
	}
	for _, v := range violations {
		fmt.Println("BROKEN: " + v)
	}
	return verdict(g.Reports(), violations)
}

func verdict(reports []*load.Report, violations []string) error {
	mistaken := 0
	for _, r := range reports {
		mistaken += r.InvalidResponses
	}
	if mistaken+len(violations) > 0 {
		return errors.New("an invariant is broken")
	}
	return nil
}

func streams(services []*target.Service, rate float64) []load.Stream {
	var streams []load.Stream
	for _, s := range services {
		for i := range s.Classes {
			c := &s.Classes[i]
			streams = append(streams, load.Stream{
				Service: s.Name, Class: c.Name, Method: c.Method, Path: c.Path,
				Clients: []string{"client-a", "client-b"}, Rate: rate, Latency: c.Latency, Idempotent: c.Idempotent,
			})
		}
	}
	return streams
}

func print(reports []*load.Report) {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\toffered\tanswered\tgood\tNotRun\tMayHaveRun\tmistaken\tp50 ms\tp99 ms\treasons\t")
	for _, r := range reports {
		fmt.Fprintf(t, "%s/%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%v\t\n", r.Stream.Service, r.Stream.Class,
			r.Offered, r.Answered, r.Good, r.NotRun, r.MayHaveRun, r.InvalidResponses,
			float64(r.Latency.ValueAtQuantile(50))/1000, float64(r.Latency.ValueAtQuantile(99))/1000, r.Reasons)
	}
	_ = t.Flush()
}

// collect sums how often each request ran over the backend servers in reach.
func collect(addresses []string) (map[string]int, []string) {
	runs := map[string]int{}
	var away []string
	for _, a := range addresses {
		status, body, err := fasthttp.GetTimeout(nil, "http://"+a+backend.RunsPath, runsTimeout)
		var own map[string]int
		if err != nil || status != fasthttp.StatusOK || json.Unmarshal(body, &own) != nil {
			away = append(away, a)
			continue
		}
		for id, n := range own {
			runs[id] += n
		}
	}
	return runs, away
}
