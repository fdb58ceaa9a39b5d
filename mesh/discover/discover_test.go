package discover_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/advisory"
	"fescuehoist.example/mesh/discover"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/revision"
)

// fakeDeps implements Registry, Peers and Members.
type fakeDeps struct {
	mu       sync.Mutex
	entries  []discover.Entry
	revision revision.Revision
	failures int
	contacts []string
	streams  int
	calls    int
	gone     map[member.ServerID]bool
	// book holds the advisories of the finder that runs.
	book *advisory.Book
}

func (w *fakeDeps) nextError() error {
	w.calls++
	if w.failures > 0 {
		w.failures--
		return errors.New("registry unavailable")
	}
	return nil
}

func (w *fakeDeps) index(server member.ServerID) int {
	return slices.IndexFunc(w.entries, func(e discover.Entry) bool { return e.Server == server })
}

func (w *fakeDeps) Write(_ context.Context, e discover.Entry) (revision.Revision, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.nextError(); err != nil {
		return revision.Revision{}, err
	}
	i, stored := w.index(e.Server), discover.Entry{}
	if i >= 0 {
		stored = w.entries[i]
	}
	if stored.Revision != e.Revision {
		return revision.Revision{}, discover.ErrChanged
	}
	w.put(e)
	return w.revision, nil
}

// put adds or replaces an entry.
func (w *fakeDeps) put(e discover.Entry) {
	w.revision = revision.Latest(w.revision, e.Revision)
	w.revision.Number++
	e.Revision = w.revision
	if i := w.index(e.Server); i >= 0 {
		w.entries[i] = e
		return
	}
	w.entries = append(w.entries, e)
}

func (w *fakeDeps) Get(_ context.Context, server member.ServerID) (discover.Entry, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i := w.index(server); i >= 0 {
		return w.entries[i], w.nextError()
	}
	return discover.Entry{}, w.nextError()
}

func (w *fakeDeps) List(context.Context) ([]discover.Entry, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.entries), w.nextError()
}

func (w *fakeDeps) Remove(_ context.Context, e discover.Entry) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = slices.DeleteFunc(w.entries, func(o discover.Entry) bool { return o.Server == e.Server && o.Revision == e.Revision })
	return w.nextError()
}

func (w *fakeDeps) AddContacts(addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.contacts = append(w.contacts, addresses...)
}

func (w *fakeDeps) PeerCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.streams
}

func (w *fakeDeps) IsSweeper() bool { return true }

func (w *fakeDeps) Gone(server member.ServerID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone[server]
}

func (w *fakeDeps) registered(server member.ServerID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.index(server) >= 0
}

// entry returns the entry of a server.
func (w *fakeDeps) entry(server member.ServerID) discover.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[w.index(server)]
}

// observed returns the contacts added and the number of calls.
func (w *fakeDeps) observed() ([]string, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.contacts), w.calls
}

type nopLogger struct{}

func (nopLogger) Infof(string, ...any) {}
func (nopLogger) Warnf(string, ...any) {}

func runFinder(t *testing.T, w *fakeDeps, test func(discover.Config)) {
	synctest.Test(t, func(*testing.T) {
		w.book = advisory.NewBook()
		cfg := discover.DefaultConfig()
		own := discover.Entry{Server: "self", Domain: "cairo-a", PeerAddress: "10.0.0.1:1"}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			_ = discover.New(cfg, own, w, w, w, w.book, nopLogger{}).Run(ctx)
			close(done)
		}()
		test(cfg)
		cancel()
		<-done
	})
}

func newEntry(server, address string) discover.Entry {
	return discover.Entry{Server: member.ServerID(server), PeerAddress: address, Revision: revision.Revision{Number: 1}}
}

func TestFinderRegistersAndAddsContactsAfterOutage(t *testing.T) {
	w := &fakeDeps{failures: 5, streams: 1, entries: []discover.Entry{newEntry("other", "10.0.0.2:1"), newEntry("old-self", "10.0.0.1:1")}}
	runFinder(t, w, func(discover.Config) {
		time.Sleep(10 * time.Second)
		if !w.registered("self") {
			t.Error("no entry for self after the outage")
		}
		contacts, calls := w.observed()
		if !slices.Equal(contacts, []string{"10.0.0.2:1"}) {
			t.Errorf("contacts %v, want only 10.0.0.2:1", contacts)
		}
		time.Sleep(2 * time.Minute)
		if _, later := w.observed(); later != calls {
			t.Errorf("%d registry calls while a stream is open, want 0", later-calls)
		}
	})
}

func TestFinderListsAgainWithoutPeers(t *testing.T) {
	w := &fakeDeps{}
	runFinder(t, w, func(cfg discover.Config) {
		time.Sleep(time.Second)
		w.mu.Lock()
		w.entries = append(w.entries, newEntry("late", "10.0.0.3:1"))
		w.mu.Unlock()
		time.Sleep(2 * cfg.IsolationCheckInterval)
		if contacts, _ := w.observed(); !slices.Contains(contacts, "10.0.0.3:1") {
			t.Errorf("contacts %v, want 10.0.0.3:1 among them", contacts)
		}
	})
}

func TestFinderRemovesGoneEntryAtSecondSweep(t *testing.T) {
	w := &fakeDeps{streams: 1, gone: map[member.ServerID]bool{"dead": true},
		entries: []discover.Entry{newEntry("dead", "10.0.0.4:1"), newEntry("alive", "10.0.0.5:1")}}
	runFinder(t, w, func(cfg discover.Config) {
		time.Sleep(cfg.Retention + 2*cfg.IsolationCheckInterval)
		if !w.registered("dead") {
			t.Error("entry of the gone daemon removed at the first sweep")
		}
		time.Sleep(cfg.Retention + 2*cfg.IsolationCheckInterval)
		if w.registered("dead") || !w.registered("alive") || !w.registered("self") {
			t.Error("second sweep did not remove exactly the entry of the gone daemon")
		}
	})
}

// A daemon that starts again takes back the advisories of its earlier start, keeps them
// in its entry, and adds those that it issues.
func TestFinderRestoresAndStoresAdvisories(t *testing.T) {
	withdrawn := advisory.Advisory{Kind: advisory.Withdrawn, Subject: "i-1", Number: 20}
	crashed := advisory.Advisory{Kind: advisory.Crashed, Subject: "s/1", Number: 7}
	issued := advisory.Advisory{Kind: advisory.Withdrawn, Subject: "i-2", Number: 30}
	own, other := newEntry("self", "10.0.0.9:1"), newEntry("other", "10.0.0.2:1")
	own.Advisories, other.Advisories = []advisory.Aged{{Advisory: withdrawn}}, []advisory.Aged{{Advisory: crashed}}
	w := &fakeDeps{streams: 1, entries: []discover.Entry{own, other}}
	runFinder(t, w, func(discover.Config) {
		time.Sleep(time.Second)
		if c := w.book.Completeness(); c != advisory.Complete || len(w.book.Live()) != 2 {
			t.Errorf("holds %v, which are %s, want both advisories, complete", w.book.Live(), c)
		}
		w.book.Issue(issued)
		time.Sleep(time.Second)
		stored := w.entry("self")
		if stored.PeerAddress != "10.0.0.1:1" || len(stored.Advisories) != 2 {
			t.Errorf("stored %+v, want the new address and the advisories of both starts", stored)
		}
	})
}

// Advisories that other daemons issued while the registry failed may be missing in it.
func TestFinderTakesAdvisoriesForDoubtfulAfterFailure(t *testing.T) {
	w := &fakeDeps{failures: 1, streams: 1}
	runFinder(t, w, func(discover.Config) {
		time.Sleep(10 * time.Second)
		if c := w.book.Completeness(); c != advisory.Doubtful {
			t.Errorf("advisories are %s, want doubtful", c)
		}
	})
}

// An unchanged entry is not written at each start.
func TestFinderLeavesCurrentEntryAsItIs(t *testing.T) {
	own := newEntry("self", "10.0.0.1:1")
	own.Domain = "cairo-a"
	w := &fakeDeps{streams: 1, entries: []discover.Entry{own}}
	runFinder(t, w, func(discover.Config) {
		time.Sleep(time.Second)
		if _, calls := w.observed(); calls != 2 {
			t.Errorf("%d calls of the registry, want a create and a list", calls)
		}
	})
}

// A write that an earlier start of the daemon made may be carried out after the daemon
// has read its entry.
func TestFinderKeepsAdvisoriesOfLateWrite(t *testing.T) {
	late := advisory.Advisory{Kind: advisory.Withdrawn, Subject: "i-1", Number: 20}
	issued := advisory.Advisory{Kind: advisory.Withdrawn, Subject: "i-2", Number: 30}
	w := &fakeDeps{streams: 1}
	runFinder(t, w, func(discover.Config) {
		time.Sleep(time.Second)
		e := w.entry("self")
		e.Advisories = []advisory.Aged{{Advisory: late}}
		w.mu.Lock()
		w.put(e)
		w.mu.Unlock()
		w.book.Issue(issued)
		time.Sleep(time.Second)
		if stored := w.entry("self").Advisories; len(stored) != 2 {
			t.Errorf("stored %+v, want the advisory of the late write and the issued one", stored)
		}
		if err := w.book.AwaitStored(t.Context(), advisory.Withdrawn); err != nil {
			t.Error(err)
		}
	})
}

// A write whose outcome is unknown must not be overwritten, nor hold up the next one.
func TestFinderStoresAdvisoriesAfterFailedWrite(t *testing.T) {
	w := &fakeDeps{streams: 1}
	runFinder(t, w, func(discover.Config) {
		time.Sleep(time.Second)
		w.mu.Lock()
		w.failures = 3
		w.mu.Unlock()
		w.book.Issue(advisory.Advisory{Kind: advisory.Withdrawn, Subject: "i-1", Number: 20})
		time.Sleep(10 * time.Second)
		if stored := w.entry("self").Advisories; len(stored) != 1 {
			t.Errorf("stored %+v, want the issued advisory", stored)
		}
	})
}
