package daemon

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuehoist.example/adapters/callhttp"
	"fescuehoist.example/adapters/peergrpc"
	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/adapters/statusgrpc"
	"fescuehoist.example/adapters/telemetry"
	"fescuehoist.example/mesh/advisory"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/reader"
	"fescuehoist.example/mesh/rollout"
	"fescuehoist.example/mesh/status"
)

// nativePlatform adapts the daemon to fescuehoist's own platform.
type nativePlatform struct {
	d         *Daemon
	client    *platformhttp.Client
	reader    *reader.Reader
	reports   *statusgrpc.Client
	collector *status.Collector
}

func newNativePlatform(d *Daemon) *nativePlatform {
	s := d.cfg.Settings
	self := member.ServerID(s.Server)
	// This platform keeps no advisories: those of the peers arrive later.
	d.advisories.SetCompleteness(advisory.Complete)
	n := &nativePlatform{d: d, client: platformhttp.NewClientWithDial(s.Platform, d.transport.dialPlatform)}
	n.client.OnMalformed(d.logMalformed)
	if len(s.Seeds) == 0 {
		d.cfg.Reader.JoinTimeout = 0
	}
	n.reader = reader.New(d.cfg.Reader, self, s.Domain, &platformhttp.Repository{Client: n.client},
		platformhttp.NewLeases(n.client), d.members, d.configs, d.partLogger("reader"))
	n.reports = statusgrpc.NewClient(d.transport.clientCredentials, d.traffic)
	n.collector = status.NewCollector(d.cfg.Status, self, s.Domain, d.meter, d.members, d.configs, n.reports,
		&platformhttp.StatusStore{Client: n.client}, d.stops, d.partLogger("status"))
	return n
}

func (n *nativePlatform) run(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return n.reader.Run(ctx) })
	g.Go(func() error { return n.collector.Run(ctx) })
}

func (n *nativePlatform) dialect() callhttp.Dialect { return callhttp.Native{} }

// registered returns the number of seeds and this daemon.
func (n *nativePlatform) registered() int { return 1 + len(n.d.cfg.Settings.Seeds) }

func (n *nativePlatform) orders() rollout.Orders { return nil }

func (n *nativePlatform) services() []peergrpc.Service {
	return []peergrpc.Service{&statusgrpc.Server{Receiver: n.collector}}
}

func (n *nativePlatform) joinQuorum() int { return min(joinQuorum, len(n.d.cfg.Settings.Seeds)) }

func (n *nativePlatform) drainDelay() time.Duration { return 0 }

func (n *nativePlatform) killsAfterDrainTimeout() bool { return false }

func (n *nativePlatform) metrics() []telemetry.Metric {
	return []telemetry.Metric{
		{Name: "fescuehoist.status.reports", Description: "Status reports sent to other daemons.", Monotonic: true,
			Read: func() []telemetry.Point { n, _ := n.reports.Sent(); return telemetry.SinglePoint(n) }},
		{Name: "fescuehoist.status.reports.size", Unit: "By", Description: "Bytes of the status reports sent to other daemons.", Monotonic: true,
			Read: func() []telemetry.Point { _, n := n.reports.Sent(); return telemetry.SinglePoint(n) }},
	}
}

func (n *nativePlatform) platformCalls() uint64 { return n.client.Calls() }

func (n *nativePlatform) close() {
	n.reports.Close()
	n.client.Close()
}
