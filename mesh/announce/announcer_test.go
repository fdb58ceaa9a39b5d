package announce_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/advisory"
	"fescuehoist.example/mesh/announce"
	"fescuehoist.example/mesh/member"
)

// fakeDeps implements Publisher, AddressSetter and Gate.
type fakeDeps struct {
	mu     sync.Mutex
	state  member.State
	closed bool
	// openedFully counts the calls of OpenFully.
	openedFully int
}

func (p *fakeDeps) Announce(own member.Record) { p.update(func() { p.state = own.State }) }
func (p *fakeDeps) Close()                     { p.update(func() { p.closed = true }) }
func (p *fakeDeps) Open()                      { p.update(func() { p.closed = false }) }
func (p *fakeDeps) OpenFully()                 { p.update(func() { p.openedFully++ }) }

func (*fakeDeps) SetAddress(string)           {}
func (*fakeDeps) SetSlots(int)                {}
func (*fakeDeps) Drain(context.Context) error { return nil }

// completeBook returns a book of a daemon that got back all advisories.
func completeBook() *advisory.Book {
	b := advisory.NewBook()
	b.SetCompleteness(advisory.Complete)
	return b
}

func (p *fakeDeps) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *fakeDeps) snapshot() (member.State, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.closed
}

func newBackend(instance string, started, sequence uint64) announce.Backend {
	return announce.Backend{Service: "lookup", Address: instance, Slots: 4, Instance: instance, Started: started, Sequence: sequence}
}

// Only a backend server that cannot have answered an earlier start of the daemon gets
// all calls at once.
func TestAnnounceOpensFullyForServerStartedAfterDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeDeps{}
		a := announce.New(member.Record{Server: "lookup-1"}, p, p, p, completeBook(), time.Hour)
		now := uint64(time.Now().UnixMilli())
		for _, step := range []struct {
			name string
			b    announce.Backend
			want int
		}{
			{"running for ten seconds", newBackend("i-1", now-10_000, 1), 0},
			{"restarted", newBackend("i-2", now+200, 1), 1},
			{"repeated", newBackend("i-2", now+200, 2), 1},
		} {
			a.Announce(step.b)
			if p.openedFully != step.want {
				t.Errorf("%s: opened fully %d times, want %d", step.name, p.openedFully, step.want)
			}
		}
	})
}

func TestAnnounceIgnoresOutdatedAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeDeps{}
		a := announce.New(member.Record{Server: "lookup-1"}, p, p, p, completeBook(), time.Hour)
		leaving := newBackend("i-1", 10, 3)
		leaving.Draining = true
		for _, step := range []struct {
			name     string
			b        announce.Backend
			accepted bool
			state    member.State
			closed   bool
		}{
			{"first", newBackend("i-1", 10, 1), true, member.Ready, false},
			{"repeated", newBackend("i-1", 10, 1), false, member.Ready, false},
			{"draining", leaving, true, member.Draining, true},
			{"late and outdated", newBackend("i-1", 10, 2), false, member.Draining, true},
			{"ready after draining", newBackend("i-1", 10, 4), true, member.Draining, true},
			{"earlier start", newBackend("i-0", 5, 99), false, member.Draining, true},
			{"later start under the same name", newBackend("i-1", 20, 1), true, member.Ready, false},
		} {
			if accepted := a.Announce(step.b); accepted != step.accepted {
				t.Errorf("%s: accepted %t", step.name, accepted)
			}
			time.Sleep(2 * announce.NoticePeriod)
			if state, closed := p.snapshot(); state != step.state || closed != step.closed {
				t.Errorf("%s: state %s, closed %t", step.name, state, closed)
			}
		}
		if a.Withdraw("i-0") {
			t.Error("Withdraw accepted an instance that is not announced")
		}
		withdrawn := a.Withdraw("i-1")
		if state, _ := p.snapshot(); !withdrawn || state != member.Draining {
			t.Errorf("Withdraw returned %t, state %s; want true, draining", withdrawn, state)
		}
		a.Announce(newBackend("i-1", 20, 2))
		if state, _ := p.snapshot(); state != member.Draining {
			t.Errorf("state %s after an announcement by a withdrawn start, want draining", state)
		}
	})
}

func TestLateAnnouncementOfWithdrawnInstanceIsNotReadyAfterDaemonRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeDeps{}
		a := announce.New(member.Record{Server: "lookup-1"}, p, p, p, completeBook(), time.Hour)
		started := uint64(time.Now().Add(-time.Minute).UnixMilli())
		a.Withdraw("i-1")
		time.Sleep(3 * time.Second)
		a.Announce(newBackend("i-1", started, 7))
		time.Sleep(announce.NoticePeriod + time.Millisecond)
		if state, closed := p.snapshot(); state != member.Draining || !closed {
			t.Errorf("state %s, gate closed: %t after a late announcement of an instance that withdrew, want draining and closed", state, closed)
		}
		a.Announce(newBackend("i-1", uint64(time.Now().UnixMilli()), 1))
		if state, closed := p.snapshot(); state != member.Ready || closed {
			t.Errorf("state %s, gate closed: %t after a later start of the same instance, want ready and open", state, closed)
		}
	})
}

// After a start of the daemon, an announcement may be a late one of an instance whose
// withdrawal an earlier start confirmed.
func TestAnnouncementIsHeldUntilAdvisoriesAreKnown(t *testing.T) {
	for _, c := range []struct {
		name         string
		completeness advisory.Completeness
		withdrawn    bool
		// reports is the number of announcements of an instance that started before the
		// daemon, or 0 for one of an instance that did not; want is the state after them.
		reports int
		want    member.State
	}{
		{"not known yet", advisory.Unrestored, false, 3, member.Starting},
		{"complete", advisory.Complete, false, 1, member.Ready},
		{"complete with a withdrawal", advisory.Complete, true, 1, member.Draining},
		{"doubtful, one announcement", advisory.Doubtful, false, 1, member.Starting},
		{"doubtful, repeated", advisory.Doubtful, false, 2, member.Ready},
		{"doubtful, started after the daemon", advisory.Doubtful, false, 0, member.Ready},
		{"doubtful with a withdrawal", advisory.Doubtful, true, 2, member.Draining},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, book := &fakeDeps{}, advisory.NewBook()
				a := announce.New(member.Record{Server: "lookup-1"}, p, p, p, book, time.Hour)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _ = a.Run(ctx) }()
				if c.reports == 0 {
					a.Announce(newBackend("i-1", uint64(time.Now().UnixMilli()), 1))
				}
				for i := range c.reports {
					a.Announce(newBackend("i-1", 20, uint64(i+1)))
				}
				if c.withdrawn {
					book.Merge([]advisory.Aged{{Advisory: advisory.Advisory{Kind: advisory.Withdrawn, Subject: "i-1", Number: 20}}})
				}
				book.SetCompleteness(c.completeness)
				synctest.Wait()
				if state := a.State(); state != c.want {
					t.Errorf("state %s, want %s", state, c.want)
				}
			})
		})
	}
}

// An advisory of a withdrawal may come from a peer after the announcement.
func TestReadyInstanceIsRemovedByAdvisoryOfItsWithdrawal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, book := &fakeDeps{}, completeBook()
		a := announce.New(member.Record{Server: "lookup-1"}, p, p, p, book, time.Hour)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = a.Run(ctx) }()
		a.Announce(newBackend("i-1", 20, 1))
		book.Merge([]advisory.Aged{{Advisory: advisory.Advisory{Kind: advisory.Withdrawn, Subject: "i-1", Number: 20}}})
		synctest.Wait()
		if state := a.State(); state != member.Draining {
			t.Errorf("state %s, want draining", state)
		}
	})
}

// A backend server that says that it drains while its daemon stops must stay withdrawn
// when the daemon runs again.
func TestDrainingWhileDaemonLeavesIsKept(t *testing.T) {
	p, book := &fakeDeps{}, completeBook()
	a := announce.New(member.Record{Server: "lookup-1"}, p, p, p, book, time.Hour)
	a.Announce(newBackend("i-1", 20, 1))
	a.Leave()
	leaving := newBackend("i-1", 20, 2)
	leaving.Draining = true
	a.Announce(leaving)
	if !book.HasWithdrawn("i-1", 20) {
		t.Error("the withdrawal is not kept")
	}
}

func TestConfirmNeedsStore(t *testing.T) {
	for name, stored := range map[string]bool{"stored": true, "store away": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, book := &fakeDeps{}, completeBook()
				a := announce.New(member.Record{Server: "lookup-1"}, p, p, p, book, time.Hour)
				a.Announce(newBackend("i-1", 20, 1))
				a.Withdraw("i-1")
				if stored {
					book.MarkStored(book.Issued())
				}
				if err := a.Confirm(t.Context()); (err == nil) != stored {
					t.Errorf("error %v, want confirmed: %t", err, stored)
				}
			})
		})
	}
}
