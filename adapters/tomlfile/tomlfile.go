// Package tomlfile reads TOML files strictly: an unknown key, a wrong type or
// a value out of range is a problem that names file, line and key.
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

// MaxFileSize bounds a file, in bytes.
const MaxFileSize = 4 << 20

// Problem is one fault in a file.
type Problem struct {
	File string
	// Line is 0 if the fault is in the file as a whole.
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

// Problems are all the faults found in a file; it is an error unless empty.
type Problems []*Problem

// Error lists one problem a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// File is a decoded file that knows the line of each key.
type File struct {
	Name     string
	lines    map[string]int
	problems Problems
	broken   bool
}

// Read reads a file of at most MaxFileSize bytes; Decode refuses a larger one.
func Read(name string) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, MaxFileSize+1))
}

// Decode reads data into out, a pointer to a struct with toml tags. Syntax
// faults, unknown keys, values of the wrong type and keys that are declared
// twice become problems of the file.
func Decode(name string, data []byte, out any) *File {
	f := &File{Name: name, lines: map[string]int{}}
	if len(data) > MaxFileSize {
		f.broken = true
		f.AddProblem("", fmt.Sprintf("the file is too large; write at most %d bytes", MaxFileSize))
		return f
	}
	data = f.index(data, reflect.TypeOf(out).Elem())
	if f.broken {
		return f
	}
	err := toml.Unmarshal(data, out)
	var bad *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &bad):
		f.broken = true
		line, _ := bad.Position()
		f.add(line, strings.Join(bad.Key(), "."), strings.TrimPrefix(bad.Error(), "toml: "))
	default:
		f.broken = true
		f.add(0, "", strings.TrimPrefix(err.Error(), "toml: "))
	}
	return f
}

// Broken reports whether the file could not be read to its end, so that its
// values cannot be checked. Unknown keys and wrong types do not make it so.
func (f *File) Broken() bool { return f.broken }

// HasProblem reports whether a problem with the value at a key was noted.
func (f *File) HasProblem(key string) bool {
	return slices.ContainsFunc(f.problems, func(p *Problem) bool { return p.Key == key })
}

// AddProblem notes a problem with the value at a key, unless one was noted already: a
// value that could not be read needs no further check.
func (f *File) AddProblem(key, text string) {
	if key == "" || !f.HasProblem(key) {
		f.add(f.Line(key), key, text)
	}
}

func (f *File) add(line int, key, text string) {
	f.problems = append(f.problems, &Problem{File: f.Name, Line: line, Key: key, Text: text})
}

// Err returns the problems found so far in the order of their lines, or nil.
func (f *File) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(f.problems, func(a, b *Problem) int { return a.Line - b.Line })
	return f.problems
}

// Line returns the line of a key, or of the nearest table that contains it.
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
