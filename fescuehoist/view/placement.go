package view

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"fescuehoist.example/adapters/adminhttp"
)

// PrintPlacement writes where a request would go as text.
func PrintPlacement(out io.Writer, p *adminhttp.Placement) {
	printf(out, "version %d", p.Version)
	if c := p.Class; c != nil {
		printf(out, "class %s: rank %d, latency %s, timeout %s, %s", c.Name, c.Rank, ms(c.LatencyMS), ms(c.TimeoutMS), repeatable(c.Idempotent))
	}
	if a := p.Account; a != nil {
		printf(out, "account %s: %s, %s", a.Name, accountRank(a), allowance(a))
	}
	if p.Refusal != nil {
		printf(out, "would be refused, not run: %s", refusal(p.Refusal))
	}
	for i := range p.Destinations {
		printf(out, "")
		printDestination(out, &p.Destinations[i])
	}
}

func printDestination(out io.Writer, d *adminhttp.PlacementDestination) {
	printf(out, "service %s gets %.3g%% of the calls of the class", d.Service, 100*d.Share)
	if d.Refusal != nil {
		printf(out, "  would be refused, not run: %s", refusal(d.Refusal))
	} else {
		printf(out, "  would go to %s now", d.Chosen)
	}
	printf(out, "  throttle: lets %.0f%% of the calls through", 100*d.ThrottleAllows)
	printf(out, "  retries left: %.1f of the service, %.1f of the class; a retry takes 1 of each", d.RetriesOfService, d.RetriesOfClass)
	if d.NoHedge != "" {
		printf(out, "  no copy would be sent: %s", d.NoHedge)
	} else {
		printf(out, "  a copy would be sent after %s, to %s", ms(d.HedgeDelayMS), d.HedgeServer)
	}
	if len(d.Candidates) == 0 {
		printf(out, "  no servers are known")
		return
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "  server\tdomain\tchosen\tcost\trun\twait\tlink\tcrossing\tdoubt\tcalls/limit\tservice time\tnotes")
	for i := range d.Candidates {
		c := &d.Candidates[i]
		fmt.Fprintf(t, "  %s\t%s\t%.0f%%\t%s\t%s\t%s\t%s\t%s\t%s\t%d/%d\t%s\t%s\n", c.Server, c.Domain, 100*c.Chosen, ms(c.CostMS), ms(c.RunMS),
			ms(c.WaitMS), ms(c.LinkMS), ms(c.CrossingMS), ms(c.DoubtMS), c.Calls, c.Limit, serviceTime(c), notes(c))
	}
	_ = t.Flush()
}

func refusal(r *adminhttp.PlacementRefusal) string {
	if r.Cause == "" {
		return r.Reason
	}
	return r.Reason + ": " + r.Cause
}

func repeatable(idempotent bool) string {
	if idempotent {
		return "may run twice"
	}
	return "must not run twice"
}

func accountRank(a *adminhttp.PlacementAccount) string {
	if a.Rank == 0 {
		return "rank of the class"
	}
	return fmt.Sprintf("rank %d before that of the class", a.Rank)
}

func allowance(a *adminhttp.PlacementAccount) string {
	if a.Rate == 0 {
		return "no limit"
	}
	return fmt.Sprintf("limit of %g requests/s and %g more (not evaluated)", a.Rate, a.Burst)
}

func serviceTime(c *adminhttp.PlacementCandidate) string {
	if c.ServiceTimeMS == 0 {
		return "unknown"
	}
	return ms(c.ServiceTimeMS)
}

// notes returns what sets a server apart from one that is ready and free.
func notes(c *adminhttp.PlacementCandidate) string {
	var all []string
	if c.Excluded != "" {
		all = append(all, c.Excluded)
	}
	if c.State != "ready" {
		all = append(all, c.State)
	}
	if c.Health != "alive" {
		all = append(all, c.Health)
	}
	if !c.FreeSlot {
		all = append(all, "no free slot")
	}
	if !c.InTime {
		all = append(all, "too slow for the target")
	}
	return strings.Join(all, ", ")
}

func ms(n float64) string { return fmt.Sprintf("%.1fms", n) }
