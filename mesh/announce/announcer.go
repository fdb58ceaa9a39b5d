// Package announce owns the record of this daemon's backend server.
package announce

import (
	"context"
	"sync"
	"time"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/wait"
)

// Backend is what a backend server says of itself.
type Backend struct {
	Service string
	// Address takes the calls.
	Address string
	// Slots is the number of calls that it runs at once.
	Slots int
}

// Publisher spreads the daemon's own record.
type Publisher interface{ Announce(own member.Record) }

// Gate admits calls to the backend server.
type Gate interface {
	SetSlots(slots int)
	Drain(ctx context.Context) error
	// Close refuses new calls until Open.
	Close()
	Open()
}

// Callee is told where the backend server takes calls.
type Callee interface{ SetAddress(address string) }

// NoticePeriod is how long a leaving backend server still takes calls, from
// daemons that do not know yet that it leaves.
const NoticePeriod = time.Second

// Announcer keeps the record in step with the backend server. An announcement
// lapses unless the backend server repeats it.
type Announcer struct {
	publisher Publisher
	callee    Callee
	gate      Gate
	lifetime  time.Duration

	mu      sync.Mutex
	own     member.Record
	lapse   *time.Timer
	leaving bool
	// suspended says that a planned stop is under way.
	suspended bool
}

// New returns an announcer for a record that holds the daemon's name, failure
// domain and addresses, and publishes it as starting.
func New(own member.Record, publisher Publisher, callee Callee, gate Gate, lifetime time.Duration) *Announcer {
	own.State = member.Starting
	own.Incarnation = uint64(time.Now().UnixMilli())
	a := &Announcer{publisher: publisher, callee: callee, gate: gate, lifetime: lifetime, own: own}
	publisher.Announce(own)
	return a
}

// Announce takes an announcement and makes the backend server ready.
func (a *Announcer) Announce(b Backend) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return
	}
	a.extend()
	a.callee.SetAddress(b.Address)
	if a.suspended {
		return
	}
	if a.own.State == member.Ready && a.own.Service == b.Service && a.own.Slots == b.Slots {
		return
	}
	a.gate.SetSlots(b.Slots)
	a.own.State, a.own.Service, a.own.Slots = member.Ready, b.Service, b.Slots
	a.publisher.Announce(a.own)
}

func (a *Announcer) extend() {
	if a.lapse != nil {
		a.lapse.Reset(a.lifetime)
		return
	}
	a.lapse = time.AfterFunc(a.lifetime, a.lapsed)
}

// lapsed takes the backend server out of the routes until it announces again.
func (a *Announcer) lapsed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving || a.suspended || a.own.State != member.Ready {
		return
	}
	a.own.State = member.Starting
	a.publisher.Announce(a.own)
}

// Lost takes the backend server out of the routes after it crashed, until it
// announces itself again.
func (a *Announcer) Lost() { a.lapsed() }

// Suspend announces that the backend server takes no new calls for the time of
// a planned stop. The calls that it runs end.
func (a *Announcer) Suspend() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving || a.suspended {
		return
	}
	a.suspended = true
	a.own.State = member.Draining
	a.publisher.Announce(a.own)
	time.AfterFunc(NoticePeriod, a.closeIfSuspended)
}

func (a *Announcer) closeIfSuspended() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.suspended {
		a.gate.Close()
	}
}

// Resume ends a planned stop. The backend server is ready again at its next
// announcement.
func (a *Announcer) Resume() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving || !a.suspended {
		return
	}
	a.suspended = false
	a.own.State = member.Starting
	a.publisher.Announce(a.own)
	a.gate.Open()
}

// Drain announces that the backend server leaves, takes the calls that still
// come for the notice period, and waits for its calls to end.
func (a *Announcer) Drain(ctx context.Context) error {
	a.set(member.Draining)
	if err := wait.For(ctx, NoticePeriod); err != nil {
		return err
	}
	return a.gate.Drain(ctx)
}

// Left announces that the backend server has left.
func (a *Announcer) Left() { a.set(member.Left) }

func (a *Announcer) set(s member.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	if a.lapse != nil {
		a.lapse.Stop()
	}
	if a.own.State >= s {
		return
	}
	a.own.State = s
	a.publisher.Announce(a.own)
}

// Service returns the service announced last.
func (a *Announcer) Service() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.own.Service
}

// State returns the state announced last.
func (a *Announcer) State() member.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.own.State
}

// Serves reports whether the server is the one beside this daemon and of the
// service that it announced.
func (a *Announcer) Serves(server, service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return string(a.own.Server) == server && a.own.Service == service
}
