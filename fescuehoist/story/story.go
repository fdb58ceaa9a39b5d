// Package story finds, in the logs of several daemons, what happened to one
// request and what each daemon believed at the time.
package story

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	At     time.Time
	Text   string
	Fields map[string]string
}

// Parts of lines that the daemons write.
const (
	beliefPart   = " belief: "
	fieldID      = "id"
	fieldServer  = "server"
	fieldTo      = "to"
	fieldOf      = "of"
	fieldVersion = "version"
)

// Log collects the lines that matter to one request.
type Log struct {
	id      string
	request []Line
	beliefs []Line
}

// New returns a log for the request with an id.
func New(id string) *Log { return &Log{id: id} }

// Read takes the lines of one daemon or of several. Other lines are passed over.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		text := s.Text()
		mine := strings.Contains(text, l.id)
		if !mine && !strings.Contains(text, beliefPart) {
			continue
		}
		line, ok := parse(text)
		switch {
		case !ok:
		case mine && line.Fields[fieldID] == l.id:
			l.request = append(l.request, line)
		case strings.Contains(text, beliefPart):
			l.beliefs = append(l.beliefs, line)
		}
	}
	return s.Err()
}

// Found reports whether any line tells of the request.
func (l *Log) Found() bool { return len(l.request) > 0 }

// Write prints the story in the order of time, after each line what its daemon
// had in force and believed of the backend server, and how old that was.
func (l *Log) Write(w io.Writer) error {
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(l.request, byTime)
	slices.SortStableFunc(l.beliefs, byTime)
	for _, line := range l.request {
		if _, err := fmt.Fprintln(w, line.Text); err != nil {
			return err
		}
		for _, note := range l.notes(&line) {
			if _, err := fmt.Fprintln(w, "    "+note); err != nil {
				return err
			}
		}
	}
	return nil
}

func (l *Log) notes(line *Line) []string {
	var notes []string
	server := line.Fields[fieldServer]
	if b := l.last(line.At, func(b *Line) bool {
		return b.Fields[fieldServer] == server && b.Fields[fieldOf] == "" && b.Fields[fieldVersion] != ""
	}); b != nil {
		notes = append(notes, fmt.Sprintf("%s had version %s in force for %s", server, b.Fields[fieldVersion], age(line, b)))
	}
	to := line.Fields[fieldTo]
	if to == "" {
		return notes
	}
	b := l.last(line.At, func(b *Line) bool { return b.Fields[fieldServer] == server && b.Fields[fieldOf] == to })
	if b == nil {
		return append(notes, fmt.Sprintf("%s had logged nothing about %s", server, to))
	}
	return append(notes, fmt.Sprintf("%s believed for %s that %s is %s, %s, instance %s", server, age(line, b), to,
		b.Fields["state"], b.Fields["health"], b.Fields["instance"]))
}

// last returns the newest belief before a time for which a condition holds.
func (l *Log) last(before time.Time, holds func(*Line) bool) *Line {
	for i := len(l.beliefs) - 1; i >= 0; i-- {
		if b := &l.beliefs[i]; !b.At.After(before) && holds(b) {
			return b
		}
	}
	return nil
}

func age(line, belief *Line) time.Duration { return line.At.Sub(belief.At).Round(time.Millisecond) }

// parse reads the time and the fields of a line; text may stand before them.
func parse(text string) (Line, bool) {
	line := Line{Text: text, Fields: map[string]string{}}
	found := false
	for rest := text; rest != ""; {
		var token string
		token, rest = next(rest)
		name, value, isField := strings.Cut(token, "=")
		switch {
		case isField:
			if unquoted, err := strconv.Unquote(value); err == nil {
				value = unquoted
			}
			line.Fields[name] = value
		case !found:
			at, err := time.Parse(time.RFC3339Nano, token)
			line.At, found = at, err == nil
		}
	}
	return line, found
}

// next cuts the first word off, a quoted value being one with its name.
func next(text string) (string, string) {
	text = strings.TrimLeft(text, " ")
	quoted := false
	for i := 0; i < len(text); i++ {
		switch {
		case text[i] == '\\' && quoted:
			i++
		case text[i] == '"':
			quoted = !quoted
		case text[i] == ' ' && !quoted:
			return text[:i], text[i+1:]
		}
	}
	return text, ""
}
