package daemon

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// logInterval is the least time between two lines of a throttledLog.
const logInterval = time.Second

// throttledLog logs warnings about one cause that clients can bring about, at most one in
// logInterval.
type throttledLog struct {
	logger *logrus.Entry

	mu   sync.Mutex
	next time.Time
	// skipped is the number of warnings since the last line.
	skipped int
}

// warnf logs a warning with the number of those that were skipped before it, or skips it.
func (l *throttledLog) warnf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Before(l.next) {
		l.skipped++
		return
	}
	l.logger.WithField("skipped", l.skipped).Warnf(format, args...)
	l.next, l.skipped = now.Add(logInterval), 0
}
