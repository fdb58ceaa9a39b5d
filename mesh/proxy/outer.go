package proxy

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/retry"
	"fescuehoist.example/mesh/route"
	"fescuehoist.example/mesh/wait"
)

// Forwarder carries a call to the daemon beside another backend server.
type Forwarder interface {
	Forward(ctx context.Context, address string, r *call.Request) (*call.Answer, error)
}

// Observer is told of every call that a daemon took from a caller.
type Observer interface {
	Called(r *call.Request, took time.Duration, err error)
}

// Outbound serves callers. It owns the retries of the calls that it took.
type Outbound struct {
	Self        member.ServerID
	Routes      *route.Router
	Picker      Picker
	Unreachable UnreachableServers
	Retries     Retries
	Throttle    Throttle
	Idempotency Idempotency
	Remote      Forwarder
	Local       call.Handler
	Observer    Observer
}

// Call takes one call through to its answer.
func (p *Outbound) Call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	start := time.Now()
	r.Arrived = start
	answer, err := p.call(ctx, r)
	if err != nil {
		f := *failure(err)
		f.Reason = cmp.Or(f.VerdictReason, f.Reason)
		f.RetryAfter = retry.RetryAfter(r, &f)
		err = &f
	}
	p.Observer.Called(r, time.Since(start), err)
	return answer, err
}

func (p *Outbound) call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	if err := classify(p.Routes.Table(), r); err != nil {
		return nil, err
	}
	r.Service = r.Class.Destination(r.Service, rand.Float64())
	ctx, cancel := context.WithTimeout(ctx, r.Class.Timeout)
	defer cancel()
	if r.Class.Idempotent || r.Key == "" {
		return p.admit(ctx, r)
	}
	return p.Idempotency.Run(ctx, r, p.admit)
}

// admit sends a call unless it is turned away here. A request with a key comes
// here once its homes know of no earlier copy, so that NotRun holds for all
// copies.
func (p *Outbound) admit(ctx context.Context, r *call.Request) (*call.Answer, error) {
	if !p.Throttle.Allow(r.Service, r.ClassName, r.Client) {
		return nil, call.Refuse(call.Overloaded, errThrottled)
	}
	answer, err := p.send(ctx, r)
	p.Throttle.Done(r.Service, r.ClassName, r.Client, !refused(err))
	return answer, err
}

// refused reports whether a call was refused for want of room.
func refused(err error) bool {
	return err != nil && failure(err).Reason == call.Overloaded
}

// send makes the attempts of a call. A failure that a backend server answered
// with stands unless a later attempt succeeds.
func (p *Outbound) send(ctx context.Context, r *call.Request) (*call.Answer, error) {
	p.Retries.First(r.Service)
	query := route.Query{Class: r.ClassName, Latency: r.Class.Latency}
	var last *call.Failure
	var kept *call.Answer
	for {
		server := p.pick(r.Service, query)
		if server == nil && r.NewConnection {
			// Over a new connection, a server that went silent may answer.
			query.Tried, query.AllowUnreachable = nil, true
			server = p.pick(r.Service, query)
		}
		if server == nil {
			return outcome(kept, p.exhausted(r.Service, last))
		}
		r.Attempt++
		answer, err := p.attempt(ctx, server, r)
		if err == nil && !repeatable(r, answer) {
			return answer, nil
		}
		if err == nil {
			kept = answer
			err = &call.Failure{Verdict: call.Ran, Reason: call.Failed}
		}
		last = worse(last, failure(err))
		if crashedAgain(r, last) {
			return outcome(kept, last)
		}
		step := p.Retries.Next(r, last)
		if !step.Retry || wait.For(ctx, step.Delay) != nil {
			return outcome(kept, last)
		}
		r.NewConnection = last.Reason == call.Silent
		query.Tried = append(query.Tried, server.Server)
		query.NeedCapacity = step.NeedCapacity
	}
}

// repeatable reports whether an answer is a failure that another backend
// server may not have. One whose deadline passed there has none elsewhere.
func repeatable(r *call.Request, a *call.Answer) bool {
	return a.Failed() && r.Class.Idempotent && a.Status != call.StatusGatewayTimeout
}

// outcome returns the answer that a call ends with if there is one.
func outcome(kept *call.Answer, f *call.Failure) (*call.Answer, error) {
	if kept != nil {
		return kept, nil
	}
	return nil, f
}

// crashedAgain reports whether a second server crashed under a request, and
// notes the first.
func crashedAgain(r *call.Request, f *call.Failure) bool {
	if f.Reason != call.Crashed {
		return false
	}
	again := r.Suspect
	r.Suspect = true
	return again
}

// pick chooses from the routes of this moment, so that a retry sees changes.
func (p *Outbound) pick(service string, q route.Query) *member.Record {
	s := p.Routes.Table().Service(service)
	if s == nil {
		return nil
	}
	return p.Picker.Pick(s, q)
}

func (p *Outbound) attempt(ctx context.Context, server *member.Record, r *call.Request) (*call.Answer, error) {
	r.Server, r.Instance, r.Elapsed = string(server.Server), server.Instance, time.Since(r.Arrived)
	var answer *call.Answer
	var err error
	if server.Server == p.Self {
		answer, err = p.Local.Call(ctx, r)
	} else {
		answer, err = p.forward(ctx, server, r)
	}
	o := route.Outcome{Class: r.ClassName}
	if answer != nil {
		o.Load, o.Size = answer.Load, len(r.Body)+len(answer.Body)
	}
	switch {
	case err != nil:
		o.Failure = failure(err)
		o.Load = o.Failure.Load
	case answer.Failed():
		o.Failure = &call.Failure{Verdict: call.Ran, Reason: call.Failed}
	}
	if o.Failure == nil || o.Failure.ReachedServer() {
		r.Reached++
	}
	if o.Failure != nil && o.Failure.NoCapacity() {
		r.Refused++
	}
	p.Picker.Done(server.Server, o)
	return answer, err
}

// forward sends a call to the daemon beside another server. One that may run
// again is given up there once that daemon cannot be reached.
func (p *Outbound) forward(ctx context.Context, server *member.Record, r *call.Request) (*call.Answer, error) {
	attempt := ctx
	if r.Class.Idempotent {
		var ended func()
		attempt, ended = p.Unreachable.CallContext(ctx, server)
		defer ended()
	}
	answer, err := p.Remote.Forward(attempt, server.CallAddress, r)
	if err == nil {
		return answer, nil
	}
	f := failure(err)
	if f.Reason == call.Canceled && ctx.Err() == nil {
		return nil, &call.Failure{Verdict: f.Verdict, Reason: call.Silent, Err: context.Cause(attempt)}
	}
	if f.Reason == call.Silent || (f.Reason == call.Unreachable && ctx.Err() == nil) {
		p.Unreachable.Add(server, f)
	}
	return nil, f
}

// worse returns the latest failure, with the verdict that holds for all
// attempts together: once one may have run, the call may have run.
func worse(earlier, latest *call.Failure) *call.Failure {
	if earlier == nil || earlier.Verdict <= latest.Verdict {
		return latest
	}
	return &call.Failure{
		Verdict: earlier.Verdict, Reason: latest.Reason, VerdictReason: cmp.Or(earlier.VerdictReason, earlier.Reason),
		Err: latest.Err, Load: latest.Load,
	}
}

// exhausted returns the failure of a call for which no server is left.
func (p *Outbound) exhausted(service string, last *call.Failure) *call.Failure {
	if last != nil {
		if last.ReachedServer() {
			p.Retries.Return(service)
		}
		return last
	}
	return call.Refuse(call.NoServer, errNoServer)
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
