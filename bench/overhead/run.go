// Package overhead measures the time that two daemons add to a call, against
// calling the backend server directly, in many short rounds that alternate.
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

// Options set the load.
type Options struct {
	// Rounds is the number of rounds of each kind of call.
	Rounds int
	// Length is the length of a round.
	Length time.Duration
	// Interval is the time between the calls of a round.
	Interval time.Duration
	// Targets are the services; one is called lookup.
	Targets []*target.Service
}

// Names of the kinds of calls.
const (
	direct  = "direct"
	through = "through"
	hopHTTP = "hop-http"
	hopGRPC = "hop-grpc"
	plain   = "submission"
	keyed   = "submission-keyed"
)

// kind is one kind of call.
type kind struct {
	name string
	send send
	// rounds holds what each round measured.
	rounds []round
}

// round is what one round measured, in milliseconds.
type round struct{ p50, p99, processor float64 }

// patience bounds the start of the daemons and each call.
const patience = 10 * time.Second

// Run measures all kinds of calls in alternating rounds.
func Run(ctx context.Context, o Options, r *figure.Report) error {
	f, err := fleet.Start(ctx, deployment(), fleet.Options{})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := prepare(ctx, f, o.Targets); err != nil {
		return err
	}
	server, front := f.Members[0].BackendAddress, f.Members[1].Callers
	h, err := startHops(ctx, server)
	if err != nil {
		return err
	}
	defer h.close()
	kinds := []*kind{
		{name: direct, send: httpCall(server, "GET", "/search", false)},
		{name: through, send: httpCall(front, "GET", "/search", false)},
		{name: hopHTTP, send: h.overHTTP},
		{name: hopGRPC, send: h.overGRPC},
		{name: plain, send: httpCall(front, "POST", "/places", false)},
		{name: keyed, send: httpCall(front, "POST", "/places", true)},
	}
	// The first round of each kind opens connections and is dropped.
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

// prepare puts the targets in force everywhere.
func prepare(ctx context.Context, f *fleet.Fleet, services []*target.Service) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
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

// measure offers calls at a fixed rate for one round.
func measure(ctx context.Context, send send, o Options) (round, error) {
	took := hdrhistogram.New(1, patience.Microseconds(), 3)
	var mu sync.Mutex
	var failed error
	var calls sync.WaitGroup
	tick := time.NewTicker(o.Interval)
	defer tick.Stop()
	start := processorTime()
	count := int(o.Length / o.Interval)
	for range count {
		select {
		case <-ctx.Done():
			return round{}, ctx.Err()
		case <-tick.C:
		}
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, patience)
			defer cancel()
			begin := time.Now()
			err := send(ctx)
			d := time.Since(begin)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
			}
			_ = took.RecordValue(max(d.Microseconds(), 1))
		})
	}
	calls.Wait()
	used := processorTime() - start
	return round{
		p50:       float64(took.ValueAtQuantile(50)) / 1000,
		p99:       float64(took.ValueAtQuantile(99)) / 1000,
		processor: used.Seconds() * 1000 / float64(count),
	}, failed
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
