package gossip_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/gossip"
	"fescuehoist.example/mesh/gossip/gossiptest"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/manifest/manifesttest"
	"fescuehoist.example/mesh/member"
)

type quiet struct{}

func (quiet) Infof(string, ...any)  {}
func (quiet) Debugf(string, ...any) {}

// daemon is the control part of one daemon in a synctest bubble.
type daemon struct {
	id      member.ServerID
	domain  string
	table   *member.Table
	configs *manifest.Store
	node    *gossip.Node
	stop    context.CancelFunc
	stopped sync.WaitGroup
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
	f.eventually("the first view is full", func() bool { return f.alive(count) })
	return f
}

// start starts, or starts again, the daemon of a number.
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

// startAt starts a daemon at an address; it is not yet one of the fleet's.
func (f *fleet) startAt(address string, id member.ServerID, domain string, incarnation uint64) *daemon {
	d := &daemon{id: id, domain: domain, table: member.NewTable(id), configs: manifest.NewStore()}
	d.node = gossip.NewNode(f.cfg, id, d.domain, f.seeds, f.net.Dialer(address), d.table, d.configs, quiet{})
	d.node.Announce(member.Record{
		Server: id, Incarnation: incarnation, State: member.Ready,
		Service: "lookup", Domain: d.domain, PeerAddress: address,
	})
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	d.stopped.Go(func() { _ = d.node.Run(ctx) })
	d.stopped.Go(func() { f.net.Listen(ctx, address, d.node) })
	return d
}

func (f *fleet) kill(d *daemon) {
	d.stop()
	d.stopped.Wait()
}

func (f *fleet) close() {
	for _, d := range f.daemons {
		d.stop()
	}
	for _, d := range f.daemons {
		d.stopped.Wait()
	}
}

// alive reports whether every daemon sees exactly count live servers.
func (f *fleet) alive(count int) bool {
	for _, d := range f.daemons {
		if d.live() != count {
			return false
		}
	}
	return true
}

func (d *daemon) live() int {
	n := 0
	for _, r := range d.table.View().All() {
		if r.Routable() {
			n++
		}
	}
	return n
}

func (f *fleet) at(v manifest.Version) bool {
	for _, d := range f.daemons {
		if d.configs.Snapshot().Version() != v {
			return false
		}
	}
	return true
}

const generous = 10 * time.Minute

// eventually waits in the bubble's time until a condition holds.
func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	for start := time.Now(); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > generous {
			f.t.Fatalf("not reached within %s: %s", generous, what)
		}
	}
}

func (f *fleet) edit(d *daemon, v manifest.Version) {
	f.t.Helper()
	if err := d.node.Receive(f.update(v)); err != nil {
		f.t.Fatal(err)
	}
}

// update returns the change that makes version v.
func (f *fleet) update(v manifest.Version) *manifest.Update {
	for f.history.Version() < v {
		f.history.Edit(manifesttest.Service("lookup", time.Second+time.Duration(f.history.Version())))
	}
	return f.history.Delta(v-1, v)
}

// inBubble runs f with a fleet in a bubble of its own time. It uses one
// processor: Go 1.26's race detector crashes when two of them run timers of one
// bubble, since these share a race context (runtime/time.go, unlockAndRun).
func inBubble(t *testing.T, count, domains int, f func(*fleet)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, count, domains)
		defer fl.close()
		f(fl)
	})
}
