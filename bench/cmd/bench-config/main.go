// Command bench-config measures what a change of configuration costs a daemon
// and the platform. It exits with 1 if a figure is over its bound.
package main

import (
	"context"

	"fescuehoist.example/bench/configbench"
	"fescuehoist.example/bench/figure"
)

type arguments struct {
	Services []int  `help:"Numbers of services to measure with." default:"330,3300"`
	Changes  int    `help:"Changes to average over." default:"300"`
	Seed     uint64 `help:"Seed of the choice of services that change." default:"1"`

	figure.Output
}

func main() {
	figure.Main("bench-config", "Measures what a change of configuration costs a daemon and the platform.", &arguments{})
}

// Run measures everything and reports whether every bound held.
func (a *arguments) Run(ctx context.Context) (bool, error) {
	report := a.Report()
	for _, n := range a.Services {
		o := configbench.Options{Services: n, Changes: a.Changes, Seed: a.Seed}
		if err := configbench.Run(ctx, o, report); err != nil {
			return false, err
		}
	}
	return a.Finish(report)
}
