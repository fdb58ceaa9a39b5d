package calls

import (
	"fescuehoist.example/bench/baseline"
	"fescuehoist.example/fescuehoistd/daemon"
)

// Baseline is a simple policy with the scenario in which it is compared.
type Baseline struct {
	Name, Scenario string
	Policy         func(*daemon.Policy)
}

// Baselines lists the policies that the project's own is compared with.
func Baselines() []Baseline {
	return []Baseline{
		{"no-admission", "flood-both", func(p *daemon.Policy) { p.Gate = &baseline.OpenGate{} }},
		{"fifo", "flood-both", func(p *daemon.Policy) { p.Gate = &baseline.FIFOGate{} }},
		{"round-robin", "lying", func(p *daemon.Policy) { p.Picker = &baseline.RoundRobin{} }},
		{"retry-storm", "flood-both", func(p *daemon.Policy) { storm(p) }},
		{"retry-storm-no-admission", "flood-both", func(p *daemon.Policy) {
			p.Gate = &baseline.OpenGate{}
			storm(p)
		}},
		{"no-retries", "lost-domain", func(p *daemon.Policy) { p.Retries = baseline.NoRetries{} }},
	}
}

// storm retries at once, without a budget, and turns no call away.
func storm(p *daemon.Policy) {
	p.Retries = baseline.InstantRetries{}
	p.Throttle = baseline.AllowAll{}
}

// MarkBaseline marks a result as that of a baseline, whose figures have no bounds.
func (r *Result) MarkBaseline(name string) {
	r.Name = "baseline " + name + ": " + r.Name
	r.Figures = nil
}
