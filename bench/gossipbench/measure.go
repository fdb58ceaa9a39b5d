package gossipbench

import (
	"context"
	"math/rand/v2"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
)

// pollInterval is the time between two checks of a daemon while waiting.
const pollInterval = 2 * time.Millisecond

// waitTimeout bounds each wait for a condition.
const waitTimeout = 30 * time.Second

// await waits until condition has held once for each of daemons and returns the time
// that this took. what names the condition in the error for a timeout.
func (f *fleet) await(what string, daemons []*daemon, condition func(*daemon) bool) (time.Duration, error) {
	start := time.Now()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for _, d := range daemons {
		for !condition(d) {
			if time.Since(start) > waitTimeout {
				return 0, oops.In("bench").Errorf("daemon %s: no %s within %s", d.id, what, waitTimeout)
			}
			select {
			case <-f.ctx.Done():
				return 0, f.ctx.Err()
			case <-tick.C:
			}
		}
	}
	return time.Since(start), nil
}

// hasFullView returns a condition: a daemon has version v or a later one in force
// and, unless Watch is set, sees all records as routable.
func (f *fleet) hasFullView(v manifest.Version) func(*daemon) bool {
	return func(d *daemon) bool {
		if d.configs.Snapshot().Version() < v {
			return false
		}
		if f.options.Watch {
			return true
		}
		routable := 0
		for _, r := range d.table.View().All() {
			if r.Routable() {
				routable++
			}
		}
		return routable >= f.options.Records
	}
}

// usage is the resource usage per second, averaged over a period and, except for
// platform and edits, over the daemons.
type usage struct {
	// bytes are the bytes sent and received by a daemon, messages the messages
	// that it sent.
	bytes, messages float64
	// cores is the share of a core that a daemon used.
	cores float64
	// platform is the number of platform calls of the whole fleet, edits the
	// number of edits.
	platform, edits float64
}

// measure runs work and returns the usage during it. It runs the garbage collector
// first, so that garbage from before is not collected at the expense of work.
func (f *fleet) measure(work func() error) (usage, error) {
	runtime.GC()
	bytes, messages, calls := f.counts.bytes.Load(), f.counts.messages.Load(), f.platform.Counts().Total()
	editsBefore, cpu, start := f.editCount, cpuTime(), time.Now()
	if err := work(); err != nil {
		return usage{}, err
	}
	seconds := time.Since(start).Seconds()
	daemonSeconds := seconds * float64(len(f.daemons))
	return usage{
		// Bytes are counted once, at the accepting end, but each is sent by one
		// daemon and received by another.
		bytes:    2 * float64(f.counts.bytes.Load()-bytes) / daemonSeconds,
		messages: float64(f.counts.messages.Load()-messages) / daemonSeconds,
		cores:    (cpuTime() - cpu).Seconds() / daemonSeconds,
		platform: float64(f.platform.Counts().Total()-calls) / seconds,
		edits:    float64(f.editCount-editsBefore) / seconds,
	}, nil
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// heapBytes returns the number of bytes of live heap objects. The second garbage
// collection empties the pools (sync.Pool).
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// idleFor returns work for measure that only waits for d.
func (f *fleet) idleFor(d time.Duration) func() error {
	return func() error {
		select {
		case <-f.ctx.Done():
			return f.ctx.Err()
		case <-time.After(d):
			return nil
		}
	}
}

// publishEdits publishes edits one after the other. It returns, for each edit and
// daemon, the time from the edit's acceptance until it was in force, in ascending
// order.
func (f *fleet) publishEdits(ctx context.Context, count int) ([]time.Duration, error) {
	var delays []time.Duration
	for range count {
		v, accepted, err := f.edit(ctx)
		if err != nil {
			return nil, err
		}
		if _, err := f.await("edit in force", f.daemons, func(d *daemon) bool { return d.configs.Snapshot().Version() >= v }); err != nil {
			return nil, err
		}
		for _, d := range f.daemons {
			d.mu.Lock()
			at, ok := d.inForceSince[v]
			d.mu.Unlock()
			if ok {
				delays = append(delays, max(at.Sub(accepted), 0))
			}
		}
	}
	slices.Sort(delays)
	return delays, nil
}

// churn returns work for measure that changes configuration and records at the given
// rates per second for d.
func (f *fleet) churn(ctx context.Context, editRate, recordRate float64, d time.Duration) func() error {
	return func() error {
		ctx, cancel := context.WithTimeout(ctx, d)
		defer cancel()
		var g errgroup.Group
		g.Go(func() error {
			return callAtRate(ctx, editRate, func() error {
				_, _, err := f.edit(context.WithoutCancel(ctx))
				return err
			})
		})
		g.Go(func() error {
			return callAtRate(ctx, recordRate, func() error {
				f.changeRecord()
				return nil
			})
		})
		return g.Wait()
	}
}

// callAtRate calls f at a rate per second until ctx ends or f fails. A rate of 0
// means never.
func callAtRate(ctx context.Context, rate float64, f func() error) error {
	if rate == 0 {
		return nil
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if err := f(); err != nil {
				return err
			}
		}
	}
}

// changeRecord makes a random daemon publish a change of a random synthetic record.
func (f *fleet) changeRecord() {
	r := &f.syntheticRecords[rand.N(len(f.syntheticRecords))]
	r.Sequence++
	r.Slots = 12 + int(r.Sequence%2)
	f.daemons[rand.N(len(f.daemons))].node.Publish([]member.Record{*r})
}

// measureFailureDetection makes a daemon stop responding and returns the time until
// all others consider its server failed.
func (f *fleet) measureFailureDetection(d *daemon) (time.Duration, error) {
	f.silencer.silence(d.address)
	others := slices.DeleteFunc(slices.Clone(f.daemons), func(o *daemon) bool { return o == d })
	return f.await("detection of the silent daemon as failed", others, func(o *daemon) bool {
		r, _ := o.table.Get(d.id)
		return r.Health == member.Failed
	})
}

// measureDrain announces that a daemon's server is draining and returns the time
// until no daemon routes new calls to it.
func (f *fleet) measureDrain(d *daemon) (time.Duration, error) {
	d.own.State = member.Draining
	d.node.Announce(d.own)
	return f.await("routing table without the draining server", f.daemons, func(o *daemon) bool {
		s := o.router.Table().Service(d.own.Service)
		return s == nil || !slices.ContainsFunc(s.Servers, func(r *member.Record) bool { return r.Server == d.id })
	})
}

// measureRestart kills the second half of the daemons at the same time, restarts
// them immediately, and returns the time until every daemon sees every server with
// its new address.
func (f *fleet) measureRestart() (time.Duration, error) {
	stopped := f.daemons[len(f.daemons)/2:]
	for _, d := range stopped {
		d.cancel()
	}
	for _, d := range stopped {
		d.done.Wait()
	}
	v := f.daemons[0].configs.KnownVersion()
	start := time.Now()
	for i := len(f.daemons) / 2; i < len(f.daemons); i++ {
		if err := f.startDaemon(i, uint64(start.UnixMilli())); err != nil {
			return 0, err
		}
	}
	restarted := slices.Clone(f.daemons[len(f.daemons)/2:])
	return f.await("full view", f.daemons, func(d *daemon) bool {
		for _, o := range restarted {
			if r, _ := d.table.Get(o.id); !r.Routable() || r.PeerAddress != o.address {
				return false
			}
		}
		return f.hasFullView(v)(d)
	})
}
