package target

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Difference is one difference between two declarations of a service.
type Difference struct {
	// Service and Class say where the difference is; Class is empty if the whole
	// service was added or removed.
	Service, Class string
	// Field is the key of the declared value; it is empty if the class or
	// service was added or removed.
	Field string
	// Old and New are the values; Old is empty for an addition, New for a
	// removal.
	Old, New string
}

// String returns the difference as a phrase without a final period.
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

// Diff returns the differences between two declarations of a service. A nil
// declaration means that the service does not exist.
func Diff(old, updated *Service) []Difference {
	switch {
	case old == nil && updated == nil:
		return nil
	case old == nil:
		return []Difference{{Service: updated.Name, New: countClasses(updated)}}
	case updated == nil:
		return []Difference{{Service: old.Name, Old: countClasses(old)}}
	}
	var diffs []Difference
	for i := range updated.Classes {
		c := &updated.Classes[i]
		before := old.findClass(c.Name)
		if before == nil {
			diffs = append(diffs, Difference{Service: updated.Name, Class: c.Name, New: c.summary()})
			continue
		}
		diffs = append(diffs, diffClass(updated.Name, before, c)...)
	}
	for i := range old.Classes {
		c := &old.Classes[i]
		if updated.findClass(c.Name) == nil {
			diffs = append(diffs, Difference{Service: updated.Name, Class: c.Name, Old: c.summary()})
		}
	}
	return diffs
}

func diffClass(service string, old, updated *Class) []Difference {
	var diffs []Difference
	before, after := old.fields(), updated.fields()
	for i := range after {
		if before[i].value != after[i].value {
			diffs = append(diffs, Difference{
				Service: service, Class: updated.Name, Field: after[i].name, Old: before[i].value, New: after[i].value,
			})
		}
	}
	return diffs
}

type field struct{ name, value string }

// fields returns the declared values, always in the same order.
func (c *Class) fields() []field {
	return []field{
		{"method", quote(c.Method)},
		{"path", quote(c.Path)},
		{"rank", strconv.Itoa(c.Rank)},
		{"latency", c.Latency.String()},
		{"success", formatShare(c.Success)},
		{"keep", formatShare(c.GuaranteedShare)},
		{"timeout", c.Timeout.String()},
		{"idempotent", strconv.FormatBool(c.Idempotent)},
		{"internal", strconv.FormatBool(c.Internal)},
		{"notice", c.Notice.String()},
		{"attempts", strconv.Itoa(c.Attempts)},
		{"parts", formatParts(c.Parts)},
		{"public", strconv.FormatBool(c.Public)},
	}
}

// formatParts formats parts as "lookup 90, archive 10".
func formatParts(parts []Part) string {
	texts := make([]string, len(parts))
	for i, p := range parts {
		texts[i] = p.Service + " " + strconv.Itoa(p.Weight)
	}
	return quote(strings.Join(texts, ", "))
}

// Target returns the class's target as text, such as "99% of calls within
// 60ms".
func (c *Class) Target() string {
	return fmt.Sprintf("%s of calls within %s", formatShare(c.Success), c.Latency.Round(time.Microsecond))
}

func (c *Class) summary() string { return fmt.Sprintf("rank %d, %s", c.Rank, c.Target()) }

// findClass returns the class with the name, or nil.
func (s *Service) findClass(name string) *Class {
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

// formatShare formats a share from 0 to 1 as a percentage.
func formatShare(v float64) string { return strconv.FormatFloat(100*v, 'f', -1, 64) + "%" }
