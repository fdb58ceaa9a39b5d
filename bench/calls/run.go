package calls

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/bench/fleet"
	"fescuehoist.example/bench/load"
	"fescuehoist.example/fescuehoistd/daemon"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
)

// Options configures a run.
type Options struct {
	// Deployment is the name of the deployment: nuqta or trinacria.
	Deployment string
	Targets    []*target.Service
	// Seed determines the order in which daemons are called.
	Seed uint64
	// Calls are sent for Warmup and then Duration; only those of Duration are
	// counted.
	Warmup, Duration time.Duration
	// Policy modifies the policy of each daemon; nil keeps the project's own.
	Policy func(*daemon.Policy)
}

// startLimit bounds the time until the targets are in force and all servers ready.
const startLimit = 10 * time.Second

// lossShare is the fraction of the duration after which a failure domain is lost.
const lossShare = 0.3

// Run measures one scenario on a new fleet. It returns an error if the fleet does
// not start or the targets are not in force within startLimit.
func Run(ctx context.Context, s Scenario, o Options) (*Result, error) {
	d := s.deployment(o.Deployment)
	f, err := fleet.Start(ctx, d, fleet.Options{Tune: func(c *daemon.Config) {
		if o.Policy != nil {
			o.Policy(&c.Policy)
		}
	}})
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	if err := publishTargets(ctx, f, o.Targets); err != nil {
		return nil, err
	}
	p := s.newPlan(d, o.Targets)
	g := load.New(o.Seed, callers(f, func(*fleet.Member) bool { return true }), p.streams)
	g.Warmup = o.Warmup
	runLoad(ctx, s, o, f, g)
	executions := f.Executions()
	g.CountWasted(executions)
	return newResult(s, o, p, g, g.Violations(executions)), nil
}

// publishTargets publishes the targets and waits until they are in force at all
// daemons and all servers are ready.
func publishTargets(ctx context.Context, f *fleet.Fleet, targets []*target.Service) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	client := platformhttp.NewClient(f.PlatformAddress)
	defer client.Close()
	editor := manifest.NewEditor(&platformhttp.Repository{Client: client})
	change, err := editor.Publish(ctx, &manifest.Edit{ID: uuid.NewString(), Author: "bench", Update: targets})
	if err != nil {
		return oops.In("bench").Wrapf(err, "publishing the targets")
	}
	if err := f.AwaitVersion(ctx, f.Members, change.Version); err != nil {
		return err
	}
	return f.AwaitReady(ctx, f.Members, len(f.Members))
}

// runLoad runs the generator for the warmup and the duration, and loses the failure
// domain if the scenario says so.
func runLoad(ctx context.Context, s Scenario, o Options, f *fleet.Fleet, g *load.Generator) {
	ctx, cancel := context.WithTimeout(ctx, o.Warmup+o.Duration)
	defer cancel()
	if s.LoseDomain {
		after := o.Warmup + time.Duration(lossShare*float64(o.Duration))
		timer := time.AfterFunc(after, func() { loseDomain(f, g) })
		defer timer.Stop()
	}
	g.Run(ctx)
}

// loseDomain kills all daemons and backend servers of the lost failure domain.
// Callers send new calls to the other daemons.
func loseDomain(f *fleet.Fleet, g *load.Generator) {
	g.SetTargets(callers(f, func(m *fleet.Member) bool { return !inLostDomain(m.Server.Domain) }))
	g.MarkLost(callers(f, func(m *fleet.Member) bool { return inLostDomain(m.Server.Domain) }))
	for _, m := range f.Members {
		if inLostDomain(m.Server.Domain) {
			go m.Kill()
		}
	}
}

// callers returns the addresses for callers of the members that include selects.
func callers(f *fleet.Fleet, include func(*fleet.Member) bool) []string {
	var addresses []string
	for _, m := range f.Members {
		if include(m) {
			addresses = append(addresses, m.Callers)
		}
	}
	return addresses
}
