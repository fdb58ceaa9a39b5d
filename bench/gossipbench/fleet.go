// Package gossipbench measures the control plane of many daemons in one process:
// member records, configuration, gossip between peers over loopback, and readers of
// the stand-in platform. Synthetic records represent the servers that have no
// running daemon.
package gossipbench

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/credentials/insecure"

	"fescuehoist.example/adapters/peergrpc"
	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/mesh/gossip"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/reader"
	"fescuehoist.example/mesh/route"
	"fescuehoist.example/standin/platform"
)

const (
	// liveDomains is the number of failure domains of the running daemons,
	// syntheticDomains that of the synthetic records.
	liveDomains      = 3
	syntheticDomains = 6
	// maxSeeds is the largest number of seeds of a daemon, and the number of
	// daemons that know the synthetic records at the start.
	maxSeeds = 3
)

// Options configures a fleet.
type Options struct {
	// Daemons is the number of running daemons, Records the number of records in
	// the view of each, and Services the number of configured services.
	Daemons, Records, Services int
	// Flood makes gossip flood all streams instead of using a broadcast tree.
	Flood bool
	// Watch makes every daemon watch the platform and disables peers.
	Watch bool
}

// discardLogger discards log messages.
type discardLogger struct{}

func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Debugf(string, ...any) {}

// daemon is the control plane of one daemon.
type daemon struct {
	id      member.ServerID
	domain  string
	address string
	own     member.Record
	table   *member.Table
	configs *manifest.Store
	node    *gossip.Node
	router  *route.Router
	cancel  context.CancelFunc
	done    sync.WaitGroup

	mu sync.Mutex
	// inForceSince is the time at which each version came into force.
	inForceSince map[manifest.Version]time.Time
}

// fleet is a set of daemons with a platform.
type fleet struct {
	options          Options
	platform         *platform.Platform
	address          string
	editor           *manifest.Editor
	client           *platformhttp.Client
	silencer         *silencer
	counts           trafficCounts
	daemons          []*daemon
	syntheticRecords []member.Record
	// editCount is the number of edits so far.
	editCount int

	ctx    context.Context
	cancel context.CancelFunc
	tasks  *errgroup.Group
}

// startFleet starts the platform, publishes all services, and starts all daemons.
// At first only the seeds know the synthetic records.
func startFleet(ctx context.Context, o Options) (*fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	tasks, ctx := errgroup.WithContext(ctx)
	f := &fleet{
		options: o, platform: platform.New(), silencer: &silencer{silent: map[string]bool{}},
		ctx: ctx, cancel: cancel, tasks: tasks,
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cancel()
		return nil, oops.In("bench").Wrap(err)
	}
	f.address = ln.Addr().String()
	tasks.Go(func() error { return f.platform.Run(ctx, ln) })
	f.client = platformhttp.NewClient(f.address)
	f.editor = manifest.NewEditor(&platformhttp.Repository{Client: f.client})
	if err := f.publishAll(ctx); err != nil {
		cancel()
		return nil, err
	}
	for i := range o.Records - o.Daemons {
		f.syntheticRecords = append(f.syntheticRecords, f.syntheticRecord(i))
	}
	for i := range o.Daemons {
		if err := f.startDaemon(i, 1); err != nil {
			cancel()
			return nil, err
		}
	}
	return f, nil
}

// syntheticRecord returns the i-th synthetic record. It has no peer address, so that
// no daemon dials it.
func (f *fleet) syntheticRecord(i int) member.Record {
	return member.Record{
		Server: member.ServerID(fmt.Sprintf("made-%05d", i)), Incarnation: uint64(time.Now().UnixMilli()),
		State: member.Ready, Service: serviceName(i % f.options.Services),
		Domain:      fmt.Sprintf("domain-%d", liveDomains+i%syntheticDomains),
		CallAddress: fmt.Sprintf("10.%d.%d.%d:7101", i>>16, i>>8&255, i&255), Slots: 12,
	}
}

// startDaemon starts the i-th daemon. It replaces the earlier i-th daemon, if any.
func (f *fleet) startDaemon(i int, incarnation uint64) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return oops.In("bench").Wrap(err)
	}
	id := member.ServerID(fmt.Sprintf("server-%04d", i))
	d := &daemon{
		id: id, domain: fmt.Sprintf("domain-%d", i%liveDomains), address: ln.Addr().String(),
		table: member.NewTable(id), configs: manifest.NewStore(), inForceSince: map[manifest.Version]time.Time{},
	}
	if f.options.Watch {
		d.domain = fmt.Sprintf("domain-%d", i)
	}
	cfg := gossip.DefaultConfig()
	cfg.Flood = f.options.Flood
	dial := &filteredDialer{Dialer: &peergrpc.Dialer{Credentials: insecure.NewCredentials()}, silencer: f.silencer, own: d.address, counts: &f.counts}
	d.node = gossip.NewNode(cfg, id, d.domain, f.seeds(), dial, d.table, d.configs, discardLogger{})
	d.router = route.NewRouter(d.configs, d.table)
	d.own = member.Record{
		Server: id, Incarnation: incarnation, State: member.Ready, Service: serviceName(i % f.options.Services),
		Domain: d.domain, CallAddress: d.address, PeerAddress: d.address, Slots: 12,
	}
	d.node.Announce(d.own)
	if i < maxSeeds {
		d.table.Merge(f.syntheticRecords)
	}
	f.startTasks(d, ln)
	if i < len(f.daemons) {
		f.daemons[i] = d
	} else {
		f.daemons = append(f.daemons, d)
	}
	return nil
}

// startTasks starts the tasks of a daemon: its reader, router, and unless Watch is
// set its gossip node and server. They end when d.cancel is called.
func (f *fleet) startTasks(d *daemon, ln net.Listener) {
	ctx, cancel := context.WithCancel(f.ctx)
	d.cancel = cancel
	client := platformhttp.NewClient(f.address)
	cfg := reader.DefaultConfig()
	if f.options.Watch {
		cfg.LeaseTTL, cfg.JoinTimeout = time.Hour, 0
	}
	configReader := reader.New(cfg, d.id, d.domain, &platformhttp.Repository{Client: client},
		platformhttp.NewLeases(client), d.table, d.configs, discardLogger{})
	tasks := []func() error{
		func() error { return configReader.Run(ctx) },
		func() error { return d.router.Run(ctx) },
		func() error { return d.recordVersions(ctx) },
	}
	if !f.options.Watch {
		serve := &filteredHandler{node: d.node, silencer: f.silencer, own: d.address, counts: &f.counts}
		tasks = append(tasks,
			func() error { return d.node.Run(ctx) },
			func() error {
				server := peergrpc.NewServer(serve, insecure.NewCredentials())
				return server.Run(ctx, &countingListener{Listener: ln, counts: &f.counts})
			})
	}
	d.done.Add(len(tasks))
	for _, task := range tasks {
		f.tasks.Go(func() error {
			defer d.done.Done()
			return task()
		})
	}
	context.AfterFunc(ctx, client.Close)
}

// recordVersions records when each version comes into force, until ctx ends.
func (d *daemon) recordVersions(ctx context.Context) error {
	last := manifest.Version(0)
	for {
		changed := d.configs.Changed()
		if v := d.configs.Snapshot().Version(); v > last {
			d.recordInForce(last, v)
			last = v
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// recordInForce records that all versions after last, up to v, are now in force.
func (d *daemon) recordInForce(last, v manifest.Version) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for v > last {
		d.inForceSince[v] = now
		v--
	}
}

// seeds returns the addresses of the first maxSeeds daemons.
func (f *fleet) seeds() []string {
	var seeds []string
	for _, d := range f.daemons[:min(len(f.daemons), maxSeeds)] {
		seeds = append(seeds, d.address)
	}
	return seeds
}

func (f *fleet) close() {
	f.cancel()
	_ = f.tasks.Wait()
	f.client.Close()
}
