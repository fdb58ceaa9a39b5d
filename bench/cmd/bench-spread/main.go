// Command bench-spread measures how configuration and records spread among
// many daemons and what that costs. It exits with 1 if a figure is over its
// bound.
package main

import (
	"context"
	"time"

	"fescuehoist.example/bench/figure"
	"fescuehoist.example/bench/gossipbench"
)

type arguments struct {
	Daemons  []int         `help:"Numbers of daemons, least first." default:"8,32,128"`
	Records  int           `help:"Records in the view of each daemon." default:"18000"`
	Services int           `help:"Services in the configuration." default:"3300"`
	Interval time.Duration `help:"How long each usage is measured." default:"1500ms"`
	Plain    bool          `help:"Compare with the plain ways." default:"true" negatable:""`

	figure.Output
}

func main() {
	figure.Main("bench-spread", "Measures how configuration and records spread among many daemons.", &arguments{})
}

// Run measures everything and reports whether every bound held.
func (a *arguments) Run(ctx context.Context) (bool, error) {
	report := a.Report()
	s := gossipbench.Settings{Sizes: a.Daemons, Records: a.Records, Services: a.Services, Interval: a.Interval, Plain: a.Plain}
	if err := gossipbench.Run(ctx, s, report); err != nil {
		return false, err
	}
	return a.Finish(report)
}
