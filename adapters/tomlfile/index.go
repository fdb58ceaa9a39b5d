package tomlfile

import (
	"bytes"
	"reflect"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// indexKeys records the line of every key and checks the key and its value
// against the type of the file. Elements of arrays of tables have keys such as
// service[0].class[2].name. It returns a copy of data in which key-value pairs
// that cannot be decoded are replaced by spaces.
func (f *File) indexKeys(data []byte, root reflect.Type) []byte {
	data = bytes.Clone(data)
	p := &unstable.Parser{}
	p.Reset(bytes.Clone(data))
	counts := map[string]int{}
	table, tableType := "", root
	for p.NextExpression() {
		expr := p.Expression()
		path := keyNames(expr)
		switch expr.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = elementPath(counts, path, expr.Kind == unstable.ArrayTable)
			f.recordLine(p, table, expr)
			tableType = f.checkTable(root, path, table, expr.Kind == unstable.ArrayTable)
		case unstable.KeyValue:
			key := strings.Join(path, ".")
			if table != "" {
				key = table + "." + key
			}
			f.recordLine(p, key, expr)
			if tableType == nil || !f.checkValue(tableType, path, key, expr.Value()) {
				blankOut(data, expr.Raw)
			}
		}
	}
	return data
}

// blankOut replaces a range of data by spaces and keeps its line breaks.
func blankOut(data []byte, r unstable.Range) {
	for i := r.Offset; i < r.Offset+r.Length; i++ {
		if data[i] != '\n' && data[i] != '\r' {
			data[i] = ' '
		}
	}
}

// elementPath returns the path of a table header with the index of the current
// element of each array of tables. The header of an array of tables starts its
// next element; counts holds the number of elements so far.
func elementPath(counts map[string]int, path []string, array bool) string {
	key := ""
	for i, name := range path {
		if key != "" {
			key += "."
		}
		key += name
		if array && i == len(path)-1 {
			counts[key]++
		}
		if n := counts[key]; n > 0 {
			key += "[" + strconv.Itoa(n-1) + "]"
		}
	}
	return key
}

// keyNames returns the names of the dotted key of an expression.
func keyNames(expr *unstable.Node) []string {
	var names []string
	for it := expr.Key(); it.Next(); {
		names = append(names, string(it.Node().Data))
	}
	return names
}

// recordLine stores the line of the expression's key.
func (f *File) recordLine(p *unstable.Parser, key string, expr *unstable.Node) {
	it := expr.Key()
	if !it.Next() {
		return
	}
	f.lines[key] = p.Shape(it.Node().Raw).Start.Line
}
