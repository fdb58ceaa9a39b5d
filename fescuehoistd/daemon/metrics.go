package daemon

import (
	"slices"
	"strconv"
	"strings"

	"fescuehoist.example/adapters/telemetry"
	"fescuehoist.example/mesh/member"
)

// registerMetrics registers the metrics of the daemon beside those of the calls.
func (d *Daemon) registerMetrics() error {
	return d.metrics.Register(slices.Concat(d.loadMetrics(), d.linkMetrics(), d.controlMetrics(), d.collection.metrics(), d.rollouts.metrics(),
		d.platformAdapter.metrics())...)
}

func (d *Daemon) loadMetrics() []telemetry.Metric {
	return []telemetry.Metric{
		{Name: "fescuehoist.backend.calls.running", Description: "Calls running at the backend server.",
			Read: func() []telemetry.Point { return telemetry.SinglePoint(uint64(d.gate.Load().Running)) }},
		{Name: "fescuehoist.backend.calls.queued", Description: "Calls queued for the backend server.",
			Read: func() []telemetry.Point { return telemetry.SinglePoint(uint64(d.gate.Load().Queued)) }},
		{Name: "fescuehoist.backend.calls.limit", Description: "Limit of concurrent calls at the backend server.",
			Read: func() []telemetry.Point { return telemetry.SinglePoint(uint64(d.gate.Load().Limit)) }},
		{Name: "fescuehoist.backend.rate.limit", Description: "Requests in 1,000 s that the backend server takes; no point without a limit.",
			Read: d.rateLimit},
		{Name: "fescuehoist.hedge.copies", Description: "Copies of slow calls: those sent, and those of them that were answered first.", Monotonic: true, Label: "outcome",
			Read: func() []telemetry.Point {
				return []telemetry.Point{{Label: "sent", Value: d.hedger.Sent()}, {Label: "won", Value: d.hedger.Won()}}
			}},
		{Name: "fescuehoist.clients.limited", Description: "Connections and requests of clients that met a limit of connections or memory.", Monotonic: true, Label: "cause",
			Read: d.servers.limited},
	}
}

// linkMetrics returns the metrics of the host's link, none if its bandwidth is unknown.
func (d *Daemon) linkMetrics() []telemetry.Metric {
	if d.cfg.Settings.Limits.LinkMbps == 0 {
		return nil
	}
	return []telemetry.Metric{
		{Name: "fescuehoist.link.bodies", Unit: "By", Description: "Bytes of large request bodies: on their way to this host, and waiting until they may be sent.", Label: "state",
			Read: func() []telemetry.Point {
				c := d.link.Counts()
				return []telemetry.Point{{Label: "in-transit", Value: uint64(c.InTransit)}, {Label: "waiting", Value: uint64(c.Waiting)}}
			}},
		{Name: "fescuehoist.link.decisions", Description: "Large request bodies that were granted or refused.", Monotonic: true, Label: "decision",
			Read: func() []telemetry.Point {
				c := d.link.Counts()
				return []telemetry.Point{{Label: "granted", Value: c.Granted}, {Label: "refused", Value: c.Refused}}
			}},
		{Name: "fescuehoist.link.rate", Unit: "By/s", Description: "Mean rate at which granted bodies arrived, beside the other traffic of the link.",
			Read: func() []telemetry.Point { return telemetry.SinglePoint(uint64(d.link.Counts().Rate)) }},
	}
}

func (d *Daemon) rateLimit() []telemetry.Point {
	limit := d.gate.RateLimit()
	if limit == 0 {
		return nil
	}
	return telemetry.SinglePoint(uint64(limit * 1000))
}

func (d *Daemon) controlMetrics() []telemetry.Metric {
	return []telemetry.Metric{
		{Name: "fescuehoist.version", Description: "Configuration version: the one in force and the highest known.", Label: "kind",
			Read: func() []telemetry.Point {
				return []telemetry.Point{
					{Label: "in-force", Value: uint64(d.configs.Snapshot().Version())},
					{Label: "known", Value: uint64(d.configs.KnownVersion())},
				}
			}},
		{Name: "fescuehoist.version.refused", Description: "1 while the known configuration version is refused, else 0.",
			Read: func() []telemetry.Point {
				if d.configs.Refusal() != nil {
					return telemetry.SinglePoint(1)
				}
				return telemetry.SinglePoint(0)
			}},
		{Name: "fescuehoist.services.refused", Description: "Services of the version in force that keep earlier content since their own is refused; no point if there are none.", Label: "version",
			Read: d.refusedServices},
		{Name: "fescuehoist.members", Description: "Backend servers by state.", Label: "state", Read: d.memberCounts},
		{Name: "fescuehoist.peers", Description: "Open streams to other daemons.",
			Read: func() []telemetry.Point { return telemetry.SinglePoint(uint64(d.node.PeerCount())) }},
		{Name: "fescuehoist.control", Unit: "By", Description: "Bytes of control messages between daemons.", Monotonic: true, Label: "direction",
			Read: func() []telemetry.Point {
				return []telemetry.Point{{Label: "sent", Value: d.traffic.Sent()}, {Label: "received", Value: d.traffic.Received()}}
			}},
		{Name: "fescuehoist.platform.calls", Description: "Calls to the platform; a watch counts as one call.", Monotonic: true,
			Read: func() []telemetry.Point { return telemetry.SinglePoint(d.platformAdapter.platformCalls()) }},
	}
}

// refusedServices returns the number of services that are refused in a version whose
// other services are in force.
func (d *Daemon) refusedServices() []telemetry.Point {
	r := d.configs.Refusal()
	if r == nil || !r.InPart {
		return nil
	}
	return []telemetry.Point{{Label: strconv.FormatUint(uint64(r.Version), 10), Value: uint64(r.ServiceCount())}}
}

// memberCounts returns the number of backend servers by state. A server whose
// daemon is not alive is counted under the daemon's health instead.
func (d *Daemon) memberCounts() []telemetry.Point {
	counts := map[string]uint64{}
	for _, r := range d.members.View().All() {
		state := r.State.String()
		if r.Health != member.Alive {
			state = r.Health.String()
		}
		counts[state]++
	}
	points := make([]telemetry.Point, 0, len(counts))
	for state, n := range counts {
		points = append(points, telemetry.Point{Label: state, Value: n})
	}
	slices.SortFunc(points, func(a, b telemetry.Point) int { return strings.Compare(a.Label, b.Label) })
	return points
}
