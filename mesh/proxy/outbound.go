package proxy

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/link"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/retry"
	"fescuehoist.example/mesh/route"
	"fescuehoist.example/mesh/wait"
)

// Forwarder sends a call to the daemon of another backend server.
type Forwarder interface {
	Forward(ctx context.Context, address string, r *call.Request) (*call.Answer, error)
}

// Observer observes every call that the daemon received from a caller.
type Observer interface {
	ObserveCall(r *call.Request, duration time.Duration, err error)
}

// outdatedAge is the age of the latest confirmation of the configuration above which
// it may lack a route. A daemon that reaches the source or a peer has a newer one.
const outdatedAge = 1500 * time.Millisecond

// Configs tells which configuration is in force, and when it was last confirmed to be the
// newest.
type Configs interface {
	Snapshot() *manifest.Snapshot
	Confirmation() manifest.Confirmation
}

// Outbound handles calls from callers, including their retries.
type Outbound struct {
	Self member.ServerID
	// Configs is nil if the source of the configuration does not confirm it.
	Configs Configs
	Routes  *route.Router
	// Accounts and Allowances may be nil: then no call needs a key, or no account has
	// an allowance.
	Accounts    Accounts
	Allowances  Allowances
	Picker      Picker
	Unreachable UnreachableServers
	Retries     Retries
	Throttle    Throttle
	// Hedges is nil if no calls are hedged.
	Hedges      Hedges
	Idempotency Idempotency
	Remote      Forwarder
	Local       call.Handler
	Observer    Observer

	// end is when the daemon stops, nil while that is unknown.
	end atomic.Pointer[time.Time]
}

// EndBy makes the daemon refuse the calls that may last longer than until end.
func (p *Outbound) EndBy(end time.Time) { p.end.Store(&end) }

// endsInTime reports whether a call ends before the daemon does, however long it
// takes. Nobody would be left to answer it.
func (p *Outbound) endsInTime(ctx context.Context) bool {
	end := p.end.Load()
	if end == nil {
		return true
	}
	deadline, ok := ctx.Deadline()
	return ok && !deadline.After(*end)
}

// Call handles one call. Its errors are of type *call.Failure.
func (p *Outbound) Call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	start := time.Now()
	r.Arrived = start
	answer, err := p.call(ctx, r)
	if err != nil {
		f := *asFailure(err)
		f.Reason = cmp.Or(f.VerdictReason, f.Reason)
		f.RetryAfter = cmp.Or(f.RetryAfter, retry.RetryAfter(r, &f))
		err = &f
	}
	p.Observer.ObserveCall(r, time.Since(start), err)
	return answer, err
}

// Refuse returns the failure of a call that is not made because this daemon has no
// room for it.
func (p *Outbound) Refuse(r *call.Request, cause error) *call.Failure {
	f := call.Refuse(call.Overloaded, cause)
	table := p.Routes.Table()
	if err := classify(table, r); err != nil {
		f = p.checkOutdated(asFailure(err), table)
	}
	f.RetryAfter = retry.RetryAfter(r, f)
	p.Observer.ObserveCall(r, 0, f)
	return f
}

func (p *Outbound) call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	table := p.Routes.Table()
	if err := classify(table, r); err != nil {
		return nil, p.checkOutdated(asFailure(err), table)
	}
	if p.Accounts != nil {
		if f := p.Accounts.Authorize(r, table); f != nil {
			return nil, p.checkOutdated(f, table)
		}
	}
	refund, f := p.admitAccount(r, table)
	if f != nil {
		return nil, f
	}
	answer, err := p.route(ctx, r)
	if err != nil && asFailure(err).Verdict == call.NotRun {
		refund()
	}
	return answer, err
}

// admitAccount counts a call against the allowance of its account.
func (p *Outbound) admitAccount(r *call.Request, t *route.Table) (refund func(), f *call.Failure) {
	account := t.Accounts().ByName(r.Account)
	if p.Allowances == nil || account == nil || !account.Limited() {
		return func() {}, nil
	}
	refund, retryAfter, admitted := p.Allowances.Admit(account)
	if !admitted {
		f := call.Refuse(call.OverAllowance, errOverAllowance)
		f.RetryAfter = retryAfter
		return nil, f
	}
	return refund, nil
}

// route sends an admitted call to the service that its class names.
func (p *Outbound) route(ctx context.Context, r *call.Request) (*call.Answer, error) {
	r.Service = r.Class.Destination(r.Service, rand.Float64())
	ctx, cancel := context.WithTimeout(ctx, r.Class.Timeout)
	defer cancel()
	if !p.endsInTime(ctx) {
		return nil, call.Refuse(call.Draining, errStopping)
	}
	if r.Class.Idempotent || r.Key == "" {
		return p.sendThrottled(ctx, r)
	}
	return p.Idempotency.Run(ctx, r, p.sendThrottled)
}

// checkOutdated returns the failure of a call that could not be classified or authorized.
// Whoever asks for a route, or presents a key, that a newer configuration may have is told
// to come back, since "no route" and "unauthorized" would be final. The table follows the
// configuration in force with some delay.
func (p *Outbound) checkOutdated(f *call.Failure, t *route.Table) *call.Failure {
	if p.Configs == nil || (f.Reason != call.NoRoute && f.Reason != call.Unauthorized) {
		return f
	}
	c := p.Configs.Confirmation()
	if c.Number > 0 && time.Since(c.At) < outdatedAge && t.Version() >= p.Configs.Snapshot().Version() {
		return f
	}
	return call.Refuse(call.Unconfigured, errOutdated)
}

// sendThrottled sends a call unless the throttle refuses it. A request with a
// key gets here only after its replicas reported no earlier copy, so a NotRun
// verdict holds for all copies.
func (p *Outbound) sendThrottled(ctx context.Context, r *call.Request) (*call.Answer, error) {
	client := throttledClient(r)
	if !p.Throttle.Allow(r.Service, r.ClassName, client) {
		return nil, call.Refuse(call.Overloaded, errThrottled)
	}
	answer, err := p.sendWithRetries(ctx, r)
	p.Throttle.Done(r.Service, r.ClassName, client, !isOverloaded(err))
	return answer, err
}

// throttledClient returns the client whose calls the throttle counts together. The calls of
// one account at one daemon are mostly too few to tell whether servers refuse them, and
// allowances bound the large ones.
func throttledClient(r *call.Request) string {
	if r.Account != "" {
		return ""
	}
	return r.Client
}

// isOverloaded reports whether a call failed with reason Overloaded.
func isOverloaded(err error) bool {
	return err != nil && asFailure(err).Reason == call.Overloaded
}

// sendWithRetries makes the attempts of a call. If a backend server answered
// with a server error, that answer is returned unless a later attempt
// succeeds.
func (p *Outbound) sendWithRetries(ctx context.Context, r *call.Request) (*call.Answer, error) {
	p.Retries.Deposit(r)
	query := queryFor(r)
	var failed failedAttempts
	for {
		query.Elapsed = time.Since(r.Arrived)
		server := p.pick(r.Service, query)
		if server == nil && r.NewConnection {
			// A server that stopped responding may respond over a new connection.
			query.Tried, query.AllowUnreachable = nil, true
			server = p.pick(r.Service, query)
		}
		if server == nil {
			return failed.answerOr(p.noServerLeft(r, failed.last))
		}
		r.Attempt++
		first, second := p.attemptHedged(ctx, server, r, query)
		if first.isFinal(r) {
			return first.answer, nil
		}
		failed.add(r, first)
		if second.made() {
			failed.add(r, second)
		}
		if failed.crashedTwice {
			return failed.answerOr(failed.last)
		}
		decision := p.Retries.Decide(r, failed.last)
		if !decision.Retry || wait.For(ctx, decision.Delay) != nil {
			return failed.answerOr(failed.last)
		}
		r.NewConnection = failed.last.Reason == call.Silent
		query.Tried = append(query.Tried, first.server)
		if second.made() {
			query.Tried = append(query.Tried, second.server)
		}
		query.NeedCapacity = decision.NeedCapacity
	}
}

// failedAttempts is what the attempts of a call have come to, none of which gave an answer
// that another backend server may not give.
type failedAttempts struct {
	// last is the failure of the last attempt, with the verdict of all attempts.
	last *call.Failure
	// answer is the last server error, or nil.
	answer *call.Answer
	// crashedTwice means that two servers crashed under the call.
	crashedTwice bool
}

// add adds an attempt that ended after those before it.
func (a *failedAttempts) add(r *call.Request, o ended) {
	if o.err == nil {
		a.answer = o.answer
		o.err = &call.Failure{Verdict: call.Ran, Reason: call.Failed}
	}
	a.last = combine(a.last, asFailure(o.err))
	if recordCrash(r, a.last) {
		a.crashedTwice = true
	}
}

// answerOr returns the last server error, or f if there was none.
func (a *failedAttempts) answerOr(f *call.Failure) (*call.Answer, error) {
	if a.answer != nil {
		return a.answer, nil
	}
	return nil, f
}

// queryFor returns the query for the first server of a call.
func queryFor(r *call.Request) route.Query {
	return route.Query{Class: r.ClassName, Latency: r.Class.Latency, Body: len(r.Body), Draw: rand.Float64()}
}

// isRetryableError reports whether an answer is a server error that another
// backend server may not return. A gateway timeout is final: the deadline has
// passed for every server.
func isRetryableError(r *call.Request, a *call.Answer) bool {
	return a.Failed() && r.Class.Idempotent && a.Status != call.StatusGatewayTimeout
}

// recordCrash marks a request under which a server crashed as suspect. It
// reports whether this was the second such crash.
func recordCrash(r *call.Request, f *call.Failure) bool {
	if f.Reason != call.Crashed {
		return false
	}
	wasSuspect := r.Suspect
	r.Suspect = true
	return wasSuspect
}

// pick uses the current routes, so that a retry sees changes.
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
	outcome := route.Outcome{Class: r.ClassName}
	if answer != nil {
		outcome.Load, outcome.Size = answer.Load, len(r.Body)+len(answer.Body)
		if answer.Leaving {
			outcome.LeavingInstance = r.Instance
		}
	}
	switch {
	case err != nil:
		outcome.Failure = asFailure(err)
		outcome.Load = outcome.Failure.Load
	case answer.Failed():
		outcome.Failure = &call.Failure{Verdict: call.Ran, Reason: call.Failed}
	}
	if outcome.Failure == nil || outcome.Failure.ReachedServer() {
		r.Reached++
	}
	if outcome.Failure != nil && outcome.Failure.NoCapacity() {
		r.Refused++
		if p.Hedges != nil {
			p.Hedges.ObserveRefusal(r.Service)
		}
	}
	p.Picker.Done(server.Server, outcome)
	return answer, err
}

// forward sends a call to the daemon of another server. An idempotent call is
// canceled there once that daemon is unreachable, so that it can be retried.
func (p *Outbound) forward(ctx context.Context, server *member.Record, r *call.Request) (*call.Answer, error) {
	attemptCtx := ctx
	if r.Class.Idempotent {
		var done func()
		attemptCtx, done = p.Unreachable.CallContext(ctx, server)
		defer done()
	}
	r.AskFirst = len(r.Body) > link.FreeBytes(server.LinkMbps)
	answer, err := p.Remote.Forward(attemptCtx, server.CallAddress, r)
	if err == nil {
		return answer, nil
	}
	f := asFailure(err)
	if f.Reason == call.Canceled && ctx.Err() == nil {
		return nil, &call.Failure{Verdict: f.Verdict, Reason: call.Silent, Err: context.Cause(attemptCtx)}
	}
	if f.Reason == call.Silent || (f.Reason == call.Unreachable && ctx.Err() == nil) {
		p.Unreachable.Add(server, f)
	}
	return nil, f
}

// combine returns the latest failure with the most severe verdict of all
// attempts: once one attempt may have run, the call may have run.
func combine(earlier, latest *call.Failure) *call.Failure {
	if earlier == nil || earlier.Verdict <= latest.Verdict {
		return latest
	}
	return &call.Failure{
		Verdict: earlier.Verdict, Reason: latest.Reason, VerdictReason: cmp.Or(earlier.VerdictReason, earlier.Reason),
		Err: latest.Err, Load: latest.Load,
	}
}

// noServerLeft returns the failure of a call for which no untried server is
// left.
func (p *Outbound) noServerLeft(r *call.Request, last *call.Failure) *call.Failure {
	if last != nil {
		if last.ReachedServer() {
			p.Retries.Refund(r)
		}
		return last
	}
	return call.Refuse(call.NoServer, errNoServer)
}

// asFailure returns err as a *call.Failure. An untyped error gets verdict
// MayHaveRun.
func asFailure(err error) *call.Failure {
	var f *call.Failure
	if errors.As(err, &f) {
		return f
	}
	return &call.Failure{Verdict: call.MayHaveRun, Reason: call.Cut, Err: err}
}
