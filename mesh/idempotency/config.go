// Package idempotency runs a request that is not idempotent at most once. A few home
// daemons, chosen by the request's key, record it before it runs and keep its
// outcome for repeats.
package idempotency

import "time"

// Config sets what a daemon keeps as a home.
type Config struct {
	// Homes is the number of daemons that record a key, each in a failure
	// domain of its own while there are enough. A majority must have recorded
	// it before the request runs.
	Homes int
	// Retention is how long a key is kept. A repeat within it never runs.
	Retention time.Duration
	// MaxKeys bounds the keys that are kept. New ones are refused beyond it.
	MaxKeys int
	// MaxOutcomeBytes is the largest body, in bytes, of an answer that is kept.
	// Repeats of a request with a larger one are told that it may have run.
	MaxOutcomeBytes int
	// MaxBytes bounds the bodies kept in all.
	MaxBytes int
	// ReplicaTimeout bounds a message to a home.
	ReplicaTimeout time.Duration
	// Rounds bounds the tries to record a key while homes disagree or another
	// copy of the request gives up.
	Rounds int
	// RoundDelay is the longest random pause before the second round; each
	// further one doubles it.
	RoundDelay time.Duration
}

// DefaultConfig returns the defaults of a daemon.
func DefaultConfig() Config {
	return Config{
		Homes:           3,
		Retention:       10 * time.Minute,
		MaxKeys:         50_000,
		MaxOutcomeBytes: 16 << 10,
		MaxBytes:        16 << 20,
		ReplicaTimeout:  250 * time.Millisecond,
		Rounds:          6,
		RoundDelay:      10 * time.Millisecond,
	}
}
