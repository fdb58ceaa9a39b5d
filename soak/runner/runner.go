// Package runner runs one seeded schedule of faults against a fleet of daemon
// processes and checks the product's invariants while it runs.
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

// Options configure a run.
type Options struct {
	Seed uint64
	// Hosts is the number of daemons, Clients the number of clients of each
	// daemon.
	Hosts, Clients int
	Length         time.Duration
	// Daemon is the path of the daemon's executable, Dir the folder for settings
	// and logs.
	Daemon, Dir string
	// CheckTimeLimits enables the invariants that have a time limit. They need a
	// machine that is not busy with other work.
	CheckTimeLimits bool
	// Out receives a line for each event as it happens.
	Out io.Writer
}

// Result is the outcome of a run.
type Result struct {
	Seed             uint64
	Requests, Served int
	// Rollout is the final state of the run's rollout, empty if there was none or
	// if it was not reached in time.
	Rollout    string
	Violations []string
}

// Runner runs one fleet under faults.
type Runner struct {
	Options
	store    *platformtest.Store
	operator *operator
	checker  *invariant.Checker
	hosts    []*host.Host
	observed versionLog
	events   []plan.Event

	mu sync.Mutex
	// outcome is the final state of the rollout, if it was reached.
	outcome invariant.Outcome
	// storeUndisturbedFrom is when the effects of the last fault of the store
	// end.
	storeUndisturbedFrom time.Time
}

// readyTimeout is how long a fleet may take to start or recover. It allows for a
// busy machine.
const readyTimeout = time.Minute

// Run carries out one run. An error means that the harness failed; violated
// invariants are part of the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	r := &Runner{Options: o, events: plan.Generate(o.Seed, o.Hosts, o.Length), store: platformtest.NewStore(), checker: invariant.NewChecker(),
		observed: versionLog{first: map[string]map[uint64]time.Time{}}}
	defer r.store.Close()
	r.operator = newOperator(r.store, r.checker)
	defer func() {
		for _, h := range r.hosts {
			h.Close()
		}
	}()
	if err := r.createHosts(); err != nil {
		return nil, err
	}
	if err := r.execute(ctx); err != nil {
		return nil, err
	}
	requests, served := r.checker.Counts()
	return &Result{Seed: o.Seed, Requests: requests, Served: served, Rollout: r.outcome.State, Violations: r.violations()}, nil
}

// violations returns the violated invariants, those with a time limit only if
// these are checked.
func (r *Runner) violations() []string {
	found := r.checker.Violations(r.lateExecutionExcused)
	found = append(found, r.checker.RolloutViolations(r.outcome, r.releaseOf)...)
	if r.CheckTimeLimits {
		found = append(found, r.checker.AllowanceViolations()...)
	}
	return found
}

// createHosts creates the hosts and the log of events. Of each five hosts, three
// serve lookup and two archive.
func (r *Runner) createHosts() error {
	rollout := hasRollout(r.events)
	for i := range r.Hosts {
		service := lookup
		if i%5 > 2 {
			service = archive
		}
		h, err := host.New(host.Options{
			Name: fmt.Sprint("host-", i), Domain: fmt.Sprint("domain-", i%3), Service: service,
			Daemon: r.Daemon, Dir: r.Dir, StoreAddress: r.store.Address(), RetryBurst: invariant.BudgetBurst, RevokeWithin: invariant.RevokeLimit,
			Release: releaseFor(i, rollout), Rollouts: rollout, RollbackWithin: invariant.RollbackLimit,
			OnExecution: r.checker.RecordExecution,
			OnUnexpectedExit: func(name string) {
				r.checker.RecordViolation("ended: the daemon of %s exited without being asked to", name)
			},
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

// execute starts the fleet and the clients, plays the events, waits for recovery
// and stops clients and hosts.
func (r *Runner) execute(ctx context.Context) error {
	r.operator.writeVersion()
	hostsCtx, stopHosts := context.WithCancel(ctx)
	defer stopHosts()
	var g errgroup.Group
	for _, h := range r.hosts {
		if err := h.Start(); err != nil {
			return err
		}
		g.Go(func() error { return h.Run(hostsCtx, r.checker.RecordDeparture) })
	}
	err := r.awaitReady(ctx, readyTimeout)
	if err == nil {
		clientsCtx, stopClients := context.WithCancel(hostsCtx)
		var clients errgroup.Group
		r.startClients(clientsCtx, &clients)
		r.playEvents(ctx)
		err = r.awaitRecovery(ctx)
		stopClients()
		_ = clients.Wait()
	}
	stopHosts()
	_ = g.Wait()
	return err
}

// startClients starts the clients of all hosts in g.
func (r *Runner) startClients(ctx context.Context, g *errgroup.Group) {
	for i, h := range r.hosts {
		for n := range r.Clients {
			name := fmt.Sprintf("c%d-%d", i, n)
			c := &client{runner: r, host: h, name: name, rng: rand.New(rand.NewPCG(r.Seed, uint64(i*r.Clients+n)))}
			g.Go(func() error { return c.run(ctx) })
		}
	}
}

// playEvents starts each event at its scheduled time, also while others go on,
// and returns when all are over.
func (r *Runner) playEvents(ctx context.Context) {
	began := time.Now()
	var g sync.WaitGroup
	for _, e := range r.events {
		_ = wait.For(ctx, time.Until(began.Add(e.At)))
		if ctx.Err() != nil {
			break
		}
		fmt.Fprintf(r.Out, "%s %s\n", time.Now().Format("15:04:05.000"), e)
		g.Go(func() { r.playEvent(ctx, e) })
	}
	g.Wait()
}

// awaitRecovery waits until every daemon is ready and requests are served again
// after the last fault. It records a violation if this takes too long.
func (r *Runner) awaitRecovery(ctx context.Context) error {
	for _, h := range r.hosts {
		h.Reload()
		r.startHost(h)
	}
	began := time.Now()
	if err := r.awaitReady(ctx, readyTimeout); err != nil {
		r.checker.RecordViolation("recover: %v", err)
	}
	if elapsed := time.Since(began); elapsed > invariant.RecoveryLimit {
		r.recordTimeViolation("recover: all daemons were ready only %s after the last fault", elapsed)
	}
	_, before := r.checker.Counts()
	for deadline := time.Now().Add(readyTimeout); ; _ = wait.For(ctx, meanThinkTime) {
		if _, served := r.checker.Counts(); served > before+r.Hosts {
			return nil
		}
		if time.Now().After(deadline) {
			r.checker.RecordViolation("recover: not enough requests were served after the last fault")
			return nil
		}
	}
}

// awaitReady waits until every daemon is ready, at most for timeout.
func (r *Runner) awaitReady(ctx context.Context, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, h := range r.hosts {
		for !h.Ready() {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("daemon of %s is not ready after %s", h.Name, timeout)
			}
			_ = wait.For(ctx, meanThinkTime)
		}
	}
	return nil
}

// recordTimeViolation records a violation of an invariant with a time limit if
// these are checked.
func (r *Runner) recordTimeViolation(format string, args ...any) {
	if r.CheckTimeLimits {
		r.checker.RecordViolation(format, args...)
	}
}

// markStoreDisturbed marks the store as disturbed for d and the settle time.
func (r *Runner) markStoreDisturbed(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until := time.Now().Add(d + settleTime); until.After(r.storeUndisturbedFrom) {
		r.storeUndisturbedFrom = until
	}
}

// storeUndisturbed reports whether no fault has affected the store since a time.
func (r *Runner) storeUndisturbed(since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeUndisturbedFrom.Before(since)
}

// lateExecutionExcused reports whether an execution at a draining backend server
// after DrainLimit is excused: by a fault on its host, or because time limits
// are not checked.
func (r *Runner) lateExecutionExcused(execution platformtest.Execution) bool {
	if !r.CheckTimeLimits {
		return true
	}
	for _, h := range r.hosts {
		if !h.Undisturbed(execution.At) && h.OwnsInstance(execution.Instance) {
			return true
		}
	}
	return false
}
