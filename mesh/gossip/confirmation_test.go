package gossip_test

import (
	"testing"
	"time"

	"fescuehoist.example/mesh/revision"
)

// confirmationSpread bounds the time for a confirmation to reach all daemons of a
// connected fleet.
const confirmationSpread = 500 * time.Millisecond

var confirmedAt = revision.Revision{Epoch: 2, Number: 19}

func TestConfirmationReachesAllDaemonsAndItsAgeIsKept(t *testing.T) {
	runInBubble(t, 24, 3, func(f *fleet) {
		at := time.Now().Add(-300 * time.Millisecond)
		f.daemons[0].configs.ConfirmFromSource(confirmedAt, at)
		time.Sleep(confirmationSpread)
		for _, d := range f.daemons {
			c := d.configs.Confirmation()
			if c.Revision != confirmedAt {
				t.Errorf("%s has a confirmation of revision %s, want %s", d.id, c.Revision, confirmedAt)
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
		f.daemons[0].configs.ConfirmFromSource(confirmedAt, at)
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
			f.daemons[0].configs.ConfirmFromSource(confirmedAt, time.Now())
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

// Guards against daemons that keep relying on a state of the source which it has left,
// since they do not reach the source themselves.
func TestEpochReachesAllDaemonsWithConfirmation(t *testing.T) {
	runInBubble(t, 12, 3, func(f *fleet) {
		f.daemons[0].configs.ConfirmFromSource(confirmedAt, time.Now())
		time.Sleep(confirmationSpread)
		for _, d := range f.daemons[1:] {
			if got := d.node.Epochs.Latest(); got != confirmedAt.Epoch {
				t.Errorf("%s knows epoch %d, want %d", d.id, got, confirmedAt.Epoch)
			}
		}
	})
}

// Guards against a confirmation that is not sent before the next heartbeat, since it came
// while a stream waited with a batch of updates.
func TestConfirmationDuringBatchIsSentWithIt(t *testing.T) {
	runInBubble(t, 2, 1, func(f *fleet) {
		time.Sleep(time.Minute)
		sender, receiver := f.daemons[0], f.daemons[1]
		record, _ := sender.table.Get(sender.id)
		for range 10 {
			for range 2 {
				record.Sequence++
				sender.node.Announce(record)
				time.Sleep(f.cfg.BatchInterval / 4)
			}
			sender.configs.ConfirmFromSource(confirmedAt, time.Now())
			want := sender.configs.Confirmation().Number
			time.Sleep(4 * f.cfg.BatchInterval)
			if got := receiver.configs.Confirmation().Number; got != want {
				t.Errorf("%s after confirmation %d the peer has number %d", 4*f.cfg.BatchInterval, want, got)
			}
			time.Sleep(f.cfg.HeartbeatInterval)
		}
	})
}
