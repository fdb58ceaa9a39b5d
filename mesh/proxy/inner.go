// Package proxy takes calls through a daemon: Outer serves callers and chooses
// backend servers, Inner admits calls to this daemon's own backend server.
package proxy

import (
	"context"
	"errors"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/route"
)

var (
	errNoVersion = errors.New("no configuration is in force yet")
	errNoService = errors.New("the service is not in the configuration")
	errNoClass   = errors.New("the call matches no class of the service")
	errThrottled = errors.New("the servers refuse most such calls now")
	errElsewhere = errors.New("the call is meant for another backend server or service")
	errNoServer  = errors.New("no backend server takes calls of the service")
)

// Host says which backend server this daemon stands beside.
type Host interface {
	// Serves reports whether the server is this host's and of the service.
	Serves(server, service string) bool
}

// Inbound runs calls at this daemon's backend server.
type Inbound struct {
	Host       Host
	Routes     *route.Router
	Gate       Gate
	Quarantine Quarantine
	Backend    call.Handler
	// CallLog is told of every call that came here; nil drops it.
	CallLog CallLog
}

// CallLog takes the outcomes of calls at this daemon's backend server.
type CallLog interface {
	// Admitted is told of the load that the call met, and of its error.
	Admitted(r *call.Request, load call.Load, err error)
}

// Call admits the call and runs it. The answer carries the server's load.
func (p *Inbound) Call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	answer, err := p.call(ctx, r)
	if err != nil && p.CallLog != nil {
		p.CallLog.Admitted(r, p.Gate.LoadFor(r.ClassName), err)
	}
	return answer, err
}

func (p *Inbound) call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	if err := classify(p.Routes.Table(), r); err != nil {
		// Another daemon classified the call by a version ahead of this one's.
		return nil, call.Refuse(call.Unconfigured, err)
	}
	if !p.Host.Serves(r.Server, r.Service) {
		return nil, call.Refuse(call.Misdirected, errElsewhere)
	}
	pass, err := p.Quarantine.Enter(ctx, r)
	if err != nil {
		return nil, err
	}
	leave, err := p.Gate.Enter(ctx, r)
	if err != nil {
		pass.Release()
		f := failure(err)
		f.Load = p.Gate.LoadFor(r.ClassName)
		return nil, f
	}
	answer, err := p.Backend.Call(ctx, r)
	leave(err)
	if err := pass.End(ctx, err); err != nil {
		return nil, err
	}
	answer.Load = p.Gate.LoadFor(r.ClassName)
	return answer, nil
}

// classify sets the class of a call.
func classify(t *route.Table, r *call.Request) error {
	if r.Class != nil {
		return nil
	}
	if t.Version() == 0 {
		return call.Refuse(call.Unconfigured, errNoVersion)
	}
	s := t.Service(r.Service)
	if s == nil || s.Config == nil {
		return call.Refuse(call.NoRoute, errNoService)
	}
	r.Class = s.Config.Classify(r.Method, r.URI)
	if r.Class == nil {
		return call.Refuse(call.NoRoute, errNoClass)
	}
	r.ClassName = r.Class.Name
	return nil
}
