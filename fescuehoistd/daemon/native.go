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
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/reader"
	"fescuehoist.example/mesh/status"
)

// site is what differs between the platforms that a daemon can run on.
type site interface {
	// run starts the tasks that keep the daemon in step with the platform.
	run(ctx context.Context, g *errgroup.Group)
	// dialect is what callers and the backend server speak.
	dialect() callhttp.Dialect
	// services are offered to other daemons beside the peer protocol.
	services() []peergrpc.Service
	// joinSources is the number of sources that a starting daemon hears first.
	joinSources() int
	// linger is how long a daemon that was told to stop still serves before it
	// announces that it leaves.
	linger() time.Duration
	figures() []telemetry.Metric
	// calls is the number of calls made to the platform.
	calls() uint64
	close()
}

// native is fescuehoist's own platform.
type native struct {
	d         *Daemon
	client    *platformhttp.Client
	reader    *reader.Reader
	reports   *statusgrpc.Client
	collector *status.Collector
}

func newNative(d *Daemon) *native {
	s := d.cfg.Settings
	self := member.ServerID(s.Server)
	n := &native{d: d, client: platformhttp.NewClientWithDial(s.Platform, d.links.platform)}
	if len(s.Seeds) == 0 {
		d.cfg.Reader.JoinTimeout = 0
	}
	n.reader = reader.New(d.cfg.Reader, self, s.Domain, &platformhttp.Repository{Client: n.client},
		platformhttp.NewLeases(n.client), d.members, d.configs, d.prefixed("reader"))
	n.reports = statusgrpc.NewClient(d.links.connect, d.traffic)
	n.collector = status.NewCollector(d.cfg.Status, self, s.Domain, d.meter, d.members, d.configs, n.reports,
		&platformhttp.StatusStore{Client: n.client}, d.stops, d.prefixed("status"))
	return n
}

func (n *native) run(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return n.reader.Run(ctx) })
	g.Go(func() error { return n.collector.Run(ctx) })
}

func (n *native) dialect() callhttp.Dialect { return callhttp.Native{} }

func (n *native) services() []peergrpc.Service {
	return []peergrpc.Service{&statusgrpc.Server{Receiver: n.collector}}
}

func (n *native) joinSources() int { return min(joinSources, len(n.d.cfg.Settings.Seeds)) }

func (n *native) linger() time.Duration { return 0 }

func (n *native) figures() []telemetry.Metric {
	return []telemetry.Metric{
		{Name: "fescuehoist.status.reports", Description: "Reports of status sent to other daemons.", Monotonic: true,
			Read: func() []telemetry.Point { n, _ := n.reports.Sent(); return telemetry.SinglePoint(n) }},
		{Name: "fescuehoist.status.reports.size", Unit: "By", Description: "Bytes of the reports of status sent.", Monotonic: true,
			Read: func() []telemetry.Point { _, n := n.reports.Sent(); return telemetry.SinglePoint(n) }},
	}
}

func (n *native) calls() uint64 { return n.client.Calls() }

func (n *native) close() {
	n.reports.Close()
	n.client.Close()
}
