package target

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits on declared values. Those on sizes bind operators, not daemons. A platform that
// accepts configurations itself may have others.
const (
	MaxNameLength     = 63
	MaxClasses        = 4096
	MaxRank           = 16
	MaxPathLength     = 512
	MaxMethodLength   = 16
	MaxHostLength     = 253
	MaxAttempts       = 16
	MaxParts          = 64
	MaxWeight         = 1_000_000
	MaxTimeout        = time.Hour
	MaxNotice         = 60 * 24 * time.Hour
	MinLatency        = time.Millisecond
	shareSumTolerance = 1e-9
)

// Problem is one reason why a declaration is refused.
type Problem struct {
	// Service and Class say where the problem is. An empty Service means the
	// version as a whole, an empty Class the service as a whole.
	Service, Class string
	// Account names the client account that has the problem, in place of a service.
	Account string
	// Position is the position of the class in its service, from 1; 0 means the
	// service as a whole.
	Position int
	// Field is the key of the invalid value; it may be empty.
	Field string
	// Text says what is wrong and what to write instead.
	Text string
	// OperatorOnly means that operators may not declare the value, but daemons can apply
	// it if another system has accepted it.
	OperatorOnly bool
}

// WithoutOperatorOnly returns the problems that keep a daemon from applying a service.
func WithoutOperatorOnly(problems []Problem) []Problem {
	return slices.DeleteFunc(problems, func(p Problem) bool { return p.OperatorOnly })
}

// Error returns the problem as one line.
func (p Problem) Error() string {
	if p.Service == "" && p.Account == "" {
		return p.Text
	}
	where := "service " + quote(p.Service)
	if p.Account != "" {
		where = "account " + quote(p.Account)
	}
	if p.Class != "" {
		where += ", class " + quote(p.Class)
	}
	if p.Field != "" {
		where += ", " + p.Field
	}
	return where + ": " + p.Text
}

func quote(s string) string { return fmt.Sprintf("%q", s) }

// Validate returns all problems of the service; operators may declare it if there are
// none.
func (s *Service) Validate() []Problem {
	v := validator{service: s.Name}
	if !ValidHost(s.Name) {
		v.addRange(UsableHost(s.Name), "", "name", nameProblem(s.Name))
	}
	if len(s.Classes) == 0 {
		v.addOperatorOnly("", "class", "declare at least one class")
	}
	if len(s.Classes) > MaxClasses {
		v.addOperatorOnly("", "class", fmt.Sprintf("%d classes; declare at most %d", len(s.Classes), MaxClasses))
	}
	v.checkDuplicates(s.Classes)
	shareSum := 0.0
	for i := range s.Classes {
		v.position = i + 1
		v.checkClass(&s.Classes[i])
		shareSum += s.Classes[i].GuaranteedShare
	}
	v.position = 0
	if shareSum > 1+shareSumTolerance {
		v.add("", "keep", fmt.Sprintf("the classes keep %.2f of the capacity together; the sum must be at most 1", shareSum))
	}
	return v.problems
}

// validator collects the problems of one service. position is the position of
// the class under validation, from 1; 0 means the service as a whole.
type validator struct {
	service  string
	position int
	problems []Problem
}

func (v *validator) add(class, field, text string) {
	v.problems = append(v.problems, Problem{Service: v.service, Class: class, Position: v.position, Field: field, Text: text})
}

// addOperatorOnly adds a problem that does not keep a daemon from applying the service.
func (v *validator) addOperatorOnly(class, field, text string) {
	v.add(class, field, text)
	v.problems[len(v.problems)-1].OperatorOnly = true
}

// addRange adds a problem of a value beyond its range. Daemons can apply values that are
// only too large.
func (v *validator) addRange(tooLarge bool, class, field, text string) {
	if tooLarge {
		v.addOperatorOnly(class, field, text)
		return
	}
	v.add(class, field, text)
}

func (v *validator) checkClass(c *Class) {
	if c.Fault != "" {
		v.add(c.Name, "", c.Fault)
		return
	}
	if !ValidName(c.Name) {
		v.add(c.Name, "name", nameProblem(c.Name))
	}
	if valid := validPath(c.Path); !valid || len(c.Path) > MaxPathLength {
		v.addRange(valid, c.Name, "path", fmt.Sprintf("%.80q; write a path that starts with /, has at most %d bytes, and no space, ? or #", c.Path, MaxPathLength))
	}
	if !validMethod(c.Method) {
		v.add(c.Name, "method", fmt.Sprintf("%.80q; write an HTTP method in capitals, such as GET, or leave it out to match any", c.Method))
	}
	if c.Rank < 1 || c.Rank > MaxRank {
		v.addRange(c.Rank > MaxRank, c.Name, "rank", fmt.Sprintf("%d; write 1 (most urgent) to %d", c.Rank, MaxRank))
	}
	if c.Latency < MinLatency || c.Latency > MaxTimeout {
		v.addRange(c.Latency > 0, c.Name, "latency", fmt.Sprintf("%s; write a duration from %s to %s", c.Latency, MinLatency, MaxTimeout))
	}
	if c.Timeout < max(c.Latency, MinLatency) || c.Timeout > MaxTimeout {
		v.addRange(c.Timeout > 0 && c.Timeout >= c.Latency, c.Name, "timeout", fmt.Sprintf("%s; write a duration from the latency, %s, to %s", c.Timeout, max(c.Latency, MinLatency), MaxTimeout))
	}
	if !(c.Success > 0 && c.Success < 1) {
		v.add(c.Name, "success", fmt.Sprintf("%v; write a share above 0 and below 1", c.Success))
	}
	if !(c.GuaranteedShare >= 0 && c.GuaranteedShare <= 1) {
		v.add(c.Name, "keep", fmt.Sprintf("%v; write a share from 0 to 1", c.GuaranteedShare))
	}
	v.checkSplit(c)
	if c.Notice < 0 || c.Notice > MaxNotice {
		v.add(c.Name, "notice", fmt.Sprintf("%s; write a duration from 0 to %s", c.Notice, MaxNotice))
	}
}

// checkSplit validates the attempts and parts of a class.
func (v *validator) checkSplit(c *Class) {
	if c.Attempts < 0 || c.Attempts > MaxAttempts {
		v.addRange(c.Attempts > MaxAttempts, c.Name, "attempts", fmt.Sprintf("%d; write 1 to %d, or leave it out", c.Attempts, MaxAttempts))
	}
	if len(c.Parts) > MaxParts {
		v.addOperatorOnly(c.Name, "parts", fmt.Sprintf("%d parts; declare at most %d", len(c.Parts), MaxParts))
	}
	total := 0.0
	for _, p := range c.Parts {
		if !ValidName(p.Service) {
			v.addRange(UsableService(p.Service), c.Name, "parts", nameProblem(p.Service))
		}
		if p.Weight < 0 || p.Weight > MaxWeight {
			v.addRange(p.Weight > MaxWeight, c.Name, "parts", fmt.Sprintf("weight %d; write 0 to %d", p.Weight, MaxWeight))
		}
		total += float64(p.Weight)
	}
	if len(c.Parts) > 0 && total <= 0 {
		v.add(c.Name, "parts", "no part has a weight above 0")
	}
}

func nameProblem(name string) string {
	return fmt.Sprintf("%.80q; write 1 to %d of a-z, 0-9 and -, with a letter first", name, MaxNameLength)
}

// checkDuplicates reports classes with the same name or with the same method
// and path.
func (v *validator) checkDuplicates(classes []Class) {
	names := make(map[string]bool, len(classes))
	matches := make(map[string]string, len(classes))
	for i := range classes {
		c := &classes[i]
		v.position = i + 1
		if names[c.Name] {
			v.add(c.Name, "name", "declared twice; rename one")
		}
		names[c.Name] = true
		match := c.Method + " " + c.Path
		if other, ok := matches[match]; ok {
			v.add(c.Name, "path", fmt.Sprintf("matches the same calls as class %q; change method or path", other))
		}
		matches[match] = c.Name
	}
	v.position = 0
}

func validPath(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	for i := 0; i < len(path); i++ {
		if c := path[i]; c <= ' ' || c > '~' || c == '?' || c == '#' {
			return false
		}
	}
	return true
}

func validMethod(method string) bool {
	if len(method) > MaxMethodLength {
		return false
	}
	for i := 0; i < len(method); i++ {
		if method[i] < 'A' || method[i] > 'Z' {
			return false
		}
	}
	return true
}
