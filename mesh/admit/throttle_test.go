package admit

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// sendCalls makes calls for a second, of which the server admits one in every.
func sendCalls(t *Throttle, client string, calls, every int) (sent int) {
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

func TestThrottleLimitsCallsToAdmittedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		throttle := NewThrottle()
		if sent := sendCalls(throttle, "flood", 1000, 4); sent > 400 {
			t.Errorf("%d of 1000 calls sent while one in four is admitted, want at most 400", sent)
		}
		if sent := sendCalls(throttle, "calm", 100, 1); sent != 100 {
			t.Errorf("%d of 100 calls of another client sent, want all", sent)
		}
	})
}

func TestThrottleRecoversAfterFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		throttle := NewThrottle()
		sendCalls(throttle, "a", 1000, 100)
		time.Sleep(countRetention)
		if sent := sendCalls(throttle, "a", 100, 1); sent < 95 {
			t.Errorf("%d of 100 calls sent after the flood, want at least 95", sent)
		}
		time.Sleep(countRetention)
		sendCalls(throttle, "a", 10, 1)
		if n := len(throttle.flows); n != 0 {
			t.Errorf("%d flows kept without refusals, want none", n)
		}
	})
}

func TestThrottleFlowsBounded(t *testing.T) {
	throttle := NewThrottle()
	for i := range 2 * maxFlows {
		throttle.Done("lookup", fmt.Sprint(i), "a", false)
	}
	if n := len(throttle.flows); n > maxFlows {
		t.Errorf("%d flows kept, want at most maxFlows", n)
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

// Guards against an explanation of the throttle that differs from its decisions, or counts
// calls itself.
func TestAllowedShareIsThatOfAllow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		throttle := NewThrottle()
		if got := throttle.AllowedShare("lookup", "search", "a"); got != 1 {
			t.Errorf("share %g without refusals, want 1", got)
		}
		for i := range 400 {
			if throttle.Allow("lookup", "search", "a") {
				throttle.Done("lookup", "search", "a", i%4 == 0)
			}
		}
		want := throttle.AllowedShare("lookup", "search", "a")
		if got := throttle.AllowedShare("lookup", "search", "a"); got != want || want <= 0 || want >= 1 {
			t.Errorf("share %g, then %g; want the same, between 0 and 1", want, got)
		}
		const calls = 10
		allowed := 0
		for range 100 {
			before := *throttle.flows[flowKey{"lookup", "search", bucketOf("a")}]
			for range calls {
				if throttle.Allow("lookup", "search", "a") {
					allowed++
				}
				*throttle.flows[flowKey{"lookup", "search", bucketOf("a")}] = before
			}
		}
		if got := float64(allowed) / (100 * calls); got < want-0.1 || got > want+0.1 {
			t.Errorf("%.2f of the calls let through, want about %.2f", got, want)
		}
	})
}
