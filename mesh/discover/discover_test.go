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
	// book holds the advisories of the finder that runs, epochs the epochs that it hears of.
	book   *advisory.Book
	epochs *revision.Epochs
	// notSweeper means that another daemon is the sweeper.
	notSweeper bool
}

// setEpoch makes the registry count its epochs.
func (w *fakeDeps) setEpoch(epoch uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision.Epoch = epoch
	for i := range w.entries {
		w.entries[i].Revision.Epoch = epoch
	}
}

// restore brings the registry back from a copy with some entries.
func (w *fakeDeps) restore(entries ...discover.Entry) {
	w.mu.Lock()
	w.entries = entries
	epoch := w.revision.Epoch + 1
	w.revision.Number = 1
	w.mu.Unlock()
	w.setEpoch(epoch)
	w.epochs.Observe(epoch)
}

func (w *fakeDeps) nextError() error {
	w.calls++
	w.epochs.Observe(w.revision.Epoch)
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

func (w *fakeDeps) IsSweeper() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.notSweeper
}

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
		w.book, w.epochs = advisory.NewBook(), &revision.Epochs{}
		cfg := discover.DefaultConfig()
		own := discover.Entry{Server: "self", Domain: "cairo-a", PeerAddress: "10.0.0.1:1"}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			f := discover.New(cfg, own, w, w, w, w.book, nopLogger{})
			f.Epochs = w.epochs
			_ = f.Run(ctx)
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

// Guards against a daemon that others never find, or whose confirmed withdrawals are
// forgotten, since the store came back from a copy without its entry; and against writes of
// entries that need none.
func TestFinderWritesEntryAgainAfterStoreCopy(t *testing.T) {
	withdrawn := advisory.Advisory{Kind: advisory.Withdrawn, Subject: "i-1", Number: 20}
	for name, copied := range map[string][]discover.Entry{
		"without the entry": nil, "with an earlier entry": {newEntry("self", "10.0.0.1:1")},
	} {
		t.Run(name, func(t *testing.T) {
			w := &fakeDeps{streams: 1}
			w.setEpoch(1)
			runFinder(t, w, func(cfg discover.Config) {
				time.Sleep(10 * time.Second)
				w.book.Issue(withdrawn)
				time.Sleep(time.Second)
				if e := w.entry("self"); e.Epoch != 1 || len(e.Advisories) != 1 {
					t.Errorf("stored %+v before the return, want epoch 1 and one advisory", e)
				}
				// The store comes back twice in quick succession.
				for range 2 {
					w.restore(slices.Clone(copied)...)
					synctest.Wait()
					if err := w.book.AwaitStored(t.Context(), advisory.Withdrawn); err != nil {
						t.Error(err)
					}
				}
				if e := w.entry("self"); e.Epoch != 3 || len(e.Advisories) != 1 || e.Advisories[0].Advisory != withdrawn {
					t.Errorf("stored %+v at once after the return, want epoch 3 and the advisory", e)
				}
				time.Sleep(cfg.RestoreSpread)
				_, before := w.observed()
				w.restore(w.entry("self"))
				time.Sleep(time.Minute)
				// The sweeper looks once more whether advisories of others are to be stored.
				if _, after := w.observed(); after-before > 3 {
					t.Errorf("%d calls of the registry after a return that lost nothing, want at most 3", after-before)
				}
			})
		})
	}
}

// Guards against a storm of writes when the store comes back.
func TestFinderSpreadsWritesAfterStoreCopy(t *testing.T) {
	var times []time.Duration
	for range 20 {
		w := &fakeDeps{streams: 1, notSweeper: true}
		w.setEpoch(1)
		runFinder(t, w, func(cfg discover.Config) {
			time.Sleep(10 * time.Second)
			start := time.Now()
			w.restore()
			for !w.registered("self") && time.Since(start) < 2*cfg.RestoreSpread {
				time.Sleep(10 * time.Millisecond)
			}
			times = append(times, time.Since(start))
			time.Sleep(2 * cfg.RestoreSpread)
			if e := w.entry("self"); e.Epoch != 2 {
				t.Errorf("stored %+v, want epoch 2", e)
			}
		})
	}
	slices.Sort(times)
	if limit := discover.DefaultConfig().RestoreSpread; times[len(times)-1] > limit+50*time.Millisecond || times[len(times)-1]-times[0] < limit/2 {
		t.Errorf("entries written %s to %s after the return, want them spread over %s", times[0], times[len(times)-1], limit)
	}
}

// Guards against a withdrawal that is forgotten since the daemon that confirmed it had ended
// when the store came back without it.
func TestFinderStoresAdvisoriesOfEndedDaemonsAfterStoreCopy(t *testing.T) {
	of := advisory.Advisory{Kind: advisory.Withdrawn, Subject: "i-other", Number: 20}
	for name, sweepsAfter := range map[string]time.Duration{"sweeper": 0, "sweeper later": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			w := &fakeDeps{streams: 1, notSweeper: sweepsAfter > 0}
			w.setEpoch(1)
			runFinder(t, w, func(discover.Config) {
				time.Sleep(10 * time.Second)
				w.book.Merge([]advisory.Aged{{Advisory: of}})
				time.Sleep(time.Second)
				w.restore()
				time.Sleep(sweepsAfter)
				w.mu.Lock()
				w.notSweeper = false
				w.mu.Unlock()
				time.Sleep(10 * time.Second)
				if e := w.entry("self"); len(e.Advisories) != 1 || e.Advisories[0].Advisory != of {
					t.Errorf("stored %+v, want the advisory of the other daemon", e)
				}
			})
		})
	}
}

// Guards against a starting daemon that takes what it reads for complete although the store
// has lost advisories that no daemon could write again, and against an entry that says so to
// its next start.
func TestFinderTakesAdvisoriesForDoubtfulAfterStoreCopy(t *testing.T) {
	for name, entries := range map[string][]discover.Entry{
		"own entry of an earlier epoch": {newEntry("self", "10.0.0.1:1")}, "own entry lost": {newEntry("other", "10.0.0.2:1")},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range entries {
				entries[i].Epoch, entries[i].Domain = 1, "cairo-a"
			}
			w := &fakeDeps{streams: 1, entries: entries}
			w.setEpoch(2)
			runFinder(t, w, func(cfg discover.Config) {
				time.Sleep(10 * time.Second)
				if c := w.book.Completeness(); c != advisory.Doubtful {
					t.Errorf("advisories are %s, want doubtful", c)
				}
				if e := w.entry("self"); e.Epoch > 1 {
					t.Errorf("stored %+v, want an earlier epoch", e)
				}
				w.book.SetCompleteness(advisory.Complete)
				time.Sleep(2 * cfg.RestoreSpread)
				if e := w.entry("self"); e.Epoch != 2 {
					t.Errorf("stored %+v once a peer has sent all advisories, want epoch 2", e)
				}
			})
		})
	}
	w := &fakeDeps{streams: 1, entries: []discover.Entry{newEntry("other", "10.0.0.2:1")}}
	w.entries[0].Epoch = 2
	w.setEpoch(2)
	runFinder(t, w, func(discover.Config) {
		time.Sleep(10 * time.Second)
		if c := w.book.Completeness(); c != advisory.Complete {
			t.Errorf("advisories are %s beside entries of the current epoch, want complete", c)
		}
	})
}
