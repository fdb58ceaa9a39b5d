package allowance

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/target"
)

const window = 5 * time.Second

// newTestCounter returns the counter of the only daemon, which has run for a whole window.
func newTestCounter() *Counter {
	start := time.Now()
	c := NewCounter(window, func() time.Duration { return time.Since(start) })
	time.Sleep(window)
	return c
}

func total(counts []Count) (used float64) {
	for _, c := range counts {
		for _, n := range c.Used {
			used += n
		}
	}
	return used
}

// Guards against requests that count for longer or shorter than the window, or that get lost
// or are counted twice as the slices move on.
func TestCountsMoveWithWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &target.Account{Name: "a", Rate: 1000, Burst: 1000}
		c := newTestCounter()
		time.Sleep(130 * time.Millisecond)
		for range 10 {
			c.Admit(a)
		}
		counts := c.Counts(true)
		for age := time.Duration(0); age < 6*time.Second; age += 70 * time.Millisecond {
			want := 10.0
			if age > window+window/cells {
				want = 0
			}
			if got := total(c.Counts(true)); age < window-window/cells || age > window+window/cells {
				if math.Abs(got-want) > 1e-9 {
					t.Errorf("after %s: %g requests in the window, want %g", age, got, want)
				}
			}
			aged := counts[0].Aged(age, window)
			if got := total([]Count{aged}); age < window*4/5-window/cells && math.Abs(got-10) > 1e-9 {
				t.Errorf("count aged by %s has %g requests, want 10", age, got)
			}
			time.Sleep(70 * time.Millisecond)
		}
		if len(c.accounts) > 0 {
			t.Errorf("%d accounts kept after a window without requests, want 0", len(c.accounts))
		}
	})
}

// Guards against requests that did not run and still use up the allowance, and against a
// late refund that is taken from a later request.
func TestRefundTakesBackOnlyItsOwnRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &target.Account{Name: "a", Rate: 1000, Burst: 1000}
		c := newTestCounter()
		early, _, _ := c.Admit(a)
		c.Admit(a)
		early()
		if got := total(c.Counts(true)); got != 1 {
			t.Errorf("%g requests after a refund, want 1", got)
		}
		late, _, _ := c.Admit(a)
		time.Sleep(window + time.Second)
		c.Admit(a)
		late()
		if got := total(c.Counts(true)); got != 1 {
			t.Errorf("%g requests after a refund that came too late, want 1", got)
		}
	})
}

// Guards against a daemon that starts, or that is alone, and spends the limit of all.
func TestStartingDaemonSpendsItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		c := NewCounter(window, func() time.Duration { return time.Since(start) })
		c.SetFleetSize(10)
		a := &target.Account{Name: "a", Rate: 100, Burst: 100}
		admitted := 0
		for range 400 {
			if _, _, ok := c.Admit(a); ok {
				admitted++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if admitted < 20 || admitted > 48 {
			t.Errorf("%d requests admitted in the first 4 s, want about 40, a tenth of the rate", admitted)
		}
	})
}

// Guards against a limit that was lowered while the collector has the earlier version.
func TestLowerRateAppliesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCounter()
		c.Apply([]Limit{{Account: "a", Share: 1, Room: 1000, Rate: 1000}}, c.clock())
		lowered := &target.Account{Name: "a", Rate: 10, Burst: 10}
		admitted := 0
		for range 500 {
			if _, _, ok := c.Admit(lowered); ok {
				admitted++
			}
			time.Sleep(time.Millisecond)
		}
		if admitted > 25 {
			t.Errorf("%d requests admitted in 0.5 s, want at most 25 at a rate of 10 with a burst of 10", admitted)
		}
	})
}

func BenchmarkAdmit(b *testing.B) {
	start := time.Now()
	c := NewCounter(window, func() time.Duration { return time.Since(start) })
	c.Apply([]Limit{{Account: "a", Share: 0.5, Room: 100, Rate: 1e9}}, time.Hour)
	a := &target.Account{Name: "a", Rate: 1e9, Burst: 1e9}
	b.ReportAllocs()
	for b.Loop() {
		if refund, _, ok := c.Admit(a); ok {
			refund()
		}
	}
}
