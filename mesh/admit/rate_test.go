package admit

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/target"
)

// load is an open-loop load on a gate.
type load struct {
	class       *target.Class
	perSecond   float64
	serviceTime time.Duration
	duration    time.Duration
}

// result is what a gate did with a load.
type result struct {
	admitted []time.Time
	refused  int
	// longestRefusal is the longest time after which a call was refused.
	longestRefusal time.Duration
}

// run sends the load and returns what became of it. Each call that ends passes the
// condition to the gate.
func (l *load) run(g *Gate, condition call.Condition) *result {
	r := &result{}
	random := rand.New(rand.NewPCG(1, 0))
	var mu sync.Mutex
	var calls sync.WaitGroup
	for end := time.Now().Add(l.duration); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second)))
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), l.class.Timeout)
			defer cancel()
			arrived := time.Now()
			leave, err := g.Enter(ctx, request(l.class, "a"))
			mu.Lock()
			if err != nil {
				r.refused++
				r.longestRefusal = max(r.longestRefusal, time.Since(arrived))
			} else {
				r.admitted = append(r.admitted, time.Now())
			}
			mu.Unlock()
			if err == nil {
				time.Sleep(l.serviceTime)
				g.ObserveCondition(condition)
				leave(nil)
			}
		})
	}
	calls.Wait()
	return r
}

// busiest returns the greatest number of admissions within a window.
func busiest(admitted []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i := range admitted {
		for admitted[i].Sub(admitted[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func TestGateSendsNoMoreThanNamedRateInAnyWindow(t *testing.T) {
	for _, perSecond := range []float64{0, 0.3, 8, 30.5} {
		synctest.Test(t, func(t *testing.T) {
			g := warmGate(12)
			condition := call.Condition{RateLimited: true, RateLimit: perSecond}
			g.ObserveCondition(condition)
			l := load{class: search, perSecond: 120, serviceTime: searchServiceTime, duration: 30 * time.Second}
			r := l.run(g, condition)
			for _, window := range []time.Duration{time.Second, 4 * time.Second} {
				rate := max(perSecond, minRate)
				want := int(rate*window.Seconds()+max(rate*rateBurst.Seconds(), 1)) + 1
				if got := busiest(r.admitted, window); got > want {
					t.Errorf("limit %g: %d admitted in %s, want at most %d", perSecond, got, window, want)
				}
			}
			if want := int(0.9 * perSecond * l.duration.Seconds()); len(r.admitted) < want {
				t.Errorf("limit %g: %d admitted of %s of overload, want at least %d", perSecond, len(r.admitted), l.duration, want)
			}
		})
	}
}

func TestGateRefusesAtOnceWhatRateLimitCannotServeInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warmGate(12)
		condition := call.Condition{RateLimited: true, RateLimit: 2}
		g.ObserveCondition(condition)
		l := load{class: search, perSecond: 100, serviceTime: searchServiceTime, duration: 10 * time.Second}
		r := l.run(g, condition)
		if r.refused < 900 {
			t.Fatalf("%d calls refused, want at least 900", r.refused)
		}
		if want := search.Latency / 4; r.longestRefusal > want {
			t.Errorf("a call was refused after %s, want at most %s", r.longestRefusal, want)
		}
	})
}

func TestGateServesUrgentClassFirstAtRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warmGate(12)
		condition := call.Condition{RateLimited: true, RateLimit: 20}
		g.ObserveCondition(condition)
		// Below its guaranteed share, which is 10 a second.
		urgent := load{class: search, perSecond: 8, serviceTime: searchServiceTime, duration: 20 * time.Second}
		other := load{class: submission, perSecond: 60, serviceTime: submissionServiceTime, duration: 20 * time.Second}
		var searches *result
		var tasks sync.WaitGroup
		tasks.Go(func() { searches = urgent.run(g, condition) })
		tasks.Go(func() { other.run(g, condition) })
		tasks.Wait()
		if served := len(searches.admitted); served < 9*searches.refused {
			t.Errorf("%d searches admitted and %d refused beside a flood of a less urgent class, want nine in ten admitted", served, searches.refused)
		}
	})
}

func TestGateLiftsRateLimitThatIsNoLongerNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warmGate(12)
		g.ObserveCondition(call.Condition{RateLimited: true, RateLimit: 5})
		g.ObserveCondition(call.Condition{})
		if g.RateLimit() == 0 {
			t.Error("an answer that was under way when the limit was named lifts it")
		}
		time.Sleep(rateLimitHold + time.Millisecond)
		if g.RateLimit() == 0 {
			t.Error("limit lifted without an answer")
		}
		g.ObserveCondition(call.Condition{})
		if limit := g.RateLimit(); limit != 0 {
			t.Errorf("limit %g after an answer that names none, want no limit", limit)
		}
	})
}

func TestGateQueuedCallsRunAfterRateLimitIsLifted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warmGate(12)
		patient := &target.Class{Name: "patient", Rank: 1, Latency: 10 * time.Second, Timeout: 10 * time.Second}
		g.ObserveCondition(call.Condition{RateLimited: true, RateLimit: 1})
		admitted := make(chan struct{}, 2)
		for range 2 {
			go func() {
				if leave, err := g.Enter(context.Background(), request(patient, "a")); err == nil {
					admitted <- struct{}{}
					leave(nil)
				}
			}()
		}
		time.Sleep(rateLimitHold + 100*time.Millisecond)
		g.ObserveCondition(call.Condition{})
		synctest.Wait()
		if len(admitted) != 2 {
			t.Errorf("%d of 2 queued calls admitted once the limit was lifted", len(admitted))
		}
	})
}

func TestRestartedDaemonKeepsToLowRateLimitFromFirstAnswerOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond, window = 1.0, 4 * time.Second
		g := NewFixedGate()
		g.SetSlots(12)
		l := load{class: submission, perSecond: 50, serviceTime: 200 * time.Millisecond, duration: 10 * time.Second}
		r := l.run(g, call.Condition{RateLimited: true, RateLimit: perSecond})
		// The daemon before the restart may have sent what the limit allows.
		want := int(1.5*perSecond*window.Seconds()) + 5 - int(perSecond*window.Seconds())
		if got := busiest(r.admitted, window); got > want {
			t.Errorf("%d calls admitted in %s at a limit of %g a second, want at most %d", got, window, perSecond, want)
		}
	})
}

// Calls that come while the first ones run wait for them instead of being refused.
func TestFixedGateRefusesNoCallBeforeFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewFixedGate()
		g.SetSlots(18)
		l := load{class: submission, perSecond: 180, serviceTime: submissionServiceTime, duration: 100 * time.Millisecond}
		if r := l.run(g, call.Condition{}); len(r.admitted) < 18 {
			t.Errorf("%d of 18 calls admitted in the first 100 ms, want all", len(r.admitted))
		}
	})
}

// Calls sent before a limit was named count against it.
func TestFullyOpenedGateKeepsToRateLimitAfterFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, perSecond, window = 12, 6.0, 4 * time.Second
		g := NewFixedGate()
		g.SetSlots(slots)
		g.OpenFully()
		l := load{class: submission, perSecond: 50, serviceTime: 200 * time.Millisecond, duration: 10 * time.Second}
		r := l.run(g, call.Condition{RateLimited: true, RateLimit: perSecond})
		if got, want := busiest(r.admitted, window), int(perSecond*window.Seconds())+2; got > want {
			t.Errorf("%d calls admitted in %s at a limit of %g a second, want at most %d", got, window, perSecond, want)
		}
	})
}

func TestFixedGateFillsItsSlotsAfterFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewFixedGate()
		g.SetSlots(12)
		l := load{class: submission, perSecond: 500, serviceTime: submissionServiceTime, duration: time.Second}
		r := l.run(g, call.Condition{})
		if want := int(0.9 * 12 * l.duration.Seconds() / submissionServiceTime.Seconds()); len(r.admitted) < want {
			t.Errorf("%d calls admitted in %s, want at least %d", len(r.admitted), l.duration, want)
		}
	})
}
