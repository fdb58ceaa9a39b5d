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
