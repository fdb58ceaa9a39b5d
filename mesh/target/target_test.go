package target_test

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"fescuehoist.example/mesh/target"
)

func validService() *target.Service {
	return &target.Service{Name: "lookup", Classes: []target.Class{
		{Name: "search", Method: "GET", Path: "/search", Rank: 1, Latency: time.Second, Success: 0.99, GuaranteedShare: 0.5, Timeout: time.Second, Idempotent: true},
		{Name: "submission", Method: "POST", Path: "/places", Rank: 2, Latency: time.Second, Success: 0.9, GuaranteedShare: 0.5, Timeout: time.Minute, Notice: time.Hour},
	}}
}

// wantDigest is the digest of validService. Stored bodies are keyed by their
// digests, so a change of the digest function would make all of them
// unreadable.
const wantDigest = "67f510248e70edbffef107106d2d98a41b31e096ce2f206895b78d11bf36d434"

func TestDigestMatchesEarlierReleases(t *testing.T) {
	if d := validService().Digest(); d != wantDigest || !d.Valid() {
		t.Errorf("digest %s, want wantDigest in valid form", d)
	}
}

func TestDigestDependsOnEveryField(t *testing.T) {
	seen := map[target.Digest]string{validService().Digest(): "none"}
	fields := reflect.TypeFor[target.Class]()
	for i := range fields.NumField() {
		s := validService()
		field := reflect.ValueOf(&s.Classes[0]).Elem().Field(i)
		switch field.Kind() {
		case reflect.String:
			field.SetString(field.String() + "x")
		case reflect.Bool:
			field.SetBool(!field.Bool())
		case reflect.Float64:
			field.SetFloat(field.Float() / 2)
		case reflect.Slice:
			field.Set(reflect.Append(field, reflect.ValueOf(target.Part{Service: "archive", Weight: 1})))
		default:
			field.SetInt(field.Int() + 1)
		}
		if other, ok := seen[s.Digest()]; ok {
			t.Errorf("a change of %s gives the same digest as a change of %s", fields.Field(i).Name, other)
		}
		seen[s.Digest()] = fields.Field(i).Name
	}
}

func TestValidateReportsEveryProblem(t *testing.T) {
	if problems := validService().Validate(); len(problems) > 0 {
		t.Fatal(problems)
	}
	for _, c := range []struct {
		field, text string
		position    int
		mutate      func(s *target.Service, c *target.Class)
	}{
		{"name", "a letter first", 0, func(s *target.Service, _ *target.Class) { s.Name = "9" }},
		{"class", "at least one", 0, func(s *target.Service, _ *target.Class) { s.Classes = nil }},
		{"keep", "keep 1.10 of the capacity", 0, func(_ *target.Service, c *target.Class) { c.GuaranteedShare = 0.6 }},
		{"keep", "from 0 to 1", 1, func(_ *target.Service, c *target.Class) { c.GuaranteedShare = math.NaN() }},
		{"success", "above 0 and below 1", 1, func(_ *target.Service, c *target.Class) { c.Success = math.NaN() }},
		{"success", "above 0 and below 1", 1, func(_ *target.Service, c *target.Class) { c.Success = 1 }},
		{"name", "write 1 to 63", 1, func(_ *target.Service, c *target.Class) { c.Name = strings.Repeat("x", 64) }},
		{"name", "declared twice", 2, func(_ *target.Service, c *target.Class) { c.Name = "submission" }},
		{"path", "starts with /", 1, func(_ *target.Service, c *target.Class) { c.Path = "/a b" }},
		{"path", "starts with /", 1, func(_ *target.Service, c *target.Class) { c.Path = "/a\x00" }},
		{"path", "the same calls as class \"search\"", 2, func(_ *target.Service, c *target.Class) { c.Method, c.Path = "POST", "/places" }},
		{"method", "in capitals", 1, func(_ *target.Service, c *target.Class) { c.Method = "get" }},
		{"rank", "1 (most urgent) to 16", 1, func(_ *target.Service, c *target.Class) { c.Rank = -1 }},
		{"latency", "from 1ms to 1h0m0s", 1, func(_ *target.Service, c *target.Class) { c.Latency = 0 }},
		{"timeout", "from the latency, 1s, to", 1, func(_ *target.Service, c *target.Class) { c.Timeout = time.Millisecond }},
		{"notice", "from 0 to", 1, func(_ *target.Service, c *target.Class) { c.Notice = -1 }},
		{"attempts", "write 1 to 16", 1, func(_ *target.Service, c *target.Class) { c.Attempts = -1 }},
	} {
		s := validService()
		c.mutate(s, &s.Classes[0])
		problems := s.Validate()
		if len(problems) != 1 || problems[0].Field != c.field || problems[0].Position != c.position || !strings.Contains(problems[0].Error(), c.text) {
			t.Errorf("want one problem with field %s at position %d that contains %q; got %v", c.field, c.position, c.text, problems)
		}
	}
}

// Guards against daemons that refuse what a platform has accepted because it is larger
// than operators may declare.
func TestValidateLeavesSizesToOperators(t *testing.T) {
	for name, mutate := range map[string]func(s *target.Service, c *target.Class){
		"no class":      func(s *target.Service, _ *target.Class) { s.Classes = nil },
		"long path":     func(_ *target.Service, c *target.Class) { c.Path = "/" + strings.Repeat("a", target.MaxPathLength) },
		"long timeout":  func(_ *target.Service, c *target.Class) { c.Timeout = target.MaxTimeout + 1 },
		"many attempts": func(_ *target.Service, c *target.Class) { c.Attempts = target.MaxAttempts + 1 },
		"large weight": func(_ *target.Service, c *target.Class) {
			c.Parts = []target.Part{{Service: "archive", Weight: target.MaxWeight + 1}}
		},
		"many parts": func(_ *target.Service, c *target.Class) {
			c.Parts = slices.Repeat([]target.Part{{Service: "archive", Weight: 1}}, target.MaxParts+1)
		},
		"many classes": func(s *target.Service, c *target.Class) {
			for i := range target.MaxClasses {
				added := *c
				added.Name, added.Path, added.GuaranteedShare = fmt.Sprint("more-", i), fmt.Sprint("/more/", i), 0
				s.Classes = append(s.Classes, added)
			}
		},
	} {
		s := validService()
		mutate(s, &s.Classes[0])
		problems := s.Validate()
		if len(problems) != 1 || !problems[0].OperatorOnly {
			t.Errorf("%s: got %+v, want one problem that binds operators only", name, problems)
		}
		if left := target.WithoutOperatorOnly(problems); len(left) > 0 {
			t.Errorf("%s: daemons are bound by %v, want none", name, left)
		}
	}
}

// Guards against shares that differ from what Destination draws.
func TestSharesAreThoseOfDestination(t *testing.T) {
	for _, c := range []target.Class{
		{},
		{Parts: []target.Part{{Service: "a", Weight: 1}}},
		{Parts: []target.Part{{Service: "a", Weight: 3}, {Service: "b", Weight: 0}, {Service: "c", Weight: 5}}},
	} {
		const draws = 8000
		got := map[string]float64{}
		for i := range draws {
			got[c.Destination("own", float64(i)/draws)] += 1.0 / draws
		}
		for _, share := range c.Shares("own") {
			if diff := got[share.Service] - share.Of; diff > 0.001 || diff < -0.001 {
				t.Errorf("%s gets %.4f of the calls, want %.4f", share.Service, got[share.Service], share.Of)
			}
		}
	}
}
