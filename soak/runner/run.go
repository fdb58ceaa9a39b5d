// Package runner plays one seeded schedule of faults against a fleet of real
// daemons and checks the promises of the product meanwhile.
package runner

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuehoist.example/mesh/wait"
	"fescuehoist.example/platform/platformtest"
	"fescuehoist.example/soak/host"
	"fescuehoist.example/soak/invariant"
	"fescuehoist.example/soak/plan"
)

// Options choose a run.
type Options struct {
	Seed uint64
	// Hosts is the number of daemons and Clients that of clients at each.
	Hosts, Clients int
	Length         time.Duration
	// Daemon is the program under test; Dir takes settings and logs.
	Daemon, Dir string
	// Timed also checks the promises that have a bound in time, which need a
	// machine that is not busy with other work.
	Timed bool
	// Out takes the events as they happen.
	Out io.Writer
}

// Result is the outcome of a run.
type Result struct {
	Seed             uint64
	Requests, Served int
	Broken           []string
}

// Run is one fleet under faults.
type Run struct {
	Options
	store    *platformtest.Store
	operator *operator
	ledger   *invariant.Ledger
	hosts    []*host.Host
	seen     sightings

	mu sync.Mutex
	// storeCalmFrom is when the last fault of the store is over.
	storeCalmFrom time.Time
}

// Patience with a fleet that starts or recovers on a busy machine.
const startPatience = time.Minute

// Do carries a run out. An error means that the harness failed.
func Do(ctx context.Context, o Options) (*Result, error) {
	r := &Run{Options: o, store: platformtest.NewStore(), ledger: invariant.NewLedger(),
		seen: sightings{first: map[string]map[uint64]time.Time{}}}
	defer r.store.Close()
	r.operator = &operator{store: r.store}
	defer func() {
		for _, h := range r.hosts {
			h.Close()
		}
	}()
	if err := r.build(); err != nil {
		return nil, err
	}
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	requests, served := r.ledger.Tally()
	return &Result{Seed: o.Seed, Requests: requests, Served: served, Broken: r.ledger.Broken(r.excused)}, nil
}

// build prepares the hosts. Three in five serve the first service.
func (r *Run) build() error {
	for i := range r.Hosts {
		service := lookup
		if i%5 > 2 {
			service = archive
		}
		h, err := host.New(host.Options{
			Name: fmt.Sprint("host-", i), Domain: fmt.Sprint("domain-", i%3), Service: service,
			Daemon: r.Daemon, Dir: r.Dir, Store: r.store.Address(), Burst: invariant.BudgetSlack, Observe: r.ledger.Ran,
			Ended: func(name string) { r.ledger.Break("ended: the daemon of %s ended by itself", name) },
		})
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
	}
	events, err := os.Create(filepath.Join(r.Dir, "events.log"))
	if err != nil {
		return err
	}
	r.Out = io.MultiWriter(r.Out, events)
	return nil
}

func (r *Run) play(ctx context.Context) error {
	r.operator.write()
	tasks, end := context.WithCancel(ctx)
	defer end()
	var g errgroup.Group
	for _, h := range r.hosts {
		if err := h.Start(); err != nil {
			return err
		}
		g.Go(func() error { return h.Run(tasks, r.ledger.Departed) })
	}
	err := r.await(ctx, startPatience)
	if err == nil {
		calls, stop := context.WithCancel(tasks)
		var clients errgroup.Group
		r.clients(calls, &clients)
		r.events(ctx)
		err = r.recover(ctx)
		stop()
		_ = clients.Wait()
	}
	end()
	_ = g.Wait()
	return err
}

func (r *Run) clients(ctx context.Context, g *errgroup.Group) {
	for i, h := range r.hosts {
		for n := range r.Clients {
			name := fmt.Sprintf("c%d-%d", i, n)
			c := &client{run: r, host: h, name: name, rng: rand.New(rand.NewPCG(r.Seed, uint64(i*r.Clients+n)))}
			g.Go(func() error { return c.loop(ctx) })
		}
	}
}

// events brings the scheduled events about, overlapping as they fall, and
// returns when all are over.
func (r *Run) events(ctx context.Context) {
	began := time.Now()
	var g sync.WaitGroup
	for _, e := range plan.Draw(r.Seed, r.Hosts, r.Length) {
		_ = wait.For(ctx, time.Until(began.Add(e.At)))
		if ctx.Err() != nil {
			break
		}
		fmt.Fprintf(r.Out, "%s %s\n", time.Now().Format("15:04:05.000"), e)
		g.Go(func() { r.bring(ctx, e) })
	}
	g.Wait()
}

// recover waits until every daemon serves again after the last fault.
func (r *Run) recover(ctx context.Context) error {
	for _, h := range r.hosts {
		h.Reload()
		r.start(h)
	}
	began := time.Now()
	if err := r.await(ctx, startPatience); err != nil {
		r.ledger.Break("recover: %v", err)
	}
	if took := time.Since(began); took > invariant.RecoveryLimit {
		r.timed("recover: all daemons were ready %s after the last fault", took)
	}
	_, before := r.ledger.Tally()
	for until := time.Now().Add(startPatience); ; _ = wait.For(ctx, think) {
		if _, served := r.ledger.Tally(); served > before+r.Hosts {
			return nil
		}
		if time.Now().After(until) {
			r.ledger.Break("recover: requests are not served after the last fault")
			return nil
		}
	}
}

// await waits until every daemon is ready.
func (r *Run) await(ctx context.Context, patience time.Duration) error {
	until := time.Now().Add(patience)
	for _, h := range r.hosts {
		for !h.Ready() {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after %s", h.Name, patience)
			}
			_ = wait.For(ctx, think)
		}
	}
	return nil
}

// timed notes a broken promise that has a bound in time.
func (r *Run) timed(format string, args ...any) {
	if r.Timed {
		r.ledger.Break(format, args...)
	}
}

func (r *Run) disturbStore(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until := time.Now().Add(d + settle); until.After(r.storeCalmFrom) {
		r.storeCalmFrom = until
	}
}

// storeCalm reports whether the store has had no fault since a time.
func (r *Run) storeCalm(since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeCalmFrom.Before(since)
}

// excused reports whether a run that came late at a leaving backend server is
// none of its daemon's fault.
func (r *Run) excused(run platformtest.Execution) bool {
	if !r.Timed {
		return true
	}
	for _, h := range r.hosts {
		if !h.Calm(run.At) && h.Owns(run.Instance) {
			return true
		}
	}
	return false
}
