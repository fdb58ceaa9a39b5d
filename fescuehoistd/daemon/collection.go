package daemon

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"fescuehoist.example/adapters/boottime"
	"fescuehoist.example/adapters/collectgrpc"
	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/adapters/telemetry"
	"fescuehoist.example/mesh/allowance"
	"fescuehoist.example/mesh/collect"
	"fescuehoist.example/mesh/member"
)

const (
	// lostWithin is the time for which daemons that failed still count in the fleet, since
	// they may be cut off and serve callers.
	lostWithin = time.Minute
	// joinPeriod is the time after the start for which the members that are known may be
	// only a few of the fleet. A daemon without peers may know none for longer. Otherwise
	// the registered daemons do not count, since some may be gone for many minutes.
	joinPeriod = 5 * time.Second
	// maxStateAccounts bounds the limited accounts on the state page.
	maxStateAccounts = 100
)

// collection holds what the daemon counts and reports to collectors.
type collection struct {
	counter   *allowance.Counter
	collector *collect.Collector
	client    *collectgrpc.Client
}

func (d *Daemon) buildCollection(self member.ServerID) {
	s := d.cfg.Settings
	window := cmp.Or(s.Accounts.Window, settings.DefaultAccountWindow)
	cfg := collect.DefaultConfig(window)
	cfg.VerifyAccounts = s.Accounts.RevokeWithin > 0
	c := &collection{
		counter: allowance.NewCounter(window, boottime.Now),
		client:  collectgrpc.NewClient(d.transport.clientCredentials, d.traffic),
	}
	c.collector = collect.New(cfg, self, s.Domain, d.members, d.configs, c.counter, c.client, d.partLogger("collect"))
	started := time.Now()
	c.collector.FleetSize = func() int {
		size := d.members.Size(lostWithin)
		if time.Since(started) < joinPeriod || d.node.PeerCount() == 0 {
			size = max(size, d.platformAdapter.registered())
		}
		return size
	}
	d.collection = c
}

func (c *collection) metrics() []telemetry.Metric {
	return []telemetry.Metric{
		{Name: "fescuehoist.allowance.requests", Description: "Requests of accounts with an allowance, by whether the allowance admitted them.", Monotonic: true, Label: "result",
			Read: func() []telemetry.Point {
				s := c.counter.Status()
				return []telemetry.Point{{Label: "admitted", Value: s.Admitted}, {Label: "refused", Value: s.Refused}}
			}},
		{Name: "fescuehoist.allowance.share.least", Description: "Least share of the requests of an account that is admitted, in thousandths; no point without a recent reply of a collector.",
			Read: func() []telemetry.Point {
				s := c.counter.Status()
				if !s.Recent {
					return nil
				}
				return telemetry.SinglePoint(uint64(s.LeastShare * 1000))
			}},
		{Name: "fescuehoist.allowance.recent", Description: "1 if the limits in use come from a recent reply of a collector, 0 if this daemon admits its own part.",
			Read: func() []telemetry.Point {
				if c.counter.Status().Recent {
					return telemetry.SinglePoint(1)
				}
				return telemetry.SinglePoint(0)
			}},
		{Name: "fescuehoist.collect.reports", Description: "Reports of counts sent to collectors, by result.", Monotonic: true, Label: "result",
			Read: func() []telemetry.Point {
				s := c.collector.Status()
				return []telemetry.Point{{Label: "answered", Value: s.Answered}, {Label: "failed", Value: s.Failed}}
			}},
		{Name: "fescuehoist.collect.daemons", Description: "Daemons that the latest decision rests on, by the collector in use; no point while nothing is collected.", Label: "collector",
			Read: func() []telemetry.Point {
				s := c.collector.Status()
				if s.Domain == "" {
					return nil
				}
				return []telemetry.Point{{Label: string(s.Domain), Value: uint64(s.Daemons)}}
			}},
	}
}

// Collection is the state of the daemon's reports and of the allowances.
type Collection struct {
	// Domain and Fleet are the collectors in use.
	Domain string `json:"domain_collector"`
	Fleet  string `json:"fleet_collector"`
	// Daemons is the number of daemons that the limits rest on.
	Daemons int `json:"daemons"`
	// Recent is true if the limits come from a recent reply of a collector.
	Recent bool `json:"recent"`
	// Limited lists the accounts that do not have all their requests admitted.
	Limited []LimitedAccount `json:"limited_accounts"`
}

// LimitedAccount is an account that exceeds its allowance.
type LimitedAccount struct {
	Account string  `json:"account"`
	Share   float64 `json:"share"`
	Room    float64 `json:"room"`
}

// state returns the state, or nil while nothing is collected.
func (c *collection) state() *Collection {
	status, counts := c.collector.Status(), c.counter.Status()
	if status.Domain == "" {
		return nil
	}
	out := &Collection{Domain: string(status.Domain), Fleet: string(status.Fleet), Daemons: status.Daemons, Recent: counts.Recent}
	for _, l := range counts.Limits {
		if l.Share < 1 {
			out.Limited = append(out.Limited, LimitedAccount{Account: l.Account, Share: l.Share, Room: l.Room})
		}
	}
	slices.SortFunc(out.Limited, func(a, b LimitedAccount) int {
		return cmp.Or(cmp.Compare(a.Share, b.Share), strings.Compare(a.Account, b.Account))
	})
	out.Limited = out.Limited[:min(len(out.Limited), maxStateAccounts)]
	return out
}
