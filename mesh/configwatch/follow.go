package configwatch

import (
	"context"
	"time"

	"fescuehoist.example/mesh/wait"
)

// follow is one step of a daemon that is not a reader: it waits for a change of
// the members, and meanwhile checks the source if no confirmation arrives, and
// probes it if it was unreachable.
func (w *Watcher) follow(ctx context.Context, r rank, changed <-chan struct{}) {
	next := w.nextCheck(r)
	if w.storeUnreachable && w.probeAt.Before(next) {
		next = w.probeAt
	}
	timer := time.NewTimer(time.Until(next))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-changed:
		return
	case <-timer.C:
	}
	if now := time.Now(); !now.Before(w.nextCheck(r)) {
		w.check(ctx, r)
	} else if w.storeUnreachable && !now.Before(w.probeAt) {
		w.probe(ctx)
	}
}

// nextCheck returns the time at which this daemon asks the source unless a
// confirmation arrives.
func (w *Watcher) nextCheck(r rank) time.Time {
	due := w.configs.Confirmation().At.Add(w.cfg.CheckAge)
	if verify := w.nextVerification(); w.verifies() && verify.Before(due) {
		due = verify
	}
	if due.Before(w.checkAfter) {
		due = w.checkAfter
	}
	return due.Add(min(time.Duration(r.position)*w.cfg.CheckStep, w.cfg.CheckSpread))
}

// verifies reports whether the daemon has to know how old its configuration may be, to
// refuse revoked keys of client accounts.
func (w *Watcher) verifies() bool {
	return w.cfg.VerifyAge > 0 && w.configs.Snapshot().Accounts().Required()
}

// nextVerification returns the time at which the verification gets too old.
func (w *Watcher) nextVerification() time.Time {
	due := time.Now()
	if _, age, known := w.configs.VerificationAge(); known {
		due = due.Add(w.cfg.VerifyAge - age)
	}
	if due.Before(w.verifyAfter) {
		return w.verifyAfter
	}
	return due
}

// check asks the source whether the known configuration is current.
func (w *Watcher) check(ctx context.Context, r rank) {
	confirmed := w.configs.Confirmation().At
	// A configuration that cannot be applied is not verified by any number of checks.
	w.verifyAfter = time.Now().Add(w.cfg.VerifyAge)
	err := w.callSource(ctx, w.cfg.CheckWait)
	if err == nil {
		w.checkDelay.Reset()
		w.checkAfter = time.Time{}
		w.setReachable(true, nil)
		w.logger.Infof("asked the platform's store, which confirms version %d; the previous confirmation arrived %s",
			w.configs.KnownVersion(), formatAge(confirmed))
		return
	}
	pause := w.checkDelay.NextBackOff() * time.Duration(max(r.size, w.cfg.RetryDomainSize)) / time.Duration(w.cfg.RetryDomainSize)
	w.checkAfter = time.Now().Add(pause)
	if ctx.Err() == nil {
		w.logger.Warnf("cannot confirm version %d by the platform's store; the previous confirmation arrived %s, retrying in %s: %v",
			w.configs.KnownVersion(), formatAge(confirmed), pause.Round(time.Millisecond), err)
	}
}

// formatAge says how long ago t was.
func formatAge(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return time.Since(t).Round(time.Millisecond).String() + " ago"
}

// probe pings the source and records it as reachable if it responds.
func (w *Watcher) probe(ctx context.Context) {
	w.probeAt = time.Now().Add(wait.Jitter(w.cfg.ProbeInterval))
	ctx, cancel := context.WithTimeout(ctx, w.cfg.CallTimeout)
	defer cancel()
	if w.source.Ping(ctx) == nil {
		w.setReachable(true, nil)
	}
}
