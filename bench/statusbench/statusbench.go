// Package statusbench measures what gathering status costs in one failure domain,
// with real collectors and counted messages.
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

// Size is a failure domain to measure.
type Size struct {
	Daemons, Services int
	// CalledServices is the number of services that each daemon's callers call.
	CalledServices int
}

// Sizes returns the sizes that are measured, up to the one of the design.
func Sizes() []Size {
	return []Size{{8, 2, 2}, {64, 16, 8}, {256, 128, 8}, {1000, 1024, 8}, {2000, 3300, 8}}
}

// Result is what one size costs. Rates are scaled to the default interval.
type Result struct {
	// SentMean and TrafficMax are bytes of reports a second and daemon.
	SentMean, TrafficMax float64
	// SummaryWriteRateMax is the most bytes of summaries that one daemon writes a
	// second, SummaryMax the largest summary.
	SummaryWriteRateMax, SummaryMax float64
	// Writes is the number of writes to the platform a second.
	Writes float64
	// CPU is the processor time of a daemon in one interval.
	CPU time.Duration
}

const (
	classesPerService = 2
	callsPerClass     = 100
	intervals         = 3
	failureDomain     = "d"
)

// domain carries reports in memory and counts their bytes.
type domain struct {
	mu         sync.Mutex
	collectors map[string]*status.Collector
	sent       map[member.ServerID]int
	received   map[string]int
	written    map[member.ServerID]int
	largest    int
	writes     int
}

// Report passes a report on.
func (d *domain) Report(_ context.Context, address string, r *status.Report) (*status.Reply, error) {
	size := statusgrpc.Size(r)
	d.mu.Lock()
	d.sent[r.From] += size
	d.received[address] += size
	c := d.collectors[address]
	d.mu.Unlock()
	return c.Receive(r)
}

// Summary returns none.
func (d *domain) Summary(context.Context, string, int) (*status.Summary, uint64, error) {
	return nil, 0, nil
}

// SaveSummary counts a write.
func (d *domain) SaveSummary(_ context.Context, s *status.Summary, _ uint64) (uint64, error) {
	size := platformhttp.SummarySize(s)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.written[s.By] += size
	d.largest = max(d.largest, size)
	d.writes++
	return 1, nil
}

// Stops returns none.
func (d *domain) Stops(context.Context) (*stop.List, error) { return &stop.List{}, nil }

type discard struct{}

func (discard) Infof(string, ...any)  {}
func (discard) Debugf(string, ...any) {}
func (discard) Suspend()              {}
func (discard) Resume()               {}

// Run measures one size over a few intervals.
func Run(ctx context.Context, s Size, interval time.Duration) (*Result, error) {
	d := &domain{
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
	if _, err := configs.ApplyUpdate(configuration(names)); err != nil {
		return nil, err
	}
	meters := d.populate(cfg, s, names, configs)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begun := processorTime()
	load(meters, names, s)
	loading := processorTime() - begun
	g, ctx := errgroup.WithContext(ctx)
	for _, c := range d.collectors {
		g.Go(func() error { return c.Run(ctx) })
	}
	start, before := time.Now(), processorTime()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for range intervals {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-tick.C:
		}
		load(meters, names, s)
	}
	used := processorTime() - before - intervals*loading
	elapsed := time.Since(start)
	cancel()
	_ = g.Wait()
	return d.result(s, elapsed.Seconds()/scale, used/time.Duration(intervals*s.Daemons)), nil
}

// populate adds the daemons, which share one table of members.
func (d *domain) populate(cfg status.Config, s Size, names []string, log *manifest.Store) []*status.Meter {
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
		executor := stop.NewExecutor(name, failureDomain, discard{}, discard{})
		d.collectors[string(name)] = status.NewCollector(cfg, name, failureDomain, meter, table, log, d, d, executor, discard{})
		meters = append(meters, meter)
	}
	table.Merge(records)
	return meters
}

func configuration(names []string) *manifest.Update {
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

// load records an interval's calls at every daemon.
func load(meters []*status.Meter, names []string, s Size) {
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

// result scales what was counted in a number of seconds at the default
// interval.
func (d *domain) result(s Size, seconds float64, cpu time.Duration) *Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &Result{Writes: float64(d.writes) / seconds, SummaryMax: float64(d.largest), CPU: cpu}
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

func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
