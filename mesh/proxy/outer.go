package proxy

import (
	"context"
	"errors"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/retry"
	"fescuehoist.example/mesh/route"
)

// Forwarder carries a call to the daemon beside another backend server.
type Forwarder interface {
	Forward(ctx context.Context, address string, r *call.Request) (*call.Answer, error)
}

// Observer is told of every call that a daemon took from a caller.
type Observer interface {
	Called(r *call.Request, took time.Duration, err error)
}

// Picker chooses a backend server for each call and learns from its outcome.
type Picker interface {
	// Pick returns a server of the service that was not tried yet, or nil.
	Pick(s *route.Service, tried []member.ServerID) *member.Record
	// Done ends a call that Pick started.
	Done(server member.ServerID, load call.Load, refused bool)
}

// Budget bounds retries.
type Budget interface {
	First()
	Take() bool
}

// Outer serves callers. It owns the retries of the calls that it took.
type Outer struct {
	Self    member.ServerID
	Routes  *route.Router
	Picker  Picker
	Budget  Budget
	Remote  Forwarder
	Local   call.Callee
	Observe Observer
}

// Call takes one call through to its answer.
func (p *Outer) Call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	start := time.Now()
	answer, err := p.call(ctx, r)
	p.Observe.Called(r, time.Since(start), err)
	return answer, err
}

func (p *Outer) call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	if err := classify(p.Routes.Table(), r); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.Class.Timeout)
	defer cancel()
	p.Budget.First()
	var tried []member.ServerID
	var last *call.Failure
	for {
		server := p.pick(r.Service, tried)
		if server == nil {
			return nil, exhausted(last)
		}
		r.Attempt++
		answer, err := p.attempt(ctx, server, r)
		if err == nil {
			return answer, nil
		}
		last = worse(last, failure(err))
		tried = append(tried, server.Server)
		if !retry.Allowed(last, r.Class.Idempotent, r.Attempt) || ctx.Err() != nil || !p.Budget.Take() {
			return nil, last
		}
	}
}

// pick chooses from the routes of this moment, so that a retry sees changes.
func (p *Outer) pick(service string, tried []member.ServerID) *member.Record {
	s := p.Routes.Table().Service(service)
	if s == nil {
		return nil
	}
	return p.Picker.Pick(s, tried)
}

func (p *Outer) attempt(ctx context.Context, server *member.Record, r *call.Request) (*call.Answer, error) {
	var answer *call.Answer
	var err error
	if server.Server == p.Self {
		answer, err = p.Local.Call(ctx, r)
	} else {
		answer, err = p.Remote.Forward(ctx, server.CallAddress, r)
	}
	var load call.Load
	if answer != nil {
		load = answer.Load
	}
	p.Picker.Done(server.Server, load, err != nil)
	return answer, err
}

// worse returns the latest failure, with the verdict that holds for all
// attempts together: once one may have run, the call may have run.
func worse(earlier, latest *call.Failure) *call.Failure {
	if earlier == nil || earlier.Verdict <= latest.Verdict {
		return latest
	}
	return &call.Failure{Verdict: earlier.Verdict, Reason: latest.Reason, Err: latest.Err}
}

// exhausted returns the failure of a call for which no server is left.
func exhausted(last *call.Failure) *call.Failure {
	if last != nil {
		return last
	}
	return call.Refuse(call.NoRoute, errNoServer)
}

// failure returns the typed failure of a call; an untyped error counts as one
// after which the request may have run.
func failure(err error) *call.Failure {
	var f *call.Failure
	if errors.As(err, &f) {
		return f
	}
	return &call.Failure{Verdict: call.MayHaveRun, Reason: call.Cut, Err: err}
}
