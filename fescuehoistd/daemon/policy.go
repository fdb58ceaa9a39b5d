package daemon

import (
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
}

// Policy is what decides about calls under load. Each daemon needs its own.
type Policy struct {
	Gate     Gate
	Picker   proxy.Picker
	Retries  proxy.Retries
	Throttle proxy.Throttle
}

// DefaultPolicy returns the policy of a daemon with the given settings.
func DefaultPolicy(s *settings.Settings) Policy {
	gate := admit.NewGate(0)
	if s.FixedSlots {
		gate = admit.NewSlotGate()
	}
	return Policy{Gate: gate, Picker: route.NewPicker(s.Domain), Retries: retry.NewPolicy(), Throttle: admit.NewThrottle()}
}

// minFleet is the least number of daemons that share a budget of retries: one
// that knows few others may have lost sight of them.
const minFleet = 8

// sharedBudget returns this daemon's part of a budget of retries that all
// daemons share. Half of it is left for daemons that count differently.
func sharedBudget(s *settings.Settings, members *member.Table) retry.Limits {
	return retry.Limits{Share: s.Retry.Share, Burst: func() float64 {
		return s.Retry.Burst / 2 / float64(max(members.Len(), minFleet))
	}}
}
