package advisory_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/advisory"
)

var (
	withdrawn = advisory.Advisory{Kind: advisory.Withdrawn, Subject: "i-1", Number: 20}
	crashed   = advisory.Advisory{Kind: advisory.Crashed, Subject: "server-1/a/1", Number: 7}
	cleared   = advisory.Advisory{Kind: advisory.Cleared, Number: 7}
)

func holds(b *advisory.Book, n advisory.Advisory) bool {
	return slices.ContainsFunc(b.Live(), func(live advisory.Aged) bool { return live.Advisory == n })
}

func TestBookSpreadsIssuedAndAppliesReceivedAdvisoriesOnce(t *testing.T) {
	b := advisory.NewBook()
	var spread, applied []advisory.Advisory
	b.Spread = func(advisories []advisory.Aged) { spread = append(spread, advisories[0].Advisory) }
	b.Apply = func(n advisory.Aged) { applied = append(applied, n.Advisory) }
	for range 2 {
		b.Issue(withdrawn)
		b.Merge([]advisory.Aged{{Advisory: crashed}})
	}
	if !slices.Equal(spread, []advisory.Advisory{withdrawn}) || !slices.Equal(applied, []advisory.Advisory{crashed}) {
		t.Errorf("spread %v and applied %v, want the issued and the received advisory", spread, applied)
	}
}

func TestBookWithdrawalCoversStartsUpToItsOwn(t *testing.T) {
	b := advisory.NewBook()
	b.Issue(withdrawn)
	for started, want := range map[uint64]bool{19: true, 20: true, 21: false} {
		if got := b.HasWithdrawn("i-1", started); got != want {
			t.Errorf("start %d: withdrawn is %t, want %t", started, got, want)
		}
	}
	if b.HasWithdrawn("i-2", 20) {
		t.Error("another instance is withdrawn, want only i-1")
	}
}

func TestBookClearanceRemovesCrashesWhateverTheOrder(t *testing.T) {
	for _, order := range [][]advisory.Advisory{{crashed, cleared}, {cleared, crashed}} {
		b := advisory.NewBook()
		for _, n := range order {
			b.Merge([]advisory.Aged{{Advisory: n}})
		}
		if holds(b, crashed) || !holds(b, cleared) {
			t.Errorf("after %v: holds %v, want the clearance alone", order, b.Live())
		}
	}
}

func TestBookAdvisoryExpiresByItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := advisory.NewBook()
		b.Merge([]advisory.Aged{{Advisory: withdrawn, Age: advisory.Lifetime - time.Second}, {Advisory: crashed, Age: advisory.Lifetime}})
		if !holds(b, withdrawn) || holds(b, crashed) {
			t.Errorf("holds %v, want the advisory that has not expired", b.Live())
		}
		time.Sleep(time.Second)
		if holds(b, withdrawn) || b.HasWithdrawn("i-1", 20) {
			t.Error("holds an advisory that has expired")
		}
	})
}

func TestBookKeepsWithdrawalsBeyondLimitOfAdvisories(t *testing.T) {
	b := advisory.NewBook()
	b.Issue(withdrawn)
	for i := range advisory.MaxAdvisories + 10 {
		b.Issue(advisory.Advisory{Kind: advisory.Crashed, Subject: "crash", Number: uint64(i)})
	}
	if n := len(b.Live()); n != advisory.MaxAdvisories || !holds(b, withdrawn) {
		t.Errorf("holds %d advisories, withdrawal among them: %t; want %d with the withdrawal", n, holds(b, withdrawn), advisory.MaxAdvisories)
	}
}

func TestBookAwaitStoredEndsOnceWithdrawalsAreStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := advisory.NewBook()
		b.Issue(withdrawn)
		b.Issue(crashed)
		done := make(chan error)
		go func() { done <- b.AwaitStored(t.Context(), advisory.Withdrawn) }()
		synctest.Wait()
		select {
		case err := <-done:
			t.Fatalf("returned before the withdrawal was stored, error %v", err)
		default:
		}
		b.MarkStored([]advisory.Aged{{Advisory: withdrawn}})
		if err := <-done; err != nil {
			t.Errorf("after the withdrawal was stored: %v", err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if b.AwaitStored(ctx, advisory.Crashed) == nil {
			t.Error("no error at the end of the context, want one: the crash is not stored")
		}
	})
}

// The daemon that issued an advisory may be killed before it has stored it.
func TestBookStoresKnownAdvisoryThatIsIssuedAgain(t *testing.T) {
	b := advisory.NewBook()
	b.Merge([]advisory.Aged{{Advisory: withdrawn}})
	if _, found := b.StoreDue(); found {
		t.Error("an advisory of another daemon is due to be stored")
	}
	b.Issue(withdrawn)
	if _, found := b.StoreDue(); !found {
		t.Error("an advisory that is issued again is not due to be stored")
	}
}

// Guards against forgetting a request that crashed two servers, and is refused since
// then, when all daemons are killed in the second after that.
func TestBookSecondCrashOfRequestIsStoredAtOnce(t *testing.T) {
	other := advisory.Advisory{Kind: advisory.Crashed, Subject: "server-2/b/1", Number: crashed.Number}
	for name, add := range map[string]func(*advisory.Book){
		"issued here":    func(b *advisory.Book) { b.Issue(other) },
		"issued by peer": func(b *advisory.Book) { b.Merge([]advisory.Aged{{Advisory: other}}) },
	} {
		b := advisory.NewBook()
		b.Issue(crashed)
		add(b)
		if due, found := b.StoreDue(); !found || due.After(time.Now()) {
			t.Errorf("second crash %s: due in %s (found %t), want now", name, time.Until(due), found)
		}
	}
}

// A request that is cleared soon after the crash needs no write to the store.
func TestBookCrashIsStoredAfterWithdrawal(t *testing.T) {
	b := advisory.NewBook()
	b.Issue(crashed)
	due, found := b.StoreDue()
	if !found || !due.After(time.Now()) {
		t.Errorf("crash is due in %s (found %t), want later than now", time.Until(due), found)
	}
	b.Issue(withdrawn)
	if due, _ := b.StoreDue(); due.After(time.Now()) {
		t.Errorf("withdrawal is due in %s, want now", time.Until(due))
	}
	b.MarkStored([]advisory.Aged{{Advisory: withdrawn}})
	b.Merge([]advisory.Aged{{Advisory: cleared}})
	if _, found := b.StoreDue(); found {
		t.Error("a cleared request is due to be stored")
	}
}
