package gossip_test

import (
	"testing"

	"fescuehoist.example/mesh/advisory"
)

func TestAdvisoriesReachAllDaemonsAndARestartedOne(t *testing.T) {
	withdrawal := advisory.Advisory{Kind: advisory.Withdrawn, Subject: "i-1", Number: 20}
	runInBubble(t, 24, 3, func(f *fleet) {
		f.daemons[7].advisories.SetCompleteness(advisory.Complete)
		f.daemons[7].advisories.Issue(withdrawal)
		f.eventually("the advisory at all daemons", func() bool {
			for _, d := range f.daemons {
				if !d.advisories.HasWithdrawn("i-1", 20) {
					return false
				}
			}
			return true
		})
		for _, d := range f.daemons {
			d.advisories.SetCompleteness(advisory.Complete)
		}
		f.kill(f.daemons[7])
		restarted := f.start(7, 3, 2)
		f.eventually("the advisory at the restarted daemon", func() bool {
			return restarted.advisories.HasWithdrawn("i-1", 20) && restarted.advisories.Completeness() == advisory.Complete
		})
	})
}

// Peers that lack advisories themselves do not make those of a starting daemon complete.
func TestAdvisoriesOfIncompletePeersAreNotComplete(t *testing.T) {
	runInBubble(t, 4, 1, func(f *fleet) {
		f.kill(f.daemons[3])
		restarted := f.start(3, 1, 2)
		f.eventually("all daemons see all servers", func() bool { return f.allSee(4) })
		if c := restarted.advisories.Completeness(); c != advisory.Unrestored {
			t.Errorf("completeness %d, want %d", c, advisory.Unrestored)
		}
	})
}

// Of many daemons that start while the platform's store is away, only some have a stream
// to one with complete advisories.
func TestCompleteAdvisoriesReachDaemonsOverOthersThatMissThem(t *testing.T) {
	withdrawal := advisory.Advisory{Kind: advisory.Withdrawn, Subject: "i-1", Number: 20}
	runInBubble(t, 24, 3, func(f *fleet) {
		f.daemons[5].advisories.Merge([]advisory.Aged{{Advisory: withdrawal}})
		f.daemons[5].advisories.SetCompleteness(advisory.Complete)
		f.eventually("complete advisories at all daemons", func() bool {
			for _, d := range f.daemons {
				if d.advisories.Completeness() != advisory.Complete || !d.advisories.HasWithdrawn("i-1", 20) {
					return false
				}
			}
			return true
		})
	})
}
