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

// TestFleetConvergesAfterFault injects a fault while edits are published.
// Afterwards every daemon must have the last version and see every server, and at
// no time may a version go back or a daemon lose a server of its own failure domain
// that never stopped.
func TestFleetConvergesAfterFault(t *testing.T) {
	for _, c := range []struct {
		name           string
		count, domains int
		edits          manifest.Version
		// losesServer means that the fault makes some daemons lose a live server.
		losesServer bool
		fault       func(f *fleet)
	}{
		{"no fault", 24, 3, 20, false, func(f *fleet) { f.publishEdits(1, 20) }},
		{"messages out of order", 24, 3, 40, false, func(f *fleet) {
			f.net.Reorder(1)
			f.publishEdits(1, 40)
		}},
		{"every daemon also receives each edit from outside", 12, 3, 10, false, func(f *fleet) {
			for v := manifest.Version(1); v <= 10; v++ {
				for _, d := range f.daemons {
					_ = d.node.Receive(f.update(v))
				}
				time.Sleep(time.Millisecond)
			}
		}},
		{"half of all links lose messages", 24, 3, 20, false, func(f *fleet) {
			f.net.SetPartition(func(a, b string) bool { return (len(a)+int(a[len(a)-1])+int(b[len(b)-1]))%2 == 0 })
			f.publishEdits(1, 20)
			f.net.SetPartition(nil)
		}},
		{"one pair of daemons is partitioned", 8, 1, 5, false, func(f *fleet) {
			f.net.SetPartition(between("server-2", "server-3"))
			f.publishEdits(1, 5)
			time.Sleep(time.Minute)
			f.net.SetPartition(nil)
		}},
		{"one daemon misses more changes than are kept", 8, 2, 2 * manifest.MaxRecentChanges, true, func(f *fleet) {
			f.net.SetPartition(involving("server-5"))
			f.publishEdits(1, 2*manifest.MaxRecentChanges)
			f.net.SetPartition(nil)
		}},
		{"one daemon is isolated for minutes", 12, 3, 5, true, func(f *fleet) {
			f.net.SetPartition(involving("server-4"))
			f.publishEdits(1, 5)
			time.Sleep(3 * time.Minute)
			f.net.SetPartition(nil)
		}},
		{"failure domains are partitioned for minutes", 24, 3, 10, false, func(f *fleet) {
			f.net.SetPartition(f.acrossDomains)
			f.publishEdits(1, 10)
			time.Sleep(20 * time.Minute)
			f.net.SetPartition(nil)
		}},
		{"failure domains are partitioned twice", 12, 3, 5, false, func(f *fleet) {
			for range 2 {
				f.net.SetPartition(f.acrossDomains)
				time.Sleep(30 * time.Second)
				f.net.SetPartition(nil)
				time.Sleep(5 * time.Second)
			}
			f.publishEdits(1, 5)
		}},
		{"two daemons suspect a live one", 12, 3, 0, true, func(f *fleet) {
			for _, d := range f.daemons[:2] {
				r, _ := d.table.Get("server-7")
				r.Health, r.SuspectedBy = member.Suspected, []member.ServerID{d.id}
				d.node.Publish([]member.Record{r})
			}
			f.eventually("suspicion refuted", func() bool {
				r, _ := f.daemons[0].table.Get("server-7")
				return r.Incarnation > 1
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInBubble(t, c.count, c.domains, func(f *fleet) {
				stop := f.checkContinuously(!c.losesServer)
				c.fault(f)
				f.eventually("all daemons see all servers", func() bool { return f.allSee(c.count) })
				f.eventually("last version in force", func() bool { return f.allAtVersion(c.edits) })
				f.eventually("all tables equal", f.tablesEqual)
				stop()
			})
		})
	}
}

// TestFleetConvergesAfterHalfRestarts kills half of the daemons at once and starts
// them again. The others must fail them, all must converge after the restart, and
// the numbers of dials and messages must stay within a limit for each daemon.
func TestFleetConvergesAfterHalfRestarts(t *testing.T) {
	const count, domains = 48, 3
	const maxDialsEach, maxMessagesEach = 20, 500
	runInBubble(t, count, domains, func(f *fleet) {
		f.publishEdits(1, 5)
		for _, d := range f.daemons[count/2:] {
			d.stop()
		}
		for _, d := range f.daemons[count/2:] {
			d.tasks.Wait()
		}
		f.publishEdits(6, 9)
		f.eventually("killed servers failed", func() bool {
			for _, d := range f.daemons[:count/2] {
				if d.routableCount() != count/2 {
					return false
				}
			}
			return true
		})
		dials, messages := f.net.Counts()
		for i := count / 2; i < count; i++ {
			f.start(i, domains, 2)
		}
		f.eventually("all daemons see all servers", func() bool { return f.allSee(count) })
		f.eventually("last version in force", func() bool { return f.allAtVersion(9) })
		dialsAfter, messagesAfter := f.net.Counts()
		if n := dialsAfter - dials; n > count*maxDialsEach {
			t.Errorf("%d dials by %d daemons, over the limit for each daemon", n, count)
		}
		if n := messagesAfter - messages; n > count*maxMessagesEach {
			t.Errorf("%d messages by %d daemons, over the limit for each daemon", n, count)
		}
	})
}

// TestRestartedDaemonConvergesAfterLaggingPeer checks that a restarted daemon that
// first reaches only a peer with an old version applies that version, and the last
// one once it reaches the others.
func TestRestartedDaemonConvergesAfterLaggingPeer(t *testing.T) {
	runInBubble(t, 6, 1, func(f *fleet) {
		f.publishEdits(1, 3)
		f.eventually("version 3 in force", func() bool { return f.allAtVersion(3) })
		f.net.SetPartition(involving("server-1"))
		f.publishEdits(4, 9)
		f.kill(f.daemons[5])
		f.net.SetPartition(func(a, b string) bool {
			return !between("server-1", "server-5")(a, b) && (involving("server-1")(a, b) || involving("server-5")(a, b))
		})
		restarted := f.start(5, 1, 2)
		f.eventually("version of the lagging peer in force", func() bool { return restarted.configs.Snapshot().Version() == 3 })
		stop := f.checkContinuously(false)
		f.net.SetPartition(nil)
		f.eventually("last version in force", func() bool { return f.allAtVersion(9) })
		f.eventually("all daemons see all servers", func() bool { return f.allSee(6) })
		stop()
	})
}

// TestUnreachableDaemonIsFailed checks that a daemon that stops responding without
// leaving is failed on all others, also by its only peer when there is no second
// daemon to suspect it.
func TestUnreachableDaemonIsFailed(t *testing.T) {
	for _, count := range []int{2, 3, 12} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			runInBubble(t, count, min(count, 3), func(f *fleet) {
				unreachable := f.daemons[count-1]
				f.net.SetPartition(involving(string(unreachable.id)))
				f.daemons = f.daemons[:count-1]
				f.eventually("partitioned server failed", func() bool { return f.allSee(count - 1) })
				f.kill(unreachable)
			})
		})
	}
}

// publishEdits publishes versions, each at a daemon that has the one before.
func (f *fleet) publishEdits(from, to manifest.Version) {
	for v := from; v <= to; v++ {
		i := slices.IndexFunc(f.daemons, func(d *daemon) bool { return d.configs.KnownVersion() == v-1 })
		f.publishEdit(f.daemons[i], v)
		time.Sleep(50 * time.Millisecond)
	}
}

func (f *fleet) tablesEqual() bool {
	for _, d := range f.daemons {
		if d.table.Root() != f.daemons[0].table.Root() {
			return false
		}
	}
	return true
}

// checkContinuously checks every daemon after each change until the returned
// function is called: its version never goes back and, if steady, it never loses a
// server of its failure domain.
func (f *fleet) checkContinuously(steady bool) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var watchers sync.WaitGroup
	for _, d := range f.daemons {
		watchers.Go(func() { f.checkDaemon(ctx, d, steady) })
	}
	return func() {
		cancel()
		watchers.Wait()
	}
}

func (f *fleet) checkDaemon(ctx context.Context, d *daemon, steady bool) {
	var highest manifest.Version
	near := 0
	if steady {
		near = d.nearCount()
	}
	for {
		configChanged, membersChanged := d.configs.Changed(), d.table.Changed()
		v := d.configs.Snapshot().Version()
		if v < highest {
			f.t.Errorf("daemon %q went back from version %d to %d", d.id, highest, v)
		}
		highest = max(highest, v)
		if n := d.nearCount(); near > 0 && n < near {
			f.t.Errorf("daemon %q sees %d of %d servers of its failure domain", d.id, n, near)
		}
		select {
		case <-configChanged:
		case <-membersChanged:
		case <-ctx.Done():
			return
		}
	}
}

// nearCount counts the routable servers of the daemon's own failure domain.
func (d *daemon) nearCount() int {
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

func involving(x string) func(a, b string) bool {
	return func(a, b string) bool { return a == x || b == x }
}
