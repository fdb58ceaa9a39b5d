package status

import "time"

// Config sets how status is collected.
type Config struct {
	// Interval is the time between reports and between summaries.
	Interval time.Duration
	// WindowIntervals is the number of intervals that a summary covers.
	WindowIntervals int
	// Fanout is the maximum number of daemons that report to the same one.
	Fanout int
	// ServicesPerShard is the number of services in one summary.
	ServicesPerShard int
	// ExpiryIntervals is the number of intervals after which a daemon that does
	// not report is no longer counted.
	ExpiryIntervals int
}

// DefaultConfig returns the default settings, which suit a fleet of any size.
func DefaultConfig() Config {
	return Config{Interval: 10 * time.Second, WindowIntervals: 6, Fanout: 16, ServicesPerShard: 32, ExpiryIntervals: 3}
}
