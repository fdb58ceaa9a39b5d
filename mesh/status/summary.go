package status

import (
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/target"
)

// HoursPerDay is the number of hourly peaks.
const HoursPerDay = 24

// Summary is the status of one shard of a failure domain as the platform
// stores it.
type Summary struct {
	Domain string
	Shard  int
	// At is when the daemon By wrote the summary.
	At time.Time
	By member.ServerID
	// Window is the time covered by the counts.
	Window time.Duration
	// Expected is the number of daemons that should report. NotReporting lists
	// those that did not, as far as they are known by name.
	Expected     int
	NotReporting []member.ServerID
	// Presence is set only in shard 0. Its Behind lists only daemons that have
	// been behind for longer than a report takes.
	Presence *Presence
	Classes  []ClassSummary
	Servers  []ServerSummary
}

// ClassSummary is the status of a class in a failure domain.
type ClassSummary struct {
	ClassKey
	// Target is the class in the version that the writer had in force.
	Target target.Class
	Counts *Counts
	// Met says whether the target was met in the window, Since when that began.
	Met   bool
	Since time.Time
	// HourlyPeaks holds the highest rate of calls of each hour of the day, in
	// UTC.
	HourlyPeaks [HoursPerDay]HourPeak
}

// HourPeak is the highest rate of calls in one hour.
type HourPeak struct {
	// Hour is the number of hours since the Unix epoch; 0 if there is no peak.
	Hour int64
	// Rate is in calls per second.
	Rate float64
}

// ServerSummary is the status of one backend server.
type ServerSummary struct {
	Server  member.ServerID
	Service string
	Slots   int
	State   string
}

// Behind returns the daemons that are known to be behind the newest version.
func (s *Summary) Behind() []Laggard {
	if s.Presence == nil {
		return nil
	}
	return s.Presence.Behind
}

// Newest returns the highest version in force in the failure domain, or 0 if
// unknown.
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
