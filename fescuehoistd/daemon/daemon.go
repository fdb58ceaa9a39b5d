// Package daemon assembles a daemon from its state, its decisions and its
// adapters, and defines the order in which they start and stop.
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

	"fescuehoist.example/adapters/backendhttp"
	"fescuehoist.example/adapters/boottime"
	"fescuehoist.example/adapters/callhttp"
	"fescuehoist.example/adapters/collectgrpc"
	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/adapters/peergrpc"
	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/adapters/telemetry"
	"fescuehoist.example/mesh/account"
	"fescuehoist.example/mesh/advisory"
	"fescuehoist.example/mesh/announce"
	"fescuehoist.example/mesh/configwatch"
	"fescuehoist.example/mesh/discover"
	"fescuehoist.example/mesh/gossip"
	"fescuehoist.example/mesh/hedge"
	"fescuehoist.example/mesh/idempotency"
	"fescuehoist.example/mesh/link"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/proxy"
	"fescuehoist.example/mesh/quarantine"
	"fescuehoist.example/mesh/reader"
	"fescuehoist.example/mesh/retry"
	"fescuehoist.example/mesh/revision"
	"fescuehoist.example/mesh/route"
	"fescuehoist.example/mesh/status"
	"fescuehoist.example/mesh/stop"
	"fescuehoist.example/mesh/target"
	"fescuehoist.example/mesh/wait"
)

// leaveGossipPeriod is the time for which a drained daemon keeps running so that
// its last record, with state left, reaches its peers by gossip.
const leaveGossipPeriod = 200 * time.Millisecond

// A starting daemon puts its first configuration version in force once joinQuorum
// peers (or all seeds if there are fewer) or the platform have reported a version,
// and after joinTimeout at the latest.
const (
	joinQuorum  = 3
	joinTimeout = 2 * time.Second
)

// ErrAborted, as the cause of the end of Run's context, ends the daemon at once
// like a crash: without draining and without notifying the peers.
var ErrAborted = errors.New("daemon aborted")

// Config holds the settings of a daemon's components.
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
	// Policy makes the decisions about calls under load.
	Policy Policy
}

// DefaultConfig returns the default configuration for the given settings.
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
	// Announcements and Ready are nil unless the settings give their addresses.
	Announcements, Ready net.Listener
}

// Listen opens the listening sockets at the addresses in the settings. On an error
// none stays open.
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

// Close closes the open sockets.
func (l *Listeners) Close() {
	for _, ln := range []net.Listener{l.Callers, l.Calls, l.Peers, l.Admin, l.Announcements, l.Ready} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// Daemon is the process beside one backend server: it routes and admits calls and
// takes part in the gossip of configuration and membership.
type Daemon struct {
	cfg       Config
	listeners *Listeners
	transport *transport

	members    *member.Table
	advisories *advisory.Book
	configs    *manifest.Store
	// epochs holds the latest epoch of the platform's store.
	epochs          *revision.Epochs
	node            *gossip.Node
	platformAdapter platformAdapter
	router          *route.Router
	gate            Gate
	// link bounds the bodies on their way to this host, uplink those that leave it.
	link, uplink      *link.Gate
	backend           *backendhttp.Client
	announcer         *announce.Announcer
	forwarder         *callhttp.Forwarder
	metrics           *telemetry.Telemetry
	traffic           *peergrpc.Traffic
	meter             *status.Meter
	stops             *stop.Executor
	collection        *collection
	rollouts          *rollouts
	replicas          *idempotency.Replicas
	ledger            *idempotency.Ledger
	idempotency       *idempotency.Runner
	quarantineTracker *quarantine.Tracker
	requestMemory     *httpconn.RequestMemory
	servers           serverList
	answerBudget      *httpconn.Budget
	inbound           *proxy.Inbound
	outbound          *proxy.Outbound
	hedger            *hedge.Hedger
	draining          atomic.Bool
	// retry and hedge hold the current limits, which Reload replaces.
	retry atomic.Pointer[settings.Retry]
	hedge atomic.Pointer[settings.Hedge]
}

// New builds a daemon that serves on open sockets; Run starts it.
func New(cfg Config, l *Listeners) (*Daemon, error) {
	metrics, err := telemetry.New()
	if err != nil {
		return nil, oops.In("daemon").Wrapf(err, "telemetry")
	}
	transport, err := newTransport(&cfg.Settings.TLS, cfg.Dial, func(err error) {
		cfg.Log.WithField("part", "tls").Warnf("key files not reloaded, keeping the current keys: %v", err)
	})
	if err != nil {
		return nil, err
	}
	s := cfg.Settings
	self := member.ServerID(s.Server)
	d := &Daemon{
		cfg: cfg, listeners: l, transport: transport, metrics: metrics,
		members:    member.NewTable(self),
		advisories: advisory.NewBook(),
		configs:    manifest.NewStore(),
		epochs:     &revision.Epochs{},
		gate:       cfg.Policy.Gate,
		link:       link.NewGate(s.Limits.LinkMbps),
		uplink:     link.NewGate(s.Limits.LinkMbps),
		backend:    &backendhttp.Client{},
		forwarder:  callhttp.NewForwarder(transport.dialCalls),
		traffic:    &peergrpc.Traffic{},
	}
	d.configs.SetClock(boottime.Now)
	d.forwarder.Mesh, d.forwarder.Uplink = s.Mesh, d.uplink
	requestMemory := s.Limits.Memory() / requestMemoryDivisor
	d.requestMemory = httpconn.NewRequestMemory(requestMemory, requestMemory)
	d.answerBudget = httpconn.NewBudget(s.Limits.Memory() / answerMemoryDivisor)
	d.requestMemory.OnShort(d.servers.makeMemoryRoom)
	d.answerBudget.OnShort(d.servers.makeMemoryRoom)
	d.backend.AnswerBudget, d.forwarder.AnswerBudget = d.answerBudget, d.answerBudget
	d.forwarder.OnMalformed = d.logMalformed
	d.retry.Store(&s.Retry)
	d.hedge.Store(&s.Hedge)
	if s.Retry.Burst > 0 {
		d.cfg.Policy.Retries = retry.NewPolicyWithLimits(d.retryLimits())
	}
	d.forwarder.InactivityTimeout = callhttp.MissedInterimAnswers * s.ProgressInterval
	d.buildControl(self)
	d.buildCalls(self)
	if err := d.registerMetrics(); err != nil {
		return nil, oops.In("daemon").Wrapf(err, "telemetry")
	}
	return d, nil
}

func (d *Daemon) buildControl(self member.ServerID) {
	s := d.cfg.Settings
	d.cfg.Gossip.Mesh = s.Mesh
	dialer := &peergrpc.Dialer{Credentials: d.transport.clientCredentials, Traffic: d.traffic}
	d.node = gossip.NewNode(d.cfg.Gossip, self, s.Domain, s.Seeds, dialer, d.members, d.configs, d.partLogger("spread"))
	own := member.Record{
		Server: self, Domain: s.Domain, LinkMbps: s.Limits.LinkMbps,
		CallAddress: cmp.Or(s.AdvertiseCalls, d.listeners.Calls.Addr().String()),
		PeerAddress: cmp.Or(s.AdvertisePeers, d.listeners.Peers.Addr().String()),
	}
	d.node.Advisories, d.node.Epochs = d.advisories, d.epochs
	d.advisories.Spread, d.advisories.Completed = d.node.SpreadAdvisories, d.node.SendAllAdvisories
	d.announcer = announce.New(own, d.node, d.backend, d.gate, d.advisories, s.AnnounceLifetime)
	d.meter = status.NewMeter()
	d.stops = stop.NewExecutor(self, s.Domain, d.announcer, d.partLogger("stop"))
	d.buildCollection(self)
	if s.API == settings.Objects {
		d.platformAdapter = newObjectPlatform(d)
	} else {
		d.platformAdapter = newNativePlatform(d)
	}
	d.buildRollouts(self)
}

func (d *Daemon) buildCalls(self member.ServerID) {
	d.backend.Dialect = d.platformAdapter.dialect()
	d.backend.Conditions = &conditions{gate: d.gate, announcer: d.announcer, logger: d.partLogger("belief")}
	d.router = route.NewRouter(d.configs, d.members)
	d.replicas = idempotency.NewReplicas(d.cfg.Idempotency, d.members)
	d.ledger = idempotency.NewLedger(d.cfg.Idempotency, d.replicas)
	d.idempotency = idempotency.NewRunner(d.cfg.Idempotency, self, d.replicas, d.ledger, d.forwarder)
	d.quarantineTracker = quarantine.NewTracker(d.cfg.Quarantine, self, d.backend,
		&quarantine.Broadcaster{Self: self, Table: d.members, Link: d.forwarder}, d.advisories, d.handleBackendCrash)
	d.advisories.Apply = d.quarantineTracker.ApplyAdvisory
	d.hedger = hedge.New(hedge.Config{Share: d.hedgeShare, Retries: d.cfg.Policy.Retries, Suspects: d.quarantineTracker, Servers: d.cfg.Policy.Picker})
	calls := &callLog{logger: d.partLogger("call"), configs: d.configs}
	d.inbound = &proxy.Inbound{CallLog: calls, Link: d.link, Host: d.announcer, Routes: d.router, Gate: d.gate, Quarantine: d.quarantineTracker, Backend: &status.TimedHandler{Handler: d.backend, Meter: d.meter}}
	d.outbound = &proxy.Outbound{
		Self: self, Routes: d.router, Accounts: &account.Checker{Configs: d.configs, RevokeWithin: d.cfg.Settings.Accounts.RevokeWithin},
		Allowances: d.collection.counter, Picker: d.cfg.Policy.Picker, Unreachable: d.cfg.Policy.Unreachable,
		Retries: d.cfg.Policy.Retries, Throttle: d.cfg.Policy.Throttle, Hedges: d.hedger,
		Idempotency: d.idempotency, Remote: d.forwarder, Local: d.inbound, Observer: observers{d.metrics, d.meter, calls},
	}
	if d.cfg.Settings.API == settings.Objects {
		d.outbound.Configs = d.configs
	}
	if d.rollouts != nil {
		d.followRollouts()
	}
}

// handleBackendCrash announces that the backend server is down, so that it gets no
// more calls, after a request was cut by its crash.
func (d *Daemon) handleBackendCrash() {
	if d.announcer.State() == member.Ready {
		d.partLogger("crash").Warn("the backend server crashed, treating the requests that it was running as suspects")
	}
	d.announcer.HandleCrash()
}

// logMalformed logs a malformed answer of another daemon or of the platform. The call log
// has those of the backend server.
func (d *Daemon) logMalformed(address string, err *httpconn.MalformedError) {
	d.partLogger("answer").WithFields(logrus.Fields{"from": address, "cause": err}).Warn("malformed answer, connection closed")
}

// partLogger returns a logger whose messages are prefixed with the name of a part.
func (d *Daemon) partLogger(part string) *logrus.Entry {
	return partLogger(d.cfg.Log, d.cfg.Settings, part)
}

func partLogger(log *logrus.Logger, s *settings.Settings, part string) *logrus.Entry {
	return log.WithField("part", part).WithField("server", s.Server)
}

// Run runs the daemon until ctx ends, then drains it: the backend server is
// announced as leaving, running calls end, and the peers receive the final record
// before the streams to them close.
func (d *Daemon) Run(ctx context.Context) error {
	logger := d.partLogger("daemon")
	controlCtx, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	callsCtx, stopCalls := context.WithCancel(controlCtx)
	defer stopCalls()

	g, controlCtx := errgroup.WithContext(controlCtx)
	callerServer := d.callerServer()
	daemonServer := d.daemonServer()
	var servers errgroup.Group
	servers.Go(func() error {
		return callerServer.Run(callsCtx, wrapListener(d.listeners.Callers, d.transport.callersTLS))
	})
	servers.Go(func() error { return daemonServer.Run(callsCtx, wrapListener(d.listeners.Calls, d.transport.callsTLS)) })
	g.Go(servers.Wait)
	d.configs.RequireQuorum(d.platformAdapter.joinQuorum())
	joinTimer := time.AfterFunc(joinTimeout, d.configs.SkipQuorum)
	defer joinTimer.Stop()
	g.Go(func() error { return d.node.Run(controlCtx) })
	g.Go(func() error { return d.announcer.Run(controlCtx) })
	d.platformAdapter.run(controlCtx, g)
	g.Go(func() error {
		return (&stateLog{logger: d.partLogger("belief"), configs: d.configs, members: d.members}).run(controlCtx)
	})
	g.Go(func() error { return d.router.Run(controlCtx) })
	g.Go(func() error { return d.collection.collector.Run(controlCtx) })
	if d.rollouts != nil {
		g.Go(func() error { return d.rollouts.follower.Run(controlCtx) })
		g.Go(func() error { return d.rollouts.controller.Run(controlCtx) })
	}
	g.Go(func() error { return d.cfg.Policy.Unreachable.Run(controlCtx, d.forwarder) })
	g.Go(func() error { return d.replicas.Run(controlCtx, d.idempotency.ReplicateTo) })
	g.Go(func() error {
		server := peergrpc.NewServer(d.node, d.transport.serverCredentials)
		server.Traffic = d.traffic
		collector := &collectgrpc.Server{Receiver: d.collection.collector}
		return server.Run(controlCtx, d.listeners.Peers, append(d.platformAdapter.services(), collector)...)
	})
	g.Go(func() error { return d.stops.Run(controlCtx) })
	g.Go(func() error { return d.smallServer(d.admin().Handler(), "admin").Run(controlCtx, d.listeners.Admin) })
	g.Go(func() error {
		defer stopControl()
		select {
		case <-ctx.Done():
		case <-controlCtx.Done():
			return nil
		}
		if errors.Is(context.Cause(ctx), ErrAborted) {
			// As in a crash, the lease is not released: the connections to the
			// platform are closed first.
			d.platformAdapter.close()
			stopCalls()
			callerServer.Abort()
			daemonServer.Abort()
			return nil
		}
		d.draining.Store(true)
		logger.Info("draining before exit")
		end := time.Now().Add(d.drainTimeout())
		callerServer.Drain()
		_ = wait.For(controlCtx, d.platformAdapter.drainDelay())
		d.drain(controlCtx, end, stopCalls, servers.Wait)
		logger.Info("drained, leaving the mesh")
		return nil
	})
	logger.Infof("started in failure domain %s", d.cfg.Settings.Domain)
	err := g.Wait()
	d.close()
	return oops.In("daemon").Wrap(err)
}

// drain ends calls in order until end: the backend server accepts no new calls, the
// running ones end, then the peers are notified that it has left. Callers that have
// not left after the notice may still make calls, if these are sure to end in time.
func (d *Daemon) drain(ctx context.Context, end time.Time, stopCalls func(), waitServers func() error) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	notice := time.AfterFunc(announce.NoticePeriod, func() { d.outbound.EndBy(end.Add(-leaveGossipPeriod)) })
	defer notice.Stop()
	if err := d.announcer.Drain(ctx); err != nil {
		d.partLogger("daemon").Warn("drain timeout expired while calls were running, ending them")
	}
	d.idempotency.Leave(ctx)
	d.announcer.Leave()
	stopCalls()
	done := make(chan struct{})
	go func() {
		_ = waitServers()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	time.Sleep(leaveGossipPeriod)
}

// drainTimeout returns the drain timeout of the settings. Unless the process is killed
// after it, it is extended to the time in which the longest calls to this service end.
func (d *Daemon) drainTimeout() time.Duration {
	longest := d.cfg.Settings.DrainTimeout
	if d.platformAdapter.killsAfterDrainTimeout() {
		return longest
	}
	d.configs.Snapshot().Each(func(s *target.Service) {
		for i := range s.Classes {
			if c := &s.Classes[i]; c.RoutesTo(s.Name, d.announcer.Service()) {
				longest = max(longest, c.Timeout+2*announce.NoticePeriod)
			}
		}
	})
	return longest
}

func (d *Daemon) close() {
	d.idempotency.Wait()
	d.forwarder.Close()
	d.backend.Close()
	d.collection.client.Close()
	d.platformAdapter.close()
	_ = d.metrics.Close(context.Background())
}
