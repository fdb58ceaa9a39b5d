package gossip_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
)

// TestConvergence brings about a fault while edits are made and servers live
// on. In the end every daemon has the last version and sees every server, and
// at no time does a version go back or a daemon lose a server of its own
// failure domain that never stopped.
func TestConvergence(t *testing.T) {
	for _, c := range []struct {
		name           string
		count, domains int
		edits          manifest.Version
		// lone says that a living server is lost by some for a time.
		lone  bool
		fault func(f *fleet)
	}{
		{"no fault", 24, 3, 20, false, func(f *fleet) { f.edits(1, 20) }},
		{"messages overtake each other", 24, 3, 40, false, func(f *fleet) {
			f.net.Reorder(1)
			f.edits(1, 40)
		}},
		{"every daemon hears each edit from outside as well", 12, 3, 10, false, func(f *fleet) {
			for v := manifest.Version(1); v <= 10; v++ {
				for _, d := range f.daemons {
					_ = d.node.Receive(f.update(v))
				}
				time.Sleep(time.Millisecond)
			}
		}},
		{"half of all links lose messages for a time", 24, 3, 20, false, func(f *fleet) {
			f.net.Cut(func(a, b string) bool { return (len(a)+int(a[len(a)-1])+int(b[len(b)-1]))%2 == 0 })
			f.edits(1, 20)
			f.net.Cut(nil)
		}},
		{"one pair of daemons goes silent", 8, 1, 5, false, func(f *fleet) {
			f.net.Cut(between("server-2", "server-3"))
			f.edits(1, 5)
			time.Sleep(time.Minute)
			f.net.Cut(nil)
		}},
		{"a daemon misses more changes than are kept", 8, 2, 2 * manifest.MaxRecentChanges, true, func(f *fleet) {
			f.net.Cut(around("server-5"))
			f.edits(1, 2*manifest.MaxRecentChanges)
			f.net.Cut(nil)
		}},
		{"a daemon is alone for a long time", 12, 3, 5, true, func(f *fleet) {
			f.net.Cut(around("server-4"))
			f.edits(1, 5)
			time.Sleep(3 * time.Minute)
			f.net.Cut(nil)
		}},
		{"failure domains are cut off and joined again", 24, 3, 10, false, func(f *fleet) {
			f.net.Cut(f.acrossDomains)
			f.edits(1, 10)
			time.Sleep(20 * time.Minute)
			f.net.Cut(nil)
		}},
		{"failure domains are cut off twice", 12, 3, 5, false, func(f *fleet) {
			for range 2 {
				f.net.Cut(f.acrossDomains)
				time.Sleep(30 * time.Second)
				f.net.Cut(nil)
				time.Sleep(5 * time.Second)
			}
			f.edits(1, 5)
		}},
		{"two daemons accuse a living one", 12, 3, 0, true, func(f *fleet) {
			for _, accuser := range f.daemons[:2] {
				r, _ := accuser.table.Get("server-7")
				r.Health, r.SuspectedBy = member.Suspected, []member.ServerID{accuser.id}
				accuser.node.Publish([]member.Record{r})
			}
			f.eventually("the refutation", func() bool {
				r, _ := f.daemons[0].table.Get("server-7")
				return r.Incarnation > 1
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, c.count, c.domains, func(f *fleet) {
				stop := f.watch(!c.lone)
				c.fault(f)
				f.eventually("everyone sees all servers", func() bool { return f.alive(c.count) })
				f.eventually("the last version is in force", func() bool { return f.at(c.edits) })
				f.eventually("all tables are equal", f.equal)
				stop()
			})
		})
	}
}

// TestDeathAndReturn kills half of the daemons at once. The rest fail them,
// the returning ones converge with the rest, and nobody dials or sends without
// bound.
func TestDeathAndReturn(t *testing.T) {
	const count, domains = 48, 3
	const maxDialsEach, maxMessagesEach = 20, 500
	inBubble(t, count, domains, func(f *fleet) {
		f.edits(1, 5)
		for _, d := range f.daemons[count/2:] {
			d.stop()
		}
		for _, d := range f.daemons[count/2:] {
			d.stopped.Wait()
		}
		f.edits(6, 9)
		f.eventually("the dead are failed", func() bool {
			for _, d := range f.daemons[:count/2] {
				if d.live() != count/2 {
					return false
				}
			}
			return true
		})
		dials, messages := f.net.Counts()
		for i := count / 2; i < count; i++ {
			f.start(i, domains, 2)
		}
		f.eventually("everyone sees all servers", func() bool { return f.alive(count) })
		f.eventually("the last version is in force", func() bool { return f.at(9) })
		dialsAfter, messagesAfter := f.net.Counts()
		if n := dialsAfter - dials; n > count*maxDialsEach {
			t.Errorf("%d dials for %d daemons", n, count)
		}
		if n := messagesAfter - messages; n > count*maxMessagesEach {
			t.Errorf("%d messages for %d daemons", n, count)
		}
	})
}

// TestRestartBesideLaggingPeer starts a daemon again that at first reaches only
// a peer with an old version.
func TestRestartBesideLaggingPeer(t *testing.T) {
	inBubble(t, 6, 1, func(f *fleet) {
		f.edits(1, 3)
		f.eventually("version 3", func() bool { return f.at(3) })
		f.net.Cut(around("server-1"))
		f.edits(4, 9)
		f.kill(f.daemons[5])
		f.net.Cut(func(a, b string) bool {
			return !between("server-1", "server-5")(a, b) && (around("server-1")(a, b) || around("server-5")(a, b))
		})
		again := f.start(5, 1, 2)
		f.eventually("the lagging peer's version", func() bool { return again.configs.Snapshot().Version() == 3 })
		stop := f.watch(false)
		f.net.Cut(nil)
		f.eventually("the last version", func() bool { return f.at(9) })
		f.eventually("everyone sees all servers", func() bool { return f.alive(6) })
		stop()
	})
}

// TestSilentDeath measures nothing: it checks that a daemon that vanished
// without a word is failed everywhere, and a lone one by its only peer.
func TestSilentDeath(t *testing.T) {
	for _, count := range []int{2, 3, 12} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			inBubble(t, count, min(count, 3), func(f *fleet) {
				dead := f.daemons[count-1]
				f.net.Cut(around(string(dead.id)))
				f.daemons = f.daemons[:count-1]
				f.eventually("it is failed", func() bool { return f.alive(count - 1) })
				f.kill(dead)
			})
		})
	}
}

// edits publishes versions, each at a daemon that has the one before.
func (f *fleet) edits(from, to manifest.Version) {
	for v := from; v <= to; v++ {
		i := slices.IndexFunc(f.daemons, func(d *daemon) bool { return d.configs.KnownVersion() == v-1 })
		f.edit(f.daemons[i], v)
		time.Sleep(50 * time.Millisecond)
	}
}

func (f *fleet) equal() bool {
	for _, d := range f.daemons {
		if d.table.Root() != f.daemons[0].table.Root() {
			return false
		}
	}
	return true
}

// watch checks every daemon after each change until the returned function is
// called: its version never goes back and, in a steady fleet, it never loses a
// server of its failure domain.
func (f *fleet) watch(steady bool) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var watchers sync.WaitGroup
	for _, d := range f.daemons {
		watchers.Go(func() { f.watchDaemon(ctx, d, steady) })
	}
	return func() {
		cancel()
		watchers.Wait()
	}
}

func (f *fleet) watchDaemon(ctx context.Context, d *daemon, steady bool) {
	var highest manifest.Version
	near := 0
	if steady {
		near = d.near()
	}
	for {
		configured, moved := d.configs.Changed(), d.table.Changed()
		v := d.configs.Snapshot().Version()
		if v < highest {
			f.t.Errorf("%s went back from version %d to %d", d.id, highest, v)
		}
		highest = max(highest, v)
		if n := d.near(); near > 0 && n < near {
			f.t.Errorf("%s sees only %d of %d servers of its failure domain", d.id, n, near)
		}
		select {
		case <-configured:
		case <-moved:
		case <-ctx.Done():
			return
		}
	}
}

// near counts the routable servers of the daemon's own failure domain.
func (d *daemon) near() int {
	n := 0
	for _, r := range d.table.View().All() {
		if r.Routable() && r.Domain == d.domain {
			n++
		}
	}
	return n
}

func (f *fleet) acrossDomains(a, b string) bool {
	domain := map[string]string{}
	for _, d := range f.daemons {
		domain[string(d.id)] = d.domain
	}
	return domain[a] != domain[b]
}

func between(x, y string) func(a, b string) bool {
	return func(a, b string) bool { return a == x && b == y || a == y && b == x }
}

func around(x string) func(a, b string) bool {
	return func(a, b string) bool { return a == x || b == x }
}
