// Package logging writes one line a message: time, level, the part's fixed
// prefix, a short sentence, and the fields by name.
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

// New returns a logger that writes to w.
func New(w io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	log.SetFormatter(format{})
	return log
}

type format struct{}

// writeField writes a field, its value in quotes if it has blanks.
func writeField(b *strings.Builder, name string, value any) {
	text := fmt.Sprint(value)
	if text == "" || strings.ContainsAny(text, " \t\r\n\"=") {
		text = strconv.Quote(text)
	}
	b.WriteString(" " + name + "=" + text)
}

// Format writes one line.
func (format) Format(e *logrus.Entry) ([]byte, error) {
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
