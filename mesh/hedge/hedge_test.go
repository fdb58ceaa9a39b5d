package hedge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/retry"
	"fescuehoist.example/mesh/route"
	"fescuehoist.example/mesh/target"
)

// surroundings are what a Hedger asks, with a budget of retries and one other server.
type surroundings struct {
	share   float64
	retries int
	suspect bool
	full    bool
	picked  []route.Query
}

func (s *surroundings) Withdraw(*call.Request) bool {
	if s.retries == 0 {
		return false
	}
	s.retries--
	return true
}

func (s *surroundings) Refund(*call.Request)         { s.retries++ }
func (s *surroundings) IsSuspect(*call.Request) bool { return s.suspect }
func (s *surroundings) hedger() *Hedger {
	return New(Config{Share: func() float64 { return s.share }, Retries: s, Suspects: s, Servers: s})
}

func (s *surroundings) Pick(_ *route.Service, q route.Query) *member.Record {
	s.picked = append(s.picked, q)
	if s.full {
		return nil
	}
	return &member.Record{Server: "lookup-2"}
}

func newRequest() *call.Request {
	return &call.Request{Service: "lookup", ClassName: "search", Attempt: 1, Class: &target.Class{Name: "search", Idempotent: true}}
}

// observe plans and measures calls that take 1 ms to n ms, and waits until their quantiles
// are used.
func observe(h *Hedger, n int) {
	for i := range n {
		h.Plan(newRequest(), time.Minute)
		h.Observe(newRequest(), time.Duration(i+1)*time.Millisecond)
	}
	time.Sleep(quantilePeriod)
}

// choose plans a call and reports whether a copy of it is sent.
func choose(h *Hedger, r *call.Request, left time.Duration) bool {
	return h.Plan(r, left).Delay > 0 && h.Choose(r, &route.Service{}, route.Query{Class: r.ClassName}, "lookup-1") != nil
}

// Guards against copies of requests that must not be sent twice, or that would add load
// where there is no room for it.
func TestNoCopyWhereThereIsAnObstacle(t *testing.T) {
	for _, c := range []struct {
		name   string
		want   Obstacle
		change func(h *Hedger, s *surroundings, r *call.Request, left *time.Duration)
	}{
		{"none", "", func(*Hedger, *surroundings, *call.Request, *time.Duration) {}},
		{"off", Off, func(_ *Hedger, s *surroundings, _ *call.Request, _ *time.Duration) { s.share = 0 }},
		{"not idempotent", NotIdempotent, func(_ *Hedger, _ *surroundings, r *call.Request, _ *time.Duration) { r.Class.Idempotent = false }},
		{"large body", LargeBody, func(_ *Hedger, _ *surroundings, r *call.Request, _ *time.Duration) {
			r.Body = make([]byte, MaxBodySize+1)
		}},
		{"one server", OneServer, func(_ *Hedger, _ *surroundings, r *call.Request, _ *time.Duration) { r.Class.Attempts = 1 }},
		{"suspect of this call", Suspect, func(_ *Hedger, _ *surroundings, r *call.Request, _ *time.Duration) { r.Suspect = true }},
		{"suspect of the quarantine", Suspect, func(_ *Hedger, s *surroundings, _ *call.Request, _ *time.Duration) { s.suspect = true }},
		{"refusals", ServiceRefuses, func(h *Hedger, _ *surroundings, r *call.Request, _ *time.Duration) { h.ObserveRefusal(r.Service) }},
		{"deadline", NotEnoughTime, func(_ *Hedger, _ *surroundings, _ *call.Request, left *time.Duration) { *left = 120 * time.Millisecond }},
		{"class without calls", TooFewCalls, func(_ *Hedger, _ *surroundings, r *call.Request, _ *time.Duration) { r.ClassName = "rare" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &surroundings{share: 0.1, retries: 5}
				h, r, left := s.hedger(), newRequest(), time.Minute
				observe(h, 100)
				c.change(h, s, r, &left)
				if _, got := h.Explain(r, left); got != c.want {
					t.Errorf("explained by %q, want %q", got, c.want)
				}
				if got := choose(h, r, left); got != (c.want == "") {
					t.Errorf("copy sent: %t, want %t", got, c.want == "")
				}
			})
		})
	}
}

// A refusal while the first attempt runs must count, too.
func TestNoCopyAfterRefusalDuringFirstAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &surroundings{share: 0.1, retries: 5}
		h, r := s.hedger(), newRequest()
		observe(h, 100)
		if h.Plan(r, time.Minute).Delay == 0 {
			t.Fatal("no copy planned")
		}
		h.ObserveRefusal(r.Service)
		if h.Choose(r, &route.Service{}, route.Query{}, "lookup-1") != nil {
			t.Error("copy sent to a service that refuses calls")
		}
		time.Sleep(RefusalMemory)
		if !choose(h, r, time.Minute) {
			t.Error("no copy after the refusal was forgotten")
		}
	})
}

// Guards against tokens that are lost, or spent twice, where no copy is sent.
func TestChooseTakesOneTokenOfEachBudgetOrNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &surroundings{share: 0.1, retries: 1, full: true}
		h, r := s.hedger(), newRequest()
		observe(h, 100)
		for range 10 {
			if choose(h, r, time.Minute) || s.retries != 1 {
				t.Fatalf("copy sent without a free server, or %d retries left, want 1", s.retries)
			}
		}
		s.full = false
		if !choose(h, r, time.Minute) || s.retries != 0 {
			t.Fatalf("no copy sent to a free server, or %d retries left, want 0", s.retries)
		}
		if q := s.picked[len(s.picked)-1]; !q.NeedCapacity || len(q.Tried) != 1 || q.Tried[0] != "lookup-1" {
			t.Errorf("query %+v, want another server with a free slot", q)
		}
		if choose(h, r, time.Minute) {
			t.Error("copy sent without a retry in the budget")
		}
		h.End(r, false, false)
		if s.retries != 1 {
			t.Errorf("%d retries left after a copy that reached no server, want 1", s.retries)
		}
		if !choose(h, r, time.Minute) {
			t.Error("hedge budget charged for copies that were not sent")
		}
		h.End(r, true, true)
		if s.retries != 0 || h.Sent() != 2 || h.Won() != 1 {
			t.Errorf("%d retries left, %d copies sent, %d won; want 0, 2, 1", s.retries, h.Sent(), h.Won())
		}
	})
}

// Guards against more copies than the share of first attempts, when all calls are slow.
func TestCopiesBoundedByShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, share := range []float64{0.01, 0.05, 0.3} {
			s := &surroundings{share: share, retries: 1 << 20}
			h := s.hedger()
			observe(h, 100)
			const calls = 5000
			for range calls {
				choose(h, newRequest(), time.Minute)
			}
			got, limit := float64(h.Sent()), budgetBurst+share*(calls+100)
			if got > limit || got < 0.9*limit-budgetBurst {
				t.Errorf("share %g: %.0f copies of %d calls, want about %.0f and no more", share, got, calls, limit)
			}
		}
	})
}

// Guards against a delay that follows calls of long ago, or is taken from too few.
func TestDelayIsQuantileOfTheLastMinute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &surroundings{share: 0.1, retries: 5}
		h := s.hedger()
		delay := func() time.Duration {
			return h.Plan(newRequest(), time.Minute).Delay
		}
		observe(h, minCalls-1)
		if got := delay(); got != 0 {
			t.Errorf("delay %s after %d calls, want none", got, minCalls-1)
		}
		observe(h, 100)
		if got := delay(); got < 80*time.Millisecond || got > 100*time.Millisecond {
			t.Errorf("delay %s, want about 90ms, the 0.9 quantile", got)
		}
		time.Sleep(window)
		if got := delay(); got != 0 {
			t.Errorf("delay %s from calls of more than a minute ago, want none", got)
		}
		for range 100 {
			h.Plan(newRequest(), time.Minute)
			h.Observe(newRequest(), time.Millisecond)
		}
		time.Sleep(quantilePeriod)
		if got := delay(); got != MinDelay {
			t.Errorf("delay %s for calls of 1 ms, want MinDelay", got)
		}
	})
}

// Guards against state that grows with the names of classes and services.
func TestStateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &surroundings{share: 0.1, retries: 5}
		h := s.hedger()
		for round := range 3 {
			for i := range 2 * maxServices {
				r := newRequest()
				r.Service = fmt.Sprint(round, "-", i)
				h.Plan(r, time.Minute)
				h.ObserveRefusal(r.Service)
				if i%maxServices == maxServices-1 {
					time.Sleep(RefusalMemory)
				}
			}
			if len(h.classes) != maxClasses || len(h.refused) > maxServices {
				t.Errorf("%d classes and %d services kept, want %d and at most %d", len(h.classes), len(h.refused), maxClasses, maxServices)
			}
			time.Sleep(window)
		}
	})
}

// Copies and retries draw on one budget, so that second arrivals at a service stay a share
// of first ones whatever fails and however slow servers are.
func TestCopiesAndRetriesTogetherStayWithinRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const share, burst, calls = 0.09, 10.0, 5000
		random := rand.New(rand.NewPCG(1, 2))
		policy := retry.NewPolicyWithLimits(retry.Limits{Share: func() float64 { return share }, Burst: func() float64 { return burst }})
		s := &surroundings{share: 0.5}
		h := New(Config{Share: func() float64 { return s.share }, Retries: policy, Suspects: s, Servers: s})
		observe(h, 100)
		second := 0
		for range calls {
			r := newRequest()
			policy.Deposit(r)
			if random.Float64() < 0.3 && choose(h, r, time.Minute) {
				second++
				h.End(r, true, random.Float64() < 0.5)
			}
			if random.Float64() < 0.3 && policy.Decide(r, &call.Failure{Verdict: call.Ran, Reason: call.Failed}).Retry {
				second++
			}
		}
		if limit := burst + share*calls; float64(second) > limit || h.Sent() == 0 {
			t.Errorf("%d second arrivals (%d copies) for %d calls, want copies among them and at most %.0f", second, h.Sent(), calls, limit)
		}
	})
}

func BenchmarkPlan(b *testing.B) {
	for name, share := range map[string]float64{"off": 0, "on": 0.05} {
		b.Run(name, func(b *testing.B) {
			s := &surroundings{share: share}
			h, r := s.hedger(), newRequest()
			observe(h, 100)
			b.ReportAllocs()
			for b.Loop() {
				if h.Plan(r, time.Minute).Measure {
					h.Observe(r, 20*time.Millisecond)
				}
			}
		})
	}
}
