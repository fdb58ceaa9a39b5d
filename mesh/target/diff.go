package target

import (
	"fmt"
	"strconv"
	"time"
)

// Difference is one way in which two declarations of a service differ.
type Difference struct {
	// Service and Class name where the difference is; Class is empty if the
	// whole service was added or removed.
	Service, Class string
	// Field is the declared key; it is empty if the class or service was
	// added or removed.
	Field string
	// Old and New are the values; Old is empty for an addition, New for a
	// removal.
	Old, New string
}

// String formats the difference as a sentence without its end.
func (d Difference) String() string {
	where := "service " + quote(d.Service)
	if d.Class != "" {
		where += ", class " + quote(d.Class)
	}
	switch {
	case d.Field != "":
		return fmt.Sprintf("%s: %s changes from %s to %s", where, d.Field, d.Old, d.New)
	case d.Old == "":
		return where + ": added, " + d.New
	}
	return where + ": removed"
}

// Diff returns the differences between two declarations of a service. Either
// may be nil.
func Diff(old, now *Service) []Difference {
	switch {
	case old == nil && now == nil:
		return nil
	case old == nil:
		return []Difference{{Service: now.Name, New: countClasses(now)}}
	case now == nil:
		return []Difference{{Service: old.Name, Old: countClasses(old)}}
	}
	var found []Difference
	for i := range now.Classes {
		c := &now.Classes[i]
		before := old.class(c.Name)
		if before == nil {
			found = append(found, Difference{Service: now.Name, Class: c.Name, New: c.summary()})
			continue
		}
		found = append(found, diffClass(now.Name, before, c)...)
	}
	for i := range old.Classes {
		c := &old.Classes[i]
		if now.class(c.Name) == nil {
			found = append(found, Difference{Service: now.Name, Class: c.Name, Old: c.summary()})
		}
	}
	return found
}

func diffClass(service string, old, now *Class) []Difference {
	var found []Difference
	before, after := old.fields(), now.fields()
	for i := range after {
		if before[i].value != after[i].value {
			found = append(found, Difference{
				Service: service, Class: now.Name, Field: after[i].name, Old: before[i].value, New: after[i].value,
			})
		}
	}
	return found
}

type field struct{ name, value string }

// fields returns the declared values, always in the same order.
func (c *Class) fields() []field {
	return []field{
		{"method", quote(c.Method)},
		{"path", quote(c.Path)},
		{"rank", strconv.Itoa(c.Rank)},
		{"latency", c.Latency.String()},
		{"success", share(c.Success)},
		{"keep", share(c.GuaranteedShare)},
		{"timeout", c.Timeout.String()},
		{"idempotent", strconv.FormatBool(c.Idempotent)},
		{"internal", strconv.FormatBool(c.Internal)},
		{"notice", c.Notice.String()},
	}
}

// Target describes the class's target in words.
func (c *Class) Target() string {
	return fmt.Sprintf("%s of calls within %s", share(c.Success), c.Latency.Round(time.Microsecond))
}

func (c *Class) summary() string { return fmt.Sprintf("rank %d, %s", c.Rank, c.Target()) }

func (s *Service) class(name string) *Class {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i]
		}
	}
	return nil
}

func countClasses(s *Service) string {
	if len(s.Classes) == 1 {
		return "1 class"
	}
	return fmt.Sprintf("%d classes", len(s.Classes))
}

func share(v float64) string { return strconv.FormatFloat(100*v, 'f', -1, 64) + "%" }
