package gossip_test

import (
	"testing"
	"time"
)

// confirmationSpread bounds the time for a confirmation to reach all daemons of a
// connected fleet.
const confirmationSpread = 500 * time.Millisecond

func TestConfirmationReachesAllDaemonsAndItsAgeIsKept(t *testing.T) {
	runInBubble(t, 24, 3, func(f *fleet) {
		at := time.Now().Add(-300 * time.Millisecond)
		f.daemons[0].configs.ConfirmFromSource(19, at)
		time.Sleep(confirmationSpread)
		for _, d := range f.daemons {
			c := d.configs.Confirmation()
			if c.Revision != 19 {
				t.Errorf("%s has a confirmation of revision %d, want 19", d.id, c.Revision)
			}
			if later := c.At.Sub(at); later < 0 || later > confirmationSpread {
				t.Errorf("%s takes the confirmation to be %s younger than it is, want 0 to %s", d.id, later, confirmationSpread)
			}
		}
	})
}

func TestConfirmationAgesWhileNoDaemonReachesSource(t *testing.T) {
	runInBubble(t, 12, 3, func(f *fleet) {
		at := time.Now()
		f.daemons[0].configs.ConfirmFromSource(19, at)
		time.Sleep(time.Minute)
		for _, d := range f.daemons {
			if later := d.configs.Confirmation().At.Sub(at); later > confirmationSpread {
				t.Errorf("%s takes the confirmation to be %s younger than it is, want at most %s", d.id, later, confirmationSpread)
			}
		}
	})
}

func TestConfirmationIsSentOnceOnEachStream(t *testing.T) {
	runInBubble(t, 12, 3, func(f *fleet) {
		time.Sleep(time.Minute)
		_, before := f.net.Counts()
		time.Sleep(time.Minute)
		_, idle := f.net.Counts()
		for range 100 {
			f.daemons[0].configs.ConfirmFromSource(19, time.Now())
			time.Sleep(600 * time.Millisecond)
		}
		_, confirming := f.net.Counts()
		streams := 0
		for _, d := range f.daemons {
			streams += d.node.PeerCount()
		}
		// Each stream counts at both of its ends; a confirmation may cross itself
		// on its way, so each end sends it once at most.
		if added := confirming - idle - (idle - before); added > 100*streams {
			t.Errorf("100 confirmations added %d messages on %d ends of streams, want at most %d", added, streams, 100*streams)
		}
	})
}
