// Package logging formats each log entry as one line: time, level, the value of
// field part as a prefix, the message, and the other fields sorted by name.
package logging

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// New returns a logger that writes entries of at least the given level to w.
func New(w io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	log.SetFormatter(formatter{})
	return log
}

type formatter struct{}

// writeField writes a field as name=value. The value is quoted if it is empty or
// contains spaces, quotes, line breaks or equals signs.
func writeField(b *strings.Builder, name string, value any) {
	text := fmt.Sprint(value)
	if text == "" || strings.ContainsAny(text, " \t\r\n\"=") {
		text = strconv.Quote(text)
	}
	b.WriteString(" " + name + "=" + text)
}

// Format returns the line of an entry.
func (formatter) Format(e *logrus.Entry) ([]byte, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-5.5s ", e.Time.UTC().Format(time.RFC3339Nano), e.Level)
	if part, ok := e.Data["part"]; ok {
		fmt.Fprintf(&b, "%s: ", part)
	}
	b.WriteString(e.Message)
	for _, name := range slices.Sorted(maps.Keys(e.Data)) {
		if name != "part" {
			writeField(&b, name, e.Data[name])
		}
	}
	b.WriteByte('\n')
	return []byte(b.String()), nil
}
