package fleet

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"fescuehoist.example/adapters/logging"
	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/fescuehoistd/daemon"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/standin/backend"
	"fescuehoist.example/standin/platform"
)

const loopback = "127.0.0.1:0"

// Fleet is a running deployment: the platform and all members, in one process.
type Fleet struct {
	Platform        *platform.Platform
	PlatformAddress string
	Members         []*Member

	cancel     context.CancelFunc
	tasks      *errgroup.Group
	ctx        context.Context
	log        *logrus.Logger
	tune       func(*daemon.Config)
	tls        settings.TLS
	deployment *Deployment
	// mesh is a random mesh name. It keeps fleets apart when one reuses the ports
	// of another.
	mesh    string
	network *domainNetwork
}

// Member is one backend server with its daemon.
type Member struct {
	Server  Server
	Daemon  *daemon.Daemon
	Backend *backend.Backend
	// Callers, Peers and Admin are the addresses on which the daemon listens for
	// callers, for other daemons and for administration.
	Callers, Peers, Admin string
	// BackendAddress is the address on which the backend server listens.
	BackendAddress string

	cancelDaemon  context.CancelCauseFunc
	cancelBackend context.CancelFunc
	done          sync.WaitGroup
}

// Options configures how a fleet is started.
type Options struct {
	// Log receives the daemons' log messages; nil discards them.
	Log io.Writer
	// Tune modifies the default configuration of each daemon; may be nil.
	Tune func(*daemon.Config)
	// TLS configures TLS on the daemons' connections; the zero value disables it.
	TLS settings.TLS
	// PlatformTLS configures TLS on the platform's listener; nil disables it.
	PlatformTLS *tls.Config
}

// Start starts the platform and every member of the deployment. It returns an
// error if it cannot listen on a loopback port or if a daemon rejects its
// configuration.
func Start(ctx context.Context, d *Deployment, o Options) (*Fleet, error) {
	if o.Log == nil {
		o.Log = io.Discard
	}
	ctx, cancel := context.WithCancel(ctx)
	tasks, ctx := errgroup.WithContext(ctx)
	f := &Fleet{
		Platform: platform.New(), cancel: cancel, tasks: tasks, ctx: ctx, tune: o.Tune, tls: o.TLS, deployment: d,
		mesh:    "fleet-" + strings.ToLower(rand.Text()),
		network: newDomainNetwork(d.CrossDomainLatency), log: logging.New(o.Log, logrus.InfoLevel),
	}
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		cancel()
		return nil, oops.In("fleet").Wrap(err)
	}
	f.PlatformAddress = ln.Addr().String()
	if o.PlatformTLS != nil {
		ln = tls.NewListener(ln, o.PlatformTLS)
	}
	tasks.Go(func() error { return f.Platform.Run(ctx, ln) })
	for _, s := range d.Servers {
		if _, err := f.Add(s); err != nil {
			return nil, oops.In("fleet").Wrapf(err, "server %s", s.Name)
		}
	}
	return f, nil
}

// Add starts one more member, with up to maxSeeds of the existing members as its
// seeds.
func (f *Fleet) Add(s Server) (*Member, error) {
	daemonSettings := &settings.Settings{
		Server: s.Name, Domain: s.Domain, Mesh: f.mesh,
		Callers: loopback, Calls: loopback, Peers: loopback, Admin: loopback,
		Platform: f.PlatformAddress, TLS: f.tls, Seeds: f.seeds(),
		ProgressInterval: settings.DefaultProgressInterval, AnnounceLifetime: settings.DefaultAnnounceLifetime, DrainTimeout: settings.DefaultDrainTimeout,
	}
	listeners, err := daemon.Listen(daemonSettings)
	if err != nil {
		return nil, err
	}
	cfg := daemon.DefaultConfig(daemonSettings, f.log)
	cfg.Dial = f.network.dialFrom(s.Domain)
	f.network.add(listeners.Calls.Addr().String(), s.Domain)
	if f.tune != nil {
		f.tune(&cfg)
	}
	d, err := daemon.New(cfg, listeners)
	if err != nil {
		return nil, err
	}
	backendListener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	m := &Member{
		Server: s, Daemon: d,
		Callers: listeners.Callers.Addr().String(), Peers: listeners.Peers.Addr().String(),
		Admin: listeners.Admin.Addr().String(), BackendAddress: backendListener.Addr().String(),
	}
	m.Backend = backend.New(backend.Config{
		Service: s.Service, Slots: s.Slots, Announced: s.Announced, Connections: f.deployment.Connections,
		Work: withSlowdown(f.deployment.Work, s.Slowdown), Admin: m.Admin,
	})
	f.startTasks(m, backendListener)
	f.Members = append(f.Members, m)
	return m, nil
}

// withSlowdown multiplies the service time that work returns by factor; 0 means
// 1.
func withSlowdown(work func(method, path string) time.Duration, factor int) func(method, path string) time.Duration {
	return func(method, path string) time.Duration {
		return work(method, path) * time.Duration(max(factor, 1))
	}
}

// Executions returns the number of executions of each request ID, summed over all
// backend servers.
func (f *Fleet) Executions() map[string]int {
	executions := map[string]int{}
	for _, m := range f.Members {
		for id, n := range m.Backend.Executions() {
			executions[id] += n
		}
	}
	return executions
}

// startTasks starts the daemon and its backend server. The backend server ends
// after the daemon, so that calls can complete while the daemon drains.
func (f *Fleet) startTasks(m *Member, ln net.Listener) {
	daemonCtx, cancelDaemon := context.WithCancelCause(f.ctx)
	backendCtx, cancelBackend := context.WithCancel(context.WithoutCancel(f.ctx))
	m.cancelDaemon, m.cancelBackend = cancelDaemon, cancelBackend
	m.done.Add(2)
	f.tasks.Go(func() error {
		defer m.done.Done()
		defer cancelBackend()
		return m.Daemon.Run(daemonCtx)
	})
	f.tasks.Go(func() error {
		defer m.done.Done()
		return m.Backend.Run(backendCtx, ln)
	})
}

// maxSeeds is the largest number of seeds that a new member is given.
const maxSeeds = 3

// seeds returns the peer addresses of the first maxSeeds members.
func (f *Fleet) seeds() []string {
	var seeds []string
	for _, m := range f.Members {
		if len(seeds) < maxSeeds {
			seeds = append(seeds, m.Peers)
		}
	}
	return seeds
}

// Stop stops the member gracefully: the daemon drains, then the backend server
// ends. It returns once both have ended.
func (m *Member) Stop() {
	m.cancelDaemon(nil)
	m.done.Wait()
}

// Kill ends the daemon and its backend server without draining and waits until
// both have ended.
func (m *Member) Kill() {
	m.cancelBackend()
	m.cancelDaemon(daemon.ErrAborted)
	m.done.Wait()
}

// Close ends all members and the platform without draining. It returns the first
// error of any of their tasks.
func (f *Fleet) Close() error {
	for _, m := range f.Members {
		m.cancelBackend()
		m.cancelDaemon(daemon.ErrAborted)
	}
	f.cancel()
	return f.tasks.Wait()
}

// pollInterval is the time between two checks of a daemon's state while waiting.
const pollInterval = 2 * time.Millisecond

// AwaitVersion waits until version v or a later one is in force at each of members.
// It returns an error if ctx ends first.
func (f *Fleet) AwaitVersion(ctx context.Context, members []*Member, v manifest.Version) error {
	return f.Await(ctx, members, func(s daemon.State) bool { return s.InForce >= v })
}

// AwaitReady waits until each of members sees exactly count ready servers whose
// health is not failed. It returns an error if ctx ends first.
func (f *Fleet) AwaitReady(ctx context.Context, members []*Member, count int) error {
	return f.Await(ctx, members, func(s daemon.State) bool {
		n := 0
		for _, m := range s.Members {
			if m.State == "ready" && m.Health != "failed" {
				n++
			}
		}
		return n == count
	})
}

// Await waits until condition has held once for the state of each of members. It
// returns an error if ctx ends first.
func (f *Fleet) Await(ctx context.Context, members []*Member, condition func(daemon.State) bool) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for _, m := range members {
		for !condition(m.Daemon.State()) {
			select {
			case <-ctx.Done():
				return oops.In("fleet").Wrapf(ctx.Err(), "waiting for the state of server %s", m.Server.Name)
			case <-tick.C:
			}
		}
	}
	return nil
}
