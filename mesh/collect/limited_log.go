package collect

import (
	"time"

	"fescuehoist.example/mesh/allowance"
)

const (
	// limitedQuiet is the time without refusals after which an account counts as no longer
	// limited.
	limitedQuiet = 5 * time.Second
	// maxLimitedLogs bounds the accounts that are logged at the same time.
	maxLimitedLogs = 32
)

// limitedLog logs when accounts start and stop being limited.
type limitedLog struct {
	logger Logger
	// since holds when an account was first and last limited.
	since map[string]*limitedSpan
}

type limitedSpan struct{ first, last time.Time }

// record records the limits of a decision.
func (l *limitedLog) record(limits []allowance.Limit) {
	now := time.Now()
	for i := range limits {
		if limits[i].Share < 1 {
			l.start(&limits[i], now)
		}
	}
	for name, span := range l.since {
		if now.Sub(span.last) > limitedQuiet {
			l.logger.Infof("account %q is no longer limited; it was for %s", name, span.last.Sub(span.first).Round(100*time.Millisecond))
			delete(l.since, name)
		}
	}
}

func (l *limitedLog) start(limit *allowance.Limit, now time.Time) {
	if span := l.since[limit.Account]; span != nil {
		span.last = now
		return
	}
	if len(l.since) >= maxLimitedLogs {
		return
	}
	if l.since == nil {
		l.since = map[string]*limitedSpan{}
	}
	l.since[limit.Account] = &limitedSpan{first: now, last: now}
	l.logger.Infof("account %q exceeds its %g requests a second, admitting %.0f%% of its requests", limit.Account, limit.Rate, limit.Share*100)
}
