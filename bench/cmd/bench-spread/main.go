// Command bench-spread measures how fast configuration and member records propagate
// between many daemons by gossip, and the cost in bytes, messages and processor
// time. It exits with 1 if a figure is over its bound.
package main

import (
	"context"
	"time"

	"fescuehoist.example/bench/figure"
	"fescuehoist.example/bench/gossipbench"
)

type arguments struct {
	Daemons  []int         `help:"Numbers of daemons, in ascending order." default:"8,32,128"`
	Records  int           `help:"Number of member records in the view of each daemon." default:"18000"`
	Services int           `help:"Number of services in the configuration." default:"3300"`
	Interval time.Duration `help:"Time over which each usage is measured." default:"1500ms"`
	Plain    bool          `help:"Compare with plain flooding and with every daemon watching the platform." default:"true" negatable:""`

	figure.Output
}

func main() {
	figure.Main("bench-spread", "Measures how configuration and member records propagate between many daemons.", &arguments{})
}

// Run measures all numbers of daemons and reports whether every figure is within its
// bound.
func (a *arguments) Run(ctx context.Context) (bool, error) {
	report := a.Report()
	s := gossipbench.Settings{Sizes: a.Daemons, Records: a.Records, Services: a.Services, Interval: a.Interval, Plain: a.Plain}
	if err := gossipbench.Run(ctx, s, report); err != nil {
		return false, err
	}
	return a.Finish(report)
}
