// Package overhead measures the latency that two daemons add to a call, compared with
// calling the backend server directly. The kinds of calls alternate in many short
// rounds. Differences are taken between rounds with the same index, which run
// shortly after each other.
package overhead

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/bench/figure"
	"fescuehoist.example/bench/fleet"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
)

// Options configures the load.
type Options struct {
	// Rounds is the number of rounds of each kind of call.
	Rounds int
	// Length is the duration of a round.
	Length time.Duration
	// Interval is the time between the calls of a round.
	Interval time.Duration
	// Targets are the services; one is named lookup.
	Targets []*target.Service
}

// Names of the kinds of calls. hopHTTP and hopGRPC pass one server without any
// decision; submissions are sent through the daemons, with or without a key.
const (
	direct         = "direct"
	throughDaemons = "through"
	hopHTTP        = "hop-http"
	hopGRPC        = "hop-grpc"
	unkeyed        = "submission"
	keyed          = "submission-keyed"
)

// callKind is one kind of call.
type callKind struct {
	name string
	send sendFunc
	// rounds are the results of the rounds.
	rounds []round
}

// round is the result of one round: percentiles of the latency, and the processor
// time of the whole process per call; all in milliseconds.
type round struct{ p50, p99, cpu float64 }

// callTimeout bounds the start of the daemons and each call.
const callTimeout = 10 * time.Second

// Run measures all kinds of calls in alternating rounds.
func Run(ctx context.Context, o Options, r *figure.Report) error {
	f, err := fleet.Start(ctx, deployment(), fleet.Options{})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := publishTargets(ctx, f, o.Targets); err != nil {
		return err
	}
	serverAddress, daemonAddress := f.Members[0].BackendAddress, f.Members[1].Callers
	h, err := startHops(ctx, serverAddress)
	if err != nil {
		return err
	}
	defer h.close()
	kinds := []*callKind{
		{name: direct, send: httpCall(serverAddress, "GET", "/search", false)},
		{name: throughDaemons, send: httpCall(daemonAddress, "GET", "/search", false)},
		{name: hopHTTP, send: h.overHTTP},
		{name: hopGRPC, send: h.overGRPC},
		{name: unkeyed, send: httpCall(daemonAddress, "POST", "/places", false)},
		{name: keyed, send: httpCall(daemonAddress, "POST", "/places", true)},
	}
	// The first round of each kind opens connections and is discarded.
	for n := range o.Rounds + 1 {
		for _, k := range kinds {
			r, err := measure(ctx, k.send, o)
			if err != nil {
				return fmt.Errorf("%s: %w", k.name, err)
			}
			if n > 0 {
				k.rounds = append(k.rounds, r)
			}
		}
	}
	report(kinds, r)
	return nil
}

// publishTargets publishes the targets and waits until they are in force at all
// daemons and all servers are ready.
func publishTargets(ctx context.Context, f *fleet.Fleet, services []*target.Service) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := platformhttp.NewClient(f.PlatformAddress)
	defer client.Close()
	editor := manifest.NewEditor(&platformhttp.Repository{Client: client})
	change, err := editor.Publish(ctx, &manifest.Edit{ID: uuid.NewString(), Update: services})
	if err != nil {
		return err
	}
	if err := f.AwaitVersion(ctx, f.Members, change.Version); err != nil {
		return err
	}
	return f.AwaitReady(ctx, f.Members, len(f.Members))
}

// measure sends calls at a fixed rate for one round. It returns the error of a call
// that failed, if any.
func measure(ctx context.Context, send sendFunc, o Options) (round, error) {
	latencies := hdrhistogram.New(1, callTimeout.Microseconds(), 3)
	var mu sync.Mutex
	var callErr error
	var calls sync.WaitGroup
	tick := time.NewTicker(o.Interval)
	defer tick.Stop()
	start := cpuTime()
	count := int(o.Length / o.Interval)
	for range count {
		select {
		case <-ctx.Done():
			return round{}, ctx.Err()
		case <-tick.C:
		}
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			begin := time.Now()
			err := send(ctx)
			d := time.Since(begin)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				callErr = err
			}
			_ = latencies.RecordValue(max(d.Microseconds(), 1))
		})
	}
	calls.Wait()
	used := cpuTime() - start
	return round{
		p50: float64(latencies.ValueAtQuantile(50)) / 1000,
		p99: float64(latencies.ValueAtQuantile(99)) / 1000,
		cpu: used.Seconds() * 1000 / float64(count),
	}, callErr
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
