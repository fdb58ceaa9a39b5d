package proxy

import (
	"context"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/quarantine"
	"fescuehoist.example/mesh/retry"
	"fescuehoist.example/mesh/route"
)

// Gate admits calls to this daemon's backend server.
type Gate interface {
	// Enter waits until the call may run. The returned function takes the
	// call's error and ends it. An error of Enter is a *call.Failure with
	// verdict NotRun.
	Enter(ctx context.Context, r *call.Request) (func(error), error)
	// LoadFor returns the load as a call of the named class meets it.
	LoadFor(class string) call.Load
}

// Picker chooses a backend server for each call and learns from its outcome.
type Picker interface {
	// Pick returns a server of the service, or nil.
	Pick(s *route.Service, q route.Query) *member.Record
	// Done ends a call that Pick started.
	Done(server member.ServerID, o route.Outcome)
}

// UnreachableServers knows the servers whose daemons cannot be reached.
type UnreachableServers interface {
	// Add notes one that cannot.
	Add(r *member.Record, cause error)
	// CallContext ties a call that may run again to a server. The returned function
	// must be called when it has ended.
	CallContext(ctx context.Context, r *member.Record) (context.Context, func())
}

// Retries decides about retries.
type Retries interface {
	// Deposit counts the first attempt of a call.
	Deposit(service string)
	// Decide decides about a call whose attempts so far ended in f.
	Decide(r *call.Request, f *call.Failure) retry.Decision
	// Refund gives back a retry that Decide granted and that was not made.
	Refund(service string)
}

// Quarantine keeps requests that crash backend servers from running again.
type Quarantine interface {
	// Enter lets a request run. An error is a *call.Failure with verdict
	// NotRun.
	Enter(ctx context.Context, r *call.Request) (*quarantine.Ticket, error)
}

// Idempotency runs requests with a key at most once each.
type Idempotency interface {
	Run(ctx context.Context, r *call.Request,
		send func(context.Context, *call.Request) (*call.Answer, error)) (*call.Answer, error)
}

// Throttle turns calls away before they cross the network.
type Throttle interface {
	// Allow reports whether a call may be sent on.
	Allow(service, class, client string) bool
	// Done notes whether a server let a call in that Allow let pass.
	Done(service, class, client string, admitted bool)
}
