package daemon

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
)

// Guards against a client that fills the log by sending the same bad request again and
// again.
func TestThrottledLogWritesOneLineInEachInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logger := logrus.New()
		logger.SetOutput(&out)
		l := &throttledLog{logger: logrus.NewEntry(logger)}
		for range 10 {
			l.warnf("rejected")
		}
		time.Sleep(logInterval)
		l.warnf("rejected")
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		if len(lines) != 2 || !strings.Contains(lines[0], "skipped=0") || !strings.Contains(lines[1], "skipped=9") {
			t.Errorf("got lines %q, want one with skipped=0 and one with skipped=9", lines)
		}
	})
}
