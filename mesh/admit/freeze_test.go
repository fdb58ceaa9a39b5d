package admit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestGateAdmitsAfterServerFreeze ends calls after a freeze during which they
// ran far longer than any timeout. The service times estimated from them must
// not lead to refusals after the freeze.
func TestGateAdmitsAfterServerFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warmGate(12)
		ctx := context.Background()
		for range 12 {
			leave, err := g.Enter(ctx, request(search, "a"))
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				time.Sleep(30 * time.Second)
				leave(nil)
			}()
		}
		time.Sleep(31 * time.Second)
		refused := 0
		for range 100 {
			ctx, cancel := context.WithTimeout(context.Background(), search.Timeout)
			leave, err := g.Enter(ctx, request(search, "a"))
			if err != nil {
				refused++
			} else {
				time.Sleep(searchServiceTime)
				leave(nil)
			}
			cancel()
		}
		if refused > 20 {
			t.Errorf("%d of 100 calls refused by an idle server, want at most 20", refused)
		}
	})
}
