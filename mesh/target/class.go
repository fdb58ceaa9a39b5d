// Package target holds what operators declare: services, the classes of work
// of each service, and the target of each class.
package target

import (
	"slices"
	"time"
)

// Class is one kind of work of a service together with its target.
type Class struct {
	// Name identifies the class within its service.
	Name string
	// Method is the HTTP method that the class matches; empty matches any.
	Method string
	// Path is the path prefix that the class matches.
	Path string
	// Rank orders classes by urgency; 1 is the most urgent.
	Rank int
	// Latency is the time within which a call must be answered.
	Latency time.Duration
	// Success is the share of calls, 0 to 1, that must be answered within
	// Latency.
	Success float64
	// GuaranteedShare is the share of the service's capacity, 0 to 1, that the class
	// keeps while other classes exceed the capacity.
	GuaranteedShare float64
	// Timeout bounds a call from its arrival to its answer.
	Timeout time.Duration
	// Idempotent says that a call may run more than once.
	Idempotent bool
	// Internal says that only other services make calls of the class.
	Internal bool
	// Notice is how long before a planned slowdown clients are told.
	Notice time.Duration
	// Attempts is the number of backend servers that one call may reach; 0
	// leaves it to the daemon.
	Attempts int
	// Parts split the calls over services by weight. None means that the calls
	// go to the service that declares the class.
	Parts []Part
}

// Destination returns the service that a call goes to, by the weights of the
// parts; draw is a random number from 0 to below 1.
func (c *Class) Destination(service string, draw float64) string {
	total := 0
	for _, p := range c.Parts {
		total += p.Weight
	}
	left := draw * float64(total)
	for _, p := range c.Parts {
		if left -= float64(p.Weight); left < 0 {
			return p.Service
		}
	}
	if len(c.Parts) > 0 {
		return c.Parts[len(c.Parts)-1].Service
	}
	return service
}

// RoutesTo reports whether calls of the class, declared by one service, may go to
// another or the same.
func (c *Class) RoutesTo(declared, service string) bool {
	if len(c.Parts) == 0 {
		return declared == service
	}
	return slices.ContainsFunc(c.Parts, func(p Part) bool { return p.Service == service })
}

// Part is the share of a class's calls that goes to one service.
type Part struct {
	Service string
	// Weight is the part's share relative to those of the other parts.
	Weight int
}

// Matches reports whether a call with the given method and path belongs to
// the class.
func (c *Class) Matches(method, path string) bool {
	if c.Method != "" && c.Method != method {
		return false
	}
	if len(path) < len(c.Path) || path[:len(c.Path)] != c.Path {
		return false
	}
	return len(path) == len(c.Path) || c.Path[len(c.Path)-1] == '/' ||
		path[len(c.Path)] == '/' || path[len(c.Path)] == '?'
}

// Service is the configuration of one service: the unit that an edit changes.
type Service struct {
	// Name identifies the service, or a virtual host whose classes go to other
	// services; callers send it as the Host.
	Name string
	// Classes lists the classes of work; the longest matching path wins.
	Classes []Class
}

// Classify returns the class that a call belongs to, or nil if there is none.
func (s *Service) Classify(method, path string) *Class {
	var best *Class
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
