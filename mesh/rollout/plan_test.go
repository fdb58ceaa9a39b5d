package rollout

import (
	"testing"
	"time"
)

// Guards against a probe on the only server of a release that makes the other servers refuse
// requests: these are needed again when the share decreases.
func TestProbeOnOnlyServerLeavesOthersInService(t *testing.T) {
	s := situation{
		limits: Limits{Share: 0.1, Slack: 50, Within: 5 * time.Second}, elapsed: 8 * time.Second, duration: timeLimit,
		requests: 40, rate: 5, busy: 0.1, servers: 1, slots: 8, otherSlots: 8, storeReachable: true,
	}
	share, servers := s.shareIn(probe)
	if d := (Direction{State: Running, Share: share, Servers: servers}); d.Full() || share < 0.5 {
		t.Errorf("share %g on %d servers, want one below 1 and at least 0.5", share, servers)
	}
}
