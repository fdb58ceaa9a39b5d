// Package daemon wires one daemon together: its stores, its decisions and its
// adapters, and the order in which they start and stop.
package daemon

import (
	"cmp"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"fescuehoist.example/adapters/adminhttp"
	"fescuehoist.example/adapters/backendhttp"
	"fescuehoist.example/adapters/callhttp"
	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/adapters/peergrpc"
	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/adapters/telemetry"
	"fescuehoist.example/mesh/announce"
	"fescuehoist.example/mesh/configwatch"
	"fescuehoist.example/mesh/discover"
	"fescuehoist.example/mesh/gossip"
	"fescuehoist.example/mesh/idempotency"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/proxy"
	"fescuehoist.example/mesh/quarantine"
	"fescuehoist.example/mesh/reader"
	"fescuehoist.example/mesh/retry"
	"fescuehoist.example/mesh/route"
	"fescuehoist.example/mesh/status"
	"fescuehoist.example/mesh/stop"
	"fescuehoist.example/mesh/target"
	"fescuehoist.example/mesh/wait"
)

// farewellPeriod is how long a leaving daemon stays to spread that it left.
const farewellPeriod = 200 * time.Millisecond

// A starting daemon puts its first version in force once it has heard from
// joinSources peers, or all seeds if there are fewer, or from the platform, and
// at the latest after joinLimit.
const (
	joinSources = 3
	joinLimit   = 2 * time.Second
)

// ErrAborted, as the cause of the end of Run's context, ends the daemon at once
// as a fault would: without draining and without telling anyone.
var ErrAborted = errors.New("the daemon is aborted")

// Config holds the settings of a daemon's parts.
type Config struct {
	Settings    *settings.Settings
	Gossip      gossip.Config
	Reader      reader.Config
	Status      status.Config
	Idempotency idempotency.Config
	Quarantine  quarantine.Config
	ConfigWatch configwatch.Config
	Discover    discover.Config
	Log         *logrus.Logger
	// Dial opens connections to other daemons for calls; nil uses plain TCP.
	Dial httpconn.DialFunc
	// Policy decides about calls under load.
	Policy Policy
}

// DefaultConfig returns the defaults for the given settings.
func DefaultConfig(s *settings.Settings, log *logrus.Logger) Config {
	return Config{
		Settings: s, Gossip: gossip.DefaultConfig(), Reader: reader.DefaultConfig(), Status: status.DefaultConfig(),
		Idempotency: idempotency.DefaultConfig(), Quarantine: quarantine.DefaultConfig(),
		ConfigWatch: configwatch.DefaultConfig(), Discover: discover.DefaultConfig(),
		Log: log, Policy: DefaultPolicy(s, log),
	}
}

// Listeners are the open sockets of a daemon.
type Listeners struct {
	Callers, Calls, Peers, Admin net.Listener
	// Announcements and Ready are nil unless the settings name them.
	Announcements, Ready net.Listener
}

// Listen opens the sockets that the settings name.
func Listen(s *settings.Settings) (*Listeners, error) {
	l := &Listeners{}
	for _, socket := range []struct {
		name, address string
		to            *net.Listener
	}{
		{"callers", s.Callers, &l.Callers}, {"calls", s.Calls, &l.Calls},
		{"peers", s.Peers, &l.Peers}, {"admin", s.Admin, &l.Admin},
		{"announcements", s.Announcements, &l.Announcements}, {"ready", s.Ready, &l.Ready},
	} {
		if socket.address == "" {
			continue
		}
		ln, err := net.Listen("tcp", socket.address)
		if err != nil {
			l.Close()
			return nil, oops.In("daemon").Wrapf(err, "listen.%s", socket.name)
		}
		*socket.to = ln
	}
	return l, nil
}

// Close closes the sockets that are open.
func (l *Listeners) Close() {
	for _, ln := range []net.Listener{l.Callers, l.Calls, l.Peers, l.Admin, l.Announcements, l.Ready} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// Daemon is one daemon.
type Daemon struct {
	cfg       Config
	listeners *Listeners
	links     *links

	members   *member.Table
	configs   *manifest.Store
	node      *gossip.Node
	site      site
	router    *route.Router
	gate      Gate
	backend   *backendhttp.Client
	announcer *announce.Announcer
	forwarder *callhttp.Forwarder
	figures   *telemetry.Telemetry
	traffic   *peergrpc.Traffic
	meter     *status.Meter
	stops     *stop.Executor
	homes     *idempotency.Replicas
	ledger    *idempotency.Ledger
	once      *idempotency.Runner
	crashes   *quarantine.Tracker
	inner     *proxy.Inbound
	outer     *proxy.Outbound
	leaving   atomic.Bool
	// retry holds the limits on retries in force.
	retry atomic.Pointer[settings.Retry]
}

// New builds a daemon on open sockets; Run starts it.
func New(cfg Config, l *Listeners) (*Daemon, error) {
	figures, err := telemetry.New()
	if err != nil {
		return nil, oops.In("daemon").Wrapf(err, "telemetry")
	}
	links, err := newLinks(&cfg.Settings.TLS, cfg.Dial, func(err error) {
		cfg.Log.WithField("part", "tls").Warnf("keeps the keys in use: %v", err)
	})
	if err != nil {
		return nil, err
	}
	s := cfg.Settings
	self := member.ServerID(s.Server)
	d := &Daemon{
		cfg: cfg, listeners: l, links: links, figures: figures,
		members:   member.NewTable(self),
		configs:   manifest.NewStore(),
		gate:      cfg.Policy.Gate,
		backend:   &backendhttp.Client{},
		forwarder: callhttp.NewForwarder(links.calls),
		traffic:   &peergrpc.Traffic{},
	}
	d.forwarder.Mesh = s.Mesh
	d.retry.Store(&s.Retry)
	if s.Retry.Burst > 0 {
		d.cfg.Policy.Retries = retry.NewPolicyWithLimits(d.sharedBudget())
	}
	if s.Progress == 0 {
		d.forwarder.InactivityTimeout = 0
	}
	d.buildControl(self)
	d.buildCalls(self)
	if err := d.watchFigures(); err != nil {
		return nil, oops.In("daemon").Wrapf(err, "telemetry")
	}
	return d, nil
}

func (d *Daemon) buildControl(self member.ServerID) {
	s := d.cfg.Settings
	d.cfg.Gossip.Mesh = s.Mesh
	dialer := &peergrpc.Dialer{Credentials: d.links.connect, Traffic: d.traffic}
	d.node = gossip.NewNode(d.cfg.Gossip, self, s.Domain, s.Seeds, dialer, d.members, d.configs, d.prefixed("spread"))
	own := member.Record{
		Server: self, Domain: s.Domain, LinkMbps: s.Limits.Link,
		CallAddress: cmp.Or(s.CallsTold, d.listeners.Calls.Addr().String()),
		PeerAddress: cmp.Or(s.PeersTold, d.listeners.Peers.Addr().String()),
	}
	d.announcer = announce.New(own, d.node, d.backend, d.gate, s.AnnounceLifetime)
	d.meter = status.NewMeter()
	d.stops = stop.NewExecutor(self, s.Domain, d.announcer, d.prefixed("stop"))
	if s.API == settings.Objects {
		d.site = newObjects(d)
		return
	}
	d.site = newNative(d)
}

func (d *Daemon) buildCalls(self member.ServerID) {
	d.backend.Dialect = d.site.dialect()
	d.router = route.NewRouter(d.configs, d.members)
	d.homes = idempotency.NewReplicas(d.cfg.Idempotency, d.members)
	d.ledger = idempotency.NewLedger(d.cfg.Idempotency, d.homes)
	d.once = idempotency.NewRunner(d.cfg.Idempotency, self, d.homes, d.ledger, d.forwarder)
	d.crashes = quarantine.NewTracker(d.cfg.Quarantine, self, d.backend,
		&quarantine.Broadcaster{Self: self, Table: d.members, Link: d.forwarder}, d.lost)
	calls := &journal{out: d.prefixed("call"), configs: d.configs}
	d.inner = &proxy.Inbound{CallLog: calls, Host: d.announcer, Routes: d.router, Gate: d.gate, Quarantine: d.crashes, Backend: &status.TimedHandler{Handler: d.backend, Meter: d.meter}}
	d.outer = &proxy.Outbound{
		Self: self, Routes: d.router, Picker: d.cfg.Policy.Picker, Unreachable: d.cfg.Policy.Unreachable,
		Retries: d.cfg.Policy.Retries, Throttle: d.cfg.Policy.Throttle,
		Idempotency: d.once, Remote: d.forwarder, Local: d.inner, Observer: observers{d.figures, d.meter, calls},
	}
}

// lost takes the backend server out of the routes after a request was cut by
// its crash.
func (d *Daemon) lost() {
	if d.announcer.State() == member.Ready {
		d.prefixed("crash").Warn("the backend server crashed; the requests that it ran are suspects")
	}
	d.announcer.HandleCrash()
}

// prefixed returns a logger whose messages start with the name of a part.
func (d *Daemon) prefixed(part string) *logrus.Entry {
	return prefixed(d.cfg.Log, d.cfg.Settings, part)
}

func prefixed(log *logrus.Logger, s *settings.Settings, part string) *logrus.Entry {
	return log.WithField("part", part).WithField("server", s.Server)
}

// Run runs the daemon until ctx ends, then drains it: the backend server
// leaves, running calls end, and the peers are told before the streams close.
func (d *Daemon) Run(ctx context.Context) error {
	out := d.prefixed("daemon")
	control, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	calls, stopCalls := context.WithCancel(control)
	defer stopCalls()

	g, control := errgroup.WithContext(control)
	callers := d.callers()
	forwarded := d.forwarded()
	var serving errgroup.Group
	serving.Go(func() error { return callers.Run(calls, wrap(d.listeners.Callers, d.links.wrapCallers)) })
	serving.Go(func() error { return forwarded.Run(calls, wrap(d.listeners.Calls, d.links.wrapCalls)) })
	g.Go(serving.Wait)
	d.configs.RequireQuorum(d.site.joinSources())
	release := time.AfterFunc(joinLimit, d.configs.SkipQuorum)
	defer release.Stop()
	g.Go(func() error { return d.node.Run(control) })
	d.site.run(control, g)
	g.Go(func() error {
		return (&beliefs{out: d.prefixed("belief"), configs: d.configs, members: d.members}).run(control)
	})
	g.Go(func() error { return d.router.Run(control) })
	g.Go(func() error { return d.cfg.Policy.Unreachable.Run(control, d.forwarder) })
	g.Go(func() error { return d.homes.Run(control, d.once.ReplicateTo) })
	g.Go(func() error {
		server := peergrpc.NewServer(d.node, d.links.accept)
		server.Traffic = d.traffic
		return server.Run(control, d.listeners.Peers, d.site.services()...)
	})
	g.Go(func() error { return d.stops.Run(control) })
	g.Go(func() error { return d.admin().Run(control, d.listeners.Admin) })
	g.Go(func() error {
		defer stopControl()
		select {
		case <-ctx.Done():
		case <-control.Done():
			return nil
		}
		if errors.Is(context.Cause(ctx), ErrAborted) {
			// A daemon that dies does not give its lease back.
			d.site.close()
			stopCalls()
			callers.Abort()
			forwarded.Abort()
			return nil
		}
		d.leaving.Store(true)
		out.Info("draining")
		callers.Drain()
		_ = wait.For(control, d.site.linger())
		d.drain(control, stopCalls, serving.Wait)
		out.Info("left")
		return nil
	})
	out.Infof("started in failure domain %s", d.cfg.Settings.Domain)
	err := g.Wait()
	d.close()
	return oops.In("daemon").Wrap(err)
}

// drain leaves in order: no new calls, the running ones end, then the peers
// learn that the server has left.
func (d *Daemon) drain(ctx context.Context, stopCalls func(), served func() error) {
	ctx, cancel := context.WithTimeout(ctx, d.drainTimeout())
	defer cancel()
	if err := d.announcer.Drain(ctx); err != nil {
		d.prefixed("daemon").Warn("the drain timeout passed while calls ran")
	}
	d.once.Leave(ctx)
	d.announcer.Leave()
	stopCalls()
	done := make(chan struct{})
	go func() {
		_ = served()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	time.Sleep(farewellPeriod)
}

// drainTimeout is the time in which the longest calls that run can end.
func (d *Daemon) drainTimeout() time.Duration {
	longest := d.cfg.Settings.DrainTimeout
	d.configs.Snapshot().Each(func(s *target.Service) {
		for i := range s.Classes {
			if c := &s.Classes[i]; c.RoutesTo(s.Name, d.announcer.Service()) {
				longest = max(longest, c.Timeout+2*announce.NoticePeriod)
			}
		}
	})
	return longest
}

// callers returns the server for callers.
func (d *Daemon) callers() *httpconn.Server {
	s := d.cfg.Settings
	return d.serverOf(&callhttp.CallerHandler{Handler: d.outer, Dialect: d.site.dialect(), Origin: s.Service}, 0, "callers")
}

// forwarded returns the server for calls from other daemons.
func (d *Daemon) forwarded() *httpconn.Server {
	s := d.cfg.Settings
	control := &callhttp.ControlHandler{Ledger: d.ledger, Runner: d.once, Tracker: d.crashes}
	return d.serverOf(&callhttp.DaemonHandler{Mesh: s.Mesh, Handler: d.inner, Control: control}, s.Progress, "calls")
}

// Parts of the descriptors that the settings grant which the connections of
// callers and of other daemons may take. The rest is for the connections that
// the daemon opens.
const (
	descriptorShare = 3
	minDescriptors  = 16
)

func (d *Daemon) serverOf(h httpconn.Handler, progress time.Duration, name string) *httpconn.Server {
	server := httpconn.NewServer(h, progress)
	if n := d.cfg.Settings.Limits.Descriptors; n > 0 {
		server.SetMaxConnections(max(n/descriptorShare, minDescriptors))
	}
	out := d.prefixed(name)
	server.OnAcceptError(func(err error) { out.Warnf("cannot accept a connection, trying on: %v", err) })
	return server
}

func (d *Daemon) close() {
	d.once.Wait()
	d.forwarder.Close()
	d.backend.Close()
	d.site.close()
	_ = d.figures.Close(context.Background())
}

func (d *Daemon) admin() *adminhttp.Server {
	return &adminhttp.Server{
		Announcer: d.announcer,
		Metrics:   d.figures.Handler(),
		State:     func() any { return d.State() },
		Ready:     func() bool { return d.configs.Snapshot().Version() > 0 && !d.leaving.Load() },
	}
}
