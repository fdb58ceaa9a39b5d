// Package call defines a call as the decisions see it, apart from any message
// encoding: the request, its answer, and the verdict of a call that failed.
package call

import "fmt"

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
	NoRoute     Reason = "no-route"
	BadRequest  Reason = "bad-request"
	Overloaded  Reason = "overloaded"
	Draining    Reason = "draining"
	Deadline    Reason = "deadline"
	Unreachable Reason = "unreachable"
	Shed        Reason = "shed"
	Cut         Reason = "cut"
	Canceled    Reason = "canceled"
)

// Failure is the error of a call that got no answer.
type Failure struct {
	Verdict Verdict
	Reason  Reason
	// Err is the cause; it may be nil.
	Err error
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

// Refuse returns a failure of a request that no backend server ran.
func Refuse(reason Reason, err error) *Failure {
	return &Failure{Verdict: NotRun, Reason: reason, Err: err}
}
