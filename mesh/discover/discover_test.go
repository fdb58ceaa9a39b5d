package discover_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/discover"
	"fescuehoist.example/mesh/member"
)

// world is a registry, the streams and the members in one.
type world struct {
	mu      sync.Mutex
	entries []discover.Entry
	failing int
	met     []string
	streams int
	calls   int
	gone    map[member.ServerID]bool
}

func (w *world) fail() error {
	w.calls++
	if w.failing > 0 {
		w.failing--
		return errors.New("down")
	}
	return nil
}

func (w *world) Register(_ context.Context, e discover.Entry) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.fail(); err != nil {
		return err
	}
	w.entries = append(w.entries, e)
	return nil
}

func (w *world) List(context.Context) ([]discover.Entry, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.entries), w.fail()
}

func (w *world) Remove(_ context.Context, server member.ServerID) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = slices.DeleteFunc(w.entries, func(e discover.Entry) bool { return e.Server == server })
	return w.fail()
}

func (w *world) Meet(addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.met = append(w.met, addresses...)
}

func (w *world) Peers() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.streams
}

func (w *world) IsSweeper() bool { return true }

func (w *world) Gone(server member.ServerID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone[server]
}

func (w *world) has(server member.ServerID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.entries, func(e discover.Entry) bool { return e.Server == server })
}

// seen returns the addresses met and the number of calls.
func (w *world) seen() ([]string, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.met), w.calls
}

type silent struct{}

func (silent) Infof(string, ...any) {}
func (silent) Warnf(string, ...any) {}

func run(t *testing.T, w *world, test func(discover.Config)) {
	synctest.Test(t, func(*testing.T) {
		cfg := discover.DefaultConfig()
		own := discover.Entry{Server: "self", Domain: "cairo-a", PeerAddress: "10.0.0.1:1"}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			_ = discover.New(cfg, own, w, w, w, silent{}).Run(ctx)
			close(done)
		}()
		test(cfg)
		cancel()
		<-done
	})
}

func entry(server, address string) discover.Entry {
	return discover.Entry{Server: member.ServerID(server), PeerAddress: address}
}

func TestADaemonRegistersThroughAnOutageAndMeetsOthers(t *testing.T) {
	w := &world{failing: 5, streams: 1, entries: []discover.Entry{entry("other", "10.0.0.2:1"), entry("old-self", "10.0.0.1:1")}}
	run(t, w, func(discover.Config) {
		time.Sleep(10 * time.Second)
		if !w.has("self") {
			t.Error("the daemon is not registered")
		}
		met, calls := w.seen()
		if !slices.Equal(met, []string{"10.0.0.2:1"}) {
			t.Errorf("met %v", met)
		}
		time.Sleep(2 * time.Minute)
		if _, later := w.seen(); later != calls {
			t.Errorf("%d calls while it has peers", later-calls)
		}
	})
}

func TestAnIsolatedDaemonLooksAgain(t *testing.T) {
	w := &world{}
	run(t, w, func(cfg discover.Config) {
		time.Sleep(time.Second)
		w.mu.Lock()
		w.entries = append(w.entries, entry("late", "10.0.0.3:1"))
		w.mu.Unlock()
		time.Sleep(2 * cfg.IsolationLimit)
		if met, _ := w.seen(); !slices.Contains(met, "10.0.0.3:1") {
			t.Errorf("met %v", met)
		}
	})
}

func TestEntriesOfDaemonsThatAreGoneAreRemovedInTime(t *testing.T) {
	w := &world{streams: 1, gone: map[member.ServerID]bool{"dead": true},
		entries: []discover.Entry{entry("dead", "10.0.0.4:1"), entry("alive", "10.0.0.5:1")}}
	run(t, w, func(cfg discover.Config) {
		time.Sleep(cfg.Retention + 2*cfg.IsolationLimit)
		if !w.has("dead") {
			t.Error("the entry was removed at the first sight")
		}
		time.Sleep(cfg.Retention + 2*cfg.IsolationLimit)
		if w.has("dead") || !w.has("alive") || !w.has("self") {
			t.Error("another entry was removed, or this one stays")
		}
	})
}
