package gossip_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/advisory"
	"fescuehoist.example/mesh/gossip"
	"fescuehoist.example/mesh/gossip/gossiptest"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/manifest/manifesttest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/revision"
)

type nopLogger struct{}

func (nopLogger) Infof(string, ...any)  {}
func (nopLogger) Debugf(string, ...any) {}

// daemon is one daemon's node with its stores, in a synctest bubble.
type daemon struct {
	id         member.ServerID
	domain     string
	table      *member.Table
	configs    *manifest.Store
	node       *gossip.Node
	advisories *advisory.Book
	stop       context.CancelFunc
	tasks      sync.WaitGroup
}

// fleet is a set of daemons on one in-memory network.
type fleet struct {
	t       *testing.T
	net     *gossiptest.Network
	cfg     gossip.Config
	daemons []*daemon
	seeds   []string
	history *manifesttest.History
}

func newFleet(t *testing.T, count, domains int) *fleet {
	f := &fleet{t: t, net: gossiptest.New(), cfg: gossip.DefaultConfig(), seeds: []string{"server-0", "server-1"}, history: manifesttest.NewHistory("edit")}
	for i := range count {
		f.start(i, domains, 1)
	}
	f.eventually("all daemons see all servers", func() bool { return f.allSee(count) })
	return f
}

// start starts or restarts daemon i.
func (f *fleet) start(i, domains int, incarnation uint64) *daemon {
	id := member.ServerID(fmt.Sprintf("server-%d", i))
	d := f.startAt(string(id), id, fmt.Sprintf("domain-%d", i%domains), incarnation)
	if i < len(f.daemons) {
		f.daemons[i] = d
	} else {
		f.daemons = append(f.daemons, d)
	}
	return d
}

// startAt starts a daemon at an address without adding it to the fleet.
func (f *fleet) startAt(address string, id member.ServerID, domain string, incarnation uint64) *daemon {
	d := &daemon{id: id, domain: domain, table: member.NewTable(id), configs: manifest.NewStore(), advisories: advisory.NewBook()}
	d.node = gossip.NewNode(f.cfg, id, d.domain, f.seeds, f.net.Dialer(address), d.table, d.configs, nopLogger{})
	d.node.Advisories, d.node.Epochs = d.advisories, &revision.Epochs{}
	d.advisories.Spread, d.advisories.Completed = d.node.SpreadAdvisories, d.node.SendAllAdvisories
	d.node.Announce(member.Record{
		Server: id, Incarnation: incarnation, State: member.Ready,
		Service: "lookup", Domain: d.domain, PeerAddress: address,
	})
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	d.tasks.Go(func() { _ = d.node.Run(ctx) })
	d.tasks.Go(func() { f.net.Listen(ctx, address, d.node) })
	return d
}

func (f *fleet) kill(d *daemon) {
	d.stop()
	d.tasks.Wait()
}

func (f *fleet) close() {
	for _, d := range f.daemons {
		d.stop()
	}
	for _, d := range f.daemons {
		d.tasks.Wait()
	}
}

// allSee reports whether every daemon sees exactly count routable servers.
func (f *fleet) allSee(count int) bool {
	for _, d := range f.daemons {
		if d.routableCount() != count {
			return false
		}
	}
	return true
}

func (d *daemon) routableCount() int {
	n := 0
	for _, r := range d.table.View().All() {
		if r.Routable() {
			n++
		}
	}
	return n
}

func (f *fleet) allAtVersion(v manifest.Version) bool {
	for _, d := range f.daemons {
		if d.configs.Snapshot().Version() != v {
			return false
		}
	}
	return true
}

const eventuallyTimeout = 10 * time.Minute

// eventually waits, in the bubble's time, until a condition holds.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for start := time.Now(); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > eventuallyTimeout {
			f.t.Fatalf("condition not reached within %s: %s", eventuallyTimeout, what)
		}
	}
}

func (f *fleet) publishEdit(d *daemon, v manifest.Version) {
	f.t.Helper()
	if err := d.node.Receive(f.update(v)); err != nil {
		f.t.Fatal(err)
	}
}

// update returns the update that makes version v.
func (f *fleet) update(v manifest.Version) *manifest.Update {
	for f.history.Version() < v {
		f.history.Edit(manifesttest.Service("lookup", time.Second+time.Duration(f.history.Version())))
	}
	return f.history.Delta(v-1, v)
}

// runInBubble runs f with a fleet in a synctest bubble. It uses one processor: the
// race detector of Go 1.26 crashes when two of them run timers of one bubble, since
// these share a race context (runtime/time.go, unlockAndRun).
func runInBubble(t *testing.T, count, domains int, f func(*fleet)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, count, domains)
		defer fl.close()
		f(fl)
	})
}
