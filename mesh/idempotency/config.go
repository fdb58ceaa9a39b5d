// Package idempotency runs a non-idempotent request at most once. A few
// daemons, the replicas of the request's key, record the key before the
// request runs and keep the outcome for repeats.
package idempotency

import "time"

// Config sets how keys are recorded and kept.
type Config struct {
	// Replicas is the number of daemons that record a key, each in a different
	// failure domain if there are enough. A majority must have recorded the key
	// before the request runs.
	Replicas int
	// Retention is how long a key is kept. A repeat within this time does not
	// run.
	Retention time.Duration
	// MaxKeys is the maximum number of keys kept; further ones are refused.
	MaxKeys int
	// MaxOutcomeBytes is the maximum size of an answer's body that is kept.
	// Repeats of a request with a larger one fail with verdict MayHaveRun.
	MaxOutcomeBytes int
	// MaxBytes is the maximum total size of all kept bodies.
	MaxBytes int
	// ReplicaTimeout is the timeout of a message to a replica.
	ReplicaTimeout time.Duration
	// Rounds is the maximum number of attempts to record a key while replicas
	// disagree or another copy of the request is abandoned.
	Rounds int
	// RoundDelay is the maximum random delay before the second round; it
	// doubles with each further round.
	RoundDelay time.Duration
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Replicas:        3,
		Retention:       10 * time.Minute,
		MaxKeys:         50_000,
		MaxOutcomeBytes: 16 << 10,
		MaxBytes:        16 << 20,
		ReplicaTimeout:  250 * time.Millisecond,
		Rounds:          6,
		RoundDelay:      10 * time.Millisecond,
	}
}
