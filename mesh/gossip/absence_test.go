package gossip

import (
	"testing"
	"time"
)

// TestAbsence plays failed dials of a daemon that may itself be paused.
func TestAbsence(t *testing.T) {
	const planned = 2 * time.Second
	for _, c := range []struct {
		name string
		// steps are the times between failed dials.
		steps []time.Duration
		want  time.Duration
	}{
		{"the first failure", nil, 0},
		{"failures in time", []time.Duration{time.Second, time.Second}, 2 * time.Second},
		{"a pause counts as one planned step", []time.Duration{time.Second, time.Hour}, 3 * time.Second},
		{"many pauses", []time.Duration{time.Hour, time.Hour, time.Hour}, 3 * planned},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out absence
			now := time.Unix(1, 0)
			out.extend(now, planned)
			for _, step := range c.steps {
				now = now.Add(step)
				out.extend(now, planned)
			}
			if out.lasted != c.want {
				t.Errorf("lasted %s, want %s", out.lasted, c.want)
			}
		})
	}
}

// TestPatience lets the accused refute: each time it takes twice as long to
// accuse it again, up to a limit.
func TestPatience(t *testing.T) {
	out := absence{}
	for incarnation := uint64(1); incarnation <= 2*maxRefutations; incarnation++ {
		refuted := min(int(incarnation)-1, maxRefutations)
		out.hear(incarnation)
		out.lasted = time.Second << refuted
		if out.exceeds(time.Second) {
			t.Errorf("accused too soon after %d refutations", refuted)
		}
		out.lasted++
		if !out.exceeds(time.Second) {
			t.Errorf("not accused after %d refutations", refuted)
		}
		out.accused = incarnation
	}
}
