package view

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/status"
	"fescuehoist.example/mesh/target"
)

// Status is the status in the form that is printed.
type Status struct {
	Version    uint64    `json:"version"`
	At         time.Time `json:"at"`
	Classes    []Class   `json:"classes"`
	Domains    []Domain  `json:"failure_domains"`
	NotReady   []Server  `json:"servers_not_ready"`
	Stops      []Stop    `json:"stops"`
	Unreported []string  `json:"services_not_reported,omitempty"`
	Fault      string    `json:"fault,omitempty"`
	Unreadable []string  `json:"unreadable,omitempty"`
}

// Server is a backend server that takes no new calls, with its state.
type Server struct {
	Server  member.ServerID `json:"server"`
	Service string          `json:"service"`
	Domain  string          `json:"domain"`
	State   string          `json:"state"`
}

// Class is the service that a class of calls gets, compared with its target.
type Class struct {
	Service string        `json:"service"`
	Class   string        `json:"class"`
	Target  string        `json:"target"`
	Latency time.Duration `json:"target_latency_ns"`
	Success float64       `json:"target_share"`
	Rate    float64       `json:"calls_per_second"`
	Good    float64       `json:"good_share"`
	Refused float64       `json:"refused_share"`
	P50MS   float64       `json:"p50_ms"`
	P99MS   float64       `json:"p99_ms"`
	Offered uint64        `json:"offered"`
	Met     bool          `json:"met"`
	Since   time.Time     `json:"since"`
}

// Domain is the state of a failure domain.
type Domain struct {
	Domain   string            `json:"domain"`
	At       time.Time         `json:"at"`
	By       member.ServerID   `json:"by"`
	Daemons  int               `json:"daemons"`
	Expected int               `json:"daemons_expected"`
	Versions []VersionCount    `json:"versions"`
	Behind   []Laggard         `json:"behind"`
	Silent   []member.ServerID `json:"silent"`
	Refusals []Refusal         `json:"refusals"`
}

// VersionCount is the number of daemons that have a version in force.
type VersionCount struct {
	Version uint64 `json:"version"`
	Daemons int    `json:"daemons"`
}

// Laggard is a daemon that is behind the newest version, with the version that it
// has in force.
type Laggard struct {
	Server  member.ServerID `json:"server"`
	Version uint64          `json:"version"`
}

// Refusal is a version that a number of daemons refuse, for the same reason.
type Refusal struct {
	Version uint64 `json:"version"`
	Daemons int    `json:"daemons"`
	Reason  string `json:"reason"`
}

// NewStatus returns the status of a view.
func NewStatus(v *View) *Status {
	r := &Status{Version: uint64(v.Version), At: v.At, Unreadable: v.Unreadable, Unreported: v.Unreported, Stops: Stops(v.Stops, v.At)}
	for _, s := range v.Services {
		for i := range s.Classes {
			r.Classes = append(r.Classes, newClass(v.Overview, s, &s.Classes[i]))
		}
	}
	if v.Fault != nil {
		r.Fault = v.Fault.Error()
	}
	for _, server := range v.Overview.Servers {
		if server.State != member.Ready.String() {
			r.NotReady = append(r.NotReady, Server{Server: server.Server, Service: server.Service, Domain: server.Domain, State: server.State})
		}
	}
	for i := range v.Overview.Domains {
		r.Domains = append(r.Domains, newDomain(&v.Overview.Domains[i]))
	}
	return r
}

func newClass(o *status.Overview, s *target.Service, c *target.Class) Class {
	r := Class{Service: s.Name, Class: c.Name, Target: c.Target(), Latency: c.Latency, Success: c.Success, Met: true, Good: 1}
	measured := o.Class(status.ClassKey{Service: s.Name, Class: c.Name})
	if measured == nil {
		return r
	}
	counts := measured.Counts
	r.Rate, r.Good, r.Offered, r.Met, r.Since = measured.Rate, counts.GoodShare(), counts.Offered, !measured.Missed, measured.Since
	r.P50MS, r.P99MS = millis(counts.Latency.Quantile(.5)), millis(counts.Latency.Quantile(.99))
	if counts.Offered > 0 {
		r.Refused = float64(counts.NotRun) / float64(counts.Offered)
	}
	return r
}

func newDomain(d *status.DomainOverview) Domain {
	r := Domain{Domain: d.Domain, At: d.At, By: d.By, Daemons: d.Daemons(), Expected: d.Expected, Silent: d.NotReporting}
	for v, n := range d.Presence.Daemons {
		r.Versions = append(r.Versions, VersionCount{uint64(v), n})
	}
	slices.SortFunc(r.Versions, func(a, b VersionCount) int { return int(b.Version) - int(a.Version) })
	for _, l := range d.Presence.Behind {
		r.Behind = append(r.Behind, Laggard{l.Server, uint64(l.Version)})
	}
	for refusal, n := range d.Presence.Refusals {
		r.Refusals = append(r.Refusals, Refusal{uint64(refusal.Version), n, refusal.Reason})
	}
	return r
}

// staleAfter is the age from which a failure domain's summary is marked as old.
const staleAfter = time.Minute

// Print writes the status as text.
func (r *Status) Print(out io.Writer) {
	if r.Fault != "" {
		printf(out, "THE CONFIGURATION CANNOT BE READ: %s; the daemons keep what they have in force", r.Fault)
	}
	printf(out, "version %d accepted; status at %s", r.Version, Time(r.At))
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "class\ttarget\tcalls/s\tgood\trefused\tp50 ms\tp99 ms\tmet\tsince")
	for _, c := range r.Classes {
		if c.Offered == 0 {
			fmt.Fprintf(t, "%s/%s\t%s\tno calls\t\t\t\t\t\t\n", c.Service, c.Class, c.Target)
			continue
		}
		fmt.Fprintf(t, "%s/%s\t%s\t%.1f\t%.2f%%\t%.2f%%\t%.1f\t%.1f\t%s\t%s\n", c.Service, c.Class, c.Target, c.Rate,
			100*c.Good, 100*c.Refused, c.P50MS, c.P99MS, yesNo(c.Met), Time(c.Since))
	}
	_ = t.Flush()
	for i, name := range r.Unreported {
		if i == maxListed {
			printf(out, "and %d more services that no daemon has reported", len(r.Unreported)-maxListed)
			break
		}
		printf(out, "service %s: no daemon has reported yet", name)
	}
	for i := range r.Domains {
		r.Domains[i].Print(out, r.At)
	}
	if len(r.Domains) == 0 {
		printf(out, "no failure domain has reported yet")
	}
	for i, server := range r.NotReady {
		if i == maxListed {
			printf(out, "and %d more backend servers that take no new calls", len(r.NotReady)-maxListed)
			break
		}
		printf(out, "%s of %s in %s takes no new calls: %s", server.Server, server.Service, server.Domain, server.State)
	}
	for i := range r.Stops {
		printf(out, "%s", &r.Stops[i])
	}
	for _, key := range r.Unreadable {
		printf(out, "summary %s cannot be decoded; the next report replaces it", key)
	}
}

// maxListed is the maximum number of unreported services, and of backend servers
// not ready, that are printed.
const maxListed = 20

// Print writes the failure domain as text, with its age at the given time if it
// is over staleAfter.
func (d *Domain) Print(out io.Writer, at time.Time) {
	line := fmt.Sprintf("%s: %d of %d daemons", d.Domain, d.Daemons, d.Expected)
	for _, v := range d.Versions {
		line += fmt.Sprintf("; version %d on %d", v.Version, v.Daemons)
	}
	if age := at.Sub(d.At); age > staleAfter {
		line += fmt.Sprintf("; OLD, last reported %s ago", age.Round(time.Second))
	}
	printf(out, "%s", line)
	for _, l := range d.Behind {
		printf(out, "  behind: %s has version %d", l.Server, l.Version)
	}
	for _, s := range d.Silent {
		printf(out, "  silent: %s", s)
	}
	for _, f := range d.Refusals {
		printf(out, "  refused by %d: %s", f.Daemons, f.Reason)
	}
}
