package callhttp

import (
	"testing"
	"time"
)

func TestForwarderUnusedPoolIsRemoved(t *testing.T) {
	f := NewForwarder(nil)
	defer f.Close()
	f.pool("10.0.0.1:1")
	f.pool("10.0.0.2:1").Close()
	f.pools["10.0.0.1:1"].lastUsed = time.Now().Add(-2 * poolIdleTimeout)
	f.lastSweep = time.Now().Add(-2 * sweepInterval)
	f.pool("10.0.0.3:1")
	if len(f.pools) != 2 || f.pools["10.0.0.1:1"] != nil {
		t.Errorf("got %d pools, want 2 without the unused one", len(f.pools))
	}
}
