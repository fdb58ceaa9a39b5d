package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"fescuehoist.example/adapters/targetfile"
	"fescuehoist.example/fescuehoist/demo"
)

type demoCommand struct {
	Deployment string        `default:"nuqta" enum:"nuqta,trinacria" help:"Deployment to run: nuqta or trinacria."`
	Seed       uint64        `default:"1" help:"Seed of the callers' random choices."`
	Duration   time.Duration `default:"12s" help:"Time for which calls run."`
	Targets    string        `placeholder:"FILE" help:"File of targets; examples/DEPLOYMENT/targets.toml by default."`
	JSON       bool          `help:"Print the result as JSON."`
	Verbose    bool          `help:"Print the daemons' logs to standard error."`
}

// Run runs the demonstration. It returns errInvariantBroken if an invariant did
// not hold.
func (c *demoCommand) Run(ctx context.Context, out *output) error {
	file := c.Targets
	if file == "" {
		file = "examples/" + c.Deployment + "/targets.toml"
	}
	services, err := targetfile.Load(file)
	if err != nil {
		return err
	}
	options := demo.Options{Deployment: c.Deployment, Seed: c.Seed, Duration: c.Duration, Targets: services, Out: os.Stderr}
	if c.Verbose {
		options.Log = os.Stderr
	}
	result, err := demo.Run(ctx, options)
	if err != nil {
		return err
	}
	if c.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(result)
	} else {
		result.Print(out)
	}
	if err == nil && !result.Holds() {
		return errInvariantBroken
	}
	return err
}
