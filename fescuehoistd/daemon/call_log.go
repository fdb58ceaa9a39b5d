package daemon

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/manifest"
)

// sampleInterval is the number of served calls per logged one. Calls are sampled
// by the hash of their ID, so that all daemons on a call's path log the same calls.
const sampleInterval = 128

// callLog logs the outcome of calls: of every failed call and of a sample of the
// served ones.
type callLog struct {
	logger  *logrus.Entry
	configs *manifest.Store
}

// ObserveCall logs the outcome of a call that this daemon received from a caller.
func (l *callLog) ObserveCall(r *call.Request, duration time.Duration, err error) {
	if err == nil {
		if isSampled(r.ID) {
			l.entry(r, duration).Info("call served")
		}
		return
	}
	f := &call.Failure{Verdict: call.MayHaveRun, Reason: call.Cut}
	errors.As(err, &f)
	e := l.entry(r, duration).WithFields(logrus.Fields{"reason": f.Reason, "verdict": f.Verdict})
	if f.RetryAfter > 0 {
		e = e.WithField("retry_after", f.RetryAfter.Round(time.Millisecond))
	}
	if f.Err != nil {
		e = e.WithField("cause", f.Err)
	}
	if r.Account != "" {
		e = e.WithField("account", r.Account)
	}
	e.Info("call failed")
}

func (l *callLog) entry(r *call.Request, duration time.Duration) *logrus.Entry {
	e := l.logger.WithFields(logrus.Fields{
		"id": r.ID, "class": r.ClassName, "service": r.Service, "to": r.Server, "instance": r.Instance,
		"attempts": r.Attempt, "reached": r.Reached, "took": duration.Round(100 * time.Microsecond),
		"version": l.configs.Snapshot().Version(),
	})
	if r.FromCopy {
		e = e.WithField("from_copy", true)
	}
	return e
}

// LogFailure logs a call that failed at the daemon beside the backend server, with the
// load on that server.
func (l *callLog) LogFailure(r *call.Request, load call.Load, err error) {
	e := l.logger.WithFields(logrus.Fields{
		"id": r.ID, "class": r.ClassName, "origin": r.Origin, "running": load.Running, "queued": load.Queued,
		"limit": load.Limit, "usual": load.ServiceTime, "cause": err,
	})
	if load.LinkWait > 0 {
		e = e.WithField("link_wait", load.LinkWait.Round(time.Millisecond))
	}
	e.Info("call rejected or not answered by the backend server")
}

func isSampled(id string) bool { return id != "" && xxhash.Sum64String(id)%sampleInterval == 0 }
