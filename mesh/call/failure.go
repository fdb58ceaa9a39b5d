package call

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Reason says why a call failed.
type Reason string

// Reasons of failed calls.
const (
	NoRoute Reason = "no-route"
	// NoServer means that no backend server of the service accepts calls.
	NoServer   Reason = "no-server"
	BadRequest Reason = "bad-request"
	// Unauthorized means that no client account holds the caller's key.
	Unauthorized Reason = "unauthorized"
	// OverAllowance means that the client account has used up its allowance.
	OverAllowance Reason = "over-allowance"
	Overloaded    Reason = "overloaded"
	Draining      Reason = "draining"
	Deadline      Reason = "deadline"
	Unreachable   Reason = "unreachable"
	// Shed means that the backend server itself refused the request.
	Shed Reason = "shed"
	// Cut means that the connection ended without an answer.
	Cut Reason = "cut"
	// Failed means that the backend server answered with a server error.
	Failed   Reason = "failed"
	Canceled Reason = "canceled"
	// Misdirected means that the call reached another backend server than the
	// chosen one because its address had been reassigned to another host.
	Misdirected Reason = "misdirected"
	// Unconfigured means that the daemon of the chosen backend server does not
	// yet have a version in force that knows the service and class.
	Unconfigured Reason = "unconfigured"
	// Silent means that an open connection delivered no further data in time.
	Silent Reason = "silent"
	// Crashed means that the backend server crashed while it ran the request.
	Crashed Reason = "crashed"
	// Quarantined means that the request is refused because backend servers
	// crashed while running the request.
	Quarantined Reason = "quarantined"
	// Unrecorded means that the request's key could not be recorded, so running
	// it at most once could not be guaranteed.
	Unrecorded Reason = "unrecorded"
	// Repeated means that an earlier copy of the request may have run and its
	// outcome is unknown.
	Repeated Reason = "repeated"
)

// Failure is the error of a call without an answer.
type Failure struct {
	Verdict Verdict
	Reason  Reason
	// Err is the cause, or nil.
	Err error
	// RetryAfter is the time after which the caller may retry a request that
	// did not run; 0 leaves the choice to the caller.
	RetryAfter time.Duration
	// VerdictReason is the reason of the attempt that determined Verdict, if
	// that was not the last attempt.
	VerdictReason Reason
	// Load is the load of the backend server that refused the request, or zero
	// if it sent none.
	Load Load
}

// Error returns "reason (verdict): cause".
func (f *Failure) Error() string {
	if f.Err == nil {
		return fmt.Sprintf("%s (%s)", f.Reason, f.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", f.Reason, f.Verdict, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// ReachedServer reports whether the request may have reached a backend server,
// including one that refused it.
func (f *Failure) ReachedServer() bool { return f.Verdict != NotRun || f.Reason == Shed }

// NoCapacity reports whether the request was refused for lack of capacity.
func (f *Failure) NoCapacity() bool { return f.Reason == Overloaded || f.Reason == Shed }

// ReasonOf returns Deadline or Canceled if ctx has ended, and fallback if not.
func ReasonOf(ctx context.Context, fallback Reason) Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Deadline
	case ctx.Err() != nil:
		return Canceled
	}
	return fallback
}

// Refuse returns a failure with verdict NotRun.
func Refuse(reason Reason, err error) *Failure {
	return &Failure{Verdict: NotRun, Reason: reason, Err: err}
}
