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
	// Instance names the start of the backend server; it may be empty.
	Instance string
	// Started orders the starts of backend servers at one address and Sequence
	// the announcements of one start. An announcement with neither counts as
	// newer than the one before.
	Started, Sequence uint64
	// Draining says that the backend server leaves and takes no new calls.
	Draining bool
}

// after reports whether an announcement is newer than an earlier one.
func (b *Backend) after(earlier *Backend) bool {
	if b.Started != earlier.Started {
		return b.Started > earlier.Started
	}
	return b.Sequence == 0 || b.Sequence > earlier.Sequence
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

	mu    sync.Mutex
	own   member.Record
	lapse *time.Timer
	// last is the newest announcement.
	last    Backend
	leaving bool
	// suspended says that a planned stop is under way.
	suspended bool
	// retired says that this start of the backend server leaves or has left.
	retired bool
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

// Announce takes an announcement and makes the backend server ready, or takes
// it out of the routes if it is leaving. It reports whether the announcement is
// newer than those before; an older one changes nothing.
func (a *Announcer) Announce(b Backend) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !b.after(&a.last) {
		return false
	}
	restarted := b.Started > a.last.Started
	a.last = b
	if a.leaving {
		return true
	}
	a.extend()
	a.callee.SetAddress(b.Address)
	switch {
	case b.Draining:
		a.retire()
		return true
	case a.suspended:
		return true
	case a.retired && restarted:
		a.retired = false
		a.gate.Open()
	case a.retired:
		return true
	}
	if a.own.State == member.Ready && a.own.Service == b.Service && a.own.Slots == b.Slots && a.own.Instance == b.Instance {
		return true
	}
	a.gate.SetSlots(b.Slots)
	a.own.State, a.own.Service, a.own.Slots, a.own.Instance = member.Ready, b.Service, b.Slots, b.Instance
	a.publisher.Announce(a.own)
	return true
}

// Withdraw takes the backend server out of the routes for good: only a later
// start is announced again. It reports whether instance is the one announced.
func (a *Announcer) Withdraw(instance string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.last.Instance != instance {
		return false
	}
	a.retire()
	return true
}

// retire takes the backend server out of the routes, and refuses calls once
// the news has spread.
func (a *Announcer) retire() {
	if a.retired || a.leaving {
		return
	}
	a.retired = true
	a.own.State = member.Draining
	a.publisher.Announce(a.own)
	time.AfterFunc(NoticePeriod, a.closeIfOut)
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

// HandleCrash takes the backend server out of the routes after it crashed, until it
// announces itself again.
func (a *Announcer) HandleCrash() { a.lapsed() }

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
	time.AfterFunc(NoticePeriod, a.closeIfOut)
}

// closeIfOut refuses calls if the backend server is still out of the routes.
func (a *Announcer) closeIfOut() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.suspended || a.retired {
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
	if a.retired {
		return
	}
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

// Leave announces that the backend server has left.
func (a *Announcer) Leave() { a.set(member.Left) }

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

// SetStoreUnreachable announces whether the platform's store is unreachable.
func (a *Announcer) SetStoreUnreachable(unreachable bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.own.StoreUnreachable == unreachable {
		return
	}
	a.own.StoreUnreachable = unreachable
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
