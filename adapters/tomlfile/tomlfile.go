// Package tomlfile reads TOML files strictly: an unknown key, a wrong type or
// a value out of range is a problem that names file, line and key.
package tomlfile

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
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

// Decode reads data into out. Syntax and type faults, and all unknown keys,
// become problems of the file.
func Decode(name string, data []byte, out any) *File {
	f := &File{Name: name, lines: map[string]int{}}
	if len(data) > MaxFileSize {
		f.broken = true
		f.Add("", fmt.Sprintf("the file has %d bytes; at most %d are read", len(data), MaxFileSize))
		return f
	}
	f.index(data)
	err := toml.NewDecoder(strings.NewReader(string(data))).DisallowUnknownFields().Decode(out)
	var unknown *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &unknown):
		for i := range unknown.Errors {
			e := &unknown.Errors[i]
			line, _ := e.Position()
			f.add(line, strings.Join(e.Key(), "."), "unknown key; remove it or correct its name")
		}
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
// values cannot be checked. Unknown keys alone do not make it so.
func (f *File) Broken() bool { return f.broken }

// Has reports whether a problem with the value at a key was noted.
func (f *File) Has(key string) bool {
	return slices.ContainsFunc(f.problems, func(p *Problem) bool { return p.Key == key })
}

// Add notes a problem with the value at a key.
func (f *File) Add(key, text string) { f.add(f.Line(key), key, text) }

func (f *File) add(line int, key, text string) {
	f.problems = append(f.problems, &Problem{File: f.Name, Line: line, Key: key, Text: text})
}

// Err returns the problems found so far, or nil.
func (f *File) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
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

// index notes the line of every key. Elements of arrays of tables have keys
// like service[0].class[2].name.
func (f *File) index(data []byte) {
	p := &unstable.Parser{}
	p.Reset(data)
	counts := map[string]int{}
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			table = f.resolve(counts, e)
			f.note(p, table, e)
		case unstable.ArrayTable:
			path := f.resolve(counts, e)
			if strings.HasSuffix(path, "]") {
				path = path[:strings.LastIndexByte(path, '[')]
			}
			table = path + "[" + strconv.Itoa(counts[path]) + "]"
			counts[path]++
			f.note(p, table, e)
		case unstable.KeyValue:
			key := joined(e)
			if table != "" {
				key = table + "." + key
			}
			f.note(p, key, e)
		}
	}
}

// resolve returns the path of a table header with the current element of each
// array of tables filled in.
func (f *File) resolve(counts map[string]int, e *unstable.Node) string {
	path := ""
	for it := e.Key(); it.Next(); {
		if path != "" {
			path += "."
		}
		path += string(it.Node().Data)
		if n := counts[path]; n > 0 {
			path += "[" + strconv.Itoa(n-1) + "]"
		}
	}
	return path
}

func joined(e *unstable.Node) string {
	var parts []string
	for it := e.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, ".")
}

func (f *File) note(p *unstable.Parser, key string, e *unstable.Node) {
	it := e.Key()
	if !it.Next() {
		return
	}
	f.lines[key] = p.Shape(it.Node().Raw).Start.Line
}
