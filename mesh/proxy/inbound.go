// Package proxy passes calls through a daemon. Outbound handles calls from
// callers and chooses backend servers; Inbound admits calls to the daemon's
// own backend server.
package proxy

import (
	"context"
	"errors"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/link"
	"fescuehoist.example/mesh/route"
	"fescuehoist.example/mesh/target"
)

var (
	errNoConfiguration = errors.New("this daemon has no configuration in force yet")
	errNoService       = errors.New("the configuration in force has no such service")
	errServiceRefused  = errors.New("the service's part of the configuration is not valid")
	errClassRefused    = errors.New("the class's part of the configuration is not valid")
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
	// Link bounds the large bodies on their way to this host; it may be nil.
	Link Link
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
		p.CallLog.LogFailure(r, p.loadFor(r.Class), err)
	}
	return answer, err
}

func (p *Inbound) call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	if f := p.check(r); f != nil {
		return nil, f
	}
	ticket, err := p.Quarantine.Enter(ctx, r)
	if err != nil {
		return nil, err
	}
	done, err := p.Gate.Enter(ctx, r)
	if err != nil {
		ticket.Release()
		f := asFailure(err)
		f.Load = p.loadFor(r.Class)
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
	answer.Load = p.loadFor(r.Class)
	return answer, nil
}

// check classifies a call and returns the failure of one that this daemon's backend server
// does not take, or nil.
func (p *Inbound) check(r *call.Request) *call.Failure {
	if err := classify(p.Routes.Table(), r); err != nil {
		// The daemon that classified the call has a newer configuration than
		// this one.
		return call.Refuse(call.Unconfigured, err)
	}
	if !p.Host.Serves(r.Server, r.Service) {
		return call.Refuse(call.Misdirected, errMisdirected)
	}
	if p.Releases != nil && p.Releases.Refuses() {
		return call.Refuse(call.Draining, errReleased)
	}
	return nil
}

// loadFor returns the load as seen by a call of a class, which may be nil.
func (p *Inbound) loadFor(c *target.Class) call.Load {
	load := p.Gate.LoadFor(c)
	if p.Link != nil {
		load.LinkWait = p.Link.Wait()
	}
	return load
}

// AdmitBody waits until the body of a forwarded call, of the given length in bytes, may
// be sent to this host. Errors are of type *call.Failure with verdict NotRun.
func (p *Inbound) AdmitBody(ctx context.Context, r *call.Request, length int64) (*link.Body, error) {
	if p.Link == nil {
		return nil, nil
	}
	if f := p.check(r); f != nil {
		return nil, f
	}
	body, err := p.Link.Enter(ctx, r, length, func() link.Slots { return slotsOf(p.Gate.LoadFor(r.Class)) })
	if err != nil {
		f := asFailure(err)
		f.Load = p.loadFor(r.Class)
		if p.CallLog != nil {
			p.CallLog.LogFailure(r, f.Load, f)
		}
		return nil, f
	}
	return body, nil
}

// ObserveBody counts a body that arrives without having been asked for.
func (p *Inbound) ObserveBody(length int64) *link.Body {
	if p.Link == nil {
		return nil
	}
	return p.Link.Observe(length)
}

// slotsOf estimates how long a call that sees a load would wait for a slot.
func slotsOf(l call.Load) link.Slots {
	s := link.Slots{Service: l.ServiceTime}
	if l.Limit > 0 && l.Running >= l.Limit {
		s.Wait = l.ServiceTime * time.Duration(l.Queued) / time.Duration(l.Limit)
	}
	return s
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
	if s.Index.Refuses(r.Class) {
		return call.Refuse(call.Unconfigured, errClassRefused)
	}
	r.ClassName = r.Class.Name
	return nil
}
