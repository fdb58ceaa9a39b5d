package calls

import (
	"fescuehoist.example/bench/baseline"
	"fescuehoist.example/fescuehoistd/daemon"
)

// Baseline is a simple policy, with the scenario in which it is compared with the
// project's own policy.
type Baseline struct {
	Name, Scenario string
	Policy         func(*daemon.Policy)
}

// Baselines returns the policies that the project's own policy is compared with.
func Baselines() []Baseline {
	return []Baseline{
		{"no-admission", "flood-both", func(p *daemon.Policy) { p.Gate = &baseline.OpenGate{} }},
		{"fifo", "flood-both", func(p *daemon.Policy) { p.Gate = &baseline.FIFOGate{} }},
		{"round-robin", "lying", func(p *daemon.Policy) { p.Picker = &baseline.RoundRobin{} }},
		{"retry-storm", "flood-both", func(p *daemon.Policy) { retryStorm(p) }},
		{"retry-storm-no-admission", "flood-both", func(p *daemon.Policy) {
			p.Gate = &baseline.OpenGate{}
			retryStorm(p)
		}},
		{"no-retries", "lost-domain", func(p *daemon.Policy) { p.Retries = baseline.NoRetries{} }},
	}
}

// retryStorm makes a policy retry immediately and without a budget, and disables
// its throttle.
func retryStorm(p *daemon.Policy) {
	p.Retries = baseline.InstantRetries{}
	p.Throttle = baseline.AllowAll{}
}

// MarkBaseline marks a result as that of the named baseline and removes its
// figures, since no bounds apply to a baseline.
func (r *Result) MarkBaseline(name string) {
	r.Name = "baseline " + name + ": " + r.Name
	r.Figures = nil
}
