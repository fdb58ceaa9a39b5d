package target_test

import (
	"testing"

	"pgregory.net/rapid"

	"fescuehoist.example/mesh/target"
)

// classifyByScan compares a call with every class.
func classifyByScan(s *target.Service, method, path string) *target.Class {
	var best *target.Class
	for i := range s.Classes {
		c := &s.Classes[i]
		if !c.Matches(method, path) {
			continue
		}
		if best == nil || len(c.Path) > len(best.Path) || (len(c.Path) == len(best.Path) && best.Method == "") {
			best = c
		}
	}
	return best
}

func TestIndexFindsSameClassAsScan(t *testing.T) {
	paths := rapid.StringMatching(`/([ab]{0,2}/?){0,4}`)
	methods := rapid.SampledFrom([]string{"", "GET", "PUT"})
	rapid.Check(t, func(t *rapid.T) {
		s, declared := &target.Service{}, map[string]bool{}
		for range rapid.IntRange(0, 12).Draw(t, "classes") {
			c := target.Class{Path: paths.Draw(t, "prefix"), Method: methods.Draw(t, "class method")}
			if match := c.Method + c.Path; !declared[match] {
				declared[match] = true
				s.Classes = append(s.Classes, c)
			}
		}
		method := rapid.SampledFrom([]string{"GET", "PUT", "POST"}).Draw(t, "method")
		path := paths.Draw(t, "path") + rapid.SampledFrom([]string{"", "?", "?a=/b/"}).Draw(t, "query")
		if got, want := target.NewIndex(s, nil).Classify(method, path), classifyByScan(s, method, path); got != want {
			t.Fatalf("%s %s: found %+v, want %+v", method, path, got, want)
		}
	})
}
