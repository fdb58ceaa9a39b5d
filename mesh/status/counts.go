// Package status gathers what operators see: what each class of work gets and
// which versions are in force. Daemons measure, reports are added up along a
// tree within the failure domain, and the first daemon of the tree writes one
// summary to the platform.
package status

import (
	"cmp"
	"slices"
)

// MaxClients bounds the clients that are counted by name in one class.
const MaxClients = 32

// OtherClients stands for all clients beyond MaxClients.
const OtherClients = "other"

// ClassKey names a class of a service.
type ClassKey struct{ Service, Class string }

// String returns service and class with a slash between them.
func (k ClassKey) String() string { return k.Service + "/" + k.Class }

// Counts are what became of the calls of one class.
type Counts struct {
	// Offered counts all calls taken from callers; Good those answered within
	// the class's target latency.
	Offered, Good uint64
	// Answered, NotRun and MayHaveRun count calls by verdict.
	Answered, NotRun, MayHaveRun uint64
	// Latency is the time from a call's arrival to its answer.
	Latency Histogram
	// ServiceTime is the time that backend servers took.
	ServiceTime Histogram
	// Clients counts by client.
	Clients map[string]ClientCounts
}

// ClientCounts are the calls of one client in one class.
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

// addClient counts a client by name, or with all others once there are many.
func (c *Counts) addClient(name string, n ClientCounts) {
	if c.Clients == nil {
		c.Clients = map[string]ClientCounts{}
	}
	if _, known := c.Clients[name]; !known && len(c.Clients) >= MaxClients {
		name = OtherClients
	}
	have := c.Clients[name]
	c.Clients[name] = ClientCounts{Offered: have.Offered + n.Offered, Good: have.Good + n.Good}
}

// GoodShare returns the share of calls that met the target latency; 1 without
// any call.
func (c *Counts) GoodShare() float64 {
	if c.Offered == 0 {
		return 1
	}
	return float64(c.Good) / float64(c.Offered)
}

// ClientNames returns the clients, those with the most calls first.
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

// Classes are counts by class.
type Classes map[ClassKey]*Counts

// Of returns the counts of a class, which it adds if they are missing.
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
