// Package target defines what operators declare: services, the classes of calls
// of each service, and the target of each class.
package target

import (
	"slices"
	"time"
)

// Class is one kind of calls to a service, with the target for them.
type Class struct {
	// Name identifies the class within its service.
	Name string
	// Method is the HTTP method that the class matches; empty matches any
	// method.
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
	// GuaranteedShare is the share of the service's capacity, 0 to 1, that the
	// class gets while other classes exceed the capacity.
	GuaranteedShare float64
	// Timeout bounds the time from the arrival of a call to its answer.
	Timeout time.Duration
	// Idempotent allows a call to be executed more than once.
	Idempotent bool
	// Public means that calls need no key of a client account.
	Public bool
	// Internal means that only other services make calls of the class.
	Internal bool
	// Notice is how long before a planned slowdown clients are notified.
	Notice time.Duration
	// Attempts is the number of backend servers that one call may be sent to; 0
	// means the daemon's default.
	Attempts int
	// Parts split the calls among services by weight. Without parts, the calls
	// go to the service that declares the class.
	Parts []Part
	// Fault says why a part of the declaration that calls need could not be read. Daemons
	// refuse the calls of such a class and of no other.
	Fault string
}

// Destination returns the service that a call goes to, chosen by the weights of
// the parts; draw is a random number in [0, 1). It returns the declaring
// service if the class has no parts.
func (c *Class) Destination(service string, draw float64) string {
	total := 0.0
	for _, p := range c.Parts {
		total += float64(p.Weight)
	}
	remaining := draw * total
	for _, p := range c.Parts {
		if remaining -= float64(p.Weight); remaining < 0 {
			return p.Service
		}
	}
	if len(c.Parts) > 0 {
		return c.Parts[len(c.Parts)-1].Service
	}
	return service
}

// Share is a part of a class's calls.
type Share struct {
	Service string
	// Of is the share of the calls, 0 to 1.
	Of float64
}

// Shares returns the services that Destination chooses from, with their shares.
func (c *Class) Shares(service string) []Share {
	if len(c.Parts) == 0 {
		return []Share{{Service: service, Of: 1}}
	}
	total := 0
	for _, p := range c.Parts {
		total += p.Weight
	}
	shares := make([]Share, len(c.Parts))
	for i, p := range c.Parts {
		shares[i] = Share{Service: p.Service, Of: float64(p.Weight) / float64(max(total, 1))}
	}
	return shares
}

// RoutesTo reports whether calls of the class may go to the service, given the
// service that declares the class.
func (c *Class) RoutesTo(declared, service string) bool {
	if len(c.Parts) == 0 {
		return declared == service
	}
	return slices.ContainsFunc(c.Parts, func(p Part) bool { return p.Service == service })
}

// Part is the share of a class's calls that goes to one service.
type Part struct {
	Service string
	// Weight is the share of the part relative to the weights of the other
	// parts.
	Weight int
}

// Matches reports whether a call with the given method and path belongs to the
// class. Path prefixes match whole path segments only.
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

// Service is the configuration of one service, the unit that an edit changes.
type Service struct {
	// Name identifies the service, or a virtual host whose classes go to other
	// services. Callers send it as the Host header.
	Name string
	// Classes lists the classes of calls; the one with the longest matching path
	// applies.
	Classes []Class
}
