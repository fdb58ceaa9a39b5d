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

// Options choose what is measured.
type Options struct {
	// Deployment is nuqta or trinacria.
	Deployment string
	Targets    []*target.Service
	Seed       uint64
	// Warmup is run before Duration is counted.
	Warmup, Duration time.Duration
	// Policy changes the policy of a daemon; nil leaves the project's own.
	Policy func(*daemon.Policy)
}

// startLimit bounds the start of a fleet.
const startLimit = 10 * time.Second

// lossShare is the part of the duration after which a failure domain is lost.
const lossShare = 0.3

// Run measures one scenario.
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
	if err := publish(ctx, f, o.Targets); err != nil {
		return nil, err
	}
	p := s.newPlan(d, o.Targets)
	g := load.New(o.Seed, callers(f, func(*fleet.Member) bool { return true }), p.streams)
	g.Warmup = o.Warmup
	drive(ctx, s, o, f, g)
	runs := f.Runs()
	g.CountWasted(runs)
	return newResult(s, o, p, g, g.Violations(runs)), nil
}

// publish puts the targets into force everywhere.
func publish(ctx context.Context, f *fleet.Fleet, targets []*target.Service) error {
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

// drive offers the calls and brings about the loss.
func drive(ctx context.Context, s Scenario, o Options, f *fleet.Fleet, g *load.Generator) {
	ctx, cancel := context.WithTimeout(ctx, o.Warmup+o.Duration)
	defer cancel()
	if s.LoseDomain {
		after := o.Warmup + time.Duration(lossShare*float64(o.Duration))
		loss := time.AfterFunc(after, func() { loseDomain(f, g) })
		defer loss.Stop()
	}
	g.Run(ctx)
}

// loseDomain ends the hosts of a failure domain at once; callers turn to the
// others.
func loseDomain(f *fleet.Fleet, g *load.Generator) {
	g.SetTargets(callers(f, func(m *fleet.Member) bool { return !lost(m.Server.Domain) }))
	g.MarkLost(callers(f, func(m *fleet.Member) bool { return lost(m.Server.Domain) }))
	for _, m := range f.Members {
		if lost(m.Server.Domain) {
			go m.Kill()
		}
	}
}

func callers(f *fleet.Fleet, take func(*fleet.Member) bool) []string {
	var addresses []string
	for _, m := range f.Members {
		if take(m) {
			addresses = append(addresses, m.Callers)
		}
	}
	return addresses
}
