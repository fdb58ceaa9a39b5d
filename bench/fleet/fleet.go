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

// Fleet is a running deployment.
type Fleet struct {
	Platform        *platform.Platform
	PlatformAddress string
	Members         []*Member

	stop       context.CancelFunc
	tasks      *errgroup.Group
	ctx        context.Context
	log        *logrus.Logger
	tune       func(*daemon.Config)
	tls        settings.TLS
	deployment *Deployment
	// mesh keeps fleets apart that get each other's ports.
	mesh    string
	domains *domains
}

// Member is one backend server with its daemon.
type Member struct {
	Server  Server
	Daemon  *daemon.Daemon
	Backend *backend.Backend
	// Callers, Peers and Admin are the daemon's addresses.
	Callers, Peers, Admin string
	// Serving is the backend server's address.
	Serving string

	endDaemon  context.CancelCauseFunc
	endBackend context.CancelFunc
	ended      sync.WaitGroup
}

// Options change how a fleet is started.
type Options struct {
	// Log takes the daemons' messages; nil drops them.
	Log io.Writer
	// Tune changes a daemon's defaults; it may be nil.
	Tune func(*daemon.Config)
	// TLS protects the daemons' connections; the zero value does not.
	TLS settings.TLS
	// PlatformTLS protects the platform's connections; nil does not.
	PlatformTLS *tls.Config
}

// Start starts the platform and every member of the deployment.
func Start(ctx context.Context, d *Deployment, o Options) (*Fleet, error) {
	if o.Log == nil {
		o.Log = io.Discard
	}
	ctx, stop := context.WithCancel(ctx)
	tasks, ctx := errgroup.WithContext(ctx)
	f := &Fleet{
		Platform: platform.New(), stop: stop, tasks: tasks, ctx: ctx, tune: o.Tune, tls: o.TLS, deployment: d,
		mesh:    "fleet-" + strings.ToLower(rand.Text()),
		domains: newDomains(d.Crossing), log: logging.New(o.Log, logrus.InfoLevel),
	}
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		stop()
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

// Add starts one more member; its seeds are the members there are.
func (f *Fleet) Add(s Server) (*Member, error) {
	set := &settings.Settings{
		Server: s.Name, Domain: s.Domain, Mesh: f.mesh,
		Callers: loopback, Calls: loopback, Peers: loopback, Admin: loopback,
		Platform: f.PlatformAddress, TLS: f.tls, Seeds: f.seeds(),
		ProgressInterval: settings.DefaultProgressInterval, AnnounceLifetime: settings.DefaultAnnounceLifetime, DrainTimeout: settings.DefaultDrainTimeout,
	}
	listeners, err := daemon.Listen(set)
	if err != nil {
		return nil, err
	}
	cfg := daemon.DefaultConfig(set, f.log)
	cfg.Dial = f.domains.dialFrom(s.Domain)
	f.domains.add(listeners.Calls.Addr().String(), s.Domain)
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
		Admin: listeners.Admin.Addr().String(), Serving: backendListener.Addr().String(),
	}
	m.Backend = backend.New(backend.Config{
		Service: s.Service, Slots: s.Slots, Announced: s.Announced, Connections: f.deployment.Connections,
		Work: slowed(f.deployment.Work, s.Slowdown), Admin: m.Admin,
	})
	f.run(m, backendListener)
	f.Members = append(f.Members, m)
	return m, nil
}

func slowed(work func(method, path string) time.Duration, factor int) func(method, path string) time.Duration {
	return func(method, path string) time.Duration {
		return work(method, path) * time.Duration(max(factor, 1))
	}
}

// Runs returns how often each request ran, over all backend servers.
func (f *Fleet) Runs() map[string]int {
	runs := map[string]int{}
	for _, m := range f.Members {
		for id, n := range m.Backend.Runs() {
			runs[id] += n
		}
	}
	return runs
}

func (f *Fleet) run(m *Member, ln net.Listener) {
	daemonCtx, endDaemon := context.WithCancelCause(f.ctx)
	backendCtx, endBackend := context.WithCancel(context.WithoutCancel(f.ctx))
	m.endDaemon, m.endBackend = endDaemon, endBackend
	m.ended.Add(2)
	f.tasks.Go(func() error {
		defer m.ended.Done()
		defer endBackend()
		return m.Daemon.Run(daemonCtx)
	})
	f.tasks.Go(func() error {
		defer m.ended.Done()
		return m.Backend.Run(backendCtx, ln)
	})
}

const maxSeeds = 3

func (f *Fleet) seeds() []string {
	var seeds []string
	for _, m := range f.Members {
		if len(seeds) < maxSeeds {
			seeds = append(seeds, m.Peers)
		}
	}
	return seeds
}

// Stop carries out a planned stop and waits for its end.
func (m *Member) Stop() {
	m.endDaemon(nil)
	m.ended.Wait()
}

// Kill ends the daemon and its backend server at once.
func (m *Member) Kill() {
	m.endBackend()
	m.endDaemon(daemon.ErrAborted)
	m.ended.Wait()
}

// Close ends the whole fleet at once.
func (f *Fleet) Close() error {
	for _, m := range f.Members {
		m.endBackend()
		m.endDaemon(daemon.ErrAborted)
	}
	f.stop()
	return f.tasks.Wait()
}

// pollInterval is how often the fleet's state is looked at while waiting.
const pollInterval = 2 * time.Millisecond

// AwaitVersion waits until every given member has a version in force.
func (f *Fleet) AwaitVersion(ctx context.Context, members []*Member, v manifest.Version) error {
	return f.Await(ctx, members, func(s daemon.State) bool { return s.InForce >= v })
}

// AwaitReady waits until every given member sees count ready servers.
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

// Await waits until the state of every given member is as wanted.
func (f *Fleet) Await(ctx context.Context, members []*Member, reached func(daemon.State) bool) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for _, m := range members {
		for !reached(m.Daemon.State()) {
			select {
			case <-ctx.Done():
				return oops.In("fleet").Wrapf(ctx.Err(), "waiting for %s", m.Server.Name)
			case <-tick.C:
			}
		}
	}
	return nil
}
