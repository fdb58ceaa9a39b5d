package status

import (
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/target"
)

// HoursPerDay is the number of hours of the daily shape.
const HoursPerDay = 24

// Summary is what the platform keeps of one shard of a failure domain.
type Summary struct {
	Domain string
	Shard  int
	// At is when By wrote the summary.
	At time.Time
	By member.ServerID
	// Window is the time that the counts cover.
	Window time.Duration
	// Expected is the number of daemons that should report, Silent those that
	// did not, as far as they are known by name.
	Expected     int
	NotReporting []member.ServerID
	// Presence is set in shard 0 alone. Its Behind holds only daemons that
	// have been behind for longer than a report takes.
	Presence *Presence
	Classes  []ClassSummary
	Servers  []ServerSummary
}

// ClassSummary is what a class got in a failure domain.
type ClassSummary struct {
	ClassKey
	// Target is the class as the writer had it in force.
	Target target.Class
	Counts *Counts
	// Met says whether the target was met in the window, Since from when on.
	Met   bool
	Since time.Time
	// HourlyPeaks holds the highest rate of calls of each hour of the day, by UTC.
	HourlyPeaks [HoursPerDay]HourPeak
}

// HourPeak is the highest rate of calls seen in one hour.
type HourPeak struct {
	// Hour is the hour, counted from the Unix epoch; 0 if none was seen.
	Hour int64
	// Rate is in calls a second.
	Rate float64
}

// ServerSummary is one backend server.
type ServerSummary struct {
	Server  member.ServerID
	Service string
	Slots   int
	State   string
}

// Behind returns the daemons that are behind the newest version, if known.
func (s *Summary) Behind() []Laggard {
	if s.Presence == nil {
		return nil
	}
	return s.Presence.Behind
}

// Newest returns the highest version in force in the failure domain.
func (s *Summary) Newest() manifest.Version {
	if s.Presence == nil {
		return 0
	}
	return s.Presence.newest()
}

// Daemons returns the number of daemons that reported.
func (s *Summary) Daemons() int {
	if s.Presence == nil {
		return 0
	}
	return s.Presence.count()
}
