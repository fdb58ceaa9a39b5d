package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"fescuehoist.example/bench/load"
	"fescuehoist.example/mesh/target"
)

// utilization is the share of each service's capacity that the calls use.
const utilization = 0.3

// clients are the names in turn for which calls are made.
var clients = []string{"client-a", "client-b", "client-c"}

// streams returns one stream for each class, at equal shares of the service's
// capacity.
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

func (d *demo) stream(s *target.Service, c *target.Class, slots int) load.Stream {
	work := d.deployment.Work(c.Method, c.Path)
	capacity := float64(slots) / work.Seconds()
	return load.Stream{
		Service: s.Name, Class: c.Name, Method: c.Method, Path: c.Path, Clients: clients,
		Rate: capacity * utilization / float64(len(s.Classes)), Latency: c.Latency, Idempotent: c.Idempotent,
		BodySize: bodySize(c.Method), RepeatEvery: repeatEvery(c),
	}
}

// repeatEvery returns which calls of a class the callers send twice.
func repeatEvery(c *target.Class) int {
	if c.Idempotent {
		return 0
	}
	return 5
}

func bodySize(method string) int {
	if method == "GET" {
		return 0
	}
	return 1 << 10
}

// report fills in the result once all calls have ended.
func (d *demo) report() {
	runs := map[string]int{}
	for _, m := range d.fleet.Members {
		for id, n := range m.Backend.Runs() {
			runs[id] += n
		}
	}
	mistaken, repeated := 0, 0
	for _, r := range d.generator.Reports() {
		d.result.Classes = append(d.result.Classes, d.classResult(r))
		mistaken += r.InvalidResponses
		repeated += r.Repeated
	}
	violations := d.generator.Violations(runs)
	d.check(fmt.Sprintf("verdicts agree with what ran, and nothing that may not be repeated ran twice (%d requests were sent twice)", repeated), violations)
	d.check("every answer is the whole one to its own request", counted(mistaken, "answers were not"))
	d.timed("the edit is in force within 6 s", over(d.result.ConvergenceMS, 6000))
	d.check("no daemon ever had a lower version in force than before", d.versions.reverted())
	d.check("the planned stop and the departure cut no call", listed(d.planned.cut))
	d.timed("the planned stop and the departure kept no call past its time limit", listed(d.planned.late))
	d.check("the stopped server ran nothing new once its daemon had closed it", counted(d.planned.ranSince(d.planned.closed), "requests ran later"))
	d.timed("the stopped server got no new work 3 s after its stop began", counted(d.planned.ranSince(d.planned.early), "requests ran later"))
	d.check("every live daemon has the same version in force", d.agreement())
}

func (d *demo) check(name string, details []string) {
	d.result.Invariants = append(d.result.Invariants, Invariant{Name: name, Holds: len(details) == 0, Details: details})
}

// timed notes an invariant with a bound in time.
func (d *demo) timed(name string, details []string) {
	d.check(name, details)
	d.result.Invariants[len(d.result.Invariants)-1].Timed = true
}

func counted(n int, what string) []string {
	if n == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d %s", n, what)}
}

// listed names the reasons of calls that failed before the first fault.
func listed(reasons map[string]int) []string {
	var details []string
	for reason, n := range reasons {
		details = append(details, fmt.Sprintf("%d calls before the kill: %s", n, reason))
	}
	return details
}

func over(value, bound float64) []string {
	if value <= bound {
		return nil
	}
	return []string{fmt.Sprintf("%.0f is over %.0f", value, bound)}
}

func (d *demo) agreement() []string {
	var details []string
	want := d.live()[0].Daemon.State().InForce
	for _, m := range d.live() {
		if got := m.Daemon.State().InForce; got != want {
			details = append(details, fmt.Sprintf("%s has version %d, not %d", m.Server.Name, got, want))
		}
	}
	return details
}

func (d *demo) classResult(r *load.Report) ClassResult {
	c := ClassResult{
		Class: r.Stream.Service + "/" + r.Stream.Class, Offered: r.Offered, Answered: r.Answered,
		NotRun: r.NotRun, MayHaveRun: r.MayHaveRun,
		P50MS: float64(r.Latency.ValueAtQuantile(50)) / 1000, P99MS: float64(r.Latency.ValueAtQuantile(99)) / 1000,
		Good: float64(r.Good) / float64(max(r.Offered, 1)), Target: d.target(r.Stream.Service, r.Stream.Class),
	}
	c.Met = c.Good >= c.Target
	return c
}

func (d *demo) target(service, class string) float64 {
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

const maxDetails = 10

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
