package status

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/target"
)

// Overview is the status of the whole mesh, put together from all summaries.
type Overview struct {
	Classes []ClassOverview
	Domains []DomainOverview
	Servers []ServerOverview
}

// ClassOverview is what a class gets in all failure domains together.
type ClassOverview struct {
	ClassKey
	// Target is that of the newest summary.
	Target target.Class
	Counts *Counts
	// Rate is in calls a second.
	Rate float64
	// Since is from when on the class has been met or missed: when the first
	// failure domain began to miss it, or when the last one met it again.
	Missed bool
	Since  time.Time
	// HourlyPeaks holds the highest rate of each hour of the day in calls a second.
	HourlyPeaks [HoursPerDay]HourPeak
	// at is the time of the newest summary.
	at time.Time
}

// DomainOverview is the state of one failure domain.
type DomainOverview struct {
	Domain       string
	At           time.Time
	By           member.ServerID
	Expected     int
	Presence     *Presence
	NotReporting []member.ServerID
}

// Newest returns the highest version in force in the failure domain.
func (d *DomainOverview) Newest() manifest.Version { return d.Presence.newest() }

// Daemons returns the number of daemons that reported.
func (d *DomainOverview) Daemons() int { return d.Presence.count() }

// ServerOverview is one backend server with its failure domain.
type ServerOverview struct {
	ServerSummary
	Domain string
}

// Combine returns the overview of all summaries.
func Combine(summaries []*Summary) *Overview {
	o := &Overview{}
	classes := map[ClassKey]*ClassOverview{}
	for _, s := range summaries {
		if s.Presence != nil {
			o.Domains = append(o.Domains, DomainOverview{
				Domain: s.Domain, At: s.At, By: s.By, Expected: s.Expected, Presence: s.Presence, NotReporting: s.NotReporting,
			})
		}
		for _, r := range s.Servers {
			o.Servers = append(o.Servers, ServerOverview{ServerSummary: r, Domain: s.Domain})
		}
		for i := range s.Classes {
			k := s.Classes[i].ClassKey
			if classes[k] == nil {
				classes[k] = &ClassOverview{ClassKey: k, Counts: &Counts{}}
			}
			classes[k].add(&s.Classes[i], s)
		}
	}
	for _, c := range classes {
		o.Classes = append(o.Classes, *c)
	}
	slices.SortFunc(o.Classes, func(a, b ClassOverview) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), cmp.Compare(a.Target.Rank, b.Target.Rank), strings.Compare(a.Class, b.Class))
	})
	slices.SortFunc(o.Domains, func(a, b DomainOverview) int { return strings.Compare(a.Domain, b.Domain) })
	slices.SortFunc(o.Servers, func(a, b ServerOverview) int { return strings.Compare(string(a.Server), string(b.Server)) })
	return o
}

func (c *ClassOverview) add(s *ClassSummary, from *Summary) {
	c.Counts.Add(s.Counts)
	if from.Window > 0 {
		c.Rate += float64(s.Counts.Offered) / from.Window.Seconds()
	}
	if !from.At.Before(c.at) {
		c.at, c.Target = from.At, s.Target
	}
	switch {
	case !s.Met && (!c.Missed || s.Since.Before(c.Since)):
		c.Missed, c.Since = true, s.Since
	case s.Met && !c.Missed && s.Since.After(c.Since):
		c.Since = s.Since
	}
	for i, peak := range s.HourlyPeaks {
		have := &c.HourlyPeaks[i]
		switch {
		case peak.Hour == have.Hour:
			have.Rate += peak.Rate
		case peak.Hour > have.Hour:
			*have = peak
		}
	}
}

// Services returns the services that were reported, with their targets.
func (o *Overview) Services() []*target.Service {
	var services []*target.Service
	for i := range o.Classes {
		c := &o.Classes[i]
		if n := len(services); n == 0 || services[n-1].Name != c.Service {
			services = append(services, &target.Service{Name: c.Service})
		}
		s := services[len(services)-1]
		s.Classes = append(s.Classes, c.Target)
	}
	return services
}

// Class returns a class's overview, or nil.
func (o *Overview) Class(k ClassKey) *ClassOverview {
	for i := range o.Classes {
		if o.Classes[i].ClassKey == k {
			return &o.Classes[i]
		}
	}
	return nil
}
