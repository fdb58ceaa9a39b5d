package admit

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// offer offers calls for a second, of which the server lets in one in every.
func offer(t *Throttle, client string, calls, every int) (sent int) {
	for range calls {
		time.Sleep(time.Second / time.Duration(calls))
		if !t.Allow("lookup", "search", client) {
			continue
		}
		t.Done("lookup", "search", client, sent%every == 0)
		sent++
	}
	return sent
}

func TestThrottleSendsLittleMoreThanIsLetIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		throttle := NewThrottle()
		if sent := offer(throttle, "flood", 1000, 4); sent > 400 {
			t.Errorf("%d of 1000 calls were sent while one in four is let in", sent)
		}
		if sent := offer(throttle, "calm", 100, 1); sent != 100 {
			t.Errorf("%d of 100 calls of another client were sent", sent)
		}
	})
}

func TestThrottleRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		throttle := NewThrottle()
		offer(throttle, "a", 1000, 100)
		time.Sleep(throttleLifetime)
		if sent := offer(throttle, "a", 100, 1); sent < 95 {
			t.Errorf("%d of 100 calls were sent after the flood", sent)
		}
		time.Sleep(throttleLifetime)
		offer(throttle, "a", 10, 1)
		if n := len(throttle.counts); n != 0 {
			t.Errorf("%d flows are remembered without refusals", n)
		}
	})
}

func TestThrottleIsBounded(t *testing.T) {
	throttle := NewThrottle()
	for i := range 2 * maxCounts {
		throttle.Done("lookup", fmt.Sprint(i), "a", false)
	}
	if n := len(throttle.counts); n > maxCounts {
		t.Errorf("%d flows are remembered", n)
	}
}

// BenchmarkThrottle measures a call of a flow that was refused before.
func BenchmarkThrottle(b *testing.B) {
	t := NewThrottle()
	t.Done("lookup", "search", "a", false)
	b.ReportAllocs()
	for b.Loop() {
		if t.Allow("lookup", "search", "a") {
			t.Done("lookup", "search", "a", true)
		}
	}
}
