package target

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestDiffNamesEveryChangedField(t *testing.T) {
	before := Class{Name: "search", Path: "/search", Latency: time.Second, Attempts: 2, Parts: []Part{{"lookup", 100}}}
	for field, change := range map[string]func(*Class){
		"method":     func(c *Class) { c.Method = "GET" },
		"path":       func(c *Class) { c.Path = "/find" },
		"rank":       func(c *Class) { c.Rank = 3 },
		"latency":    func(c *Class) { c.Latency = time.Minute },
		"success":    func(c *Class) { c.Success = 0.5 },
		"keep":       func(c *Class) { c.GuaranteedShare = 0.5 },
		"timeout":    func(c *Class) { c.Timeout = time.Minute },
		"idempotent": func(c *Class) { c.Idempotent = true },
		"internal":   func(c *Class) { c.Internal = true },
		"notice":     func(c *Class) { c.Notice = time.Minute },
		"attempts":   func(c *Class) { c.Attempts = 1 },
		"parts":      func(c *Class) { c.Parts = []Part{{"lookup", 90}, {"archive", 10}} },
	} {
		after := before
		change(&after)
		diffs := Diff(&Service{Name: "lookup", Classes: []Class{before}}, &Service{Name: "lookup", Classes: []Class{after}})
		var got []string
		for _, d := range diffs {
			got = append(got, d.Field)
		}
		if diff := cmp.Diff([]string{field}, got); diff != "" {
			t.Errorf("%s changed (-want +got):\n%s", field, diff)
		}
	}
}
