package platformhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/status"
)

// statusPrefix is the key prefix of summaries.
const statusPrefix = "status/"

type summaryJSON struct {
	Domain   string             `json:"domain"`
	Shard    int                `json:"shard"`
	At       time.Time          `json:"at"`
	By       string             `json:"by"`
	WindowMS int64              `json:"window_ms"`
	Expected int                `json:"daemons_expected,omitempty"`
	Silent   []member.ServerID  `json:"silent,omitempty"`
	Presence *presenceJSON      `json:"presence,omitempty"`
	Classes  []classSummaryJSON `json:"classes"`
	Servers  []serverJSON       `json:"servers"`
}

type presenceJSON struct {
	Versions []versionJSON `json:"versions"`
	Behind   []laggardJSON `json:"behind,omitempty"`
	Refusals []refusalJSON `json:"refusals,omitempty"`
}

type versionJSON struct {
	Version uint64 `json:"version"`
	Daemons int    `json:"daemons"`
}

type laggardJSON struct {
	Server  string `json:"server"`
	Version uint64 `json:"version"`
}

type refusalJSON struct {
	Version uint64 `json:"version"`
	Reason  string `json:"reason"`
	Daemons int    `json:"daemons"`
}

type classSummaryJSON struct {
	Service    string        `json:"service"`
	Target     classJSON     `json:"target"`
	Offered    uint64        `json:"offered"`
	Good       uint64        `json:"good"`
	Answered   uint64        `json:"answered"`
	NotRun     uint64        `json:"not_run"`
	MayHaveRun uint64        `json:"may_have_run"`
	Met        bool          `json:"met"`
	Since      time.Time     `json:"since"`
	LatencyUS  histogramJSON `json:"latency_us,omitempty"`
	ServiceUS  histogramJSON `json:"service_us,omitempty"`
	Clients    []clientJSON  `json:"clients,omitempty"`
	Hours      []hourJSON    `json:"hours,omitempty"`
}

// histogramJSON lists pairs of a duration in microseconds and a count.
type histogramJSON [][2]int64

type clientJSON struct {
	Name    string `json:"name"`
	Offered uint64 `json:"offered"`
	Good    uint64 `json:"good"`
}

type hourJSON struct {
	Hour int64   `json:"hour"`
	Rate float64 `json:"rate"`
}

type serverJSON struct {
	Server  string `json:"server"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

// StatusStore stores status summaries and planned stops in the platform.
type StatusStore struct{ Client *Client }

func summaryKey(domain string, shard int) string {
	return fmt.Sprintf("%s%s/%d", statusPrefix, domain, shard)
}

// Summary reads a summary and its revision. The summary is nil if it does not
// exist or cannot be decoded.
func (s *StatusStore) Summary(ctx context.Context, domain string, shard int) (*status.Summary, uint64, error) {
	o, err := s.Client.Get(ctx, summaryKey(domain, shard))
	if isNotFound(err) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	summary, err := summaryFromJSON(o)
	if err != nil {
		return nil, o.Version, nil
	}
	return summary, o.Version, nil
}

// SaveSummary replaces a summary if its revision is still expect, and returns
// the new revision.
func (s *StatusStore) SaveSummary(ctx context.Context, summary *status.Summary, expect uint64) (uint64, error) {
	return s.Client.Put(ctx, summaryKey(summary.Domain, summary.Shard), summaryToJSON(summary), expect)
}

// Summaries reads all summaries. The keys of objects that cannot be decoded are
// returned in unreadable.
func (s *StatusStore) Summaries(ctx context.Context) (summaries []*status.Summary, unreadable []string, err error) {
	objects, err := s.Client.List(ctx, statusPrefix)
	if err != nil {
		return nil, nil, err
	}
	for i := range objects {
		summary, err := summaryFromJSON(&objects[i])
		if err != nil {
			unreadable = append(unreadable, objects[i].Key)
			continue
		}
		summaries = append(summaries, summary)
	}
	return summaries, unreadable, nil
}

// SummarySize returns the stored size of a summary in bytes.
func SummarySize(s *status.Summary) int {
	data, err := json.Marshal(summaryToJSON(s))
	if err != nil {
		return 0
	}
	return len(data)
}

func summaryToJSON(s *status.Summary) *summaryJSON {
	out := &summaryJSON{
		Domain: s.Domain, Shard: s.Shard, At: s.At, By: string(s.By), WindowMS: s.Window.Milliseconds(),
		Expected: s.Expected, Silent: s.NotReporting,
	}
	if s.Presence != nil {
		out.Presence = presenceToJSON(s.Presence)
	}
	for i := range s.Classes {
		out.Classes = append(out.Classes, classToJSON(&s.Classes[i]))
	}
	for _, r := range s.Servers {
		out.Servers = append(out.Servers, serverJSON{Server: string(r.Server), Service: r.Service, Slots: r.Slots, State: r.State})
	}
	return out
}

func presenceToJSON(p *status.Presence) *presenceJSON {
	out := &presenceJSON{}
	for v, n := range p.Daemons {
		out.Versions = append(out.Versions, versionJSON{Version: uint64(v), Daemons: n})
	}
	for _, l := range p.Behind {
		out.Behind = append(out.Behind, laggardJSON{Server: string(l.Server), Version: uint64(l.Version)})
	}
	for r, n := range p.Refusals {
		out.Refusals = append(out.Refusals, refusalJSON{Version: uint64(r.Version), Reason: r.Reason, Daemons: n})
	}
	return out
}

func classToJSON(c *status.ClassSummary) classSummaryJSON {
	out := classSummaryJSON{
		Service: c.Service, Target: targetToJSON(&c.Target), Offered: c.Counts.Offered, Good: c.Counts.Good,
		Answered: c.Counts.Answered, NotRun: c.Counts.NotRun, MayHaveRun: c.Counts.MayHaveRun,
		Met: c.Met, Since: c.Since,
		LatencyUS: histogramToJSON(&c.Counts.Latency), ServiceUS: histogramToJSON(&c.Counts.ServiceTime),
	}
	for _, name := range c.Counts.ClientNames() {
		n := c.Counts.Clients[name]
		out.Clients = append(out.Clients, clientJSON{Name: name, Offered: n.Offered, Good: n.Good})
	}
	for _, h := range c.HourlyPeaks {
		if h.Hour > 0 {
			out.Hours = append(out.Hours, hourJSON{Hour: h.Hour, Rate: h.Rate})
		}
	}
	return out
}

func histogramToJSON(h *status.Histogram) histogramJSON {
	var out histogramJSON
	for _, b := range h.Buckets() {
		out = append(out, [2]int64{b.Micros, b.Count})
	}
	return out
}

func summaryFromJSON(o *Object) (*status.Summary, error) {
	var in summaryJSON
	if err := json.Unmarshal(o.Value, &in); err != nil {
		return nil, &manifest.MalformedError{Object: o.Key, Err: err}
	}
	s := &status.Summary{
		Domain: in.Domain, Shard: in.Shard, At: in.At, By: member.ServerID(in.By),
		Window: time.Duration(in.WindowMS) * time.Millisecond, Expected: in.Expected, NotReporting: in.Silent,
	}
	if in.Presence != nil {
		s.Presence = presenceFromJSON(in.Presence)
	}
	for i := range in.Classes {
		c, err := classFromJSON(&in.Classes[i])
		if err != nil {
			return nil, &manifest.MalformedError{Object: o.Key, Err: err}
		}
		s.Classes = append(s.Classes, c)
	}
	for _, r := range in.Servers {
		s.Servers = append(s.Servers, status.ServerSummary{
			Server: member.ServerID(r.Server), Service: r.Service, Slots: r.Slots, State: r.State,
		})
	}
	return s, nil
}

func presenceFromJSON(in *presenceJSON) *status.Presence {
	p := &status.Presence{Daemons: map[manifest.Version]int{}, Refusals: map[status.Refusal]int{}}
	for _, v := range in.Versions {
		p.Daemons[manifest.Version(v.Version)] += v.Daemons
	}
	for _, l := range in.Behind {
		p.Behind = append(p.Behind, status.Laggard{Server: member.ServerID(l.Server), Version: manifest.Version(l.Version)})
	}
	for _, r := range in.Refusals {
		p.Refusals[status.Refusal{Version: manifest.Version(r.Version), Reason: r.Reason}] += r.Daemons
	}
	return p
}

func classFromJSON(in *classSummaryJSON) (status.ClassSummary, error) {
	class, err := targetFromJSON(&in.Target)
	if err != nil {
		return status.ClassSummary{}, err
	}
	counts := &status.Counts{
		Offered: in.Offered, Good: in.Good, Answered: in.Answered, NotRun: in.NotRun, MayHaveRun: in.MayHaveRun,
		Latency: histogramFromJSON(in.LatencyUS), ServiceTime: histogramFromJSON(in.ServiceUS), Clients: map[string]status.ClientCounts{},
	}
	for _, n := range in.Clients {
		counts.Clients[n.Name] = status.ClientCounts{Offered: n.Offered, Good: n.Good}
	}
	c := status.ClassSummary{
		ClassKey: status.ClassKey{Service: in.Service, Class: class.Name}, Target: class, Counts: counts, Met: in.Met, Since: in.Since,
	}
	for _, h := range in.Hours {
		if h.Hour > 0 {
			c.HourlyPeaks[h.Hour%status.HoursPerDay] = status.HourPeak{Hour: h.Hour, Rate: h.Rate}
		}
	}
	return c, nil
}

func histogramFromJSON(in histogramJSON) status.Histogram {
	buckets := make([]status.Bucket, len(in))
	for i, b := range in {
		buckets[i] = status.Bucket{Micros: b[0], Count: b[1]}
	}
	return status.HistogramFromBuckets(buckets)
}
