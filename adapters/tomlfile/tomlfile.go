// Package tomlfile decodes TOML files strictly. Every unknown key, value of the
// wrong type and value out of range is reported with file, line and key.
package tomlfile

import (
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// MaxFileSize is the maximum size of a file, in bytes.
const MaxFileSize = 4 << 20

// Problem is one error in a file.
type Problem struct {
	File string
	// Line is 0 if the problem concerns the file as a whole.
	Line int
	// Key is the dotted path of the key; it may be empty.
	Key string
	// Text says what is wrong and what to write instead.
	Text string
}

// Error formats the problem as file:line: key: text.
func (p *Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		b.WriteString(":" + strconv.Itoa(p.Line))
	}
	b.WriteString(": ")
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Text)
	return b.String()
}

// Problems is the list of all problems found in a file, as one error. It is not
// an error if it is empty.
type Problems []*Problem

// Error lists the problems, one on each line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// File is a decoded file with the line of each key and the problems found.
type File struct {
	Name        string
	lines       map[string]int
	problems    Problems
	undecodable bool
}

// Read reads a file, at most MaxFileSize+1 bytes, so that Decode rejects a file
// that is too large.
func Read(name string) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, MaxFileSize+1))
}

// Decode decodes data into out, a pointer to a struct with toml tags. Syntax
// errors, unknown keys, values of the wrong type and duplicate keys become
// problems of the file.
func Decode(name string, data []byte, out any) *File {
	f := &File{Name: name, lines: map[string]int{}}
	if len(data) > MaxFileSize {
		f.undecodable = true
		f.AddProblem("", fmt.Sprintf("file is too large; write at most %d bytes", MaxFileSize))
		return f
	}
	data = f.indexKeys(data, reflect.TypeOf(out).Elem())
	if f.undecodable {
		return f
	}
	err := toml.Unmarshal(data, out)
	var decodeErr *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &decodeErr):
		f.undecodable = true
		line, _ := decodeErr.Position()
		f.appendProblem(line, strings.Join(decodeErr.Key(), "."), strings.TrimPrefix(decodeErr.Error(), "toml: "))
	default:
		f.undecodable = true
		f.appendProblem(0, "", strings.TrimPrefix(err.Error(), "toml: "))
	}
	return f
}

// Undecodable reports whether decoding the file failed, so that its values
// cannot be checked. Unknown keys and values of the wrong type do not count.
func (f *File) Undecodable() bool { return f.undecodable }

// HasProblem reports whether the value at key has a problem.
func (f *File) HasProblem(key string) bool {
	return slices.ContainsFunc(f.problems, func(p *Problem) bool { return p.Key == key })
}

// AddProblem adds a problem with the value at key, unless it has one already: a
// value that could not be decoded needs no further check. An empty key stands
// for the file as a whole.
func (f *File) AddProblem(key, text string) {
	if key == "" || !f.HasProblem(key) {
		f.appendProblem(f.Line(key), key, text)
	}
}

func (f *File) appendProblem(line int, key, text string) {
	f.problems = append(f.problems, &Problem{File: f.Name, Line: line, Key: key, Text: text})
}

// Err returns the problems found so far as Problems, sorted by line, or nil.
func (f *File) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(f.problems, func(a, b *Problem) int { return a.Line - b.Line })
	return f.problems
}

// Line returns the line of key, or of the innermost table that contains it, or
// 0 if neither is in the file.
func (f *File) Line(key string) int {
	for key != "" {
		if line, ok := f.lines[key]; ok {
			return line
		}
		i := strings.LastIndexAny(key, ".[")
		if i < 0 {
			return 0
		}
		key = key[:i]
	}
	return 0
}
