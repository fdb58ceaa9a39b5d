package daemon

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/manifest"
)

// sampledCalls is how many served calls there are for each one that is logged.
// The choice is by id, so that all daemons on a call's way choose alike.
const sampledCalls = 128

// journal logs the outcome of calls: every failed one, and a sample of the
// served ones.
type journal struct {
	out     *logrus.Entry
	configs *manifest.Store
}

// Called logs one call that this daemon took from a caller.
func (j *journal) Called(r *call.Request, took time.Duration, err error) {
	if err == nil {
		if sampled(r.ID) {
			j.entry(r, took).Info("call served")
		}
		return
	}
	f := &call.Failure{Verdict: call.MayHaveRun, Reason: call.Cut}
	errors.As(err, &f)
	e := j.entry(r, took).WithFields(logrus.Fields{"reason": f.Reason, "verdict": f.Verdict})
	if f.RetryAfter > 0 {
		e = e.WithField("retry_after", f.RetryAfter.Round(time.Millisecond))
	}
	if f.Err != nil {
		e = e.WithField("cause", f.Err)
	}
	e.Info("call failed")
}

func (j *journal) entry(r *call.Request, took time.Duration) *logrus.Entry {
	return j.out.WithFields(logrus.Fields{
		"id": r.ID, "class": r.ClassName, "service": r.Service, "to": r.Server, "instance": r.Instance,
		"attempts": r.Attempt, "reached": r.Reached, "took": took.Round(100 * time.Microsecond),
		"version": j.configs.Snapshot().Version(),
	})
}

// Admitted logs what the daemon beside a backend server did with a call.
func (j *journal) Admitted(r *call.Request, load call.Load, err error) {
	if err == nil {
		return
	}
	j.out.WithFields(logrus.Fields{
		"id": r.ID, "class": r.ClassName, "origin": r.Origin, "running": load.Running, "queued": load.Queued,
		"limit": load.Limit, "usual": load.ServiceTime, "cause": err,
	}).Info("call not run to an answer at the backend server")
}

func sampled(id string) bool { return id != "" && xxhash.Sum64String(id)%sampledCalls == 0 }
