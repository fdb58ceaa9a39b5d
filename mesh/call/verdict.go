// Package call defines a call as the decisions see it, apart from any message
// encoding: the request, its answer, and the verdict of a call that failed.
package call

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a request may have run.
type Verdict uint8

const (
	// NotRun says that no backend server ran the request.
	NotRun Verdict = iota
	// MayHaveRun says that a backend server may have run the request.
	MayHaveRun
	// Ran says that a backend server ran the request and answered.
	Ran
)

// String returns the verdict as it is sent to callers.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	case Ran:
		return "ran"
	}
	return "unknown"
}

// ParseVerdict returns the verdict that text names.
func ParseVerdict(text string) (Verdict, bool) {
	for v := NotRun; v <= Ran; v++ {
		if v.String() == text {
			return v, true
		}
	}
	return MayHaveRun, false
}

// Reason names why a call failed.
type Reason string

// Reasons of failed calls.
const (
	NoRoute Reason = "no-route"
	// NoServer says that no backend server takes calls of the service now.
	NoServer    Reason = "no-server"
	BadRequest  Reason = "bad-request"
	Overloaded  Reason = "overloaded"
	Draining    Reason = "draining"
	Deadline    Reason = "deadline"
	Unreachable Reason = "unreachable"
	Shed        Reason = "shed"
	Cut         Reason = "cut"
	// Failed says that the backend server answered with a failure of its own.
	Failed   Reason = "failed"
	Canceled Reason = "canceled"
	// Misdirected says that a call reached another backend server than the one
	// chosen, as an address was given to another host.
	Misdirected Reason = "misdirected"
	// Unconfigured says that the daemon of the chosen backend server has no
	// version in force yet that knows the service and class.
	Unconfigured Reason = "unconfigured"
	// Silent says that nothing more came over a connection that stayed open.
	Silent Reason = "silent"
	// Crashed says that the backend server ended while it ran the request.
	Crashed Reason = "crashed"
	// Quarantined says that the request is refused because backend servers
	// crashed whenever they ran it.
	Quarantined Reason = "quarantined"
	// Unrecorded says that the request could not be recorded as one that runs
	// at most once.
	Unrecorded Reason = "unrecorded"
	// Repeated says that an earlier copy of the request may have run, and that
	// its outcome is not known.
	Repeated Reason = "repeated"
)

// Failure is the error of a call that got no answer.
type Failure struct {
	Verdict Verdict
	Reason  Reason
	// Err is the cause; it may be nil.
	Err error
	// RetryAfter is when a caller whose request did not run may come back; 0
	// leaves it to the caller.
	RetryAfter time.Duration
	// VerdictReason is the reason of the attempt that set the verdict, if that was not
	// the last one.
	VerdictReason Reason
	// Load is that of the backend server that refused the request; it is zero if
	// none told it.
	Load Load
}

// Error names the reason, the verdict and the cause.
func (f *Failure) Error() string {
	if f.Err == nil {
		return fmt.Sprintf("%s (%s)", f.Reason, f.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", f.Reason, f.Verdict, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// ReachedServer reports whether the request may have arrived at a backend
// server, also at one that refused it.
func (f *Failure) ReachedServer() bool { return f.Verdict != NotRun || f.Reason == Shed }

// NoCapacity reports whether the request was refused for want of room.
func (f *Failure) NoCapacity() bool { return f.Reason == Overloaded || f.Reason == Shed }

// ReasonOf returns why a call failed: that its context ended, or else other.
func ReasonOf(ctx context.Context, other Reason) Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Deadline
	case ctx.Err() != nil:
		return Canceled
	}
	return other
}

// Refuse returns a failure of a request that no backend server ran.
func Refuse(reason Reason, err error) *Failure {
	return &Failure{Verdict: NotRun, Reason: reason, Err: err}
}
