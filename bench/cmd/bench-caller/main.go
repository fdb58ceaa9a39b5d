// Command bench-caller sends calls of every class of a file of targets to daemons
// that run as separate processes, and compares the verdicts that callers got with
// the requests that the stand-in backend servers ran. It exits with 1 if a response
// or a verdict was wrong.
package main

import (
	"context"
	"encoding/json"
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
	Backends []string      `help:"Addresses of the stand-in backend servers whose executions are compared with the verdicts. If any does not respond, it is listed and nothing is compared."`
	Rate     float64       `default:"50" help:"Calls per second of each class."`
	Duration time.Duration `default:"10s" help:"Time during which calls are sent."`
	Seed     uint64        `default:"1" help:"Seed of the random choices."`
}

// executionsTimeout bounds the request for the executions of one backend server.
const executionsTimeout = 2 * time.Second

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("bench-caller"), kong.Description(
		"Sends calls at a constant rate. Exits with 1 if a response or a verdict was wrong."))
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
	printReports(g.Reports())
	executions, unreachable := collectExecutions(args.Backends)
	violations := g.Violations(executions)
	if len(unreachable) > 0 {
		fmt.Printf("verdicts not compared with executions: no response from backend servers %v\n", unreachable)
		violations = nil
	}
	for _, v := range violations {
		fmt.Println("BROKEN: " + v)
	}
	return checkResults(g.Reports(), violations)
}

// checkResults returns an error if there was an invalid response or a violation.
func checkResults(reports []*load.Report, violations []string) error {
	invalidResponses := 0
	for _, r := range reports {
		invalidResponses += r.InvalidResponses
	}
	if invalidResponses+len(violations) > 0 {
		return fmt.Errorf("%d invalid responses and %d violations, want none", invalidResponses, len(violations))
	}
	return nil
}

// streams returns one stream for each class, at the given rate per second.
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

func printReports(reports []*load.Report) {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\toffered\tanswered\tgood\tNotRun\tMayHaveRun\tmistaken\tp50 ms\tp99 ms\treasons\t")
	for _, r := range reports {
		fmt.Fprintf(t, "%s/%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%v\t\n", r.Stream.Service, r.Stream.Class,
			r.Offered, r.Answered, r.Good, r.NotRun, r.MayHaveRun, r.InvalidResponses,
			float64(r.Latency.ValueAtQuantile(50))/1000, float64(r.Latency.ValueAtQuantile(99))/1000, r.Reasons)
	}
	_ = t.Flush()
}

// collectExecutions returns the number of executions of each request ID, summed over
// the backend servers at addresses, and the addresses that did not respond.
func collectExecutions(addresses []string) (map[string]int, []string) {
	executions := map[string]int{}
	var unreachable []string
	for _, a := range addresses {
		status, body, err := fasthttp.GetTimeout(nil, "http://"+a+backend.ExecutionsPath, executionsTimeout)
		var serverExecutions map[string]int
		if err != nil || status != fasthttp.StatusOK || json.Unmarshal(body, &serverExecutions) != nil {
			unreachable = append(unreachable, a)
			continue
		}
		for id, n := range serverExecutions {
			executions[id] += n
		}
	}
	return executions, unreachable
}
