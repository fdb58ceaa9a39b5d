package proxy

import (
	"context"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/hedge"
	"fescuehoist.example/mesh/link"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/quarantine"
	"fescuehoist.example/mesh/retry"
	"fescuehoist.example/mesh/route"
	"fescuehoist.example/mesh/target"
)

// Accounts checks on behalf of which client account a call is made.
type Accounts interface {
	// Authorize sets the account of a classified call and removes its key, or returns a
	// failure with verdict NotRun.
	Authorize(r *call.Request, t *route.Table) *call.Failure
}

// Allowances bounds the calls of client accounts over all daemons.
type Allowances interface {
	// Admit counts a call of an account that has an allowance. The returned function
	// takes back the count of a call that did not run. A refused call may be repeated
	// after the returned time.
	Admit(a *target.Account) (refund func(), retryAfter time.Duration, admitted bool)
}

// Gate admits calls to this daemon's backend server.
type Gate interface {
	// Enter waits until the call may run. The returned function ends the call
	// and takes its error. An error of Enter is a *call.Failure with verdict
	// NotRun.
	Enter(ctx context.Context, r *call.Request) (func(error), error)
	// LoadFor returns the load for calls of a class, which may be nil.
	LoadFor(class *target.Class) call.Load
}

// Link bounds the large bodies that are sent to this host.
type Link interface {
	// Enter waits until a body of the given length in bytes may be sent; slots returns
	// the present state of the slots. An error is a *call.Failure with verdict NotRun.
	Enter(ctx context.Context, r *call.Request, length int64, slots func() link.Slots) (*link.Body, error)
	// Observe tracks a body that arrives without having been asked for.
	Observe(length int64) *link.Body
	// Wait returns how long a body that asks now would wait.
	Wait() time.Duration
}

// Picker chooses a backend server for each call, based on the outcomes of
// earlier ones.
type Picker interface {
	// Pick returns a server of the service, or nil.
	Pick(s *route.Service, q route.Query) *member.Record
	// Done reports the outcome of a call to a server that Pick returned.
	Done(server member.ServerID, o route.Outcome)
}

// UnreachableServers tracks servers whose daemons cannot be reached.
type UnreachableServers interface {
	// Add marks the server as unreachable.
	Add(r *member.Record, cause error)
	// CallContext returns a context for an idempotent call to a server. It ends
	// once the server is unreachable. The returned function must be called when
	// the call has ended.
	CallContext(ctx context.Context, r *member.Record) (context.Context, func())
}

// Retries decides whether failed calls are retried.
type Retries interface {
	// Deposit adds the share for the first attempt of a call to the retry budget
	// of the service.
	Deposit(r *call.Request)
	// Decide decides on a retry after the attempts so far failed with f.
	Decide(r *call.Request, f *call.Failure) retry.Decision
	// Refund returns to the budget a retry that Decide granted and that was not
	// made.
	Refund(r *call.Request)
	// Withdraw takes a retry from the budget for a copy of a call, and reports whether
	// there was one.
	Withdraw(r *call.Request) bool
}

// Hedges decides about copies of calls whose first attempt is slow.
type Hedges interface {
	// Plan counts the first attempt of a call, which has a time left, and says after
	// which time a copy is sent.
	Plan(r *call.Request, left time.Duration) hedge.Plan
	// Choose returns the server for the copy of a call whose first attempt went to first,
	// or nil if no copy is sent.
	Choose(r *call.Request, s *route.Service, q route.Query, first member.ServerID) *member.Record
	// End ends a copy for which Choose returned a server.
	End(r *call.Request, reached, won bool)
	// Observe records how long the first attempt of a call took.
	Observe(r *call.Request, took time.Duration)
	// ObserveRefusal records that a server refused a call for lack of capacity.
	ObserveRefusal(service string)
}

// Quarantine keeps requests that crash backend servers from running again.
type Quarantine interface {
	// Enter admits a request. An error is a *call.Failure with verdict NotRun.
	Enter(ctx context.Context, r *call.Request) (*quarantine.Ticket, error)
}

// Idempotency runs each request with a key at most once.
type Idempotency interface {
	Run(ctx context.Context, r *call.Request,
		send func(context.Context, *call.Request) (*call.Answer, error)) (*call.Answer, error)
}

// Throttle refuses calls before they are sent over the network.
type Throttle interface {
	// Allow reports whether a call may be sent.
	Allow(service, class, client string) bool
	// Done reports whether a server admitted a call for which Allow returned
	// true.
	Done(service, class, client string, admitted bool)
}
