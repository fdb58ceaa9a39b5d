// Package proxy passes calls through a daemon. Outbound handles calls from
// callers and chooses backend servers; Inbound admits calls to the daemon's
// own backend server.
package proxy

import (
	"context"
	"errors"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/route"
)

var (
	errNoConfiguration = errors.New("this daemon has no configuration in force yet")
	errNoService       = errors.New("the configuration in force has no such service")
	errServiceRefused  = errors.New("the service's part of the configuration is not valid")
	errNoClass         = errors.New("method and path match no class of the service")
	errOutdated        = errors.New("no such route or key in a configuration that may be outdated")
	errOverAllowance   = errors.New("the client account has used up its allowance")
	errThrottled       = errors.New("throttled: the servers refuse most calls of this class and client")
	errMisdirected     = errors.New("the call is addressed to another backend server or service")
	errStopping        = errors.New("the daemon stops before the call is sure to end")
	errReleased        = errors.New("a rollout leaves this backend server without calls")
	errNoServer        = errors.New("no backend server of the service accepts calls")
)

// Host identifies the backend server on this daemon's host.
type Host interface {
	// Serves reports whether the backend server on this host has the given name
	// and service.
	Serves(server, service string) bool
}

// Inbound runs calls on this daemon's backend server.
type Inbound struct {
	Host   Host
	Routes *route.Router
	Gate   Gate
	// Releases is nil if there are no rollouts.
	Releases   Releases
	Quarantine Quarantine
	Backend    call.Handler
	// CallLog receives the calls that failed here; it may be nil.
	CallLog CallLog
}

// Releases tells which releases of a service take calls.
type Releases interface {
	// Refuses reports whether the backend server on this host takes no calls because of
	// its release.
	Refuses() bool
}

// CallLog logs calls to this daemon's backend server.
type CallLog interface {
	// LogFailure logs a failed call with the load at its failure.
	LogFailure(r *call.Request, load call.Load, err error)
}

// Call admits the call and runs it. The answer carries the backend server's
// load.
func (p *Inbound) Call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	answer, err := p.call(ctx, r)
	if err != nil && p.CallLog != nil {
		p.CallLog.LogFailure(r, p.Gate.LoadFor(r.Class), err)
	}
	return answer, err
}

func (p *Inbound) call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	if err := classify(p.Routes.Table(), r); err != nil {
		// The daemon that classified the call has a newer configuration than
		// this one.
		return nil, call.Refuse(call.Unconfigured, err)
	}
	if !p.Host.Serves(r.Server, r.Service) {
		return nil, call.Refuse(call.Misdirected, errMisdirected)
	}
	if p.Releases != nil && p.Releases.Refuses() {
		return nil, call.Refuse(call.Draining, errReleased)
	}
	ticket, err := p.Quarantine.Enter(ctx, r)
	if err != nil {
		return nil, err
	}
	done, err := p.Gate.Enter(ctx, r)
	if err != nil {
		ticket.Release()
		f := asFailure(err)
		f.Load = p.Gate.LoadFor(r.Class)
		return nil, f
	}
	if p.Releases != nil && p.Releases.Refuses() {
		// The rollout went on while the call waited.
		refused := call.Refuse(call.Draining, errReleased)
		done(refused)
		ticket.Release()
		return nil, refused
	}
	answer, err := p.Backend.Call(ctx, r)
	done(err)
	if err := ticket.End(ctx, err); err != nil {
		return nil, err
	}
	answer.Load = p.Gate.LoadFor(r.Class)
	return answer, nil
}

// classify sets the class of an unclassified call.
func classify(t *route.Table, r *call.Request) error {
	if r.Class != nil {
		return nil
	}
	if t.Version() == 0 {
		return call.Refuse(call.Unconfigured, errNoConfiguration)
	}
	s := t.Service(r.Service)
	if s == nil || s.Config == nil {
		if t.Refused(r.Service) {
			return call.Refuse(call.Unconfigured, errServiceRefused)
		}
		return call.Refuse(call.NoRoute, errNoService)
	}
	r.Class = s.Index.Classify(r.Method, r.URI)
	if r.Class == nil {
		return call.Refuse(call.NoRoute, errNoClass)
	}
	r.ClassName = r.Class.Name
	return nil
}
