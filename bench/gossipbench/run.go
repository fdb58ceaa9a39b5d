package gossipbench

import (
	"context"
	"fmt"
	"time"

	"fescuehoist.example/bench/figure"
)

// Bounds from the project's targets, and the size that it is designed for.
const (
	// maxConvergence bounds the time until an edit is in force at all daemons.
	maxConvergence = 6 * time.Second
	// maxBytes bounds the control traffic of a daemon, in bytes per second.
	maxBytes = 25_000
	// maxHeap bounds the heap of a daemon, in bytes.
	maxHeap = 128e6
	// maxCores bounds the share of a core that a daemon uses.
	maxCores = 0.028
	// maxDrainTime bounds the time until a draining server gets no new calls.
	maxDrainTime     = 3 * time.Second
	targetDaemons    = 18_000
	targetDomains    = 9
	readersPerDomain = 2
	secondsPerDay    = 24 * 60 * 60
)

// Rates per second at the size that the product is designed for: 24,000
// configuration changes per day, and 64 failures and 2,400 restarts per day that
// each change a record up to four times.
const (
	dailyEdits   = 24_000.0 / secondsPerDay
	dailyRecords = (2_400 + 64) * 4.0 / secondsPerDay
	// churnFactor multiplies the daily rates while churn is measured.
	churnFactor = 100
)

// watchedServices is the number of services if every daemon watches the platform.
// It is small because each daemon then reads all services from the platform at its
// start.
const watchedServices = 100

// editsMeasured is the number of edits whose convergence is measured.
const editsMeasured = 10

// Settings selects what is measured.
type Settings struct {
	// Sizes are the numbers of daemons in ascending order.
	Sizes []int
	// Records is the number of records in the view of each daemon, Services the
	// number of services in the configuration.
	Records, Services int
	// Interval is the time over which each usage is measured.
	Interval time.Duration
	// Plain adds a comparison with plain flooding and with every daemon watching
	// the platform.
	Plain bool
}

// Run measures all sizes and adds the figures to r.
func Run(ctx context.Context, s Settings, r *figure.Report) error {
	mean, worst, streams := hopStats(targetDaemons, targetDomains)
	r.AddUnbounded("spread.18000.hops.mean", mean, "hops")
	r.AddUnbounded("spread.18000.hops.worst", float64(worst), "hops")
	r.AddUnbounded("spread.18000.streams.most", float64(streams), "streams")
	platformCalls := map[int]float64{}
	for i, size := range s.Sizes {
		o := Options{Daemons: size, Records: s.Records, Services: s.Services}
		calls, err := runSize(ctx, s, o, r, i == len(s.Sizes)-1)
		if err != nil {
			return err
		}
		platformCalls[size] = calls
	}
	least, most := s.Sizes[0], s.Sizes[len(s.Sizes)-1]
	r.AddAtMost("spread.platform.growth", platformCalls[most]/platformCalls[least], "times", 1.5)
	if !s.Plain {
		return nil
	}
	return comparePlainMethods(ctx, s, r)
}

// runSize measures one size and adds its figures; faults are measured only at the
// largest size. It returns the number of platform calls per edit under churn.
func runSize(ctx context.Context, s Settings, o Options, r *figure.Report, largest bool) (float64, error) {
	name := func(figure string) string { return fmt.Sprintf("spread.%d.%s", o.Daemons, figure) }
	before := heapBytes()
	started := time.Now()
	f, err := startFleet(ctx, o)
	if err != nil {
		return 0, err
	}
	defer f.close()
	if _, err := f.await("full view", f.daemons, f.hasFullView(1)); err != nil {
		return 0, err
	}
	r.AddUnbounded(name("start"), time.Since(started).Seconds(), "s")
	r.AddAtMost(name("heap"), (heapBytes()-before)/1e6/float64(o.Daemons), "MB", maxHeap/1e6)
	if err := f.measureConvergence(ctx, r, name); err != nil {
		return 0, err
	}
	idle, err := f.measure(f.idleFor(s.Interval))
	if err != nil {
		return 0, err
	}
	f.addUsage(r, name, "idle", idle, true)
	churn, err := f.measure(f.churn(ctx, dailyEdits*churnFactor, dailyRecords*churnFactor, s.Interval))
	if err != nil {
		return 0, err
	}
	f.addUsage(r, name, "churn100", churn, false)
	daily := interpolate(idle, churn)
	f.addUsage(r, name, "daily", daily, true)
	callsPerEdit := churn.platform / churn.edits
	r.AddUnbounded(name("platform.edit"), callsPerEdit, "calls/edit")
	if largest {
		return callsPerEdit, f.measureFaults(r, name)
	}
	return callsPerEdit, nil
}

// interpolate returns the usage at the daily rates, interpolated between the usage
// when idle and under churn. The actual multiple of the daily rates is computed from
// the edits that were accepted during the churn, since it can be below churnFactor.
func interpolate(idle, churn usage) usage {
	interpolated := func(a, b float64) float64 { return a + (b-a)*dailyEdits/churn.edits }
	return usage{
		bytes: interpolated(idle.bytes, churn.bytes), messages: interpolated(idle.messages, churn.messages),
		cores: interpolated(idle.cores, churn.cores), platform: interpolated(idle.platform, churn.platform),
	}
}

// measureConvergence adds the percentiles of the time until an edit is in force.
func (f *fleet) measureConvergence(ctx context.Context, r *figure.Report, name func(string) string) error {
	delays, err := f.publishEdits(ctx, editsMeasured)
	if err != nil {
		return err
	}
	percentile := func(q float64) float64 { return delays[int(q*float64(len(delays)-1))].Seconds() }
	r.AddUnbounded(name("converge.p50"), percentile(0.5), "s")
	r.AddUnbounded(name("converge.p99"), percentile(0.99), "s")
	r.AddAtMost(name("converge.worst"), percentile(1), "s", maxConvergence.Seconds())
	return nil
}

// addUsage adds the figures of a usage under the named load. If bounded is set, the
// bounds on bytes and cores apply.
func (f *fleet) addUsage(r *figure.Report, name func(string) string, load string, u usage, bounded bool) {
	add := func(figure string, value float64, unit string, bound float64) {
		if bounded {
			r.AddAtMost(name(load+"."+figure), value, unit, bound)
			return
		}
		r.AddUnbounded(name(load+"."+figure), value, unit)
	}
	add("bytes", u.bytes, "B/s", maxBytes)
	r.AddUnbounded(name(load+".messages"), u.messages, "1/s")
	add("cores", 100*u.cores, "%", 100*maxCores)
	r.AddUnbounded(name(load+".platform"), u.platform, "calls/s")
	if u.edits > 0 {
		r.AddUnbounded(name(load+".edits"), u.edits, "1/s")
	}
}

// measureFaults adds the figures for a draining server, for a daemon that stops
// responding, and for a simultaneous restart of half of the daemons.
func (f *fleet) measureFaults(r *figure.Report, name func(string) string) error {
	n := len(f.daemons)
	drainTime, err := f.measureDrain(f.daemons[n/3])
	if err != nil {
		return err
	}
	r.AddAtMost(name("drain"), drainTime.Seconds(), "s", maxDrainTime.Seconds())
	silent := f.daemons[n/3]
	detectionTime, err := f.measureFailureDetection(silent)
	if err != nil {
		return err
	}
	r.AddUnbounded(name("silent-death"), detectionTime.Seconds(), "s")
	silent.cancel()
	silent.done.Wait()
	if err := f.startDaemon(n/3, uint64(time.Now().UnixMilli())); err != nil {
		return err
	}
	if _, err := f.await("full view", f.daemons, f.hasFullView(1)); err != nil {
		return err
	}
	dials, calls := f.counts.dials.Load(), f.platform.Counts().Total()
	cpu := cpuTime()
	restartTime, err := f.measureRestart()
	if err != nil {
		return err
	}
	r.AddUnbounded(name("return.cpu"), (cpuTime()-cpu).Seconds()/float64(n), "s each")
	r.AddUnbounded(name("return.view"), restartTime.Seconds(), "s")
	r.AddUnbounded(name("return.dials"), float64(f.counts.dials.Load()-dials)/float64(n), "each")
	r.AddUnbounded(name("return.platform"), float64(f.platform.Counts().Total()-calls), "calls")
	return nil
}

// comparePlainMethods measures the same churn with plain flooding and with every
// daemon watching the platform. It uses the middle size, since flooding at the
// largest size saturates one machine.
func comparePlainMethods(ctx context.Context, s Settings, r *figure.Report) error {
	size := s.Sizes[len(s.Sizes)/2]
	for _, c := range []struct {
		name    string
		options Options
	}{
		{"flood", Options{Daemons: size, Records: s.Records, Services: s.Services, Flood: true}},
		{"watch", Options{Daemons: size, Records: size, Services: watchedServices, Watch: true}},
	} {
		if err := comparePlain(ctx, s, c.options, r, c.name); err != nil {
			return err
		}
	}
	return nil
}

// comparePlain measures convergence and churn with one plain method.
func comparePlain(ctx context.Context, s Settings, o Options, r *figure.Report, plain string) error {
	name := func(figure string) string { return fmt.Sprintf("%s.%d.%s", plain, o.Daemons, figure) }
	f, err := startFleet(ctx, o)
	if err != nil {
		return err
	}
	defer f.close()
	if _, err := f.await("full view", f.daemons, f.hasFullView(1)); err != nil {
		return err
	}
	if err := f.measureConvergence(ctx, r, name); err != nil {
		return err
	}
	records := dailyRecords * churnFactor
	if o.Watch {
		records = 0
	}
	u, err := f.measure(f.churn(ctx, dailyEdits*churnFactor, records, s.Interval))
	if err != nil {
		return err
	}
	f.addUsage(r, name, "churn100", u, false)
	return nil
}
