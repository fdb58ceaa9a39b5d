package link

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/target"
)

const (
	testMbps   = 10
	uploadSize = 60_000
	roundTrip  = 3 * time.Millisecond
	// uploadTime is how long the link takes for an upload.
	uploadTime = 48 * time.Millisecond
)

// untilAllEnded returns once the goroutines of a test have ended, which it must defer first.
func untilAllEnded() { time.Sleep(10 * time.Second) }

func upload(rank int, latency time.Duration) *call.Request {
	return &call.Request{Class: &target.Class{Rank: rank, Latency: latency}}
}

func slots(s Slots) func() Slots { return func() Slots { return s } }

var noSlots = slots(Slots{})

// wire carries bytes in the order in which they are sent.
type wire struct {
	mu     sync.Mutex
	freeAt time.Time
}

// enqueue returns how long some bytes wait behind earlier ones, and when they have arrived.
func (w *wire) enqueue(bytes int) (time.Duration, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.freeAt.Before(now) {
		w.freeAt = now
	}
	wait := w.freeAt.Sub(now)
	w.freeAt = w.freeAt.Add(time.Duration(bytes) * 8 * time.Second / (testMbps * 1e6))
	return wait, w.freeAt
}

// send sends a granted body at once, one round trip later, and reports its packets.
func (w *wire) send(b *Body) {
	const packet = 1500
	time.Sleep(roundTrip)
	var arrivals []time.Time
	for range uploadSize / packet {
		_, at := w.enqueue(packet)
		arrivals = append(arrivals, at)
	}
	for _, at := range arrivals {
		time.Sleep(time.Until(at))
		b.Arrived(packet)
	}
	b.End()
}

func refusedAs(err error, reason call.Reason) bool {
	var f *call.Failure
	return errors.As(err, &f) && f.Verdict == call.NotRun && f.Reason == reason
}

// Guards against bodies of senders that do not know of each other filling the queue of a
// link, behind which the short requests of other callers wait.
func TestShortRequestsWaitBehindOneBody(t *testing.T) {
	for _, load := range []float64{0.5, 0.85} {
		t.Run(fmt.Sprintf("load %v", load), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const hosts, length = 9, 20 * time.Second
				random := rand.New(rand.NewPCG(1, uint64(load*100)))
				var tasks sync.WaitGroup
				var mu sync.Mutex
				var waits []time.Duration
				offered, arrived := 0, 0
				gates, wires := make([]*Gate, hosts), make([]wire, hosts)
				for i := range gates {
					gates[i] = NewGate(testMbps)
				}
				interval := uploadTime / time.Duration(hosts)
				for start := time.Now(); time.Since(start) < length; time.Sleep(time.Duration(random.ExpFloat64() / load * float64(interval))) {
					i, j := random.IntN(hosts), random.IntN(hosts)
					wait, _ := wires[j].enqueue(600)
					mu.Lock()
					waits = append(waits, wait)
					offered++
					mu.Unlock()
					tasks.Go(func() {
						ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
						defer cancel()
						b, err := gates[i].Enter(ctx, upload(2, 400*time.Millisecond), uploadSize, slots(Slots{Service: 70 * time.Millisecond}))
						if err != nil {
							return
						}
						wires[i].send(b)
						mu.Lock()
						arrived++
						mu.Unlock()
					})
				}
				tasks.Wait()
				slices.Sort(waits)
				longest, share := waits[len(waits)-1], float64(arrived)/float64(offered)
				t.Logf("short requests waited %v at the 99th percentile, %v at most; %.3f of the bodies arrived", waits[len(waits)*99/100], longest, share)
				if limit := uploadTime + overlapTime + 5*time.Millisecond; longest > limit {
					t.Errorf("a short request waited %v, want %v at most", longest, limit)
				}
				if want := 1.14 - 0.3*load; share < want {
					t.Errorf("%.3f of the bodies arrived, want %.3f or more", share, want)
				}
			})
		})
	}
}

// Guards against sending bodies whose calls cannot be answered in time.
func TestBodyThatCannotArriveInTimeIsRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name              string
		latency, deadline time.Duration
		elapsed           time.Duration
		slots             Slots
		busy, refused     bool
	}{
		{name: "free link", latency: time.Second, deadline: time.Second},
		{name: "free link, target missed", latency: 100 * time.Millisecond, elapsed: 90 * time.Millisecond, deadline: time.Second},
		{name: "free link, no time for the body", latency: time.Second, deadline: 40 * time.Millisecond, refused: true},
		{name: "free link, no time to work on it", latency: time.Second, deadline: 100 * time.Millisecond, slots: Slots{Service: 60 * time.Millisecond}, refused: true},
		{name: "free link, no slot in time", latency: 200 * time.Millisecond, deadline: time.Second, slots: Slots{Service: 60 * time.Millisecond, Wait: 100 * time.Millisecond}, refused: true},
		{name: "busy link, enough time", latency: 200 * time.Millisecond, deadline: time.Second, busy: true},
		{name: "busy link, target missed", latency: 100 * time.Millisecond, deadline: time.Second, busy: true, refused: true},
		{name: "busy link, time spent before", latency: 200 * time.Millisecond, elapsed: 100 * time.Millisecond, deadline: time.Second, busy: true, refused: true},
		{name: "busy link, deadline missed", latency: time.Second, deadline: 80 * time.Millisecond, busy: true, refused: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer untilAllEnded()
				g := NewGate(testMbps)
				if c.busy {
					b, _ := g.Enter(t.Context(), upload(1, time.Second), uploadSize, noSlots)
					go (&wire{}).send(b)
				}
				ctx, cancel := context.WithTimeout(t.Context(), c.deadline)
				defer cancel()
				r := upload(1, c.latency)
				r.Elapsed = c.elapsed
				start := time.Now()
				b, err := g.Enter(ctx, r, uploadSize, slots(c.slots))
				defer b.End()
				if c.refused && (!refusedAs(err, call.Overloaded) || time.Since(start) > 0) {
					t.Errorf("got %v after %v, want overloaded (not-run) at once", err, time.Since(start))
				}
				if !c.refused && err != nil {
					t.Errorf("refused: %v", err)
				}
			})
		})
	}
}

// Guards against urgent bodies behind others, and against bodies that are sent too late
// while others with more time go first.
func TestRankThenTimeLeftDecideTheOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer untilAllEnded()
		g := NewGate(testMbps)
		first, _ := g.Enter(t.Context(), upload(3, time.Second), uploadSize, noSlots)
		var mu sync.Mutex
		var order []string
		var tasks sync.WaitGroup
		for _, w := range []struct {
			name    string
			rank    int
			latency time.Duration
		}{{"late", 2, 2 * time.Second}, {"soon", 2, time.Second}, {"urgent", 1, 3 * time.Second}, {"refused", 3, 300 * time.Millisecond}} {
			tasks.Go(func() {
				b, err := g.Enter(t.Context(), upload(w.rank, w.latency), uploadSize, noSlots)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					order = append(order, "not "+w.name)
					return
				}
				order = append(order, w.name)
				go (&wire{}).send(b)
			})
			synctest.Wait()
		}
		go (&wire{}).send(first)
		tasks.Wait()
		if want := []string{"not refused", "urgent", "soon", "late"}; !slices.Equal(order, want) {
			t.Errorf("order %q, want %q", order, want)
		}
	})
}

// Guards against a more urgent body making others wait that can no longer arrive in time.
func TestBodyDisplacedByUrgentOneIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer untilAllEnded()
		g := NewGate(testMbps)
		b, _ := g.Enter(t.Context(), upload(1, time.Second), uploadSize, noSlots)
		go (&wire{}).send(b)
		refused := make(chan error, 1)
		go func() {
			_, err := g.Enter(t.Context(), upload(2, 160*time.Millisecond), uploadSize, noSlots)
			refused <- err
		}()
		synctest.Wait()
		start := time.Now()
		urgent, err := g.Enter(t.Context(), upload(1, time.Second), uploadSize, noSlots)
		if err != nil {
			t.Fatal(err)
		}
		defer urgent.End()
		select {
		case err := <-refused:
			if !refusedAs(err, call.Overloaded) {
				t.Errorf("displaced body: got %v after %v, want overloaded (not-run)", err, time.Since(start))
			}
		default:
			t.Error("displaced body still waits")
		}
	})
}

// Guards against sending a body whose call would be refused for a slot afterwards.
func TestBodyIsRefusedIfSlotsFilledWhileItWaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer untilAllEnded()
		g := NewGate(testMbps)
		b, _ := g.Enter(t.Context(), upload(1, time.Second), uploadSize, noSlots)
		go (&wire{}).send(b)
		start := time.Now()
		_, err := g.Enter(t.Context(), upload(1, time.Second), uploadSize, func() Slots {
			if time.Since(start) > 0 {
				return Slots{Wait: time.Second}
			}
			return Slots{}
		})
		if c := g.Counts(); !refusedAs(err, call.Overloaded) || c.Granted != 1 || c.Refused != 1 || c.InTransit >= uploadSize {
			t.Errorf("got %v and %+v, want overloaded (not-run) and the grant of the first body alone", err, c)
		}
	})
}

// Guards against a sender that dies or stops sending and keeps the link from others.
func TestLostGrantFreesTheLink(t *testing.T) {
	for _, c := range []struct {
		name string
		// lose is called with the granted body; cancel ends the context of its call.
		lose  func(b *Body)
		limit time.Duration
	}{
		{"connection ends", (*Body).End, 0},
		{"body stops arriving", func(b *Body) { b.Arrived(20_000) }, stallTime},
		{"body never starts", func(*Body) {}, stallTime},
		{"body trickles", func(b *Body) {
			go func() {
				for range 20 {
					b.Arrived(1000)
					time.Sleep(20 * time.Millisecond)
				}
				b.End()
			}()
		}, slowFactor*uploadTime + stallTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer untilAllEnded()
				g := NewGate(testMbps)
				lost, _ := g.Enter(t.Context(), upload(1, time.Second), uploadSize, noSlots)
				c.lose(lost)
				start := time.Now()
				b, err := g.Enter(t.Context(), upload(1, time.Second), uploadSize, noSlots)
				if err != nil || time.Since(start) > c.limit {
					t.Errorf("next body: granted after %v with %v, want within %v", time.Since(start), err, c.limit)
				}
				b.End()
			})
		})
	}
}

// Guards against a call that ends while its body waits and keeps its place or its grant.
func TestCanceledBodyLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer untilAllEnded()
		g := NewGate(testMbps)
		held, _ := g.Enter(t.Context(), upload(1, time.Second), uploadSize, noSlots)
		ctx, cancel := context.WithCancel(t.Context())
		canceled := make(chan error, 1)
		go func() {
			_, err := g.Enter(ctx, upload(1, time.Second), uploadSize, noSlots)
			canceled <- err
		}()
		synctest.Wait()
		cancel()
		if err := <-canceled; !refusedAs(err, call.Canceled) {
			t.Errorf("got %v, want canceled (not-run)", err)
		}
		held.End()
		if c := g.Counts(); c.Waiting+c.InTransit != 0 {
			t.Errorf("%+v, want no bytes on their way or waiting", c)
		}
	})
}

// Guards against callers that delay granted bodies with bodies that nobody granted.
func TestObservedBodiesDelayGrantsForLimitedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer untilAllEnded()
		g := NewGate(testMbps)
		for range 2 * maxObserved {
			b := g.Observe(64 << 20)
			go func() {
				for range 100 {
					time.Sleep(10 * time.Millisecond)
					b.Arrived(1000)
				}
				b.End()
			}()
		}
		start := time.Now()
		b, err := g.Enter(t.Context(), upload(1, time.Second), uploadSize, noSlots)
		if waited := time.Since(start); err != nil || waited < windowTime || waited > windowTime+time.Millisecond {
			t.Errorf("granted after %v with %v, want after %v", waited, err, windowTime)
		}
		b.End()
		time.Sleep(2 * time.Second)
		if c := g.Counts(); c.InTransit != 0 {
			t.Errorf("%d bytes are on their way, want 0", c.InTransit)
		}
	})
}

func TestWithoutKnownLinkNothingIsBounded(t *testing.T) {
	g := NewGate(0)
	for range 100 {
		b, err := g.Enter(t.Context(), upload(1, time.Millisecond), 64<<20, slots(Slots{Wait: time.Hour}))
		if b != nil || err != nil || g.Wait() != 0 {
			t.Fatalf("got %v, %v and a wait of %v, want none", b, err, g.Wait())
		}
		b.Arrived(1)
		b.End()
	}
}

// Guards against several bodies that leave a host at once, behind which its short answers
// wait, and against bodies that count after the link has carried them.
func TestBodiesLeaveHostOneAfterAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer untilAllEnded()
		g := NewGate(testMbps)
		start := time.Now()
		for i := range 4 {
			if _, err := g.Send(t.Context(), upload(1, time.Second), uploadSize); err != nil {
				t.Fatal(err)
			}
			if left, want := time.Since(start), time.Duration(i)*uploadTime; left != want {
				t.Errorf("body %d left after %v, want %v", i, left, want)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 80*time.Millisecond)
		defer cancel()
		if _, err := g.Send(ctx, upload(1, time.Second), uploadSize); !refusedAs(err, call.Deadline) {
			t.Errorf("body that cannot leave in time: got %v, want deadline (not-run)", err)
		}
		canceled, err := g.Send(t.Context(), upload(1, time.Second), 64<<20)
		if err != nil {
			t.Fatal(err)
		}
		canceled.End()
		// The timer that ends the body before it may be due at this moment.
		synctest.Wait()
		if c := g.Counts(); c.InTransit != 0 {
			t.Errorf("%d bytes of a canceled body count, want none", c.InTransit)
		}
	})
}

// Guards against a round trip for bodies that the link carries in less time.
func TestBodiesOfShortTimeNeedNoGrant(t *testing.T) {
	for _, c := range []struct{ mbps, want int }{{0, math.MaxInt}, {1, MinBytes}, {10, MinBytes}, {100, 62_500}} {
		if got := FreeBytes(c.mbps); got != c.want {
			t.Errorf("at %d Mbit/s: %d bytes, want %d", c.mbps, got, c.want)
		}
	}
}

// BenchmarkBody measures the decisions about one body that arrives in 15 parts.
func BenchmarkBody(b *testing.B) {
	g := NewGate(1000)
	r := upload(1, time.Second)
	b.ReportAllocs()
	for b.Loop() {
		body, err := g.Enter(b.Context(), r, 1<<20, noSlots)
		if err != nil {
			b.Fatal(err)
		}
		for range 15 {
			body.Arrived(1 << 16)
		}
		body.End()
		g.Wait()
	}
}
