package admit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/target"
)

var (
	search     = &target.Class{Name: "search", Rank: 1, Latency: 100 * time.Millisecond, GuaranteedShare: 0.5, Timeout: time.Second}
	submission = &target.Class{Name: "submission", Rank: 2, Latency: 500 * time.Millisecond, GuaranteedShare: 0.3, Timeout: 2 * time.Second}
	export     = &target.Class{Name: "export", Rank: 4, Latency: 2 * time.Second, Timeout: 5 * time.Second}
)

const searchServiceTime, submissionServiceTime = 40 * time.Millisecond, 60 * time.Millisecond

// warmGate returns a gate whose limit has reached its slots and whose service
// times are known.
func warmGate(slots int) *Gate {
	g := NewGate(slots)
	g.limit.limit, g.limit.slowStartDone = float64(slots), true
	for c, serviceTime := range map[*target.Class]time.Duration{search: searchServiceTime, submission: submissionServiceTime} {
		state := g.classes.get(c)
		state.serviceTime, state.unloadedTime = serviceTime, serviceTime
	}
	return g
}

func request(c *target.Class, client string) *call.Request {
	return &call.Request{Class: c, ClassName: c.Name, Client: client}
}

// refusal returns err as the failure of a call that did not run.
func refusal(t *testing.T, err error) *call.Failure {
	t.Helper()
	var f *call.Failure
	if !errors.As(err, &f) || f.Verdict != call.NotRun {
		t.Fatalf("got %v, want a failure with verdict NotRun", err)
	}
	return f
}

// arrival is one call of the property test.
type arrival struct {
	class                    *target.Class
	client                   string
	delay, duration, timeout time.Duration
}

func drawArrivals(rt *rapid.T) []arrival {
	drawMillis := func(label string, limit int) time.Duration {
		return time.Duration(rapid.IntRange(1, limit).Draw(rt, label)) * time.Millisecond
	}
	all := make([]arrival, rapid.IntRange(1, 60).Draw(rt, "calls"))
	for i := range all {
		all[i] = arrival{
			class:  rapid.SampledFrom([]*target.Class{search, submission, export}).Draw(rt, "class"),
			client: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "client"),
			delay:  drawMillis("delay", 100), duration: drawMillis("duration", 80), timeout: drawMillis("timeout", 300),
		}
	}
	return all
}

// TestGateAccountsForEveryCall makes random calls with timeouts and a drain: no
// more calls run than there are slots, each call is admitted or refused with
// the verdict NotRun, and none is left running or queued.
func TestGateAccountsForEveryCall(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(rt, "slots")
		drainAt := time.Duration(rapid.IntRange(1, 200).Draw(rt, "drain")) * time.Millisecond
		all := drawArrivals(rt)
		var problems []string
		synctest.Test(t, func(t *testing.T) { problems = runArrivals(slots, drainAt, all) })
		for _, p := range problems {
			rt.Error(p)
		}
	})
}

func runArrivals(slots int, drainAt time.Duration, all []arrival) (problems []string) {
	var mu sync.Mutex
	var tasks sync.WaitGroup
	running, ended := 0, 0
	report := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	g := NewGate(slots)
	for _, v := range all {
		tasks.Go(func() {
			time.Sleep(v.delay)
			ctx, cancel := context.WithTimeout(context.Background(), v.timeout)
			defer cancel()
			leave, err := g.Enter(ctx, request(v.class, v.client))
			mu.Lock()
			defer mu.Unlock()
			ended++
			if err != nil {
				var f *call.Failure
				if !errors.As(err, &f) || f.Verdict != call.NotRun {
					report("refused with %v, want a failure with verdict NotRun", err)
				}
				return
			}
			if running++; running > slots {
				report("%d calls running in %d slots", running, slots)
			}
			mu.Unlock()
			time.Sleep(v.duration)
			mu.Lock()
			running--
			leave(nil)
		})
	}
	time.Sleep(drainAt)
	if err := g.Drain(context.Background()); err != nil {
		report("drain failed: %v", err)
	}
	if load := g.Load(); load.Running+load.Queued > 0 {
		report("after the drain: %d running, %d queued, want none", load.Running, load.Queued)
	}
	tasks.Wait()
	if ended != len(all) {
		report("%d of %d calls returned from Enter", ended, len(all))
	}
	return problems
}

// offerCalls makes calls of a class at even intervals for a second and counts
// in ran how many ran. All have ended once tasks is done.
func offerCalls(g *Gate, c *target.Class, client string, perSecond int, serviceTime time.Duration, tasks *sync.WaitGroup, ran *int) {
	var mu sync.Mutex
	for i := range perSecond {
		tasks.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(perSecond))
			leave, err := g.Enter(context.Background(), request(c, client))
			if err != nil {
				return
			}
			time.Sleep(serviceTime)
			leave(nil)
			mu.Lock()
			defer mu.Unlock()
			*ran++
		})
	}
}

func TestGateFloodLeavesGuaranteedShares(t *testing.T) {
	for _, slots := range []int{1, 6, 12} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := warmGate(slots)
				callsPerSlot := int(time.Second / searchServiceTime)
				var tasks sync.WaitGroup
				var searches, submissions int
				offerCalls(g, search, "a", 3*slots*callsPerSlot, searchServiceTime, &tasks, &searches)
				offerCalls(g, submission, "b", slots*8, submissionServiceTime, &tasks, &submissions)
				tasks.Wait()
				guaranteed := submission.GuaranteedShare * float64(slots) / submissionServiceTime.Seconds()
				if float64(submissions) < 0.9*guaranteed {
					t.Errorf("%d submissions ran, want at least 90%% of the guaranteed %.0f", submissions, guaranteed)
				}
				if slots == 1 {
					return // a search cannot wait for another one within its latency
				}
				remaining := (1 - submission.GuaranteedShare) * float64(slots) / searchServiceTime.Seconds()
				if float64(searches) < 0.9*remaining {
					t.Errorf("%d searches ran, want at least 90%% of the remaining %.0f", searches, remaining)
				}
			})
		})
	}
}

// Backend servers that wait for a call hold a slot of their own. At one and a half
// times the capacity of the server that they call, with half of its slots for these
// calls, the calls must run although a class of the same rank fills its queue.
func TestGateServesShortTargetsFirstAmongEqualRanks(t *testing.T) {
	const slots, innerTime, bookingTime = 18, 22 * time.Millisecond, 120 * time.Millisecond
	inner := &target.Class{Name: "inner", Rank: 2, Latency: 100 * time.Millisecond, Timeout: 250 * time.Millisecond}
	booking := &target.Class{Name: "booking", Rank: 2, Latency: 400 * time.Millisecond, Timeout: time.Second}
	synctest.Test(t, func(t *testing.T) {
		g := NewFixedGate()
		g.SetSlots(slots)
		innerCalls, bookings := int(slots/innerTime.Seconds()/2), int(slots/bookingTime.Seconds())
		var tasks sync.WaitGroup
		var innerRan, bookingsRan int
		offerCalls(g, booking, "a", bookings, bookingTime, &tasks, &bookingsRan)
		offerCalls(g, inner, "b", innerCalls, innerTime, &tasks, &innerRan)
		tasks.Wait()
		if float64(innerRan) < 0.98*float64(innerCalls) {
			t.Errorf("%d of %d calls with the shorter target ran, want at least 98%%", innerRan, innerCalls)
		}
		if float64(bookingsRan) < 0.45*float64(bookings) {
			t.Errorf("%d of %d bookings ran, want at least 45%%: half of the slots are left", bookingsRan, bookings)
		}
	})
}

func TestGateFloodingClientDoesNotStarveOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warmGate(12)
		var tasks sync.WaitGroup
		var flood, steady int
		offerCalls(g, search, "flood", 900, searchServiceTime, &tasks, &flood)
		offerCalls(g, search, "calm", 100, searchServiceTime, &tasks, &steady)
		tasks.Wait()
		if steady != 100 {
			t.Errorf("%d of 100 calls of the client without a flood ran, want all", steady)
		}
		if flood > 250 {
			t.Errorf("%d calls of the flooding client ran, want at most 250: the other client leaves capacity for 200", flood)
		}
	})
}

func TestGateAdmitsUrgentClassFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warmGate(1)
		leave, err := g.Enter(t.Context(), request(export, "a"))
		if err != nil {
			t.Fatal(err)
		}
		order := make(chan string, 2)
		for _, c := range []*target.Class{export, submission} {
			go func() {
				end, err := g.Enter(t.Context(), request(c, "a"))
				if err == nil {
					order <- c.Name
					end(nil)
				}
			}()
			synctest.Wait()
		}
		leave(nil)
		if first := <-order; first != submission.Name {
			t.Errorf("%s ran first, want the more urgent class", first)
		}
		<-order
	})
}

func TestGateRefusalReasons(t *testing.T) {
	cases := map[string]struct {
		arrange func(t *testing.T, g *Gate)
		timeout time.Duration
		want    call.Reason
	}{
		"deadline before the service time": {timeout: searchServiceTime / 2, want: call.Deadline},
		"queue longer than the latency": {arrange: func(t *testing.T, g *Gate) { startCalls(t, g, search, "a", 2) },
			timeout: time.Second, want: call.Overloaded},
		"draining": {arrange: func(t *testing.T, g *Gate) { _ = g.Drain(t.Context()) }, timeout: time.Second, want: call.Draining},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := warmGate(1)
				if c.arrange != nil {
					c.arrange(t, g)
				}
				ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
				defer cancel()
				start := time.Now()
				_, err := g.Enter(ctx, request(search, "a"))
				if f := refusal(t, err); f.Reason != c.want {
					t.Errorf("refused with reason %s, want %s", f.Reason, c.want)
				}
				if elapsed := time.Since(start); elapsed > 0 {
					t.Errorf("refused after %s, want at once", elapsed)
				}
				_ = g.Drain(t.Context())
			})
		})
	}
}

// startCalls makes n calls of a client at the gate and returns the channel of
// their outcomes.
func startCalls(t *testing.T, g *Gate, c *target.Class, client string, n int) chan error {
	ended := make(chan error, n)
	for range n {
		go func() {
			leave, err := g.Enter(t.Context(), request(c, client))
			if err == nil {
				time.Sleep(searchServiceTime)
				leave(nil)
			}
			ended <- err
		}()
		synctest.Wait()
	}
	return ended
}

func TestGateFullQueueDisplacesLongestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warmGate(1)
		longLatency := &target.Class{Name: "long-latency", Rank: 1, Latency: time.Hour, Timeout: time.Hour}
		floodErrs := startCalls(t, g, longLatency, "flood", 1+QueuePerSlot)
		otherErr := startCalls(t, g, longLatency, "calm", 1)
		if f := refusal(t, <-floodErrs); f.Reason != call.Overloaded {
			t.Errorf("displaced call refused with reason %s, want overloaded", f.Reason)
		}
		if err := <-otherErr; err != nil {
			t.Errorf("call of the other client: %v, want it admitted", err)
		}
		for range QueuePerSlot {
			if err := <-floodErrs; err != nil {
				t.Errorf("call that was not displaced: %v, want it admitted", err)
			}
		}
	})
}

// A backend server may be ready again while a drain of its gate still waits.
func TestGateDrainAndOpenAtTheSameTime(t *testing.T) {
	g := NewGate(1)
	var tasks sync.WaitGroup
	for range 100 {
		ctx, cancel := context.WithCancel(context.Background())
		tasks.Go(func() { _ = g.Drain(ctx) })
		tasks.Go(func() {
			g.Open()
			cancel()
		})
	}
	tasks.Wait()
}

func TestGateCanceledCallLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warmGate(1)
		leave, err := g.Enter(t.Context(), request(search, "a"))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Millisecond, cancel)
		_, err = g.Enter(ctx, request(submission, "a"))
		if f := refusal(t, err); f.Reason != call.Canceled {
			t.Errorf("refused with reason %s, want canceled", f.Reason)
		}
		leave(nil)
		if load := g.Load(); load.Running+load.Queued != 0 {
			t.Errorf("load after all calls ended: %+v, want none", load)
		}
	})
}

// saturate keeps calls queued at the gate of a server with the given number of
// actual slots and returns the mean limit over the second half of d.
func saturate(t *testing.T, g *Gate, slots int, d time.Duration) float64 {
	var mu sync.Mutex
	var tasks sync.WaitGroup
	sum, n := 0, 0
	start := time.Now()
	for range 24 {
		tasks.Go(func() {
			for time.Since(start) < d {
				leave, err := g.Enter(t.Context(), request(submission, "a"))
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				load := g.Load()
				time.Sleep(searchServiceTime * time.Duration(max(load.Running, slots)) / time.Duration(slots))
				leave(nil)
				if time.Since(start) > d/2 {
					mu.Lock()
					sum, n = sum+load.Limit, n+1
					mu.Unlock()
				}
			}
		})
	}
	tasks.Wait()
	return float64(sum) / float64(n)
}

// TestLimitConvergesToActualSlots makes calls to a server that announces 12
// slots but has only 4 at first, and later all 12.
func TestLimitConvergesToActualSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(12)
		if limit := saturate(t, g, 4, 4*time.Second); limit < 3 || limit > 7 {
			t.Errorf("mean limit %.1f with 4 actual slots, want 3 to 7", limit)
		}
		if limit := saturate(t, g, 12, 4*time.Second); limit < 10 {
			t.Errorf("mean limit %.1f with 12 actual slots, want at least 10", limit)
		}
	})
}

func TestLimitFallsWhenServerSheds(t *testing.T) {
	g := warmGate(10)
	for range 5 {
		leave, err := g.Enter(t.Context(), request(search, "a"))
		if err != nil {
			t.Fatal(err)
		}
		leave(call.Refuse(call.Shed, nil))
	}
	if limit := g.Load().Limit; limit > 6 {
		t.Errorf("limit %d after 5 shed calls, want at most 6", limit)
	}
}

func TestClassesBounded(t *testing.T) {
	cs := classes{}
	for i := range 10 * maxClasses {
		cs.get(&target.Class{Name: fmt.Sprint(i)})
	}
	if len(cs) > maxClasses {
		t.Errorf("%d classes kept, want at most maxClasses", len(cs))
	}
}

func BenchmarkEnterLeave(b *testing.B) {
	g := warmGate(12)
	r := request(search, "a")
	ctx, cancel := context.WithTimeout(b.Context(), time.Hour)
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		leave, err := g.Enter(ctx, r)
		if err != nil {
			b.Fatal(err)
		}
		leave(nil)
	}
}

// BenchmarkRefuse measures a refusal while all slots are taken.
func BenchmarkRefuse(b *testing.B) {
	g := warmGate(12)
	r := request(search, "a")
	for range 12 {
		if _, err := g.Enter(b.Context(), r); err != nil {
			b.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(b.Context(), searchServiceTime/2)
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := g.Enter(ctx, r); err == nil {
			b.Fatal("call admitted, want a refusal")
		}
	}
}
