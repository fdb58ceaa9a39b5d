package daemon

import (
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
	return Policy{Gate: admit.NewGate(0), Picker: route.NewPicker(s.Domain), Retries: retry.NewPolicy(), Throttle: admit.NewThrottle()}
}
