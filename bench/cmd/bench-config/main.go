// Command bench-config measures the cost of a configuration change for a daemon and
// for the platform: processor time, memory and bytes. It exits with 1 if a figure is
// over its bound.
package main

import (
	"context"

	"fescuehoist.example/bench/configbench"
	"fescuehoist.example/bench/figure"
)

type arguments struct {
	Services []int  `help:"Numbers of services to measure." default:"330,3300"`
	Routes   []int  `help:"Numbers of routes of one host to measure." default:"10000,100000"`
	Changes  int    `help:"Number of changes to average over." default:"300"`
	Seed     uint64 `help:"Seed for the choice of the services that change." default:"1"`

	figure.Output
}

func main() {
	figure.Main("bench-config", "Measures the cost of a configuration change for a daemon and for the platform.", &arguments{})
}

// Run measures each number of services and of routes and reports whether every figure
// is within its bound.
func (a *arguments) Run(ctx context.Context) (bool, error) {
	report := a.Report()
	for _, n := range a.Services {
		o := configbench.Options{Services: n, Changes: a.Changes, Seed: a.Seed}
		if err := configbench.Run(ctx, o, report); err != nil {
			return false, err
		}
	}
	for _, n := range a.Routes {
		if err := configbench.RunRoutes(n, report); err != nil {
			return false, err
		}
	}
	return a.Finish(report)
}
