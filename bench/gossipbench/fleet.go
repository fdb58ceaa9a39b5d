// Package gossipbench measures the control part of many daemons in one process:
// records, configuration, peers over loopback and readers of the stand-in
// platform. Records of further servers are made by hand.
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
	// liveDomains and madeDomains are the failure domains of the daemons and
	// of the records made by hand.
	liveDomains = 3
	madeDomains = 6
	maxSeeds    = 3
)

// Options size a fleet.
type Options struct {
	// Daemons run, Records are in the view of each, Services are configured.
	Daemons, Records, Services int
	// Flood spreads without a tree.
	Flood bool
	// Watch lets every daemon watch the platform and none have peers.
	Watch bool
}

type quiet struct{}

func (quiet) Infof(string, ...any)  {}
func (quiet) Debugf(string, ...any) {}

// daemon is the control part of one daemon.
type daemon struct {
	id      member.ServerID
	domain  string
	address string
	own     member.Record
	table   *member.Table
	configs *manifest.Store
	node    *gossip.Node
	router  *route.Router
	stop    context.CancelFunc
	ended   sync.WaitGroup

	mu sync.Mutex
	// inForce tells when each version came in force.
	inForce map[manifest.Version]time.Time
}

// fleet is a set of daemons with a platform.
type fleet struct {
	options  Options
	platform *platform.Platform
	address  string
	editor   *manifest.Editor
	client   *platformhttp.Client
	silencer *silencer
	counts   counts
	daemons  []*daemon
	made     []member.Record
	// edited counts the edits made so far.
	edited int

	ctx   context.Context
	stop  context.CancelFunc
	tasks *errgroup.Group
}

// start runs the platform with its services and all daemons. The records made
// by hand are at first known to the seeds alone.
func start(ctx context.Context, o Options) (*fleet, error) {
	ctx, stop := context.WithCancel(ctx)
	tasks, ctx := errgroup.WithContext(ctx)
	f := &fleet{
		options: o, platform: platform.New(), silencer: &silencer{silent: map[string]bool{}},
		ctx: ctx, stop: stop, tasks: tasks,
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		stop()
		return nil, oops.In("bench").Wrap(err)
	}
	f.address = ln.Addr().String()
	tasks.Go(func() error { return f.platform.Run(ctx, ln) })
	f.client = platformhttp.NewClient(f.address)
	f.editor = manifest.NewEditor(&platformhttp.Repository{Client: f.client})
	if err := f.configure(ctx); err != nil {
		stop()
		return nil, err
	}
	for i := range o.Records - o.Daemons {
		f.made = append(f.made, f.record(i))
	}
	for i := range o.Daemons {
		if err := f.add(i, 1); err != nil {
			stop()
			return nil, err
		}
	}
	return f, nil
}

// record returns a record made by hand. It has no peer address, so that nobody
// dials it.
func (f *fleet) record(i int) member.Record {
	return member.Record{
		Server: member.ServerID(fmt.Sprintf("made-%05d", i)), Incarnation: uint64(time.Now().UnixMilli()),
		State: member.Ready, Service: serviceName(i % f.options.Services),
		Domain:      fmt.Sprintf("domain-%d", liveDomains+i%madeDomains),
		CallAddress: fmt.Sprintf("10.%d.%d.%d:7101", i>>16, i>>8&255, i&255), Slots: 12,
	}
}

// add starts the daemon of a number, in place of an earlier one if there is.
func (f *fleet) add(i int, incarnation uint64) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return oops.In("bench").Wrap(err)
	}
	id := member.ServerID(fmt.Sprintf("server-%04d", i))
	d := &daemon{
		id: id, domain: fmt.Sprintf("domain-%d", i%liveDomains), address: ln.Addr().String(),
		table: member.NewTable(id), configs: manifest.NewStore(), inForce: map[manifest.Version]time.Time{},
	}
	if f.options.Watch {
		d.domain = fmt.Sprintf("domain-%d", i)
	}
	cfg := gossip.DefaultConfig()
	cfg.Flood = f.options.Flood
	dial := &dialer{Dialer: &peergrpc.Dialer{Credentials: insecure.NewCredentials()}, silencer: f.silencer, own: d.address, counts: &f.counts}
	d.node = gossip.NewNode(cfg, id, d.domain, f.seeds(), dial, d.table, d.configs, quiet{})
	d.router = route.NewRouter(d.configs, d.table)
	d.own = member.Record{
		Server: id, Incarnation: incarnation, State: member.Ready, Service: serviceName(i % f.options.Services),
		Domain: d.domain, CallAddress: d.address, PeerAddress: d.address, Slots: 12,
	}
	d.node.Announce(d.own)
	if i < maxSeeds {
		d.table.Merge(f.made)
	}
	f.run(d, ln)
	if i < len(f.daemons) {
		f.daemons[i] = d
	} else {
		f.daemons = append(f.daemons, d)
	}
	return nil
}

func (f *fleet) run(d *daemon, ln net.Listener) {
	ctx, stop := context.WithCancel(f.ctx)
	d.stop = stop
	client := platformhttp.NewClient(f.address)
	cfg := reader.DefaultConfig()
	if f.options.Watch {
		cfg.LeaseTTL, cfg.JoinTimeout = time.Hour, 0
	}
	read := reader.New(cfg, d.id, d.domain, &platformhttp.Repository{Client: client},
		platformhttp.NewLeases(client), d.table, d.configs, quiet{})
	tasks := []func() error{
		func() error { return read.Run(ctx) },
		func() error { return d.router.Run(ctx) },
		func() error { return d.watch(ctx) },
	}
	if !f.options.Watch {
		serve := &handler{node: d.node, silencer: f.silencer, own: d.address, counts: &f.counts}
		tasks = append(tasks,
			func() error { return d.node.Run(ctx) },
			func() error {
				server := peergrpc.NewServer(serve, insecure.NewCredentials())
				return server.Run(ctx, &listener{Listener: ln, counts: &f.counts})
			})
	}
	d.ended.Add(len(tasks))
	for _, task := range tasks {
		f.tasks.Go(func() error {
			defer d.ended.Done()
			return task()
		})
	}
	context.AfterFunc(ctx, client.Close)
}

// watch notes when each version comes in force.
func (d *daemon) watch(ctx context.Context) error {
	last := manifest.Version(0)
	for {
		changed := d.configs.Changed()
		if v := d.configs.Snapshot().Version(); v > last {
			d.note(last, v)
			last = v
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (d *daemon) note(last, v manifest.Version) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for v > last {
		d.inForce[v] = now
		v--
	}
}

func (f *fleet) seeds() []string {
	var seeds []string
	for _, d := range f.daemons[:min(len(f.daemons), maxSeeds)] {
		seeds = append(seeds, d.address)
	}
	return seeds
}

func (f *fleet) close() {
	f.stop()
	_ = f.tasks.Wait()
	f.client.Close()
}
