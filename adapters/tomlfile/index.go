package tomlfile

import (
	"bytes"
	"reflect"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// index notes the line of every key and checks it against the type of the
// file. Elements of arrays of tables have keys like service[0].class[2].name.
// It returns the data with the values that cannot be decoded blanked out.
func (f *File) index(data []byte, root reflect.Type) []byte {
	data = bytes.Clone(data)
	p := &unstable.Parser{}
	p.Reset(bytes.Clone(data))
	counts := map[string]int{}
	table, tableType := "", root
	for p.NextExpression() {
		e := p.Expression()
		path := parts(e)
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = resolve(counts, path, e.Kind == unstable.ArrayTable)
			f.note(p, table, e)
			tableType = f.checkTable(root, path, table, e.Kind == unstable.ArrayTable)
		case unstable.KeyValue:
			key := strings.Join(path, ".")
			if table != "" {
				key = table + "." + key
			}
			f.note(p, key, e)
			if tableType == nil || !f.checkValue(tableType, path, key, e.Value()) {
				blank(data, e.Raw)
			}
		}
	}
	return data
}

// blank replaces a part of the data by spaces and keeps its lines.
func blank(data []byte, r unstable.Range) {
	for i := r.Offset; i < r.Offset+r.Length; i++ {
		if data[i] != '\n' && data[i] != '\r' {
			data[i] = ' '
		}
	}
}

// resolve returns the path of a table header with the current element of each
// array of tables filled in. An array's own header starts its next element.
func resolve(counts map[string]int, path []string, array bool) string {
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

// parts returns the dotted key of an expression.
func parts(e *unstable.Node) []string {
	var names []string
	for it := e.Key(); it.Next(); {
		names = append(names, string(it.Node().Data))
	}
	return names
}

func (f *File) note(p *unstable.Parser, key string, e *unstable.Node) {
	it := e.Key()
	if !it.Next() {
		return
	}
	f.lines[key] = p.Shape(it.Node().Raw).Start.Line
}
