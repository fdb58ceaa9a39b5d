package configwatch_test

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuehoist.example/mesh/configwatch"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/revision"
	"fescuehoist.example/mesh/target"
)

var errDown = errors.New("down")

// source is a configwatch.Source in memory that can be taken down and can drop
// its history.
type source struct {
	mu      sync.Mutex
	version int
	// epoch and number are the revision of the version; number may be 0 for the version.
	epoch, number uint64
	down          bool
	compacted     bool
	malformed     bool
	accounts      []target.Account
	changed       chan struct{}
	reads         int
}

func newSource() *source { return &source{changed: make(chan struct{})} }

func (s *source) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// at returns the revision of the current version.
func (s *source) at() revision.Revision {
	return revision.Revision{Epoch: s.epoch, Number: cmp.Or(s.number, uint64(s.version))}
}

func (s *source) configuration() (*configwatch.Configuration, revision.Revision, error) {
	if s.malformed {
		return nil, s.at(), configwatch.ErrMalformed
	}
	class := target.Class{Name: "search", Path: "/", Rank: 1, Latency: time.Second, Timeout: time.Second, Success: 0.9}
	return &configwatch.Configuration{
		Version:  manifest.Version(s.version),
		Services: []target.Service{{Name: "lookup", Classes: []target.Class{class}}},
		Accounts: s.accounts,
	}, s.at(), nil
}

func (s *source) Latest(context.Context) (*configwatch.Configuration, revision.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	switch {
	case s.down:
		return nil, revision.Revision{}, errDown
	case s.version == 0:
		return nil, revision.Revision{}, configwatch.ErrNoConfiguration
	}
	s.compacted = false
	return s.configuration()
}

func (s *source) Next(ctx context.Context, after revision.Revision, limit time.Duration) (*configwatch.Configuration, revision.Revision, error) {
	timer := time.After(limit)
	for {
		s.mu.Lock()
		s.reads++
		down, compacted, newer, changed := s.down, s.compacted, s.at().After(after), s.changed
		c, at, err := s.configuration()
		restored := at.Epoch != after.Epoch
		s.mu.Unlock()
		switch {
		case down:
			return nil, revision.Revision{}, errDown
		case compacted || restored:
			return nil, revision.Revision{}, configwatch.ErrCompacted
		case newer:
			return c, at, err
		}
		select {
		case <-changed:
		case <-timer:
			return nil, after, configwatch.ErrUnchanged
		case <-ctx.Done():
			return nil, revision.Revision{}, ctx.Err()
		}
	}
}

func (s *source) Ping(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errDown
	}
	return nil
}

type discardLogger struct{}

func (discardLogger) Infof(string, ...any) {}
func (discardLogger) Warnf(string, ...any) {}

// announcer announces the daemon's own record in its member table.
type announcer struct {
	table *member.Table
	own   member.Record
}

func (a *announcer) SetStoreUnreachable(unreachable bool) {
	a.own.StoreUnreachable = unreachable
	a.table.Announce(a.own)
}

type daemon struct {
	configs *manifest.Store
	table   *member.Table
}

// start runs a watcher whose member table already condition the given records.
func start(t *testing.T, s configwatch.Source, self string, known ...member.Record) *daemon {
	d := &daemon{configs: manifest.NewStore(), table: member.NewTable(member.ServerID(self))}
	own := member.Record{Server: member.ServerID(self), Incarnation: 1, Domain: "cairo-a"}
	d.table.Announce(own)
	d.table.Merge(known)
	cfg := configwatch.DefaultConfig()
	cfg.RetryBase, cfg.RetryMax, cfg.ProbeInterval = time.Millisecond, 5*time.Millisecond, 5*time.Millisecond
	cfg.MinReadInterval, cfg.WatchTimeout = time.Millisecond, 50*time.Millisecond
	watcher := configwatch.New(cfg, own.Server, own.Domain, s, d.table, d.configs, &announcer{d.table, own}, discardLogger{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- watcher.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return d
}

// await waits for a condition.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

func (d *daemon) hasVersion(v manifest.Version) func() bool {
	return func() bool { return d.configs.Snapshot().Version() == v }
}

func (d *daemon) storeUnreachable(server member.ServerID) func() bool {
	return func() bool {
		r, _ := d.table.Get(server)
		return r.StoreUnreachable
	}
}

func TestWatcherFollowsVersionsAcrossOutageAndCompaction(t *testing.T) {
	s := newSource()
	d := start(t, s, "a")
	s.update(func() { s.version = 4 })
	await(t, "the first version", d.hasVersion(4))
	s.update(func() { s.version = 9 })
	await(t, "the next version", d.hasVersion(9))
	s.update(func() { s.down = true })
	await(t, "the announcement that the store is unreachable", d.storeUnreachable("a"))
	s.update(func() { s.version, s.down = 12, false })
	await(t, "the version after the outage", d.hasVersion(12))
	if d.storeUnreachable("a")() {
		t.Error("store still announced as unreachable after the outage")
	}
	s.update(func() { s.version, s.compacted = 15, true })
	await(t, "the version after the history was dropped", d.hasVersion(15))
	s.update(func() { s.version = 14 })
	time.Sleep(20 * time.Millisecond)
	if !d.hasVersion(15)() {
		t.Error("applied version 14 after version 15")
	}
}

func TestWatcherKeepsVersionWhileConfigurationIsMalformed(t *testing.T) {
	s := newSource()
	s.update(func() { s.version = 4 })
	d := start(t, s, "a")
	await(t, "the first version", d.hasVersion(4))
	s.update(func() { s.version, s.malformed = 5, true })
	await(t, "the refusal", func() bool { return d.configs.Refusal() != nil })
	if !d.hasVersion(4)() {
		t.Errorf("version %d in force, want 4", d.configs.Snapshot().Version())
	}
	if d.storeUnreachable("a")() {
		t.Error("store announced as unreachable although it responded")
	}
	s.update(func() { s.version, s.malformed = 6, false })
	await(t, "the next valid version", d.hasVersion(6))
	if r := d.configs.Refusal(); r != nil {
		t.Errorf("refusal %v remains after a valid version", r)
	}
}

// nameAfter returns a name that follows another in hash order.
func nameAfter(other string) string {
	for name := "a"; ; name += "a" {
		if xxhash.Sum64String(name) > xxhash.Sum64String(other) {
			return name
		}
	}
}

func TestWatcherTakesOverFromReaderWithUnreachableStore(t *testing.T) {
	s := newSource()
	s.update(func() { s.version = 3 })
	first := member.Record{Server: "b", Incarnation: 1, Domain: "cairo-a"}
	far := member.Record{Server: "z", Incarnation: 1, Domain: "cairo-b"}
	d := start(t, s, nameAfter("b"), first, far)
	time.Sleep(50 * time.Millisecond)
	if !d.hasVersion(0)() {
		t.Fatal("reads the source although another daemon precedes it in hash order")
	}
	first.StoreUnreachable, first.Sequence = true, 1
	d.table.Merge([]member.Record{first})
	await(t, "the daemon to take over", d.hasVersion(3))
}

func TestWatcherDefersToDaemonWithMoreBandwidth(t *testing.T) {
	s := newSource()
	s.update(func() { s.version = 3 })
	wide := member.Record{Server: member.ServerID(nameAfter("b")), Incarnation: 1, Domain: "cairo-a", LinkMbps: 140}
	d := start(t, s, "b", wide)
	time.Sleep(50 * time.Millisecond)
	if !d.hasVersion(0)() {
		t.Fatal("reads the source although another daemon has more bandwidth")
	}
	wide.StoreUnreachable, wide.Sequence = true, 1
	d.table.Merge([]member.Record{wide})
	await(t, "the daemon to take over", d.hasVersion(3))
}
