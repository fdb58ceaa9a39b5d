// Package statusbench measures the cost of collecting status in one failure domain.
// It runs real collectors that exchange reports in memory, and counts the reports and
// their bytes.
package statusbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/adapters/statusgrpc"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/status"
	"fescuehoist.example/mesh/stop"
	"fescuehoist.example/mesh/target"
)

// Size is the size of a failure domain.
type Size struct {
	Daemons, Services int
	// CalledServices is the number of services that the callers of each daemon
	// call.
	CalledServices int
}

// Sizes returns the sizes to measure, up to the one that the project is designed for.
func Sizes() []Size {
	return []Size{{8, 2, 2}, {64, 16, 8}, {256, 128, 8}, {1000, 1024, 8}, {2000, 3300, 8}}
}

// Result is the cost at one size. Rates are scaled to the default interval between
// status reports.
type Result struct {
	// SentMean is the mean over the daemons of the report bytes sent per second,
	// TrafficMax the maximum of those sent and received per second.
	SentMean, TrafficMax float64
	// SummaryWriteRateMax is the largest number of summary bytes that one daemon
	// writes per second, SummaryMax the size of the largest summary in bytes.
	SummaryWriteRateMax, SummaryMax float64
	// Writes is the number of writes to the platform per second.
	Writes float64
	// CPU is the mean processor time of a daemon in one interval.
	CPU time.Duration
}

const (
	classesPerService = 2
	callsPerClass     = 100
	intervalCount     = 3
	failureDomain     = "d"
)

// countingDomain delivers the reports of one failure domain in memory, stands in for
// the platform, and counts the bytes of both.
type countingDomain struct {
	mu             sync.Mutex
	collectors     map[string]*status.Collector
	sent           map[member.ServerID]int
	received       map[string]int
	written        map[member.ServerID]int
	largestSummary int
	writes         int
}

// Report delivers a report to the collector at address.
func (d *countingDomain) Report(_ context.Context, address string, r *status.Report) (*status.Reply, error) {
	size := statusgrpc.Size(r)
	d.mu.Lock()
	d.sent[r.From] += size
	d.received[address] += size
	c := d.collectors[address]
	d.mu.Unlock()
	return c.Receive(r)
}

// Summary returns no summary.
func (d *countingDomain) Summary(context.Context, string, int) (*status.Summary, uint64, error) {
	return nil, 0, nil
}

// SaveSummary counts a write and its bytes.
func (d *countingDomain) SaveSummary(_ context.Context, s *status.Summary, _ uint64) (uint64, error) {
	size := platformhttp.SummarySize(s)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.written[s.By] += size
	d.largestSummary = max(d.largestSummary, size)
	d.writes++
	return 1, nil
}

// Stops returns an empty list.
func (d *countingDomain) Stops(context.Context) (*stop.List, error) { return &stop.List{}, nil }

// discardLogger discards log messages and ignores suspensions.
type discardLogger struct{}

func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Suspend()              {}
func (discardLogger) Resume()               {}

// Run measures one size over intervalCount intervals of the given length. The time
// for recording the simulated calls is measured separately and subtracted from the
// processor time.
func Run(ctx context.Context, s Size, interval time.Duration) (*Result, error) {
	d := &countingDomain{
		collectors: map[string]*status.Collector{}, sent: map[member.ServerID]int{},
		received: map[string]int{}, written: map[member.ServerID]int{},
	}
	cfg := status.DefaultConfig()
	scale := interval.Seconds() / cfg.Interval.Seconds()
	cfg.Interval = interval
	names := make([]string, s.Services)
	for i := range names {
		names[i] = fmt.Sprintf("service-%d", i)
	}
	configs := manifest.NewStore()
	if _, err := configs.ApplyUpdate(newConfiguration(names)); err != nil {
		return nil, err
	}
	meters := d.addDaemons(cfg, s, names, configs)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	recordStart := cpuTime()
	recordCalls(meters, names, s)
	recordTime := cpuTime() - recordStart
	g, ctx := errgroup.WithContext(ctx)
	for _, c := range d.collectors {
		g.Go(func() error { return c.Run(ctx) })
	}
	start, before := time.Now(), cpuTime()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for range intervalCount {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-tick.C:
		}
		recordCalls(meters, names, s)
	}
	cpuUsed := cpuTime() - before - intervalCount*recordTime
	elapsed := time.Since(start)
	cancel()
	_ = g.Wait()
	return d.result(s, elapsed.Seconds()/scale, cpuUsed/time.Duration(intervalCount*s.Daemons)), nil
}

// addDaemons adds the collectors of s.Daemons daemons, which share one member table,
// and returns their meters.
func (d *countingDomain) addDaemons(cfg status.Config, s Size, names []string, configs *manifest.Store) []*status.Meter {
	table := member.NewTable("outside")
	var records []member.Record
	var meters []*status.Meter
	for i := range s.Daemons {
		name := member.ServerID(fmt.Sprintf("server-%d", i))
		records = append(records, member.Record{
			Server: name, Incarnation: 1, State: member.Ready, Service: names[i%len(names)],
			Domain: failureDomain, PeerAddress: string(name), Slots: 12,
		})
		meter := status.NewMeter()
		executor := stop.NewExecutor(name, failureDomain, discardLogger{}, discardLogger{})
		d.collectors[string(name)] = status.NewCollector(cfg, name, failureDomain, meter, table, configs, d, d, executor, discardLogger{})
		meters = append(meters, meter)
	}
	table.Merge(records)
	return meters
}

// newConfiguration returns the first version of the configuration, with a service for
// each name.
func newConfiguration(names []string) *manifest.Update {
	u := &manifest.Update{Base: &manifest.Table{Version: 1}}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	for _, name := range sorted {
		s := &target.Service{Name: name}
		for i := range classesPerService {
			s.Classes = append(s.Classes, target.Class{
				Name: className(i), Path: fmt.Sprintf("/%d", i), Rank: 1, Latency: 100 * time.Millisecond, Success: 0.9, Timeout: time.Second,
			})
		}
		u.Base.Refs = append(u.Base.Refs, manifest.Ref{Service: name, Digest: s.Digest()})
		u.Bodies = append(u.Bodies, manifest.Body{Digest: s.Digest(), Service: s})
	}
	return u
}

func className(i int) string { return fmt.Sprintf("class-%d", i) }

// recordCalls records the calls of one interval in the meter of every daemon.
func recordCalls(meters []*status.Meter, names []string, s Size) {
	class := &target.Class{Latency: 100 * time.Millisecond}
	for i, m := range meters {
		for j := range s.CalledServices {
			name := names[(i*7+j*len(names)/s.CalledServices)%len(names)]
			for k := range classesPerService * callsPerClass {
				r := &call.Request{Service: name, Class: class, ClassName: className(k % classesPerService), Client: fmt.Sprintf("client-%d", k%5)}
				m.ObserveCall(r, time.Duration(20+60*rand.Float64()*rand.Float64())*time.Millisecond, nil)
			}
		}
	}
}

// result returns the counts as rates over the given number of seconds, which are
// scaled to the default interval.
func (d *countingDomain) result(s Size, seconds float64, cpu time.Duration) *Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &Result{Writes: float64(d.writes) / seconds, SummaryMax: float64(d.largestSummary), CPU: cpu}
	total := 0
	for name, sent := range d.sent {
		total += sent
		r.TrafficMax = max(r.TrafficMax, float64(sent+d.received[string(name)])/seconds)
	}
	for name, received := range d.received {
		r.TrafficMax = max(r.TrafficMax, float64(received+d.sent[member.ServerID(name)])/seconds)
	}
	for _, written := range d.written {
		r.SummaryWriteRateMax = max(r.SummaryWriteRateMax, float64(written)/seconds)
	}
	r.SentMean = float64(total) / float64(s.Daemons) / seconds
	return r
}

// cpuTime returns the processor time that this process has used, or 0 if it cannot be
// read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
