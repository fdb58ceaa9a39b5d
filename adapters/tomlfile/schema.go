package tomlfile

import (
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// checkTable returns the type of the table at path. It adds a problem and returns
// nil if the type of the file has no such table.
func (f *File) checkTable(root reflect.Type, path []string, key string, array bool) reflect.Type {
	t := fieldTypeAt(root, path)
	switch {
	case t == nil:
		f.AddProblem(key, "unknown table; remove it or correct its name")
		return nil
	case array && t.Kind() != reflect.Slice:
		f.undecodable = true
		f.AddProblem(key, "is a single table; write its name in single brackets")
		return nil
	case !array && t.Kind() == reflect.Slice && elementType(t).Kind() == reflect.Struct:
		f.undecodable = true
		f.AddProblem(key, "is an array of tables; write its name in double brackets")
		return nil
	}
	t = elementType(t)
	if t.Kind() != reflect.Struct {
		f.undecodable = true
		f.AddProblem(key, "is not a table; write "+describeType(t))
		return nil
	}
	return t
}

// checkValue reports whether the value at path in a table of type t can be
// decoded. It adds a problem if the key is unknown or the value has the wrong
// type.
func (f *File) checkValue(t reflect.Type, path []string, key string, value *unstable.Node) bool {
	field := fieldTypeAt(t, path)
	if field == nil {
		f.AddProblem(key, "unknown key; remove it or correct its name")
		return false
	}
	if !kindMatches(field, value) {
		f.AddProblem(key, "has the wrong type; write "+describeType(field))
		return false
	}
	if value.Kind != unstable.InlineTable {
		return true
	}
	ok := true
	for it := value.Children(); it.Next(); {
		subPath := keyNames(it.Node())
		ok = f.checkValue(field, subPath, key+"."+strings.Join(subPath, "."), it.Node().Value()) && ok
	}
	return ok
}

// fieldTypeAt returns the type of the field at a path of keys, or nil if there is
// none.
func fieldTypeAt(t reflect.Type, path []string) reflect.Type {
	for _, name := range path {
		t = elementType(t)
		if t.Kind() != reflect.Struct {
			return nil
		}
		fieldType := fieldTypeByKey(t, name)
		if fieldType == nil {
			return nil
		}
		t = fieldType
	}
	return t
}

// fieldTypeByKey returns the type of the field with the toml tag name, or nil.
func fieldTypeByKey(t reflect.Type, name string) reflect.Type {
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		if tag == name {
			return t.Field(i).Type
		}
	}
	return nil
}

// elementType returns the element type of a slice, or t itself.
func elementType(t reflect.Type) reflect.Type {
	if t.Kind() == reflect.Slice {
		return t.Elem()
	}
	return t
}

// kindMatches reports whether value has the TOML type that the field requires.
func kindMatches(field reflect.Type, value *unstable.Node) bool {
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
		return value.Kind == unstable.Array && elementKindsMatch(field.Elem(), value)
	}
	return false
}

func elementKindsMatch(t reflect.Type, list *unstable.Node) bool {
	for it := list.Children(); it.Next(); {
		if !kindMatches(t, it.Node()) {
			return false
		}
	}
	return true
}

// describeType describes what to write for a value of type t, in the text of a
// problem.
func describeType(t reflect.Type) string {
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
		return "an array of tables in double brackets"
	}
	return "a table"
}
