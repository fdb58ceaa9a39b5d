package status_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/status"
	"fescuehoist.example/mesh/stop"
	"fescuehoist.example/mesh/target"
)

const testTimeout = 30 * time.Second

// domain is a failure domain in one process: the transport between collectors
// and a store of summaries.
type domain struct {
	mu         sync.Mutex
	collectors map[string]*status.Collector
	meters     []*status.Meter
	saved      map[int]*status.Summary
	writes     int
	saving     chan struct{}
	stops      *stop.List
}

func (d *domain) Report(_ context.Context, address string, r *status.Report) (*status.Reply, error) {
	d.mu.Lock()
	c := d.collectors[address]
	d.mu.Unlock()
	return c.Receive(r)
}

func (d *domain) Summary(context.Context, string, int) (*status.Summary, uint64, error) {
	return nil, 0, nil
}

func (d *domain) SaveSummary(_ context.Context, s *status.Summary, _ uint64) (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.saved[s.Shard] = s
	d.writes++
	close(d.saving)
	d.saving = make(chan struct{})
	return 1, nil
}

func (d *domain) Stops(context.Context) (*stop.List, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stops, nil
}

// await waits until the summaries satisfy a condition.
func (d *domain) await(ctx context.Context, t *testing.T, what string, condition func(*status.Overview) bool) {
	t.Helper()
	for {
		d.mu.Lock()
		var all []*status.Summary
		for _, s := range d.saved {
			all = append(all, s)
		}
		saving := d.saving
		d.mu.Unlock()
		if condition(status.Combine(all)) {
			return
		}
		select {
		case <-saving:
		case <-ctx.Done():
			t.Fatalf("waiting for %s: %v", what, ctx.Err())
		}
	}
}

type discard struct{}

func (discard) Infof(string, ...any)  {}
func (discard) Debugf(string, ...any) {}

type server struct{ suspended chan struct{} }

func (s *server) Suspend() { close(s.suspended) }
func (s *server) Resume()  {}

// startCollectors runs count daemons that have a version with several services
// in force.
func startCollectors(ctx context.Context, t *testing.T, count int, cfg status.Config) (*domain, []*server) {
	t.Helper()
	d := &domain{collectors: map[string]*status.Collector{}, saved: map[int]*status.Summary{}, saving: make(chan struct{}), stops: &stop.List{}}
	table := member.NewTable("outside")
	configs := manifest.NewStore()
	if _, err := configs.ApplyUpdate(newUpdate()); err != nil {
		t.Fatal(err)
	}
	var servers []*server
	for i := range count {
		name := member.ServerID(fmt.Sprintf("s-%d", i))
		table.Merge([]member.Record{{Server: name, Incarnation: 1, State: member.Ready, Service: "a", Slots: 4, Domain: "d", PeerAddress: string(name)}})
		meter, suspendable := status.NewMeter(), &server{suspended: make(chan struct{})}
		servers = append(servers, suspendable)
		executor := stop.NewExecutor(name, "d", suspendable, discard{})
		c := status.NewCollector(cfg, name, "d", meter, table, configs, d, d, executor, discard{})
		d.collectors[string(name)] = c
		d.meters = append(d.meters, meter)
		go func() { _ = executor.Run(ctx) }()
	}
	for _, c := range d.collectors {
		go func() { _ = c.Run(ctx) }()
	}
	return d, servers
}

func newUpdate() *manifest.Update {
	u := &manifest.Update{Base: &manifest.Table{Version: 7}}
	for _, name := range []string{"a", "b", "c", "d"} {
		s := &target.Service{Name: name, Classes: []target.Class{{
			Name: "get", Path: "/", Rank: 1, Latency: 10 * time.Millisecond, Success: 0.9, Timeout: time.Second,
		}}}
		u.Base.Refs = append(u.Base.Refs, manifest.Ref{Service: name, Digest: s.Digest()})
		u.Bodies = append(u.Bodies, manifest.Body{Digest: s.Digest(), Service: s})
	}
	return u
}

// recordCalls records a good, a slow and a refused call of every service at
// every daemon.
func (d *domain) recordCalls() {
	for _, name := range []string{"a", "b", "c", "d"} {
		class := &target.Class{Name: "get", Latency: 10 * time.Millisecond}
		for i, m := range d.meters {
			r := &call.Request{Service: name, Class: class, ClassName: "get", Client: fmt.Sprintf("client-%d", i)}
			m.ObserveCall(r, 5*time.Millisecond, nil)
			m.ObserveCall(r, 50*time.Millisecond, nil)
			m.ObserveCall(r, time.Millisecond, call.Refuse(call.Overloaded, io.EOF))
		}
	}
}

func TestCollectorSummariesCountEveryCallOnce(t *testing.T) {
	for _, c := range []struct{ daemons, fanout, perShard int }{
		{1, 16, 64}, {20, 16, 64}, {40, 2, 1}, {40, 1, 2},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			cfg := status.Config{Interval: 50 * time.Millisecond, WindowIntervals: 1000, Fanout: c.fanout, ServicesPerShard: c.perShard, ExpiryIntervals: 40}
			d, _ := startCollectors(ctx, t, c.daemons, cfg)
			d.await(ctx, t, "all daemons", func(o *status.Overview) bool {
				return len(o.Domains) == 1 && o.Domains[0].Daemons() == c.daemons && o.Domains[0].Newest() == 7
			})
			d.recordCalls()
			d.await(ctx, t, "all calls", func(o *status.Overview) bool {
				n := 0
				for i := range o.Classes {
					n += int(o.Classes[i].Counts.Offered)
				}
				return n == 3*4*c.daemons
			})
			d.await(ctx, t, "a missed target in each class", func(o *status.Overview) bool {
				for i := range o.Classes {
					k := &o.Classes[i]
					n := uint64(c.daemons)
					if !k.Missed || k.Counts.Good != n || k.Counts.Answered != 2*n || k.Counts.NotRun != n || k.Counts.Latency.Count() != int64(2*n) {
						return false
					}
				}
				return len(o.Classes) == 4
			})
		})
	}
}

func TestCollectorSendsStopsToEveryDaemon(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	d, servers := startCollectors(ctx, t, 20, status.Config{Interval: 20 * time.Millisecond, WindowIntervals: 2, Fanout: 2, ServicesPerShard: 64, ExpiryIntervals: 10})
	d.mu.Lock()
	now := time.Now()
	d.stops = (&stop.List{Revision: 1}).With(stop.Stop{ID: "one", Domain: "d", From: now, Until: now.Add(time.Hour)}, now)
	d.mu.Unlock()
	for i, s := range servers {
		select {
		case <-s.suspended:
		case <-ctx.Done():
			t.Fatalf("server %d was not suspended", i)
		}
	}
}

func TestCollectorReceiveRejectsReportFromPredecessor(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, _ := startCollectors(ctx, t, 2, status.Config{Interval: time.Hour, WindowIntervals: 1, Fanout: 1, ServicesPerShard: 64, ExpiryIntervals: 1})
	accepted := 0
	for address, from := range map[string]member.ServerID{"s-0": "s-1", "s-1": "s-0"} {
		if _, err := d.Report(ctx, address, &status.Report{From: from}); err == nil {
			accepted++
		}
	}
	if accepted != 1 {
		t.Errorf("reports accepted in %d directions, want 1", accepted)
	}
}

func TestHistogramBucketsRestoreCounts(t *testing.T) {
	var h status.Histogram
	for i := range 1000 {
		h.Record(time.Duration(i*i) * time.Microsecond)
	}
	restored := status.HistogramFromBuckets(h.Buckets())
	if diff := cmp.Diff(h.Buckets(), restored.Buckets()); diff != "" {
		t.Error(diff)
	}
	if got := restored.Share(250 * time.Millisecond); got < 0.45 || got > 0.5 {
		t.Errorf("share within 250 ms: got %v, want 0.45 to 0.5", got)
	}
}
