// Package logging writes one line a message: time, level, the part's fixed
// prefix, the server, and a short sentence.
package logging

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// New returns a logger that writes to w.
func New(w io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	log.SetFormatter(format{})
	return log
}

type format struct{}

// Format writes one line.
func (format) Format(e *logrus.Entry) ([]byte, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-5.5s ", e.Time.UTC().Format(time.RFC3339Nano), e.Level)
	if part, ok := e.Data["part"]; ok {
		fmt.Fprintf(&b, "%s: ", part)
	}
	b.WriteString(e.Message)
	if server, ok := e.Data["server"]; ok {
		fmt.Fprintf(&b, " server=%s", server)
	}
	b.WriteByte('\n')
	return []byte(b.String()), nil
}
