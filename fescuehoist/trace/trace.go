// Package trace collects, from the logs of several daemons, the lines of one
// request and the state that each daemon had logged of the mesh at the time.
package trace

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxLine is the maximum length of a log line, in bytes.
const maxLine = 1 << 20

// Line is one log line with its time and its name=value fields.
type Line struct {
	At     time.Time
	Text   string
	Fields map[string]string
}

// Markers and field names in the daemons' log lines.
const (
	stateMarker  = " belief: "
	fieldID      = "id"
	fieldServer  = "server"
	fieldTo      = "to"
	fieldOf      = "of"
	fieldVersion = "version"
)

// Trace collects the lines that name one request, and all lines in which a
// daemon logs a change of its state: its version in force or its view of a
// backend server.
type Trace struct {
	id           string
	requestLines []Line
	stateLines   []Line
}

// New returns an empty trace of the request with the given id.
func New(id string) *Trace { return &Trace{id: id} }

// Read adds the lines of a log, which may hold the output of several daemons.
// Lines about neither the request nor a daemon's state, and lines without a
// time, are skipped. It returns the error of r, or bufio.ErrTooLong for a line
// longer than maxLine.
func (t *Trace) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		text := s.Text()
		mentioned := strings.Contains(text, t.id)
		if !mentioned && !strings.Contains(text, stateMarker) {
			continue
		}
		line, ok := parse(text)
		switch {
		case !ok:
		case mentioned && line.Fields[fieldID] == t.id:
			t.requestLines = append(t.requestLines, line)
		case strings.Contains(text, stateMarker):
			t.stateLines = append(t.stateLines, line)
		}
	}
	return s.Err()
}

// Found reports whether any line read so far belongs to the request.
func (t *Trace) Found() bool { return len(t.requestLines) > 0 }

// Write prints the request's lines ordered by time. Each is followed by the
// version that its daemon had in force and the daemon's view of the backend
// server that the line names, with the age of each.
func (t *Trace) Write(w io.Writer) error {
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(t.requestLines, byTime)
	slices.SortStableFunc(t.stateLines, byTime)
	for _, line := range t.requestLines {
		if _, err := fmt.Fprintln(w, line.Text); err != nil {
			return err
		}
		for _, note := range t.annotations(&line) {
			if _, err := fmt.Fprintln(w, "    "+note); err != nil {
				return err
			}
		}
	}
	return nil
}

// annotations returns the notes that Write prints after a line.
func (t *Trace) annotations(line *Line) []string {
	var notes []string
	server := line.Fields[fieldServer]
	if state := t.lastState(line.At, func(state *Line) bool {
		return state.Fields[fieldServer] == server && state.Fields[fieldOf] == "" && state.Fields[fieldVersion] != ""
	}); state != nil {
		notes = append(notes, fmt.Sprintf("%s had version %s in force for %s", server, state.Fields[fieldVersion], age(line, state)))
	}
	to := line.Fields[fieldTo]
	if to == "" {
		return notes
	}
	state := t.lastState(line.At, func(state *Line) bool { return state.Fields[fieldServer] == server && state.Fields[fieldOf] == to })
	if state == nil {
		return append(notes, fmt.Sprintf("%s had logged no state of %s", server, to))
	}
	return append(notes, fmt.Sprintf("%s last logged %s earlier that %s is %s, %s, instance %s", server, age(line, state), to,
		state.Fields["state"], state.Fields["health"], state.Fields["instance"]))
}

// lastState returns the newest state line not after before for which matches
// returns true, or nil.
func (t *Trace) lastState(before time.Time, matches func(*Line) bool) *Line {
	for i := len(t.stateLines) - 1; i >= 0; i-- {
		if state := &t.stateLines[i]; !state.At.After(before) && matches(state) {
			return state
		}
	}
	return nil
}

// age returns the time from a state line to a later line.
func age(line, state *Line) time.Duration { return line.At.Sub(state.At).Round(time.Millisecond) }

// parse reads the time and the fields of a line. The time need not come first:
// a log collector may add a prefix. It returns false for a line without a time.
func parse(text string) (Line, bool) {
	line := Line{Text: text, Fields: map[string]string{}}
	timeFound := false
	for rest := text; rest != ""; {
		var token string
		token, rest = cutToken(rest)
		name, value, isField := strings.Cut(token, "=")
		switch {
		case isField:
			if unquoted, err := strconv.Unquote(value); err == nil {
				value = unquoted
			}
			line.Fields[name] = value
		case !timeFound:
			at, err := time.Parse(time.RFC3339Nano, token)
			line.At, timeFound = at, err == nil
		}
	}
	return line, timeFound
}

// cutToken cuts off the first token, which ends at a space outside quotes, so
// that name="quoted value" is one token. It returns the token and the rest.
func cutToken(text string) (string, string) {
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
