package daemon

import (
	"reflect"

	"github.com/sirupsen/logrus"

	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/mesh/admit"
	"fescuehoist.example/mesh/announce"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/proxy"
	"fescuehoist.example/mesh/retry"
	"fescuehoist.example/mesh/route"
)

// Gate admits calls to the backend server beside the daemon.
type Gate interface {
	proxy.Gate
	announce.Gate
	Load() call.Load
	// Idle reports whether the gate is closed and no call runs.
	Idle() bool
}

// Policy is what decides about calls under load. Each daemon needs its own.
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
	absences := route.NewUnreachableServers(prefixed(log, s, "route"))
	return Policy{
		Gate: gate, Picker: route.NewPicker(s.Domain, absences.Contains), Unreachable: absences,
		Retries: retry.NewPolicy(), Throttle: admit.NewThrottle(),
	}
}

// minFleet is the least number of daemons that share a budget of retries: one
// that knows few others may have lost sight of them.
const minFleet = 8

// sharedBudget returns this daemon's part of a budget of retries that all
// daemons share. Half of it is left for daemons that count differently.
func (d *Daemon) sharedBudget() retry.Limits {
	return retry.Limits{
		Share: func() float64 { return d.retry.Load().Share },
		Burst: func() float64 { return d.retry.Load().Burst / 2 / float64(max(d.members.Len(), minFleet)) },
	}
}

// Reload takes up the settings that can change while the daemon runs: the log
// level and the limits on retries. It reports whether others have changed,
// which need a restart.
func (d *Daemon) Reload(s *settings.Settings) bool {
	d.cfg.Log.SetLevel(s.LogLevel)
	d.retry.Store(&s.Retry)
	old, fresh := *d.cfg.Settings, *s
	fresh.LogLevel, fresh.Retry = old.LogLevel, old.Retry
	return !reflect.DeepEqual(old, fresh)
}
