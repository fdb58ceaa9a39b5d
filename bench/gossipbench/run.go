package gossipbench

import (
	"context"
	"fmt"
	"time"

	"fescuehoist.example/bench/figure"
)

// Bounds from the stated targets.
const (
	maxConvergence  = 6 * time.Second
	maxBytes        = 25_000
	maxHeap         = 128e6
	maxCores        = 0.028
	maxNewWork      = 3 * time.Second
	targetDaemons   = 18_000
	targetDomains   = 9
	readersEach     = 2
	secondsOfTheDay = 24 * 60 * 60
)

// Rates of the size that the product is designed for, per second: 24,000
// changes of configuration a day, and 64 failures and 2,400 restarts that each
// change a record up to four times.
const (
	dailyEdits   = 24_000.0 / secondsOfTheDay
	dailyRecords = (2_400 + 64) * 4.0 / secondsOfTheDay
	hastened     = 100
)

// watchedServices keeps the start short where every daemon reads all services
// from the platform.
const watchedServices = 100

// editsMeasured is the number of edits whose convergence is measured.
const editsMeasured = 10

// Settings choose what is measured.
type Settings struct {
	Sizes             []int
	Records, Services int
	// Interval is how long each usage is measured.
	Interval time.Duration
	// Plain adds the plain ways for comparison.
	Plain bool
}

// Run measures everything.
func Run(ctx context.Context, s Settings, r *figure.Report) error {
	mean, worst, streams := hops(targetDaemons, targetDomains)
	r.AddUnbounded("spread.18000.hops.mean", mean, "hops")
	r.AddUnbounded("spread.18000.hops.worst", float64(worst), "hops")
	r.AddUnbounded("spread.18000.streams.most", float64(streams), "streams")
	platform := map[int]float64{}
	for i, size := range s.Sizes {
		o := Options{Daemons: size, Records: s.Records, Services: s.Services}
		calls, err := runSize(ctx, s, o, r, i == len(s.Sizes)-1)
		if err != nil {
			return err
		}
		platform[size] = calls
	}
	least, most := s.Sizes[0], s.Sizes[len(s.Sizes)-1]
	r.AddAtMost("spread.platform.growth", platform[most]/platform[least], "times", 1.5)
	if !s.Plain {
		return nil
	}
	return compare(ctx, s, r)
}

// runSize measures one size, the largest with faults, and returns the platform
// calls for each edit under hastened churn.
func runSize(ctx context.Context, s Settings, o Options, r *figure.Report, largest bool) (float64, error) {
	name := func(figure string) string { return fmt.Sprintf("spread.%d.%s", o.Daemons, figure) }
	before := heap()
	began := time.Now()
	f, err := start(ctx, o)
	if err != nil {
		return 0, err
	}
	defer f.close()
	if _, err := f.await("the full view", f.daemons, f.full(1)); err != nil {
		return 0, err
	}
	r.AddUnbounded(name("start"), time.Since(began).Seconds(), "s")
	r.AddAtMost(name("heap"), (heap()-before)/1e6/float64(o.Daemons), "MB", maxHeap/1e6)
	if err := f.convergence(ctx, r, name); err != nil {
		return 0, err
	}
	idle, err := f.measure(f.rest(s.Interval))
	if err != nil {
		return 0, err
	}
	f.show(r, name, "idle", idle, true)
	churn, err := f.measure(f.churn(ctx, dailyEdits*hastened, dailyRecords*hastened, s.Interval))
	if err != nil {
		return 0, err
	}
	f.show(r, name, "churn100", churn, false)
	daily := interpolate(idle, churn)
	f.show(r, name, "daily", daily, true)
	callsPerEdit := churn.platform / churn.edits
	r.AddUnbounded(name("platform.edit"), callsPerEdit, "calls/edit")
	if largest {
		return callsPerEdit, f.faults(r, name)
	}
	return callsPerEdit, nil
}

// interpolate returns the usage at daily rates from idle and hastened ones. The
// edits that were made in time say how much hastened these were.
func interpolate(idle, churn usage) usage {
	at := func(a, b float64) float64 { return a + (b-a)*dailyEdits/churn.edits }
	return usage{
		bytes: at(idle.bytes, churn.bytes), messages: at(idle.messages, churn.messages),
		cores: at(idle.cores, churn.cores), platform: at(idle.platform, churn.platform),
	}
}

func (f *fleet) convergence(ctx context.Context, r *figure.Report, name func(string) string) error {
	delays, err := f.edits(ctx, editsMeasured)
	if err != nil {
		return err
	}
	at := func(q float64) float64 { return delays[int(q*float64(len(delays)-1))].Seconds() }
	r.AddUnbounded(name("converge.p50"), at(0.5), "s")
	r.AddUnbounded(name("converge.p99"), at(0.99), "s")
	r.AddAtMost(name("converge.worst"), at(1), "s", maxConvergence.Seconds())
	return nil
}

// show adds the figures of a usage.
func (f *fleet) show(r *figure.Report, name func(string) string, load string, u usage, bounded bool) {
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

// faults measures a draining server, a silent death and a return of half.
func (f *fleet) faults(r *figure.Report, name func(string) string) error {
	n := len(f.daemons)
	drained, err := f.drain(f.daemons[n/3])
	if err != nil {
		return err
	}
	r.AddAtMost(name("drain"), drained.Seconds(), "s", maxNewWork.Seconds())
	silent := f.daemons[n/3]
	detected, err := f.silence(silent)
	if err != nil {
		return err
	}
	r.AddUnbounded(name("silent-death"), detected.Seconds(), "s")
	silent.stop()
	silent.ended.Wait()
	if err := f.add(n/3, uint64(time.Now().UnixMilli())); err != nil {
		return err
	}
	if _, err := f.await("the full view", f.daemons, f.full(1)); err != nil {
		return err
	}
	dials, calls := f.counts.dials.Load(), f.platform.Counts().Total()
	cpu := processorTime()
	back, err := f.returned()
	if err != nil {
		return err
	}
	r.AddUnbounded(name("return.cpu"), (processorTime()-cpu).Seconds()/float64(n), "s each")
	r.AddUnbounded(name("return.view"), back.Seconds(), "s")
	r.AddUnbounded(name("return.dials"), float64(f.counts.dials.Load()-dials)/float64(n), "each")
	r.AddUnbounded(name("return.platform"), float64(f.platform.Counts().Total()-calls), "calls")
	return nil
}

// compare measures the same churn with plain flooding and with every daemon
// watching the platform, at the middle size: the largest saturates one machine
// when it floods.
func compare(ctx context.Context, s Settings, r *figure.Report) error {
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

func comparePlain(ctx context.Context, s Settings, o Options, r *figure.Report, plain string) error {
	name := func(figure string) string { return fmt.Sprintf("%s.%d.%s", plain, o.Daemons, figure) }
	f, err := start(ctx, o)
	if err != nil {
		return err
	}
	defer f.close()
	if _, err := f.await("the full view", f.daemons, f.full(1)); err != nil {
		return err
	}
	if err := f.convergence(ctx, r, name); err != nil {
		return err
	}
	records := dailyRecords * hastened
	if o.Watch {
		records = 0
	}
	u, err := f.measure(f.churn(ctx, dailyEdits*hastened, records, s.Interval))
	if err != nil {
		return err
	}
	f.show(r, name, "churn100", u, false)
	return nil
}
