package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/target"
)

// tree is a service that calls another one, each with the policy of its callers. Answers
// of both are lost by chance.
type tree struct {
	outer, inner *Policy
	random       *rand.Rand
	loss         float64
	// innerCalls is the number of calls to the inner service for each run of a lookup.
	innerCalls int
	// requests counts the inner calls of first runs; repeats counts those of repeated
	// runs, and all retries of inner calls.
	requests, repeats int
}

// attempt makes one call with its retries. run is called for each attempt, and reports
// whether the backend server answered well.
func (s *tree) attempt(p *Policy, r *call.Request, run func() bool) bool {
	p.Deposit(r)
	for {
		r.Attempt++
		f := &call.Failure{Verdict: call.Ran, Reason: call.Failed}
		if run() {
			if s.random.Float64() >= s.loss {
				return true
			}
			f = &call.Failure{Verdict: call.MayHaveRun, Reason: call.Cut}
		}
		if !p.Decide(r, f).Retry {
			return false
		}
	}
}

// lookup is a call that may run twice and makes inner calls while it runs.
func (s *tree) lookup() {
	r := &call.Request{Service: "lookup", ClassName: "search", Class: &target.Class{Idempotent: true, Attempts: 2}}
	s.attempt(s.outer, r, func() bool {
		ok := true
		for range s.innerCalls {
			ok = s.fetch(r.Attempt > 1) && ok
		}
		return ok
	})
}

// fetch is a call to the inner service, from a run that may be a repeat.
func (s *tree) fetch(ofRepeat bool) bool {
	r := &call.Request{Service: "archive", ClassName: "fetch", Class: &target.Class{Idempotent: true, Attempts: 2}}
	return s.attempt(s.inner, r, func() bool {
		if ofRepeat || r.Attempt > 1 {
			s.repeats++
		} else {
			s.requests++
		}
		return true
	})
}

// submit is a call to the outer service that must not run twice and makes no inner calls.
func (s *tree) submit() {
	r := &call.Request{Service: "lookup", ClassName: "submit", Class: &target.Class{Attempts: 2}}
	s.attempt(s.outer, r, func() bool { return true })
}

// Guards against retries of one class that are paid for by another, and repeat more calls
// to a service below than its retry budget allows.
func TestRepeatedRunsAndRetriesStayWithinBudgetOfInnerService(t *testing.T) {
	const (
		ratio, share, burst = 0.2, 0.09, 10.0
		lookups             = 4000
	)
	limits := Limits{Share: func() float64 { return share }, Burst: func() float64 { return burst }}
	for _, loss := range []float64{0.05, 0.1, 0.2, 0.4, 0.6} {
		for innerCalls := 1; innerCalls <= 5; innerCalls++ {
			t.Run(fmt.Sprintf("loss %g, %d inner calls", loss, innerCalls), func(t *testing.T) {
				s := &tree{outer: NewPolicyWithLimits(limits), inner: NewPolicyWithLimits(limits), loss: loss, innerCalls: innerCalls, random: rand.New(rand.NewPCG(1, 2))}
				for range lookups {
					s.lookup()
					s.submit()
					s.submit()
				}
				allowed := ratio*float64(s.requests) + burst*float64(1+innerCalls)
				t.Logf("%d repeats for %d requests, allowed %.0f", s.repeats, s.requests, allowed)
				if float64(s.repeats) > allowed {
					t.Errorf("%d repeats for %d requests at the inner service, want at most %.0f", s.repeats, s.requests, allowed)
				}
			})
		}
	}
}
