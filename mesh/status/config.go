package status

import "time"

// Config sets how status is gathered.
type Config struct {
	// Interval is the time between reports, and between summaries.
	Interval time.Duration
	// WindowIntervals is the number of intervals that a summary covers.
	WindowIntervals int
	// Fanout is the number of daemons that report to one.
	Fanout int
	// ServicesPerShard is the number of services that one summary covers.
	ServicesPerShard int
	// ExpiryIntervals is the number of intervals after which a daemon that does not
	// report is no longer counted.
	ExpiryIntervals int
}

// DefaultConfig returns the settings for a fleet of any size.
func DefaultConfig() Config {
	return Config{Interval: 10 * time.Second, WindowIntervals: 6, Fanout: 16, ServicesPerShard: 32, ExpiryIntervals: 3}
}
