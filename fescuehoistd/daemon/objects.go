package daemon

import (
	"cmp"
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuehoist.example/adapters/adminhttp"
	"fescuehoist.example/adapters/callhttp"
	"fescuehoist.example/adapters/peergrpc"
	"fescuehoist.example/adapters/telemetry"
	"fescuehoist.example/mesh/configwatch"
	"fescuehoist.example/mesh/discover"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/platform"
)

// lingerPeriod is how long a stopping daemon serves as before: callers ask for
// its readiness once a second and leave after two misses.
const lingerPeriod = 1500 * time.Millisecond

// objects is a platform with an object store, on which daemons find each other.
type objects struct {
	d       *Daemon
	store   *platform.Store
	reader  *configwatch.Watcher
	finder  *discover.Finder
	reports *platform.ReportHandler
}

func newObjects(d *Daemon) *objects {
	s := d.cfg.Settings
	self := member.ServerID(s.Server)
	o := &objects{d: d, store: platform.NewStore(s.Platform, d.links.platform)}
	o.reader = configwatch.New(d.cfg.ConfigWatch, self, s.Domain, &platform.ConfigurationSource{Store: o.store},
		d.members, d.configs, d.announcer, d.prefixed("feed"))
	out := d.prefixed("discover")
	registry := &platform.Registry{Store: o.store, OnUnreadable: func(name string, err error) {
		out.Warnf("entry %.80q is unreadable: %v", name, err)
	}}
	own := discover.Entry{Server: self, Domain: s.Domain, PeerAddress: cmp.Or(s.AdvertisePeers, d.listeners.Peers.Addr().String())}
	o.finder = discover.New(d.cfg.Discover, own, registry, d.node, &watchers{self: self, members: d.members}, out)
	reports := d.prefixed("announce")
	o.reports = &platform.ReportHandler{Announcer: d.announcer, Service: s.Service, Address: s.Backend,
		OnRejected: func(instance string, err error) { reports.Warnf("report of %.80q refused: %v", instance, err) }}
	return o
}

func (o *objects) run(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return o.reader.Run(ctx) })
	g.Go(func() error { return o.finder.Run(ctx) })
	if ln := o.d.listeners.Announcements; ln != nil {
		g.Go(func() error { return adminhttp.Serve(ctx, ln, o.reports.Handle) })
	}
	if ln := o.d.listeners.Ready; ln != nil {
		g.Go(func() error { return adminhttp.Serve(ctx, ln, o.d.admin().HandleReady) })
	}
}

func (o *objects) dialect() callhttp.Dialect { return platform.Dialect{} }

func (o *objects) services() []peergrpc.Service { return nil }

func (o *objects) joinSources() int { return 0 }

func (o *objects) linger() time.Duration { return lingerPeriod }

func (o *objects) figures() []telemetry.Metric {
	return []telemetry.Metric{
		{Name: "fescuehoist.platform.calls.failed", Description: "Calls to the platform without a usable answer.", Monotonic: true,
			Read: func() []telemetry.Point { return telemetry.SinglePoint(o.store.FailedCalls()) }},
	}
}

func (o *objects) calls() uint64 { return o.store.Calls() }

func (o *objects) close() { o.store.Close() }

// watchers says which daemons look after what others left.
type watchers struct {
	self    member.ServerID
	members *member.Table
}

// IsSweeper reports whether this daemon is the first by name of those that live.
func (w *watchers) IsSweeper() bool {
	for _, r := range w.members.View().All() {
		if !r.Terminal() {
			return r.Server == w.self
		}
	}
	return false
}

// Gone reports whether a daemon has left, has failed or is not known.
func (w *watchers) Gone(server member.ServerID) bool {
	r, known := w.members.Get(server)
	return !known || r.Terminal()
}
