package configwatch_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuehoist.example/mesh/configwatch"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/target"
)

var errDown = errors.New("down")

// source is a configuration whose changes are waited for.
type source struct {
	mu        sync.Mutex
	version   int
	down      bool
	forgotten bool
	changed   chan struct{}
	reads     int
}

func newSource() *source { return &source{changed: make(chan struct{})} }

func (s *source) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source) configuration() (*configwatch.Configuration, configwatch.Revision, error) {
	class := target.Class{Name: "search", Path: "/", Rank: 1, Latency: time.Second, Timeout: time.Second, Success: 0.9}
	return &configwatch.Configuration{
		Version:  manifest.Version(s.version),
		Services: []target.Service{{Name: "lookup", Classes: []target.Class{class}}},
	}, configwatch.Revision(s.version), nil
}

func (s *source) Latest(context.Context) (*configwatch.Configuration, configwatch.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	switch {
	case s.down:
		return nil, 0, errDown
	case s.version == 0:
		return nil, 0, configwatch.ErrNoConfiguration
	}
	s.forgotten = false
	return s.configuration()
}

func (s *source) Next(ctx context.Context, after configwatch.Revision, limit time.Duration) (*configwatch.Configuration, configwatch.Revision, error) {
	timer := time.After(limit)
	for {
		s.mu.Lock()
		s.reads++
		down, forgotten, newer, changed := s.down, s.forgotten, configwatch.Revision(s.version) > after, s.changed
		c, revision, _ := s.configuration()
		s.mu.Unlock()
		switch {
		case down:
			return nil, 0, errDown
		case forgotten:
			return nil, 0, configwatch.ErrCompacted
		case newer:
			return c, revision, nil
		}
		select {
		case <-changed:
		case <-timer:
			return nil, after, configwatch.ErrUnchanged
		case <-ctx.Done():
			return nil, 0, ctx.Err()
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

type silent struct{}

func (silent) Infof(string, ...any) {}
func (silent) Warnf(string, ...any) {}

// blindness announces the daemon's own record as the announcer does.
type blindness struct {
	table *member.Table
	own   member.Record
}

func (b *blindness) SetStoreUnreachable(blind bool) {
	b.own.StoreUnreachable = blind
	b.table.Announce(b.own)
}

type daemon struct {
	configs *manifest.Store
	table   *member.Table
}

// start runs a reader beside daemons that it knows of.
func start(t *testing.T, s configwatch.Source, self string, others ...member.Record) *daemon {
	d := &daemon{configs: manifest.NewStore(), table: member.NewTable(member.ServerID(self))}
	own := member.Record{Server: member.ServerID(self), Incarnation: 1, Domain: "cairo-a"}
	d.table.Announce(own)
	d.table.Merge(others)
	cfg := configwatch.DefaultConfig()
	cfg.RetryBase, cfg.RetryMax, cfg.ProbeInterval = time.Millisecond, 5*time.Millisecond, 5*time.Millisecond
	cfg.MinReadInterval, cfg.WatchTimeout = time.Millisecond, 50*time.Millisecond
	reader := configwatch.New(cfg, own.Server, own.Domain, s, d.table, d.configs, &blindness{d.table, own}, silent{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- reader.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return d
}

// until waits for a condition of a log or of a table.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waiting for %s", what)
		}
	}
}

func (d *daemon) has(v manifest.Version) func() bool {
	return func() bool { return d.configs.Snapshot().Version() == v }
}

func (d *daemon) blind(server member.ServerID) func() bool {
	return func() bool {
		r, _ := d.table.Get(server)
		return r.StoreUnreachable
	}
}

func TestAReaderFollowsVersionsWithGapsThroughOutagesAndLostHistory(t *testing.T) {
	s := newSource()
	d := start(t, s, "a")
	s.set(func() { s.version = 4 })
	until(t, "the first version", d.has(4))
	s.set(func() { s.version = 9 })
	until(t, "the next version", d.has(9))
	s.set(func() { s.down = true })
	until(t, "the outage to show", d.blind("a"))
	s.set(func() { s.version, s.down = 12, false })
	until(t, "the version after the outage", d.has(12))
	if d.blind("a")() {
		t.Error("the daemon stays blind")
	}
	s.set(func() { s.version, s.forgotten = 15, true })
	until(t, "the version after the history was lost", d.has(15))
	s.set(func() { s.version = 14 })
	time.Sleep(20 * time.Millisecond)
	if !d.has(15)() {
		t.Error("went back to an older version")
	}
}

// behind returns a name whose turn to read comes after another's.
func behind(other string) string {
	for name := "a"; ; name += "a" {
		if xxhash.Sum64String(name) > xxhash.Sum64String(other) {
			return name
		}
	}
}

func TestOneReaderForADomainAndAnotherOnceItIsBlind(t *testing.T) {
	s := newSource()
	s.set(func() { s.version = 3 })
	first := member.Record{Server: "b", Incarnation: 1, Domain: "cairo-a"}
	far := member.Record{Server: "z", Incarnation: 1, Domain: "cairo-b"}
	d := start(t, s, behind("b"), first, far)
	time.Sleep(50 * time.Millisecond)
	if !d.has(0)() {
		t.Fatal("the daemon reads out of turn")
	}
	first.StoreUnreachable, first.Sequence = true, 1
	d.table.Merge([]member.Record{first})
	until(t, "the other daemon to take over", d.has(3))
}

func TestADaemonLeavesReadingToOneWithMoreBandwidth(t *testing.T) {
	s := newSource()
	s.set(func() { s.version = 3 })
	wide := member.Record{Server: member.ServerID(behind("b")), Incarnation: 1, Domain: "cairo-a", LinkMbps: 140}
	d := start(t, s, "b", wide)
	time.Sleep(50 * time.Millisecond)
	if !d.has(0)() {
		t.Fatal("the daemon reads although another has more bandwidth")
	}
	wide.StoreUnreachable, wide.Sequence = true, 1
	d.table.Merge([]member.Record{wide})
	until(t, "the daemon to take over", d.has(3))
}
