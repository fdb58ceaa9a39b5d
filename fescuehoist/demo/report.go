package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"fescuehoist.example/bench/load"
	"fescuehoist.example/mesh/target"
)

// utilization is the share of each service's capacity that the calls take.
const utilization = 0.3

// clients are the names of the clients, which the calls carry in turn.
var clients = []string{"client-a", "client-b", "client-c"}

// streams returns one stream of calls for each class. The classes of a service
// get equal shares of its capacity.
func (d *demo) streams() []load.Stream {
	var streams []load.Stream
	for _, s := range d.Targets {
		slots := 0
		for _, server := range d.deployment.Servers {
			if server.Service == s.Name {
				slots += server.Slots
			}
		}
		for i := range s.Classes {
			streams = append(streams, d.stream(s, &s.Classes[i], slots))
		}
	}
	return streams
}

// stream returns the calls of one class of a service with the given number of
// slots.
func (d *demo) stream(s *target.Service, c *target.Class, slots int) load.Stream {
	work := d.deployment.Work(c.Method, c.Path)
	capacity := float64(slots) / work.Seconds()
	return load.Stream{
		Service: s.Name, Class: c.Name, Method: c.Method, Path: c.Path, Clients: clients,
		Rate: capacity * utilization / float64(len(s.Classes)), Latency: c.Latency, Idempotent: c.Idempotent,
		BodySize: bodySize(c.Method), RepeatEvery: repeatEvery(c),
	}
}

// repeatEvery returns n if callers send every n-th call of the class twice, and 0
// if they send none twice. Only calls that are not idempotent are sent twice, to
// check that each runs once.
func repeatEvery(c *target.Class) int {
	if c.Idempotent {
		return 0
	}
	return 5
}

// bodySize returns the size of the requests' bodies in bytes.
func bodySize(method string) int {
	if method == "GET" {
		return 0
	}
	return 1 << 10
}

// report adds the classes and the invariants to the result. All calls must have
// ended.
func (d *demo) report() {
	runs := map[string]int{}
	for _, m := range d.fleet.Members {
		for id, n := range m.Backend.Executions() {
			runs[id] += n
		}
	}
	wrong, repeated := 0, 0
	for _, r := range d.generator.Reports() {
		d.result.Classes = append(d.result.Classes, d.classResult(r))
		wrong += r.InvalidResponses
		repeated += r.Repeated
	}
	violations := d.generator.Violations(runs)
	d.check(fmt.Sprintf("verdicts agree with what ran, and nothing that may not be repeated ran twice (%d requests were sent twice)", repeated), violations)
	d.check("every answer is the whole one to its own request", countDetails(wrong, "answers were incomplete or to another request"))
	d.checkTimed("the edit is in force within 6 s", boundDetails(d.result.ConvergenceMS, 6000))
	d.check("no daemon ever had a lower version in force than before", d.versions.reverted())
	d.check("the planned stop and the departure cut no call", reasonDetails(d.planned.cut))
	d.checkTimed("the planned stop and the departure kept no call past its time limit", reasonDetails(d.planned.timedOut))
	d.check("the stopped server ran nothing new once its daemon had closed it", countDetails(d.planned.executionsSince(d.planned.executionsAtClose), "requests ran later"))
	d.checkTimed("the stopped server got no new work 3 s after its stop began", countDetails(d.planned.executionsSince(d.planned.executionsInGrace), "requests ran later"))
	d.check("every live daemon has the same version in force", d.versionMismatches())
}

// check adds an invariant, which holds if there are no details of violations.
func (d *demo) check(name string, details []string) {
	d.result.Invariants = append(d.result.Invariants, Invariant{Name: name, Holds: len(details) == 0, Details: details})
}

// checkTimed adds an invariant with a time bound.
func (d *demo) checkTimed(name string, details []string) {
	d.check(name, details)
	d.result.Invariants[len(d.result.Invariants)-1].Timed = true
}

// countDetails returns a detail with a count, or nil if the count is 0.
func countDetails(n int, description string) []string {
	if n == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d %s", n, description)}
}

// reasonDetails returns a detail for each reason for which calls failed before
// the kill, which is the first fault.
func reasonDetails(reasons map[string]int) []string {
	var details []string
	for reason, n := range reasons {
		details = append(details, fmt.Sprintf("%d calls before the kill: %s", n, reason))
	}
	return details
}

// boundDetails returns a detail if value is over the bound, or else nil.
func boundDetails(value, bound float64) []string {
	if value <= bound {
		return nil
	}
	return []string{fmt.Sprintf("%.0f is over %.0f", value, bound)}
}

// versionMismatches lists the live daemons whose version in force differs from
// that of the first one.
func (d *demo) versionMismatches() []string {
	var details []string
	want := d.liveMembers()[0].Daemon.State().InForce
	for _, m := range d.liveMembers() {
		if got := m.Daemon.State().InForce; got != want {
			details = append(details, fmt.Sprintf("%s has version %d, want %d", m.Server.Name, got, want))
		}
	}
	return details
}

func (d *demo) classResult(r *load.Report) ClassResult {
	c := ClassResult{
		Class: r.Stream.Service + "/" + r.Stream.Class, Offered: r.Offered, Answered: r.Answered,
		NotRun: r.NotRun, MayHaveRun: r.MayHaveRun,
		P50MS: float64(r.Latency.ValueAtQuantile(50)) / 1000, P99MS: float64(r.Latency.ValueAtQuantile(99)) / 1000,
		Good: float64(r.Good) / float64(max(r.Offered, 1)), Target: d.successTarget(r.Stream.Service, r.Stream.Class),
	}
	c.Met = c.Good >= c.Target
	return c
}

// successTarget returns the share of good calls that is the target of a class.
func (d *demo) successTarget(service, class string) float64 {
	for _, s := range d.Targets {
		for i := range s.Classes {
			if s.Name == service && s.Classes[i].Name == class {
				return s.Classes[i].Success
			}
		}
	}
	return 0
}

// Print writes the forecast, the status, and the result as a table.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintln(w, "\n== forecast, if all servers but one of the first service stopped in 24 h")
	r.Forecast.Print(w)
	fmt.Fprintln(w, "\n== status near the end")
	r.Status.Print(w)
	fmt.Fprintln(w, "\n== what the callers saw")
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\toffered\tanswered\tNotRun\tMayHaveRun\tp50 ms\tp99 ms\tgood\ttarget\tmet\t")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.2f%%\t%.0f%%\t%s\t\n", c.Class, c.Offered, c.Answered,
			c.NotRun, c.MayHaveRun, c.P50MS, c.P99MS, 100*c.Good, 100*c.Target, yesNo(c.Met))
	}
	_ = t.Flush()
	fmt.Fprintf(w, "edit in force everywhere after %s (seed %d)\n", time.Duration(r.ConvergenceMS*float64(time.Millisecond)).Round(time.Millisecond), r.Seed)
	for _, i := range r.Invariants {
		fmt.Fprintf(w, "%s: %s\n", map[bool]string{true: "holds ", false: "BROKEN"}[i.Holds], i.Name)
		for n, line := range i.Details {
			if n == maxDetails {
				fmt.Fprintf(w, "  and %d more\n", len(i.Details)-n)
				break
			}
			fmt.Fprintf(w, "  %s\n", line)
		}
	}
}

// maxDetails is the maximum number of details printed for an invariant.
const maxDetails = 10

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
