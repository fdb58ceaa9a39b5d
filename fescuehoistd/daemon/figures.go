package daemon

import (
	"slices"
	"strings"

	"fescuehoist.example/adapters/telemetry"
	"fescuehoist.example/mesh/member"
)

// watchFigures adds the daemon's own figures to those of the calls.
func (d *Daemon) watchFigures() error {
	return d.figures.Register(slices.Concat(d.loadFigures(), d.controlFigures(), d.site.figures())...)
}

func (d *Daemon) loadFigures() []telemetry.Metric {
	return []telemetry.Metric{
		{Name: "fescuehoist.backend.calls.running", Description: "Calls that the backend server runs.",
			Read: func() []telemetry.Point { return telemetry.SinglePoint(uint64(d.gate.Load().Running)) }},
		{Name: "fescuehoist.backend.calls.queued", Description: "Calls that wait for the backend server.",
			Read: func() []telemetry.Point { return telemetry.SinglePoint(uint64(d.gate.Load().Queued)) }},
		{Name: "fescuehoist.backend.calls.limit", Description: "Calls that the backend server may run at once.",
			Read: func() []telemetry.Point { return telemetry.SinglePoint(uint64(d.gate.Load().Limit)) }},
	}
}

func (d *Daemon) controlFigures() []telemetry.Metric {
	return []telemetry.Metric{
		{Name: "fescuehoist.version", Description: "Configuration version, in force and known.", Label: "kind",
			Read: func() []telemetry.Point {
				return []telemetry.Point{
					{Label: "in-force", Value: uint64(d.configs.Snapshot().Version())},
					{Label: "known", Value: uint64(d.configs.KnownVersion())},
				}
			}},
		{Name: "fescuehoist.version.refused", Description: "1 while the known version is refused.",
			Read: func() []telemetry.Point {
				if d.configs.Refusal() != nil {
					return telemetry.SinglePoint(1)
				}
				return telemetry.SinglePoint(0)
			}},
		{Name: "fescuehoist.members", Description: "Backend servers by state.", Label: "state", Read: d.memberCounts},
		{Name: "fescuehoist.peers", Description: "Open streams to other daemons.",
			Read: func() []telemetry.Point { return telemetry.SinglePoint(uint64(d.node.Peers())) }},
		{Name: "fescuehoist.control", Unit: "By", Description: "Bytes of control messages between daemons.", Monotonic: true, Label: "direction",
			Read: func() []telemetry.Point {
				return []telemetry.Point{{Label: "sent", Value: d.traffic.Sent()}, {Label: "received", Value: d.traffic.Received()}}
			}},
		{Name: "fescuehoist.platform.calls", Description: "Calls to the platform, a waiting watch counted as one.", Monotonic: true,
			Read: func() []telemetry.Point { return telemetry.SinglePoint(d.site.calls()) }},
	}
}

// memberCounts counts the backend servers by state; one whose daemon is not
// alive counts by its health.
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
