package proxy_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/retry"
)

// load makes calls at fixed times, one every interval, and returns their sorted durations
// and the number of attempts.
func (h *hedged) load(calls int, interval time.Duration) (durations []time.Duration, failed int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range calls {
		wg.Go(func() {
			start := time.Now()
			_, err := h.Call(context.Background(), newHedgedRequest())
			mu.Lock()
			defer mu.Unlock()
			durations = append(durations, time.Since(start))
			if err != nil {
				failed++
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	slices.Sort(durations)
	return durations, failed
}

// One of 30 servers is ten times slower than the others. Guards against hedging that does
// not help callers, or that costs the servers more than the share that was set.
func TestHedgingLowersTailBesideSlowServer(t *testing.T) {
	const calls, share = 6000, 0.08
	p99 := map[float64]time.Duration{}
	for _, s := range []float64{0, share} {
		synctest.Test(t, func(t *testing.T) {
			h := newHedged(t, 30, s, retry.DefaultLimits())
			h.learn(t)
			random := rand.New(rand.NewPCG(1, 2))
			h.reply = func(_ int, address string) reply {
				d := 15*time.Millisecond + time.Duration(random.Int64N(int64(10*time.Millisecond)))
				if address == "lookup-7" {
					d *= 10
				}
				return reply{after: d, status: 200}
			}
			h.load(calls/4, 2*time.Millisecond)
			time.Sleep(time.Second)
			h.attempts = nil
			durations, failed := h.load(calls, 2*time.Millisecond)
			h.checkEnded(t)
			p99[s] = durations[calls*99/100]
			t.Logf("share %g: p50 %s, p99 %s, %d attempts, %d copies, %d won", s, durations[calls/2], p99[s], len(h.attempts), h.hedger.Sent(), h.hedger.Won())
			if limit := calls + share*calls + retry.BudgetBurst; float64(len(h.attempts)) > limit || failed > 0 {
				t.Errorf("%d attempts, want at most %.0f; %d calls failed", len(h.attempts), limit, failed)
			}
		})
	}
	if p99[share] > p99[0]/2 {
		t.Errorf("p99 %s with hedging and %s without, want at most half", p99[share], p99[0])
	}
}

// Guards against copies that add to an overload: servers refuse a part of the calls.
func TestNoCopiesWhileServersRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHedged(t, 10, 0.2, retry.DefaultLimits())
		h.learn(t)
		random := rand.New(rand.NewPCG(1, 2))
		h.reply = func(n int, _ string) reply {
			switch {
			case n == 1 || random.Float64() < 0.2:
				return refuses
			case random.Float64() < 0.3:
				return reply{after: 200 * time.Millisecond, status: 200}
			}
			return reply{after: 20 * time.Millisecond, status: 200}
		}
		h.load(3000, 2*time.Millisecond)
		h.checkEnded(t)
		if h.hedger.Sent() != 0 {
			t.Errorf("%d copies sent, want none while servers refuse calls", h.hedger.Sent())
		}
	})
}

// Guards against copies beyond the hedge budget or the retry budget when all calls have
// become slow.
func TestCopiesEndWithTheirBudget(t *testing.T) {
	limits := func(share, burst float64) retry.Limits {
		return retry.Limits{Share: func() float64 { return share }, Burst: func() float64 { return burst }}
	}
	const calls = 1000
	for _, c := range []struct {
		name   string
		share  float64
		limits retry.Limits
		most   float64
	}{
		{"hedge budget", 0.05, limits(1, 1000), 0.05*(calls+learnCalls) + 2},
		{"retry budget", 1, limits(0.03, 4), 0.03*(calls+learnCalls) + 4},
		{"no retry budget", 1, limits(0.001, 0.5), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHedged(t, 10, c.share, c.limits)
				h.learn(t)
				h.reply = func(int, string) reply { return reply{after: 100 * time.Millisecond, status: 200} }
				h.load(calls, time.Millisecond)
				h.checkEnded(t)
				if sent := float64(h.hedger.Sent()); sent > c.most || (c.most > 0 && sent == 0) {
					t.Errorf("%.0f copies of %d calls, want some up to %.0f", sent, calls, c.most)
				}
			})
		})
	}
}

// instantServers answer at once.
type instantServers struct{ answer call.Answer }

func (s *instantServers) Forward(context.Context, string, *call.Request) (*call.Answer, error) {
	return &s.answer, nil
}

// callInstantly makes one call to servers that answer at once.
func (h *hedged) callInstantly(t testing.TB) func() {
	h.Remote = &instantServers{call.Answer{Status: 200}}
	r, class := newHedgedRequest(), newHedgedRequest().Class
	return func() {
		*r = call.Request{Service: "lookup", Class: class, ClassName: "search"}
		if _, err := h.Call(context.Background(), r); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a cost of hedging for those who do not ask for it.
func TestHedgingSwitchedOffAllocatesNothing(t *testing.T) {
	off := newHedged(t, 5, 0, retry.DefaultLimits())
	none := newHedged(t, 5, 0, retry.DefaultLimits())
	none.Hedges = nil
	got, want := testing.AllocsPerRun(1000, off.callInstantly(t)), testing.AllocsPerRun(1000, none.callInstantly(t))
	if got != want {
		t.Errorf("%g allocations a call with a share of 0, want %g as without hedging", got, want)
	}
}

// BenchmarkCall makes calls without hedging, with it switched off and with it on; none is
// slow enough for a copy.
func BenchmarkCall(b *testing.B) {
	for _, c := range []struct {
		name  string
		share float64
	}{{"none", -1}, {"off", 0}, {"on", 0.05}} {
		b.Run(c.name, func(b *testing.B) {
			h := newHedged(b, 5, c.share, retry.DefaultLimits())
			if c.share < 0 {
				h.Hedges = nil
			}
			if c.share > 0 {
				h.learn(b)
			}
			makeCall := h.callInstantly(b)
			b.ReportAllocs()
			for b.Loop() {
				makeCall()
			}
		})
	}
}
