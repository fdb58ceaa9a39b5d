package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/hedge"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/manifest/manifesttest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/proxy"
	"fescuehoist.example/mesh/retry"
	"fescuehoist.example/mesh/route"
)

// reply is what a simulated server does with one request.
type reply struct {
	after  time.Duration
	status int
	// err, if not nil, takes the place of the answer.
	err *call.Failure
	// deaf means that the server's daemon does not notice a cancellation.
	deaf bool
}

// servers simulates the backend servers of a service and the way to them.
type servers struct {
	// reply returns what the n-th attempt of all calls, counted from 1, comes to.
	reply func(n int, address string) reply

	mu       sync.Mutex
	attempts []string
	// outcomes holds the failures of the attempts in the order of their ends; an answer
	// counts as one that has run.
	outcomes []*call.Failure
	running  int
	canceled int
}

func (s *servers) Forward(ctx context.Context, address string, _ *call.Request) (*call.Answer, error) {
	answer, err := s.forward(ctx, address)
	f := &call.Failure{Verdict: call.Ran}
	if err != nil {
		errors.As(err, &f)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, f)
	return answer, err
}

func (s *servers) forward(ctx context.Context, address string) (*call.Answer, error) {
	s.mu.Lock()
	s.attempts = append(s.attempts, address)
	s.running++
	r := s.reply(len(s.attempts), address)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
	}()
	done := ctx.Done()
	if r.deaf {
		done = nil
	}
	select {
	case <-time.After(r.after):
	case <-done:
		s.mu.Lock()
		s.canceled++
		s.mu.Unlock()
		return nil, &call.Failure{Verdict: call.MayHaveRun, Reason: call.ReasonOf(ctx, call.Cut), Err: ctx.Err()}
	}
	if r.err != nil {
		return nil, r.err
	}
	return &call.Answer{Status: r.status, Body: []byte(address)}, nil
}

// countingPicker checks that each call counted at a server is ended once.
type countingPicker struct {
	*route.Picker
	mu       sync.Mutex
	inflight int
}

func (p *countingPicker) Pick(s *route.Service, q route.Query) *member.Record {
	r := p.Picker.Pick(s, q)
	if r != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.inflight++
	}
	return r
}

func (p *countingPicker) Done(server member.ServerID, o route.Outcome) {
	p.mu.Lock()
	p.inflight--
	p.mu.Unlock()
	p.Picker.Done(server, o)
}

// hedged is an Outbound whose calls are hedged, with its surroundings.
type hedged struct {
	*proxy.Outbound
	*servers
	picker  *countingPicker
	hedger  *hedge.Hedger
	share   float64
	suspect bool
}

func (h *hedged) IsSuspect(*call.Request) bool { return h.suspect }

// newHedged returns an Outbound that knows a number of servers and hedges a share of calls.
func newHedged(t testing.TB, count int, share float64, limits retry.Limits) *hedged {
	t.Helper()
	table := member.NewTable("entry")
	for i := range count {
		id := fmt.Sprintf("lookup-%d", i+1)
		table.Merge([]member.Record{{
			Server: member.ServerID(id), Incarnation: 1, State: member.Ready, Domain: "a", Service: "lookup", CallAddress: id, Instance: "i-" + id, Slots: 100,
		}})
	}
	configs := manifest.NewStore()
	history := manifesttest.NewHistory("edit")
	history.Edit(manifesttest.Service("lookup", time.Second))
	if _, err := configs.ApplyUpdate(history.Delta(0, 1)); err != nil {
		t.Fatal(err)
	}
	h := &hedged{share: share, servers: &servers{}, picker: &countingPicker{Picker: route.NewPicker("a", nil)}}
	retries := retry.NewPolicyWithLimits(limits)
	h.hedger = hedge.New(hedge.Config{Share: func() float64 { return h.share }, Retries: retries, Suspects: h, Servers: h.picker})
	h.Outbound = &proxy.Outbound{
		Self: "entry", Routes: route.NewRouter(configs, table), Picker: h.picker, Unreachable: route.NewUnreachableServers(permitAll{}),
		Retries: retries, Throttle: permitAll{}, Hedges: h.hedger, Remote: h.servers, Observer: permitAll{},
	}
	return h
}

func newHedgedRequest() *call.Request {
	r := newSearchRequest()
	r.ClassName, r.Class.Latency = "search", 100*time.Millisecond
	return r
}

// learnCalls is the number of calls that learn makes, more than hedge needs.
const learnCalls = 40

// learn makes calls of 20 ms, so that their durations are known.
func (h *hedged) learn(t testing.TB) {
	t.Helper()
	h.reply = func(int, string) reply { return reply{after: 20 * time.Millisecond, status: 200} }
	for range learnCalls {
		if _, err := h.Call(context.Background(), newHedgedRequest()); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(time.Second)
	h.attempts = nil
}

// checkEnded checks that nothing goes on after a call has ended.
func (h *hedged) checkEnded(t *testing.T) {
	t.Helper()
	if h.running != 0 || h.picker.inflight != 0 {
		t.Errorf("%d attempts still run, %d are counted as in flight; want 0", h.running, h.picker.inflight)
	}
}

var (
	slow    = reply{after: time.Second, status: 200}
	fast    = reply{after: 10 * time.Millisecond, status: 200}
	failing = reply{after: 5 * time.Millisecond, status: 500}
	refuses = reply{after: time.Millisecond, err: call.Refuse(call.Overloaded, nil)}
	crashes = reply{after: 5 * time.Millisecond, err: &call.Failure{Verdict: call.MayHaveRun, Reason: call.Crashed}}
	cut     = reply{after: 5 * time.Millisecond, err: &call.Failure{Verdict: call.MayHaveRun, Reason: call.Cut}}
	// failsLate fails after the copy of the call was sent.
	failsLate   = reply{after: 40 * time.Millisecond, err: &call.Failure{Verdict: call.MayHaveRun, Reason: call.Cut}}
	crashesLate = reply{after: 40 * time.Millisecond, err: &call.Failure{Verdict: call.MayHaveRun, Reason: call.Crashed}}
	refusesLate = reply{after: 40 * time.Millisecond, err: call.Refuse(call.Overloaded, nil)}
)

// Guards against a wrong outcome, count or server of a call of which two attempts ran at
// once, whichever of them ends first and however.
func TestOutcomeOfCallWithCopy(t *testing.T) {
	for _, c := range []struct {
		name string
		// replies are those of the first attempt, of the copy and of a retry.
		replies []reply
		// wantAnswer is the number of the attempt whose answer is returned, 0 if the call
		// fails with want.
		wantAnswer int
		wantStatus int
		want       call.Failure
		// last is the number of the attempt that ended last, if the call fails.
		last     int
		attempts int
		reached  int
		canceled int
	}{
		{name: "copy is faster", replies: []reply{slow, fast}, wantAnswer: 2, attempts: 2, reached: 2, canceled: 1},
		{name: "first attempt is faster", replies: []reply{{after: 25 * time.Millisecond, status: 200}, slow}, wantAnswer: 1, attempts: 2, reached: 2, canceled: 1},
		{name: "first attempt's answer arrives later", replies: []reply{{after: 50 * time.Millisecond, status: 200, deaf: true}, fast}, wantAnswer: 2, attempts: 2, reached: 2},
		{name: "copy's answer arrives later", replies: []reply{{after: 25 * time.Millisecond, status: 200}, {after: 50 * time.Millisecond, status: 200, deaf: true}}, wantAnswer: 1, attempts: 2, reached: 2},
		{name: "copy refused", replies: []reply{slow, refuses}, wantAnswer: 1, attempts: 2, reached: 1},
		{name: "copy cut", replies: []reply{slow, cut}, wantAnswer: 1, attempts: 2, reached: 2},
		{name: "copy fails", replies: []reply{slow, failing}, wantAnswer: 1, attempts: 2, reached: 2},
		{name: "copy crashes its server", replies: []reply{slow, crashes}, wantAnswer: 1, attempts: 2, reached: 2},
		{name: "first attempt cut, copy answers", replies: []reply{failsLate, {after: 50 * time.Millisecond, status: 200}}, wantAnswer: 2, attempts: 2, reached: 2},
		{name: "copy answers with a final error", replies: []reply{slow, {after: time.Millisecond, status: 504}}, wantAnswer: 2, wantStatus: 504, attempts: 2, reached: 2, canceled: 1},
		{name: "both fail, retry answers", replies: []reply{failsLate, cut, fast}, wantAnswer: 3, attempts: 3, reached: 3},
		{name: "both fail, retry fails", replies: []reply{failsLate, cut, cut}, want: call.Failure{Verdict: call.MayHaveRun, Reason: call.Cut}, last: 3, attempts: 3, reached: 3},
		{name: "copy answers with an error, others are cut", replies: []reply{failsLate, failing, cut}, wantAnswer: 2, wantStatus: 500, attempts: 3, reached: 3},
		{name: "copy cut, first attempt refused", replies: []reply{refusesLate, cut, refuses}, want: call.Failure{Verdict: call.MayHaveRun, Reason: call.Cut}, last: 3, attempts: 3, reached: 1},
		{name: "copy refused, then first attempt", replies: []reply{refusesLate, refuses}, want: call.Failure{Verdict: call.NotRun, Reason: call.Overloaded}, last: 1, attempts: 2},
		{name: "first attempt refused, then copy", replies: []reply{refusesLate, refusesLate}, want: call.Failure{Verdict: call.NotRun, Reason: call.Overloaded}, last: 2, attempts: 2},
		{name: "both crash their servers", replies: []reply{crashesLate, crashes}, want: call.Failure{Verdict: call.MayHaveRun, Reason: call.Crashed}, last: 1, attempts: 2, reached: 2},
		{name: "no copy before the first failure", replies: []reply{cut, fast}, wantAnswer: 2, attempts: 2, reached: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHedged(t, 5, 0.2, retry.DefaultLimits())
				h.learn(t)
				h.reply = func(n int, _ string) reply { return c.replies[n-1] }
				r := newHedgedRequest()
				answer, err := h.Call(context.Background(), r)
				h.checkEnded(t)
				if len(h.attempts) != c.attempts || r.Attempt != c.attempts || r.Reached != c.reached || h.canceled != c.canceled {
					t.Errorf("%d attempts, counted %d, reached %d, canceled %d; want %d, %d, %d", len(h.attempts), r.Attempt, r.Reached, h.canceled, c.attempts, c.reached, c.canceled)
				}
				if unique := slices.Compact(slices.Sorted(slices.Values(h.attempts))); len(unique) != len(h.attempts) {
					t.Errorf("attempts at %v, want different servers", h.attempts)
				}
				if c.wantAnswer == 0 {
					var f *call.Failure
					if !errors.As(err, &f) || f.Verdict != c.want.Verdict || f.Reason != c.want.Reason {
						t.Errorf("got %v, want %v", err, &c.want)
					}
					if r.Server != h.attempts[c.last-1] {
						t.Errorf("call log names %s, want %s, where the last attempt ended", r.Server, h.attempts[c.last-1])
					}
					return
				}
				if err != nil {
					t.Fatal(err)
				}
				server := h.attempts[c.wantAnswer-1]
				if string(answer.Body) != server || (c.wantStatus > 0 && answer.Status != c.wantStatus) {
					t.Errorf("status %d of %s, want the answer of %s", answer.Status, answer.Body, server)
				}
				if answer.Status == 200 && (r.Server != server || r.Instance != "i-"+server) {
					t.Errorf("call log names %s, %s; want %s", r.Server, r.Instance, server)
				}
				if fromCopy := c.wantAnswer == 2 && c.replies[0] != cut && c.wantStatus != 500; r.FromCopy != fromCopy {
					t.Errorf("answered by the copy: %t, want %t", r.FromCopy, fromCopy)
				}
			})
		})
	}
}

// Guards against a verdict, count or answer that does not follow from the attempts, for
// random outcomes and times of attempts of which two may run at once.
func TestRandomOutcomesOfCallsWithCopies(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	kinds := []reply{slow, fast, failing, refuses, crashes, cut,
		{err: call.Refuse(call.Unreachable, nil)}, {err: call.Refuse(call.Draining, nil)}, {err: call.Refuse(call.Shed, nil)}, {status: 504},
		{err: &call.Failure{Verdict: call.MayHaveRun, Reason: call.Silent}}}
	copies := 0
	for range 400 {
		synctest.Test(t, func(t *testing.T) {
			h := newHedged(t, 12, 0.2, retry.DefaultLimits())
			h.learn(t)
			h.reply = func(int, string) reply {
				r := kinds[random.IntN(len(kinds))]
				r.after = time.Duration(random.Int64N(int64(60 * time.Millisecond)))
				r.deaf = random.IntN(8) == 0
				return r
			}
			h.outcomes = nil
			r := newHedgedRequest()
			r.Class.Timeout = 100 * time.Millisecond
			answer, err := h.Call(context.Background(), r)
			h.checkEnded(t)
			h.checkCounts(t, r)
			copies += int(h.hedger.Sent())
			if err == nil {
				if answer.Status == 200 && string(answer.Body) != r.Server {
					t.Errorf("answer of %s, call log names %s", answer.Body, r.Server)
				}
				return
			}
			var f *call.Failure
			if worst := worstVerdict(h.outcomes); !errors.As(err, &f) || f.Verdict != worst || r.FromCopy {
				t.Errorf("got %v, answered by the copy: %t; want verdict %s, the worst of %v, and no answer", err, r.FromCopy, worst, h.outcomes)
			}
		})
	}
	if copies < 100 {
		t.Errorf("%d of 400 calls had a copy, want at least 100 for the test to say something", copies)
	}
}

// checkCounts checks the counts of a request against the attempts that were made.
func (h *hedged) checkCounts(t *testing.T, r *call.Request) {
	t.Helper()
	reached, refused := 0, 0
	for _, f := range h.outcomes {
		if f.ReachedServer() {
			reached++
		}
		if f.NoCapacity() {
			refused++
		}
	}
	if r.Attempt != len(h.attempts) || r.Reached != reached || r.Refused != refused {
		t.Errorf("attempts %d, reached %d, refused %d; want %d, %d, %d", r.Attempt, r.Reached, r.Refused, len(h.attempts), reached, refused)
	}
	if reached > retry.MaxAttempts {
		t.Errorf("%d servers reached, want at most MaxAttempts", reached)
	}
}

func worstVerdict(outcomes []*call.Failure) call.Verdict {
	worst := call.NotRun
	for _, f := range outcomes {
		worst = max(worst, f.Verdict)
	}
	return worst
}

// Guards against copies of calls that must not be sent twice, while draining, or so late
// that the copy has no time left.
func TestNoCopyOfCallThatMayNotHaveOne(t *testing.T) {
	for name, change := range map[string]func(*hedged, *call.Request){
		"not idempotent":            func(_ *hedged, r *call.Request) { r.Class.Idempotent = false },
		"suspect of the quarantine": func(h *hedged, _ *call.Request) { h.suspect = true },
		"off, or draining":          func(h *hedged, _ *call.Request) { h.share = 0 },
		"large body":                func(_ *hedged, r *call.Request) { r.Body = make([]byte, 5<<10) },
		"one server for each call":  func(_ *hedged, r *call.Request) { r.Class.Attempts = 1 },
		"deadline too close":        func(_ *hedged, r *call.Request) { r.Class.Timeout = 35 * time.Millisecond },
		"no other server": func(h *hedged, _ *call.Request) {
			h.Routes = newHedged(t, 1, 0, retry.DefaultLimits()).Routes
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, r := newHedged(t, 5, 0.2, retry.DefaultLimits()), newHedgedRequest()
				h.learn(t)
				h.reply = func(int, string) reply { return slow }
				change(h, r)
				_, _ = h.Call(context.Background(), r)
				h.checkEnded(t)
				if len(h.attempts) != 1 || r.Attempt != 1 || h.hedger.Sent() != 0 {
					t.Errorf("%d attempts, want no copy", len(h.attempts))
				}
			})
		})
	}
}
