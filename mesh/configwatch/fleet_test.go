package configwatch_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/configwatch"
	"fescuehoist.example/mesh/gossip"
	"fescuehoist.example/mesh/gossip/gossiptest"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/revision"
	"fescuehoist.example/mesh/target"
)

// Bounds of the users' platform, in the time of a bubble.
const (
	// changeBound is the time within which an acknowledged version is in force at
	// daemons without faults.
	changeBound = 2 * time.Second
	// recoveryBound is the time after a fault from which a daemon counts as one
	// without faults.
	recoveryBound = 3 * time.Second
)

// cutSource is one daemon's access to a source. Calls block while it is cut off.
type cutSource struct {
	*source
	mu      sync.Mutex
	cut     bool
	waiting int
	calls   int
}

func (s *cutSource) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

func (s *cutSource) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// isWaiting reports whether the daemon waits for a change.
func (s *cutSource) isWaiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting > 0
}

// enter counts a call and blocks until ctx ends if the source is cut off.
func (s *cutSource) enter(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	cut := s.cut
	s.mu.Unlock()
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// leave returns the error of an answer that is lost because the source was cut off
// during the call.
func (s *cutSource) leave(ctx context.Context) error {
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (s *cutSource) Latest(ctx context.Context) (*configwatch.Configuration, revision.Revision, error) {
	if err := s.enter(ctx); err != nil {
		return nil, revision.Revision{}, err
	}
	return s.source.Latest(ctx)
}

func (s *cutSource) Next(ctx context.Context, after revision.Revision, limit time.Duration) (*configwatch.Configuration, revision.Revision, error) {
	if err := s.enter(ctx); err != nil {
		return nil, revision.Revision{}, err
	}
	s.mu.Lock()
	s.waiting++
	s.mu.Unlock()
	c, at, err := s.source.Next(ctx, after, limit)
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	if lost := s.leave(ctx); lost != nil {
		return nil, revision.Revision{}, lost
	}
	return c, at, err
}

func (s *cutSource) Ping(ctx context.Context) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	return s.source.Ping(ctx)
}

// fleetDaemon is a daemon that watches the source and gossips.
type fleetDaemon struct {
	id      member.ServerID
	source  *cutSource
	configs *manifest.Store
	node    *gossip.Node

	mu  sync.Mutex
	own member.Record
}

func (d *fleetDaemon) SetStoreUnreachable(unreachable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own.StoreUnreachable = unreachable
	d.own.Sequence++
	d.node.Announce(d.own)
}

type nopDebugLogger struct{ discardLogger }

func (nopDebugLogger) Debugf(string, ...any) {}

// watchingFleet is a set of daemons that share a source and an in-memory network.
type watchingFleet struct {
	t       *testing.T
	net     *gossiptest.Network
	source  *source
	daemons []*fleetDaemon
	cfg     configwatch.Config
}

// runWatchingFleet runs f with count daemons in three failure domains, all of which
// have version 1. It uses one processor: the race detector of Go 1.26 crashes when
// two of them run timers of one bubble.
func runWatchingFleet(t *testing.T, count int, f func(*watchingFleet)) {
	t.Helper()
	runWatchingFleetWith(t, count, func(*configwatch.Config) {}, f)
}

// runWatchingFleetWith is runWatchingFleet with settings changed by tune.
func runWatchingFleetWith(t *testing.T, count int, tune func(*configwatch.Config), f func(*watchingFleet)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		fl := &watchingFleet{t: t, net: gossiptest.New(), source: newSource(), cfg: configwatch.DefaultConfig()}
		tune(&fl.cfg)
		fl.source.update(func() { fl.source.version = 1 })
		ctx, cancel := context.WithCancel(context.Background())
		var tasks sync.WaitGroup
		defer tasks.Wait()
		defer cancel()
		for i := range count {
			fl.start(ctx, &tasks, i, count)
		}
		time.Sleep(10 * time.Second)
		fl.requireVersion(1, fl.daemons)
		f(fl)
	})
}

// neighborhood is the number of other daemons of the failure domain.
type neighborhood int

func (n neighborhood) Neighbors(context.Context) int { return int(n) }

// start starts daemon i of count.
func (f *watchingFleet) start(ctx context.Context, tasks *sync.WaitGroup, i, count int) {
	id := member.ServerID(fmt.Sprintf("server-%d", i))
	d := &fleetDaemon{id: id, source: &cutSource{source: f.source}, configs: manifest.NewStore()}
	table := member.NewTable(id)
	d.own = member.Record{Server: id, Incarnation: 1, State: member.Ready, Service: "lookup",
		Domain: fmt.Sprintf("domain-%d", i%3), PeerAddress: string(id)}
	seeds := []string{"server-0", "server-1", "server-2"}
	d.node = gossip.NewNode(gossip.DefaultConfig(), id, d.own.Domain, seeds, f.net.Dialer(string(id)), table, d.configs, nopDebugLogger{})
	d.node.Announce(d.own)
	watcher := configwatch.New(f.cfg, id, d.own.Domain, d.source, table, d.configs, d, discardLogger{})
	watcher.Neighborhood = neighborhood(count/3 - 1)
	f.daemons = append(f.daemons, d)
	tasks.Go(func() { _ = d.node.Run(ctx) })
	tasks.Go(func() { f.net.Listen(ctx, string(id), d.node) })
	tasks.Go(func() { _ = watcher.Run(ctx) })
}

// readers returns the daemons that read the source, and the others.
func (f *watchingFleet) readers() (readers, others []*fleetDaemon) {
	for _, d := range f.daemons {
		if d.source.isWaiting() {
			readers = append(readers, d)
		} else {
			others = append(others, d)
		}
	}
	return readers, others
}

// cutPeers cuts the daemons off from all peers, each other included.
func (f *watchingFleet) cutPeers(daemons []*fleetDaemon) {
	isCut := func(address string) bool {
		return slices.ContainsFunc(daemons, func(d *fleetDaemon) bool { return string(d.id) == address })
	}
	f.net.SetPartition(func(from, to string) bool { return isCut(from) || isCut(to) })
}

func setSourceCut(daemons []*fleetDaemon, cut bool) {
	for _, d := range daemons {
		d.source.setCut(cut)
	}
}

func (f *watchingFleet) publish(version int) {
	f.source.update(func() { f.source.version = version })
}

func (f *watchingFleet) requireVersion(want manifest.Version, daemons []*fleetDaemon) {
	f.t.Helper()
	for _, d := range daemons {
		if got := d.configs.Snapshot().Version(); got != want {
			f.t.Errorf("%s has version %d in force, want %d", d.id, got, want)
		}
	}
}

func TestChangeReachesConnectedDaemonsInTimeAfterAllReadersAreCutOff(t *testing.T) {
	cases := map[string]func(*watchingFleet, []*fleetDaemon){
		"from source and peers": func(f *watchingFleet, readers []*fleetDaemon) {
			setSourceCut(readers, true)
			f.cutPeers(readers)
		},
		"from source": func(_ *watchingFleet, readers []*fleetDaemon) { setSourceCut(readers, true) },
		"from peers":  func(f *watchingFleet, readers []*fleetDaemon) { f.cutPeers(readers) },
	}
	for name, cut := range cases {
		t.Run(name, func(t *testing.T) {
			runWatchingFleet(t, 12, func(f *watchingFleet) {
				readers, others := f.readers()
				cut(f, readers)
				time.Sleep(100 * time.Millisecond)
				f.publish(2)
				time.Sleep(changeBound)
				f.requireVersion(2, others)
			})
		})
	}
}

// Guards against a version that daemons never read since the source, which came back from
// an older copy, gives it a revision that they have seen before.
func TestChangeOfLaterEpochReachesAllDaemonsInTime(t *testing.T) {
	for name, number := range map[string]uint64{"lower revision": 60, "the same revision": 90, "higher revision": 120} {
		t.Run(name, func(t *testing.T) {
			runWatchingFleet(t, 12, func(f *watchingFleet) {
				f.source.update(func() { f.source.version, f.source.number = 2, 90 })
				time.Sleep(changeBound)
				f.requireVersion(2, f.daemons)
				readers, others := f.readers()
				// Daemons that do not reach the source hear of the epoch from peers.
				setSourceCut(readers, true)
				f.source.update(func() { f.source.epoch, f.source.number = 2, 20 })
				time.Sleep(recoveryBound)
				f.source.update(func() { f.source.version, f.source.number = 3, number })
				time.Sleep(changeBound)
				f.requireVersion(3, others)
				setSourceCut(readers, false)
				time.Sleep(recoveryBound)
				f.requireVersion(3, f.daemons)
			})
		})
	}
}

func TestChangeReachesDaemonWithoutPeersInTime(t *testing.T) {
	runWatchingFleet(t, 9, func(f *watchingFleet) {
		_, others := f.readers()
		f.cutPeers(others[:1])
		time.Sleep(100 * time.Millisecond)
		f.publish(2)
		time.Sleep(changeBound)
		f.requireVersion(2, others[:1])
	})
}

func TestChangeReachesDaemonsInTimeAfterTheirCutEnds(t *testing.T) {
	runWatchingFleet(t, 9, func(f *watchingFleet) {
		half := f.daemons[:5]
		setSourceCut(half, true)
		f.cutPeers(half)
		time.Sleep(6 * time.Second)
		f.publish(2)
		setSourceCut(half, false)
		f.net.SetPartition(nil)
		time.Sleep(recoveryBound)
		f.requireVersion(2, f.daemons)
	})
}

// A whole fleet that starts at the same time must not read the source once for each
// daemon.
func TestFewDaemonsReadSourceWhenAllStartTogether(t *testing.T) {
	const count, domains = 90, 3
	runWatchingFleet(t, count, func(f *watchingFleet) {
		_, others := f.readers()
		calling := 0
		for _, d := range others {
			if d.source.callCount() > 0 {
				calling++
			}
		}
		if most := domains * 3 * configwatch.DefaultConfig().FirstReaders; calling > most {
			t.Errorf("%d of %d daemons that do not read the source called it at their start, want at most %d", calling, count, most)
		}
		t.Logf("%d of %d daemons called the source at their start", calling, count)
	})
}

func TestOneDaemonPerFailureDomainCallsSourceInSteadyState(t *testing.T) {
	runWatchingFleet(t, 18, func(f *watchingFleet) {
		before := make([]int, len(f.daemons))
		for i, d := range f.daemons {
			before[i] = d.source.callCount()
		}
		time.Sleep(time.Minute)
		calling := map[string]int{}
		for i, d := range f.daemons {
			if d.source.callCount() > before[i] {
				calling[d.own.Domain]++
			}
		}
		for domain, n := range calling {
			if n != 1 {
				t.Errorf("%d daemons of %s call the source, want 1", n, domain)
			}
		}
	})
}

// Guards against daemons that refuse all keys of client accounts although they reach the
// source, since they reach no collector, and against a source that gets a call from each of
// them several times a second.
func TestDaemonsWithoutCollectorVerifyConfigurationThemselves(t *testing.T) {
	const verifyAge = 2 * time.Second
	runWatchingFleetWith(t, 9, func(cfg *configwatch.Config) { cfg.VerifyAge = verifyAge }, func(f *watchingFleet) {
		f.source.update(func() { f.source.version, f.source.accounts = 2, []target.Account{{Name: "a"}} })
		time.Sleep(3 * time.Second)
		before := make([]int, len(f.daemons))
		for i, d := range f.daemons {
			before[i] = d.source.callCount()
		}
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, d := range f.daemons {
				if _, age, known := d.configs.VerificationAge(); !known || age > 2*verifyAge+time.Second {
					t.Fatalf("%s: verification known: %t, age %s; want at most %s", d.id, known, age, 2*verifyAge+time.Second)
				}
			}
		}
		for i, d := range f.daemons {
			// The confirming reader makes up to 2 calls a second.
			if calls := d.source.callCount() - before[i]; calls > 30 {
				t.Errorf("%s made %d calls in 10 s, want at most 30", d.id, calls)
			}
		}
	})
}

// Guards against keys that stay in use although the newest configuration, which cannot be
// read, may have taken them away: other daemons ask the source from a revision behind it.
func TestUnreadableConfigurationIsNeitherConfirmedNorVerified(t *testing.T) {
	runWatchingFleetWith(t, 9, func(cfg *configwatch.Config) { cfg.VerifyAge = 2 * time.Second }, func(f *watchingFleet) {
		f.source.update(func() { f.source.version, f.source.accounts = 2, []target.Account{{Name: "a"}} })
		time.Sleep(3 * time.Second)
		f.source.update(func() { f.source.version, f.source.malformed = 3, true })
		// A watch that ended just before the change may still confirm and verify.
		const silence = 10 * time.Second
		time.Sleep(silence)
		for _, d := range f.daemons {
			if _, age, known := d.configs.VerificationAge(); known && age < silence-time.Second {
				t.Errorf("%s: configuration verified %s ago, want at least %s", d.id, age, silence-time.Second)
			}
			if age := time.Since(d.configs.Confirmation().At); age < silence-time.Second {
				t.Errorf("%s: configuration confirmed %s ago, want at least %s", d.id, age, silence-time.Second)
			}
			d.mu.Lock()
			if d.own.StoreUnreachable {
				t.Errorf("%s: the source counts as unreachable although it responds", d.id)
			}
			d.mu.Unlock()
		}
		f.source.update(func() { f.source.version, f.source.malformed = 4, false })
		time.Sleep(changeBound)
		f.requireVersion(4, f.daemons)
	})
}
