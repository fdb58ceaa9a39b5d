package tomlfile

import (
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// checkTable notes a table header that the type of the file has no place for,
// and returns the type of the table, or nil.
func (f *File) checkTable(root reflect.Type, path []string, key string, array bool) reflect.Type {
	t := fieldAt(root, path)
	switch {
	case t == nil:
		f.AddProblem(key, "unknown table; remove it or correct its name")
		return nil
	case array && t.Kind() != reflect.Slice:
		f.broken = true
		f.AddProblem(key, "is one table; write its name in single brackets")
		return nil
	case !array && t.Kind() == reflect.Slice && elem(t).Kind() == reflect.Struct:
		f.broken = true
		f.AddProblem(key, "is a list of tables; write its name in double brackets")
		return nil
	}
	t = elem(t)
	if t.Kind() != reflect.Struct {
		f.broken = true
		f.AddProblem(key, "is no table; write "+wanted(t))
		return nil
	}
	return t
}

// checkValue notes an unknown key or a value of the wrong kind in a table of
// type t, and reports whether the value can be decoded.
func (f *File) checkValue(t reflect.Type, path []string, key string, value *unstable.Node) bool {
	field := fieldAt(t, path)
	if field == nil {
		f.AddProblem(key, "unknown key; remove it or correct its name")
		return false
	}
	if !fits(field, value) {
		f.AddProblem(key, "has the wrong type; write "+wanted(field))
		return false
	}
	if value.Kind != unstable.InlineTable {
		return true
	}
	good := true
	for it := value.Children(); it.Next(); {
		inner := parts(it.Node())
		good = f.checkValue(field, inner, key+"."+strings.Join(inner, "."), it.Node().Value()) && good
	}
	return good
}

// fieldAt returns the type of the field that the path of keys leads to, or nil.
func fieldAt(t reflect.Type, path []string) reflect.Type {
	for _, name := range path {
		t = elem(t)
		if t.Kind() != reflect.Struct {
			return nil
		}
		next := fieldNamed(t, name)
		if next == nil {
			return nil
		}
		t = next
	}
	return t
}

func fieldNamed(t reflect.Type, name string) reflect.Type {
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		if tag == name {
			return t.Field(i).Type
		}
	}
	return nil
}

// elem returns the type of a list's elements, or the type itself.
func elem(t reflect.Type) reflect.Type {
	if t.Kind() == reflect.Slice {
		return t.Elem()
	}
	return t
}

// fits reports whether a value has the kind that a field takes.
func fits(field reflect.Type, value *unstable.Node) bool {
	switch field.Kind() {
	case reflect.String:
		return value.Kind == unstable.String
	case reflect.Bool:
		return value.Kind == unstable.Bool
	case reflect.Int:
		return value.Kind == unstable.Integer
	case reflect.Float64:
		return value.Kind == unstable.Float || value.Kind == unstable.Integer
	case reflect.Struct:
		return value.Kind == unstable.InlineTable
	case reflect.Slice:
		return value.Kind == unstable.Array && elementsFit(field.Elem(), value)
	}
	return false
}

func elementsFit(t reflect.Type, list *unstable.Node) bool {
	for it := list.Children(); it.Next(); {
		if !fits(t, it.Node()) {
			return false
		}
	}
	return true
}

// wanted says what to write for a field.
func wanted(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return `a string in quotes, such as "60ms"`
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number, such as 0.95"
	case reflect.Slice:
		if t.Elem().Kind() == reflect.String {
			return `a list of strings, such as ["a", "b"]`
		}
		return "a list of tables in double brackets"
	}
	return "a table"
}
