package target

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Index finds the class of a call in logarithmic time. It is immutable.
type Index struct {
	// classes are sorted by path; of those with the same path, the one without a
	// method comes last, and of those with the same method, a refused one.
	classes []*Class
	refused map[*Class]bool
}

// NewIndex returns the index of a service's classes, which must not change. Classes that
// problems name by their position are refused.
func NewIndex(s *Service, problems []Problem) *Index {
	x := &Index{classes: make([]*Class, 0, len(s.Classes)), refused: map[*Class]bool{}}
	for _, p := range problems {
		if p.Position > 0 {
			x.refused[&s.Classes[p.Position-1]] = true
		}
	}
	for i := range s.Classes {
		if c := &s.Classes[i]; !x.refused[c] {
			x.classes = append(x.classes, c)
		}
	}
	x.classes = slices.AppendSeq(x.classes, maps.Keys(x.refused))
	slices.SortStableFunc(x.classes, func(a, b *Class) int {
		return cmp.Or(strings.Compare(a.Path, b.Path), strings.Compare(b.Method, a.Method))
	})
	return x
}

// Refuses reports whether calls of a class in the index are refused, since the class is not
// valid.
func (x *Index) Refuses(c *Class) bool { return x.refused[c] }

// Classify returns the class with the longest matching path, or nil. Of classes with the
// same path, one with a method takes precedence over one without. A path prefix matches
// whole segments only, and nothing behind the question mark of the query.
func (x *Index) Classify(method, path string) *Class {
	if query := strings.IndexByte(path, '?'); query >= 0 {
		path = path[:query]
	}
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end], '/') {
		if c := x.find(method, path[:end]); c != nil {
			return c
		}
		if slash := strings.LastIndexByte(path[:end], '/') + 1; slash < end {
			if c := x.find(method, path[:slash]); c != nil {
				return c
			}
		}
	}
	return nil
}

// find returns the class with exactly this path that matches the method, or nil.
func (x *Index) find(method, path string) *Class {
	i, _ := slices.BinarySearchFunc(x.classes, path, func(c *Class, path string) int { return strings.Compare(c.Path, path) })
	for ; i < len(x.classes) && x.classes[i].Path == path; i++ {
		if c := x.classes[i]; c.Method == "" || c.Method == method {
			return c
		}
	}
	return nil
}
