// Package status collects what operators see: the results of the calls of each
// class and the versions in force. Daemons measure; reports are added up along
// a tree within the failure domain, and the root of the tree writes one
// summary to the platform.
package status

import (
	"cmp"
	"slices"
)

// MaxClients is the maximum number of clients counted by name in one class.
const MaxClients = 32

// OtherClients is the name under which clients beyond MaxClients are counted.
const OtherClients = "other"

// ClassKey identifies a class of a service.
type ClassKey struct{ Service, Class string }

// String returns "service/class".
func (k ClassKey) String() string { return k.Service + "/" + k.Class }

// Counts are the results of the calls of one class.
type Counts struct {
	// Offered counts all calls received from callers; Good counts those
	// answered within the class's target latency.
	Offered, Good uint64
	// Answered, NotRun and MayHaveRun count calls by verdict.
	Answered, NotRun, MayHaveRun uint64
	// Latency is the time from a call's arrival to its answer.
	Latency Histogram
	// ServiceTime is the time that backend servers took.
	ServiceTime Histogram
	// Clients holds the counts by client name.
	Clients map[string]ClientCounts
}

// ClientCounts are the counts of one client in one class.
type ClientCounts struct{ Offered, Good uint64 }

// Add adds other counts of the same class.
func (c *Counts) Add(other *Counts) {
	c.Offered += other.Offered
	c.Good += other.Good
	c.Answered += other.Answered
	c.NotRun += other.NotRun
	c.MayHaveRun += other.MayHaveRun
	c.Latency.Add(&other.Latency)
	c.ServiceTime.Add(&other.ServiceTime)
	for name, n := range other.Clients {
		c.addClient(name, n)
	}
}

// addClient adds the counts of a client, under OtherClients if there are
// already MaxClients others.
func (c *Counts) addClient(name string, n ClientCounts) {
	if c.Clients == nil {
		c.Clients = map[string]ClientCounts{}
	}
	if _, known := c.Clients[name]; !known && len(c.Clients) >= MaxClients {
		name = OtherClients
	}
	total := c.Clients[name]
	c.Clients[name] = ClientCounts{Offered: total.Offered + n.Offered, Good: total.Good + n.Good}
}

// GoodShare returns the share of good calls; 1 if there were no calls.
func (c *Counts) GoodShare() float64 {
	if c.Offered == 0 {
		return 1
	}
	return float64(c.Good) / float64(c.Offered)
}

// ClientNames returns the client names by number of calls, highest first.
func (c *Counts) ClientNames() []string {
	names := make([]string, 0, len(c.Clients))
	for name := range c.Clients {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.Clients[b].Offered, c.Clients[a].Offered), cmp.Compare(a, b))
	})
	return names
}

// Classes holds the counts by class.
type Classes map[ClassKey]*Counts

// Of returns the counts of a class; it adds empty ones if there are none.
func (m Classes) Of(k ClassKey) *Counts {
	c := m[k]
	if c == nil {
		c = &Counts{}
		m[k] = c
	}
	return c
}

// Add adds other counts class by class.
func (m Classes) Add(other Classes) {
	for k, c := range other {
		m.Of(k).Add(c)
	}
}
