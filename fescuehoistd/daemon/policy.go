package daemon

import (
	"reflect"

	"github.com/sirupsen/logrus"

	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/mesh/admit"
	"fescuehoist.example/mesh/announce"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/proxy"
	"fescuehoist.example/mesh/retry"
	"fescuehoist.example/mesh/route"
)

// Gate admits calls to the backend server beside the daemon.
type Gate interface {
	proxy.Gate
	announce.Gate
	Load() call.Load
	// ObserveCondition applies what the backend server says about itself.
	ObserveCondition(n call.Condition)
	// RateLimit returns the requests a second that the backend server takes, 0
	// without a limit.
	RateLimit() float64
	// Idle reports whether the gate is closed or draining and no calls run or
	// wait.
	Idle() bool
}

// Policy holds the components that decide about calls under load. They keep
// state, so each daemon needs its own.
type Policy struct {
	Gate        Gate
	Picker      proxy.Picker
	Unreachable *route.UnreachableServers
	Retries     proxy.Retries
	Throttle    proxy.Throttle
}

// DefaultPolicy returns the policy of a daemon with the given settings.
func DefaultPolicy(s *settings.Settings, log *logrus.Logger) Policy {
	gate := admit.NewGate(0)
	if s.FixedSlots {
		gate = admit.NewFixedGate()
	}
	unreachable := route.NewUnreachableServers(partLogger(log, s, "route"))
	picker := route.NewPicker(s.Domain, unreachable.Contains)
	picker.Self = member.ServerID(s.Server)
	return Policy{
		Gate: gate, Picker: picker, Unreachable: unreachable,
		Retries: retry.NewPolicy(), Throttle: admit.NewThrottle(),
	}
}

// minFleetSize is the smallest number of daemons among which the retry budget is
// divided: a daemon that knows few others may only have lost contact with them.
const minFleetSize = 8

// retryLimits returns this daemon's share of a retry budget that all daemons share.
// Half of the burst is kept in reserve, since daemons may differ in the number of
// members that they know.
func (d *Daemon) retryLimits() retry.Limits {
	return retry.Limits{
		Share: func() float64 { return d.retry.Load().Share },
		Burst: func() float64 { return d.retry.Load().Burst / 2 / float64(max(d.members.Len(), minFleetSize)) },
	}
}

// explainer returns what explains where calls would go. Components that take the place of
// the default ones may be without an explanation.
func (d *Daemon) explainer() *proxy.Explainer {
	e := &proxy.Explainer{Outbound: d.outbound, Hedges: d.hedger}
	e.Accounts, _ = d.outbound.Accounts.(proxy.AccountExplainer)
	e.Throttle, _ = d.cfg.Policy.Throttle.(proxy.ThrottleExplainer)
	e.Retries, _ = d.cfg.Policy.Retries.(proxy.RetryExplainer)
	e.Picker, _ = d.cfg.Policy.Picker.(proxy.PickExplainer)
	return e
}

// hedgeShare returns the share of calls that may be hedged; 0 while the daemon drains.
func (d *Daemon) hedgeShare() float64 {
	if d.draining.Load() {
		return 0
	}
	return d.hedge.Load().Share
}

// Reload applies the settings that can change while the daemon runs: the log level, the
// retry limits and the share of hedged calls. It reports whether other settings differ from
// those in use, which takes a restart to apply.
func (d *Daemon) Reload(s *settings.Settings) bool {
	d.cfg.Log.SetLevel(s.LogLevel)
	d.retry.Store(&s.Retry)
	d.hedge.Store(&s.Hedge)
	old, updated := *d.cfg.Settings, *s
	updated.LogLevel, updated.Retry, updated.Hedge = old.LogLevel, old.Retry, old.Hedge
	return !reflect.DeepEqual(old, updated)
}
