package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/status"
	"fescuehoist.example/mesh/stop"
	"fescuehoist.example/mesh/target"
	"fescuehoist.example/mesh/wait"
)

type statusCommand struct {
	Platform string        `env:"FESCUEHOIST_PLATFORM" placeholder:"IP:PORT" help:"Address of the platform's object API."`
	Daemon   string        `env:"FESCUEHOIST_DAEMON" placeholder:"IP:PORT" help:"Admin address of one daemon to ask instead."`
	Watch    bool          `help:"Print again and again until interrupted."`
	Interval time.Duration `default:"10s" help:"Time between prints with --watch."`
	JSON     bool          `help:"Print as JSON."`
}

// Run prints what each class gets and what each failure domain has in force.
func (c *statusCommand) Run(ctx context.Context, out *output) error {
	for {
		err := c.once(ctx, out)
		if !c.Watch {
			return err
		}
		if err != nil {
			out.printf("%v", err)
		}
		if wait.For(ctx, c.Interval) != nil {
			return nil
		}
	}
}

func (c *statusCommand) once(ctx context.Context, out *output) error {
	switch {
	case c.Daemon != "":
		return c.daemon(out)
	case c.Platform != "":
		return (&platformFlag{c.Platform}).with(ctx, func(ctx context.Context, s *session) error {
			view, err := s.view(ctx)
			if err != nil {
				return err
			}
			if c.JSON {
				return out.json(newStatusReport(view))
			}
			newStatusReport(view).print(out)
			return nil
		})
	}
	return fmt.Errorf("%w: give --platform or --daemon", errInput)
}

// daemon prints one daemon's state.
func (c *statusCommand) daemon(out *output) error {
	code, body, err := fasthttp.GetTimeout(nil, "http://"+c.Daemon+"/v1/state", commandTimeout)
	if err != nil {
		return fmt.Errorf("daemon %s: %w", c.Daemon, err)
	}
	if code != fasthttp.StatusOK {
		return fmt.Errorf("daemon %s answered with status %d", c.Daemon, code)
	}
	_, err = out.Write(body)
	return err
}

func (o *output) json(v any) error {
	e := json.NewEncoder(o)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// view is everything that status and forecast need from the platform.
type view struct {
	version  uint64
	services []*target.Service
	overview *status.Overview
	stops    *stop.List
	// unreadable names summaries that cannot be decoded.
	unreadable []string
	at         time.Time
}

func (s *session) view(ctx context.Context) (*view, error) {
	_, table, _, err := s.editor.Current(ctx)
	if err != nil {
		return nil, err
	}
	services, err := s.review.Services(ctx, table)
	if err != nil {
		return nil, err
	}
	store := &platformhttp.StatusStore{Client: s.client}
	summaries, unreadable, err := store.Summaries(ctx)
	if err != nil {
		return nil, err
	}
	stops, err := store.Stops(ctx)
	if err != nil {
		return nil, err
	}
	return &view{
		version: uint64(table.Version), services: services, overview: status.Combine(summaries), stops: stops,
		unreadable: unreadable, at: time.Now(),
	}, nil
}

// statusReport is the status as it is printed.
type statusReport struct {
	Version    uint64         `json:"version"`
	At         time.Time      `json:"at"`
	Classes    []classReport  `json:"classes"`
	Domains    []domainReport `json:"failure_domains"`
	Stops      []stopReport   `json:"stops"`
	Unreadable []string       `json:"unreadable,omitempty"`
}

type classReport struct {
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

type domainReport struct {
	Domain   string            `json:"domain"`
	At       time.Time         `json:"at"`
	By       member.ServerID   `json:"by"`
	Daemons  int               `json:"daemons"`
	Expected int               `json:"daemons_expected"`
	Versions []versionReport   `json:"versions"`
	Behind   []laggardReport   `json:"behind"`
	Silent   []member.ServerID `json:"silent"`
	Refusals []refusalReport   `json:"refusals"`
}

type versionReport struct {
	Version uint64 `json:"version"`
	Daemons int    `json:"daemons"`
}

type laggardReport struct {
	Server  member.ServerID `json:"server"`
	Version uint64          `json:"version"`
}

type refusalReport struct {
	Version uint64 `json:"version"`
	Daemons int    `json:"daemons"`
	Reason  string `json:"reason"`
}

func newStatusReport(v *view) *statusReport {
	r := &statusReport{Version: v.version, At: v.at, Unreadable: v.unreadable, Stops: stopReports(v.stops, v.at)}
	for _, s := range v.services {
		for i := range s.Classes {
			r.Classes = append(r.Classes, newClassReport(v.overview, s, &s.Classes[i]))
		}
	}
	for i := range v.overview.Domains {
		r.Domains = append(r.Domains, newDomainReport(&v.overview.Domains[i]))
	}
	return r
}

func newClassReport(o *status.Overview, s *target.Service, c *target.Class) classReport {
	r := classReport{Service: s.Name, Class: c.Name, Target: c.Target(), Latency: c.Latency, Success: c.Success, Met: true, Good: 1}
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

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func newDomainReport(d *status.DomainOverview) domainReport {
	r := domainReport{Domain: d.Domain, At: d.At, By: d.By, Daemons: d.Daemons(), Expected: d.Expected, Silent: d.Silent}
	for v, n := range d.Presence.Daemons {
		r.Versions = append(r.Versions, versionReport{uint64(v), n})
	}
	slices.SortFunc(r.Versions, func(a, b versionReport) int { return int(b.Version) - int(a.Version) })
	for _, l := range d.Presence.Behind {
		r.Behind = append(r.Behind, laggardReport{l.Server, uint64(l.Version)})
	}
	for refusal, n := range d.Presence.Refusals {
		r.Refusals = append(r.Refusals, refusalReport{uint64(refusal.Version), n, refusal.Reason})
	}
	return r
}

// staleAfter is the age from which a failure domain's summary is called old.
const staleAfter = time.Minute

func (r *statusReport) print(out *output) {
	out.printf("version %d accepted; status at %s", r.Version, stamp(r.At))
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "class\ttarget\tcalls/s\tgood\trefused\tp50 ms\tp99 ms\tmet\tsince")
	for _, c := range r.Classes {
		if c.Offered == 0 {
			fmt.Fprintf(t, "%s/%s\t%s\tno calls\t\t\t\t\t\t\n", c.Service, c.Class, c.Target)
			continue
		}
		fmt.Fprintf(t, "%s/%s\t%s\t%.1f\t%.2f%%\t%.2f%%\t%.1f\t%.1f\t%s\t%s\n", c.Service, c.Class, c.Target, c.Rate,
			100*c.Good, 100*c.Refused, c.P50MS, c.P99MS, yesNo(c.Met), stamp(c.Since))
	}
	_ = t.Flush()
	for i := range r.Domains {
		r.Domains[i].print(out, r.At)
	}
	if len(r.Domains) == 0 {
		out.printf("no failure domain has reported yet")
	}
	for i := range r.Stops {
		out.printf("%s", &r.Stops[i])
	}
	for _, key := range r.Unreadable {
		out.printf("summary %s cannot be read; it is replaced at the next report", key)
	}
}

func (d *domainReport) print(out *output, at time.Time) {
	line := fmt.Sprintf("%s: %d of %d daemons", d.Domain, d.Daemons, d.Expected)
	for _, v := range d.Versions {
		line += fmt.Sprintf("; version %d on %d", v.Version, v.Daemons)
	}
	if age := at.Sub(d.At); age > staleAfter {
		line += fmt.Sprintf("; OLD, last heard %s ago", age.Round(time.Second))
	}
	out.printf("%s", line)
	for _, l := range d.Behind {
		out.printf("  behind: %s has version %d", l.Server, l.Version)
	}
	for _, s := range d.Silent {
		out.printf("  silent: %s", s)
	}
	for _, f := range d.Refusals {
		out.printf("  refused by %d: %s", f.Daemons, f.Reason)
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "NO"
}
