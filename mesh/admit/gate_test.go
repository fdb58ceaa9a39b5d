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

const searchTime, submissionTime = 40 * time.Millisecond, 60 * time.Millisecond

// warmGate returns a gate whose limit has reached its slots and which knows
// the service times.
func warmGate(slots int) *Gate {
	g := NewGate(slots)
	g.limit.limit, g.limit.settled = float64(slots), true
	for c, took := range map[*target.Class]time.Duration{search: searchTime, submission: submissionTime} {
		state := g.classes.get(c)
		state.service, state.unloaded = took, took
	}
	return g
}

func request(c *target.Class, client string) *call.Request {
	return &call.Request{Class: c, ClassName: c.Name, Client: client}
}

// refusal returns the failure of a call that must not have run.
func refusal(t *testing.T, err error) *call.Failure {
	t.Helper()
	var f *call.Failure
	if !errors.As(err, &f) || f.Verdict != call.NotRun {
		t.Fatalf("got %v, want a failure with verdict NotRun", err)
	}
	return f
}

// visit is one call of the property test.
type visit struct {
	class                    *target.Class
	client                   string
	arrives, takes, patience time.Duration
}

func visits(rt *rapid.T) []visit {
	ms := func(label string, most int) time.Duration {
		return time.Duration(rapid.IntRange(1, most).Draw(rt, label)) * time.Millisecond
	}
	all := make([]visit, rapid.IntRange(1, 60).Draw(rt, "calls"))
	for i := range all {
		all[i] = visit{
			class:   rapid.SampledFrom([]*target.Class{search, submission, export}).Draw(rt, "class"),
			client:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "client"),
			arrives: ms("arrives", 100), takes: ms("takes", 80), patience: ms("patience", 300),
		}
	}
	return all
}

// TestGateNeverLosesACall brings about crowds, cancellations and a drain: no
// more calls run than there are slots, each call is admitted or refused as not
// run, and nothing is left behind.
func TestGateNeverLosesACall(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(rt, "slots")
		drainAt := time.Duration(rapid.IntRange(1, 200).Draw(rt, "drain")) * time.Millisecond
		all := visits(rt)
		var problems []string
		synctest.Test(t, func(t *testing.T) { problems = crowd(slots, drainAt, all) })
		for _, p := range problems {
			rt.Error(p)
		}
	})
}

func crowd(slots int, drainAt time.Duration, all []visit) (problems []string) {
	var mu sync.Mutex
	var tasks sync.WaitGroup
	running, ended := 0, 0
	note := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	g := NewGate(slots)
	for _, v := range all {
		tasks.Go(func() {
			time.Sleep(v.arrives)
			ctx, cancel := context.WithTimeout(context.Background(), v.patience)
			defer cancel()
			leave, err := g.Enter(ctx, request(v.class, v.client))
			mu.Lock()
			defer mu.Unlock()
			ended++
			if err != nil {
				var f *call.Failure
				if !errors.As(err, &f) || f.Verdict != call.NotRun {
					note("refused with %v", err)
				}
				return
			}
			if running++; running > slots {
				note("%d calls ran in %d slots", running, slots)
			}
			mu.Unlock()
			time.Sleep(v.takes)
			mu.Lock()
			running--
			leave(nil)
		})
	}
	time.Sleep(drainAt)
	if err := g.Drain(context.Background()); err != nil {
		note("drain: %v", err)
	}
	if load := g.Load(); load.Running+load.Queued > 0 {
		note("after the drain %d run and %d wait", load.Running, load.Queued)
	}
	tasks.Wait()
	if ended != len(all) {
		note("%d of %d calls ended", ended, len(all))
	}
	return problems
}

// pour offers calls of a class at even intervals for a second and returns how
// many ran; the channel is closed once all have ended.
func pour(g *Gate, c *target.Class, client string, perSecond int, takes time.Duration, tasks *sync.WaitGroup, ran *int) {
	var mu sync.Mutex
	for i := range perSecond {
		tasks.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(perSecond))
			leave, err := g.Enter(context.Background(), request(c, client))
			if err != nil {
				return
			}
			time.Sleep(takes)
			leave(nil)
			mu.Lock()
			defer mu.Unlock()
			*ran++
		})
	}
}

func TestFloodLeavesTheShareOfOthers(t *testing.T) {
	for _, slots := range []int{1, 6, 12} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := warmGate(slots)
				perSlot := int(time.Second / searchTime)
				var tasks sync.WaitGroup
				var searches, submissions int
				pour(g, search, "a", 3*slots*perSlot, searchTime, &tasks, &searches)
				pour(g, submission, "b", slots*8, submissionTime, &tasks, &submissions)
				tasks.Wait()
				kept := submission.GuaranteedShare * float64(slots) / submissionTime.Seconds()
				if float64(submissions) < 0.9*kept {
					t.Errorf("%d submissions ran; the share kept is %.0f", submissions, kept)
				}
				if slots == 1 {
					return // a search cannot wait for another one within its latency
				}
				left := (1 - submission.GuaranteedShare) * float64(slots) / searchTime.Seconds()
				if float64(searches) < 0.9*left {
					t.Errorf("%d searches ran; %.0f were left for them", searches, left)
				}
			})
		})
	}
}

func TestOneClientsFloodHurtsItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warmGate(12)
		var tasks sync.WaitGroup
		var flood, calm int
		pour(g, search, "flood", 900, searchTime, &tasks, &flood)
		pour(g, search, "calm", 100, searchTime, &tasks, &calm)
		tasks.Wait()
		if calm != 100 {
			t.Errorf("%d of 100 calls of the calm client ran", calm)
		}
		if flood > 250 {
			t.Errorf("%d calls of the flooding client ran; 200 slots' worth were left", flood)
		}
	})
}

func TestUrgentClassGoesFirst(t *testing.T) {
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
			t.Errorf("%s ran first", first)
		}
		<-order
	})
}

func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		arrange func(t *testing.T, g *Gate)
		timeout time.Duration
		want    call.Reason
	}{
		"deadline before the service time": {timeout: searchTime / 2, want: call.Deadline},
		"queue longer than the latency": {arrange: func(t *testing.T, g *Gate) { wait(t, g, search, "a", 2) },
			timeout: time.Second, want: call.Overloaded},
		"leaving": {arrange: func(t *testing.T, g *Gate) { _ = g.Drain(t.Context()) }, timeout: time.Second, want: call.Draining},
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
					t.Errorf("refused for %s, want %s", f.Reason, c.want)
				}
				if took := time.Since(start); took > 0 {
					t.Errorf("refused after %s, not at once", took)
				}
				_ = g.Drain(t.Context())
			})
		})
	}
}

// wait brings n calls of a client to the gate and returns their outcomes.
func wait(t *testing.T, g *Gate, c *target.Class, client string, n int) chan error {
	ended := make(chan error, n)
	for range n {
		go func() {
			leave, err := g.Enter(t.Context(), request(c, client))
			if err == nil {
				time.Sleep(searchTime)
				leave(nil)
			}
			ended <- err
		}()
		synctest.Wait()
	}
	return ended
}

func TestFullQueueGivesUpTheLongestLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warmGate(1)
		patient := &target.Class{Name: "patient", Rank: 1, Latency: time.Hour, Timeout: time.Hour}
		crowd := wait(t, g, patient, "flood", 1+QueuePerSlot)
		other := wait(t, g, patient, "calm", 1)
		if f := refusal(t, <-crowd); f.Reason != call.Overloaded {
			t.Errorf("displaced for %s", f.Reason)
		}
		if err := <-other; err != nil {
			t.Errorf("the other client's call: %v", err)
		}
		for range QueuePerSlot {
			if err := <-crowd; err != nil {
				t.Errorf("a call that kept its place: %v", err)
			}
		}
	})
}

func TestCanceledWhileQueued(t *testing.T) {
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
			t.Errorf("refused for %s", f.Reason)
		}
		leave(nil)
		if load := g.Load(); load.Running+load.Queued != 0 {
			t.Errorf("left behind: %+v", load)
		}
	})
}

// saturate keeps calls waiting at a gate before a server with the given slots
// and returns the mean limit over the last half of the time.
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
				time.Sleep(searchTime * time.Duration(max(load.Running, slots)) / time.Duration(slots))
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

// TestLimitFindsTheTrueSlots runs calls at a server that announces 12 slots
// and has 4, which then gets all of them.
func TestLimitFindsTheTrueSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(12)
		if limit := saturate(t, g, 4, 4*time.Second); limit < 3 || limit > 7 {
			t.Errorf("the mean limit is %.1f for 4 slots", limit)
		}
		if limit := saturate(t, g, 12, 4*time.Second); limit < 10 {
			t.Errorf("the mean limit is %.1f for 12 slots", limit)
		}
	})
}

func TestSheddingLowersTheLimit(t *testing.T) {
	g := warmGate(10)
	for range 5 {
		leave, err := g.Enter(t.Context(), request(search, "a"))
		if err != nil {
			t.Fatal(err)
		}
		leave(call.Refuse(call.Shed, nil))
	}
	if limit := g.Load().Limit; limit > 6 {
		t.Errorf("the limit is %d after 5 shed calls", limit)
	}
}

func TestClassesAreBounded(t *testing.T) {
	cs := classes{}
	for i := range 10 * maxClasses {
		cs.get(&target.Class{Name: fmt.Sprint(i)})
	}
	if len(cs) > maxClasses {
		t.Errorf("%d classes are remembered", len(cs))
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

// BenchmarkRefuse measures a refusal in a flood.
func BenchmarkRefuse(b *testing.B) {
	g := warmGate(12)
	r := request(search, "a")
	for range 12 {
		if _, err := g.Enter(b.Context(), r); err != nil {
			b.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(b.Context(), searchTime/2)
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := g.Enter(ctx, r); err == nil {
			b.Fatal("admitted")
		}
	}
}
