package calls

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fescuehoist.example/bench/figure"
	"fescuehoist.example/bench/load"
)

// Bounds that do not depend on a target.
const (
	// maxAttempts bounds the attempts per call.
	maxAttempts = 1.1
	// floodedGoodShare is the share of its entitled slots that the most urgent
	// class must turn into good calls while it is flooded.
	floodedGoodShare = 0.9
	// maxSendDelayMS bounds the 99th percentile of the generator's send delay, in
	// milliseconds.
	maxSendDelayMS = 10.0
	// lostWithDaemon is the reason of calls that were open at a daemon when it was
	// killed. No daemon remains that could respond to them, so no bound counts
	// them.
	lostWithDaemon = load.DaemonLost
)

// Row holds the results of the calls of one stream.
type Row struct {
	Class   string `json:"class"`
	Clients int    `json:"clients"`
	Offered int    `json:"offered"`
	Good    int    `json:"good"`
	// GoodShare is the share of the offered calls that were good.
	GoodShare  float64 `json:"good_share"`
	NotRun     int     `json:"not_run"`
	MayHaveRun int     `json:"may_have_run"`
	// Severed counts the calls that were open at a daemon when it was killed.
	Severed int `json:"severed"`
	// Wasted counts the calls that ran but were not good.
	Wasted int `json:"wasted"`
	// Attempts is the mean number of attempts per call.
	Attempts float64 `json:"attempts"`
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
	P999MS   float64 `json:"p999_ms"`
	// SendDelayP99MS is how late the generator itself sent the calls.
	SendDelayP99MS float64        `json:"late_p99_ms"`
	Reasons        map[string]int `json:"reasons"`
}

// Result is the result of one scenario.
type Result struct {
	Name string `json:"name"`
	Rows []*Row `json:"rows"`
	*figure.Report
	Violations []string `json:"violations,omitempty"`
	// Repeated is set if the generator sent calls late in a first run, which was
	// therefore discarded.
	Repeated bool `json:"repeated,omitempty"`
}

// GeneratorLate reports whether the generator sent calls so late that the figures
// reflect the load of the machine rather than the policy.
func (r *Result) GeneratorLate() bool {
	for _, row := range r.Rows {
		if row.SendDelayP99MS > maxSendDelayMS {
			return true
		}
	}
	return false
}

func newResult(s Scenario, o Options, p *plan, g *load.Generator, violations []string) *Result {
	r := &Result{Name: o.Deployment + "." + s.Name, Violations: violations, Report: &figure.Report{}}
	reports := g.Reports()
	for _, report := range reports {
		r.Rows = append(r.Rows, newRow(report))
	}
	for _, m := range p.demands {
		r.addFigures(s, o, m, reports)
	}
	r.AddAtMost(r.Name+".violations", float64(len(violations)), "calls", 0)
	if !s.LoseDomain {
		r.AddAtMost(r.Name+".cut", float64(cutOrInvalid(reports)), "calls", 0)
	}
	return r
}

// addFigures adds the figures of one class with their bounds.
func (r *Result) addFigures(s Scenario, o Options, m *demand, reports []*load.Report) {
	var offered, good, attempts int
	for _, i := range m.streams {
		offered += reports[i].Offered
		if s.LoseDomain {
			offered -= reports[i].Reasons[lostWithDaemon]
		}
		good += reports[i].Good
		attempts += reports[i].Attempts
	}
	r.AddAtMost(r.Name+"."+m.class.Name+".attempts", ratio(attempts, offered), "attempts/call", maxAttempts)
	first := reports[m.streams[0]]
	if s.OneClient && len(m.streams) > 1 {
		r.AddAtLeast(r.Name+"."+m.class.Name+".others.good", 100*ratio(first.Good, first.Offered), "%", 100*m.class.Success)
	}
	perSecond := float64(good) / o.Duration.Seconds()
	switch {
	case m.entitled >= m.offered:
		r.AddAtLeast(r.Name+"."+m.class.Name+".good", 100*ratio(good, offered), "%", 100*m.class.Success)
	case m.class == mostUrgent(m.service):
		r.AddAtLeast(r.Name+"."+m.class.Name+".good", perSecond, "calls/s", floodedGoodShare*m.entitled/m.serviceSeconds)
	default:
		r.AddAtLeast(r.Name+"."+m.class.Name+".keep", perSecond, "calls/s", m.class.Success*m.reserved/m.serviceSeconds)
	}
}

// ratio returns part divided by total, or by 1 if total is 0.
func ratio(part, total int) float64 { return float64(part) / float64(max(total, 1)) }

// cutOrInvalid counts the calls whose responses were invalid, were cut off or had no
// verdict.
func cutOrInvalid(reports []*load.Report) int {
	n := 0
	for _, r := range reports {
		n += r.InvalidResponses + r.Reasons["cut"] + r.Reasons["caller: cut"] + r.Reasons["no verdict"]
	}
	return n
}

func newRow(r *load.Report) *Row {
	return &Row{
		Class: r.Stream.Service + "/" + r.Stream.Class, Clients: len(r.Stream.Clients),
		Offered: r.Offered, Good: r.Good, GoodShare: ratio(r.Good, r.Offered),
		NotRun: r.NotRun, MayHaveRun: r.MayHaveRun, Severed: r.Reasons[lostWithDaemon], Wasted: r.Wasted, Attempts: ratio(r.Attempts, r.Offered),
		P50MS: quantile(r.Latency, 50), P99MS: quantile(r.Latency, 99), P999MS: quantile(r.Latency, 99.9),
		SendDelayP99MS: quantile(r.SendDelay, 99), Reasons: r.Reasons,
	}
}

// quantile returns the q-th percentile of a histogram of microseconds, in
// milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// Print writes the figures, a table of all streams and the first
// maxPrintedViolations violations.
func (r *Result) Print(w io.Writer) {
	for _, f := range r.Figures {
		fmt.Fprintln(w, f)
	}
	if r.Repeated {
		fmt.Fprintln(w, r.Name+" was repeated: the generator sent calls late in the first run")
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, r.Name+"\toffered\tgood\tgood %\tNotRun\tMayHaveRun\tsevered\twasted\tattempts\tp50 ms\tp99 ms\tp99.9 ms\tgenerator late p99 ms\t")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s (%d clients)\t%d\t%d\t%.2f\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", row.Class, row.Clients,
			row.Offered, row.Good, 100*row.GoodShare, row.NotRun, row.MayHaveRun, row.Severed, row.Wasted, row.Attempts,
			row.P50MS, row.P99MS, row.P999MS, row.SendDelayP99MS)
	}
	_ = t.Flush()
	for i, v := range r.Violations {
		if i == maxPrintedViolations {
			break
		}
		fmt.Fprintln(w, "  "+v)
	}
}

// maxPrintedViolations bounds the number of violations that are printed.
const maxPrintedViolations = 5
