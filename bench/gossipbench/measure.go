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

// pollInterval is how often the fleet is looked at while waiting.
const pollInterval = 2 * time.Millisecond

// waitLimit bounds every wait.
const waitLimit = 30 * time.Second

// await waits until a condition holds for every daemon and returns the time
// that it took.
func (f *fleet) await(what string, daemons []*daemon, holds func(*daemon) bool) (time.Duration, error) {
	start := time.Now()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for _, d := range daemons {
		for !holds(d) {
			if time.Since(start) > waitLimit {
				return 0, oops.In("bench").Errorf("%s did not reach in %s: %s", d.id, waitLimit, what)
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

// full reports whether a daemon sees all servers and has a version in force.
func (f *fleet) full(v manifest.Version) func(*daemon) bool {
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

// usage is what one daemon used per second over a time.
type usage struct {
	// bytes are those sent and received, messages those sent.
	bytes, messages float64
	// cores is the share of a core.
	cores float64
	// platform is the number of platform calls of the whole fleet, edits that
	// of edits.
	platform, edits float64
}

// measure returns the usage while work runs. It collects garbage first, so that
// what came before is not counted.
func (f *fleet) measure(work func() error) (usage, error) {
	runtime.GC()
	bytes, messages, calls := f.counts.bytes.Load(), f.counts.messages.Load(), f.platform.Counts().Total()
	edited, cpu, start := f.edited, processorTime(), time.Now()
	if err := work(); err != nil {
		return usage{}, err
	}
	seconds := time.Since(start).Seconds()
	each := seconds * float64(len(f.daemons))
	return usage{
		bytes:    2 * float64(f.counts.bytes.Load()-bytes) / each,
		messages: float64(f.counts.messages.Load()-messages) / each,
		cores:    (processorTime() - cpu).Seconds() / each,
		platform: float64(f.platform.Counts().Total()-calls) / seconds,
		edits:    float64(f.edited-edited) / seconds,
	}, nil
}

func processorTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// heap returns the bytes in use; the second collection empties the pools.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// rest does nothing for a time.
func (f *fleet) rest(d time.Duration) func() error {
	return func() error {
		select {
		case <-f.ctx.Done():
			return f.ctx.Err()
		case <-time.After(d):
			return nil
		}
	}
}

// edits makes edits one after the other and returns, for each edit and daemon,
// the time from acceptance to being in force, sorted.
func (f *fleet) edits(ctx context.Context, count int) ([]time.Duration, error) {
	var delays []time.Duration
	for range count {
		v, accepted, err := f.edit(ctx)
		if err != nil {
			return nil, err
		}
		if _, err := f.await("the edit", f.daemons, func(d *daemon) bool { return d.configs.Snapshot().Version() >= v }); err != nil {
			return nil, err
		}
		for _, d := range f.daemons {
			d.mu.Lock()
			at, ok := d.inForce[v]
			d.mu.Unlock()
			if ok {
				delays = append(delays, max(at.Sub(accepted), 0))
			}
		}
	}
	slices.Sort(delays)
	return delays, nil
}

// churn changes configuration and records at the given rates for a time.
func (f *fleet) churn(ctx context.Context, edits, records float64, d time.Duration) func() error {
	return func() error {
		ctx, cancel := context.WithTimeout(ctx, d)
		defer cancel()
		var g errgroup.Group
		g.Go(func() error {
			return every(ctx, edits, func() error {
				_, _, err := f.edit(context.WithoutCancel(ctx))
				return err
			})
		})
		g.Go(func() error {
			return every(ctx, records, func() error {
				f.changeRecord()
				return nil
			})
		})
		return g.Wait()
	}
}

// every calls f at a rate per second until ctx ends.
func every(ctx context.Context, rate float64, f func() error) error {
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

// changeRecord lets a random daemon publish a change of a record made by hand.
func (f *fleet) changeRecord() {
	r := &f.made[rand.N(len(f.made))]
	r.Sequence++
	r.Slots = 12 + int(r.Sequence%2)
	f.daemons[rand.N(len(f.daemons))].node.Publish([]member.Record{*r})
}

// silence lets a daemon fall silent and returns the time until all others have
// failed it.
func (f *fleet) silence(d *daemon) (time.Duration, error) {
	f.silencer.silence(d.address)
	others := slices.DeleteFunc(slices.Clone(f.daemons), func(o *daemon) bool { return o == d })
	return f.await("the silent daemon is failed", others, func(o *daemon) bool {
		r, _ := o.table.Get(d.id)
		return r.Health == member.Failed
	})
}

// drain announces that a daemon's server drains and returns the time until no
// other routes new work to it.
func (f *fleet) drain(d *daemon) (time.Duration, error) {
	d.own.State = member.Draining
	d.node.Announce(d.own)
	return f.await("routes without the draining server", f.daemons, func(o *daemon) bool {
		s := o.router.Table().Service(d.own.Service)
		return s == nil || !slices.ContainsFunc(s.Servers, func(r *member.Record) bool { return r.Server == d.id })
	})
}

// returned kills the second half of the daemons at once, starts it again at
// once, and returns the time until every daemon sees every server.
func (f *fleet) returned() (time.Duration, error) {
	half := f.daemons[len(f.daemons)/2:]
	for _, d := range half {
		d.stop()
	}
	for _, d := range half {
		d.ended.Wait()
	}
	v := f.daemons[0].configs.KnownVersion()
	start := time.Now()
	for i := len(f.daemons) / 2; i < len(f.daemons); i++ {
		if err := f.add(i, uint64(start.UnixMilli())); err != nil {
			return 0, err
		}
	}
	ids := slices.Clone(f.daemons[len(f.daemons)/2:])
	return f.await("the full view", f.daemons, func(d *daemon) bool {
		for _, o := range ids {
			if r, _ := d.table.Get(o.id); !r.Routable() || r.PeerAddress != o.address {
				return false
			}
		}
		return f.full(v)(d)
	})
}
