package gossip

import (
	"testing"
	"time"
)

// TestOutageDurationExcludesPauses checks that a daemon that was itself paused
// between two failed dials does not count the pause as an outage of the peer.
func TestOutageDurationExcludesPauses(t *testing.T) {
	const planned = 2 * time.Second
	for _, c := range []struct {
		name string
		// steps are the times between failed dials.
		steps []time.Duration
		want  time.Duration
	}{
		{"first failure", nil, 0},
		{"failures on schedule", []time.Duration{time.Second, time.Second}, 2 * time.Second},
		{"pause counts as one planned step", []time.Duration{time.Second, time.Hour}, 3 * time.Second},
		{"several pauses", []time.Duration{time.Hour, time.Hour, time.Hour}, 3 * planned},
	} {
		t.Run(c.name, func(t *testing.T) {
			var down outage
			now := time.Unix(1, 0)
			down.recordFailure(now, planned)
			for _, step := range c.steps {
				now = now.Add(step)
				down.recordFailure(now, planned)
			}
			if down.duration != c.want {
				t.Errorf("outage duration %s, want %s", down.duration, c.want)
			}
		})
	}
}

// TestOutageLimitDoublesAfterRefutation checks that each refutation doubles the
// time for which a peer must be unreachable before it is suspected again, up to
// maxRefutations.
func TestOutageLimitDoublesAfterRefutation(t *testing.T) {
	down := outage{}
	for incarnation := uint64(1); incarnation <= 2*maxRefutations; incarnation++ {
		refutations := min(int(incarnation)-1, maxRefutations)
		down.observeIncarnation(incarnation)
		down.duration = time.Second << refutations
		if down.exceeds(time.Second) {
			t.Errorf("exceeds(1s) at the limit after %d refutations, want false", refutations)
		}
		down.duration++
		if !down.exceeds(time.Second) {
			t.Errorf("exceeds(1s) past the limit after %d refutations, want true", refutations)
		}
		down.suspectedIncarnation = incarnation
	}
}
