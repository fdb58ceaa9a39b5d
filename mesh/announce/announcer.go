// Package announce maintains the record of this daemon's backend server.
package announce

import (
	"context"
	"fmt"
	"sync"
	"time"

	"fescuehoist.example/mesh/advisory"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/wait"
)

// Backend is an announcement by a backend server.
type Backend struct {
	Service string
	// Address accepts the calls.
	Address string
	// Slots is the number of calls that the backend server runs at once.
	Slots int
	// Instance is the ID of this start of the backend server; it may be empty.
	Instance string
	// Release is the version of its software; it may be empty.
	Release string
	// Started orders the starts of backend servers at one address and Sequence
	// the announcements of one start. An announcement with neither counts as
	// newer than the one before.
	Started, Sequence uint64
	// Draining means that the backend server is leaving and accepts no new calls.
	Draining bool
}

// newerThan reports whether an announcement is newer than an earlier one.
func (b *Backend) newerThan(earlier *Backend) bool {
	if b.Started != earlier.Started {
		return b.Started > earlier.Started
	}
	return b.Sequence == 0 || b.Sequence > earlier.Sequence
}

// Publisher broadcasts the daemon's own record.
type Publisher interface{ Announce(record member.Record) }

// Gate admits calls to the backend server.
type Gate interface {
	SetSlots(slots int)
	// OpenFully lets calls use all slots at once.
	OpenFully()
	Drain(ctx context.Context) error
	// Close refuses new calls until Open is called.
	Close()
	Open()
}

// AddressSetter receives the address at which the backend server accepts calls.
type AddressSetter interface{ SetAddress(address string) }

// NoticePeriod is how long a leaving backend server still accepts calls, from
// daemons that have not yet received its new state.
const NoticePeriod = time.Second

// startTolerance is how long before the daemon a backend server may have started and
// still not have answered an earlier start of the daemon.
const startTolerance = 500 * time.Millisecond

// storeTimeout is how long a confirmation waits for the platform's store. A backend
// server waits a second for the answer to its report.
const storeTimeout = 800 * time.Millisecond

// minDoubtfulReports is the number of announcements after which an instance is taken
// to be announcing itself still while advisories of its withdrawal may be missing.
const minDoubtfulReports = 2

// Announcer keeps the record up to date with the backend server. An announcement
// expires unless the backend server repeats it within the lifetime.
type Announcer struct {
	publisher  Publisher
	backend    AddressSetter
	gate       Gate
	advisories *advisory.Book
	lifetime   time.Duration
	// startedAt is the start of this daemon in Unix milliseconds.
	startedAt uint64

	mu     sync.Mutex
	record member.Record
	expiry *time.Timer
	// last is the newest announcement, received at lastAt, and reports the number of
	// those of its start.
	last    Backend
	lastAt  time.Time
	reports int
	leaving bool
	// suspended means that a planned stop is in progress.
	suspended bool
	// retired means that this start of the backend server is leaving or has left.
	retired bool
}

// New returns an announcer for a record that holds the daemon's name, failure
// domain and addresses, and publishes it as starting. It keeps withdrawals in advisories.
func New(record member.Record, publisher Publisher, backend AddressSetter, gate Gate, advisories *advisory.Book, lifetime time.Duration) *Announcer {
	record.State = member.Starting
	record.Incarnation = uint64(time.Now().UnixMilli())
	a := &Announcer{
		publisher: publisher, backend: backend, gate: gate, advisories: advisories, lifetime: lifetime, record: record, startedAt: record.Incarnation,
	}
	publisher.Announce(record)
	return a
}

// Announce applies an announcement: the backend server becomes ready, or is removed
// from the routes if it is draining. It reports whether the announcement is newer
// than those before; an older one changes nothing.
func (a *Announcer) Announce(b Backend) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !b.newerThan(&a.last) {
		return false
	}
	restarted := b.Started > a.last.Started
	if restarted || b.Instance != a.last.Instance {
		a.reports = 0
	}
	a.last, a.lastAt = b, time.Now()
	a.reports++
	if !a.leaving {
		a.extendLifetime()
		a.backend.SetAddress(b.Address)
	}
	if b.Draining || a.isWithdrawn() {
		a.retire()
		return true
	}
	if a.retired && restarted {
		a.unretire()
	}
	a.makeReady()
	return true
}

// makeReady announces the backend server as ready unless it is or must not be.
func (a *Announcer) makeReady() {
	if a.leaving || a.suspended || a.retired || !a.isTrusted() {
		return
	}
	b := &a.last
	if a.record.State == member.Ready && a.record.Service == b.Service && a.record.Slots == b.Slots && a.record.Instance == b.Instance && a.record.Release == b.Release {
		return
	}
	a.gate.SetSlots(b.Slots)
	if a.isNewerThanDaemon() {
		a.gate.OpenFully()
	}
	a.record.State, a.record.Service, a.record.Slots, a.record.Instance, a.record.Release = member.Ready, b.Service, b.Slots, b.Instance, b.Release
	a.publisher.Announce(a.record)
}

// isTrusted reports whether the last announcement cannot be a late one of an instance
// whose withdrawal an earlier start of this daemon confirmed.
func (a *Announcer) isTrusted() bool {
	switch a.advisories.Completeness() {
	case advisory.Complete:
		return true
	case advisory.Doubtful:
		return a.reports >= minDoubtfulReports || a.isNewerThanDaemon()
	}
	return false
}

// isNewerThanDaemon reports whether the backend server cannot have answered an earlier
// start of the daemon.
func (a *Announcer) isNewerThanDaemon() bool {
	return a.last.Started+uint64(startTolerance.Milliseconds()) > a.startedAt
}

func (a *Announcer) isWithdrawn() bool {
	return a.last.Instance != "" && a.advisories.HasWithdrawn(a.last.Instance, a.last.Started)
}

// Run applies the last announcement again whenever the advisories change: it waits until
// those from before the start of this daemon are known, and an advisory may withdraw the
// instance. It returns when ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	for {
		changed := a.advisories.Changed()
		a.applyAdvisories()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *Announcer) applyAdvisories() {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.leaving || a.last.Service == "":
	case a.isWithdrawn():
		a.retire()
	case a.record.State == member.Starting && a.record.Instance != a.last.Instance && time.Since(a.lastAt) < a.lifetime:
		a.makeReady()
	}
}

// Withdraw removes the backend server from the routes permanently: only a later
// start is announced again. It reports whether instance is the one announced.
func (a *Announcer) Withdraw(instance string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.last.Instance != instance {
		a.advisories.Issue(advisory.Advisory{Kind: advisory.Withdrawn, Subject: instance, Number: uint64(time.Now().UnixMilli())})
		return false
	}
	a.retire()
	return true
}

// Confirm returns once the platform's store has the withdrawals of the backend server,
// and an error if it has not within storeTimeout. Peers are no substitute: all daemons
// may be killed before the store has heard of the withdrawal.
func (a *Announcer) Confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := a.advisories.AwaitStored(ctx, advisory.Withdrawn); err != nil {
		return fmt.Errorf("withdrawal is not in the platform's store after %s: %w", storeTimeout, err)
	}
	return nil
}

// retire removes the backend server from the routes, and refuses calls after
// NoticePeriod. The withdrawal outlives this process.
func (a *Announcer) retire() {
	if a.last.Instance != "" {
		a.advisories.Issue(advisory.Advisory{Kind: advisory.Withdrawn, Subject: a.last.Instance, Number: a.last.Started})
	}
	if a.retired || a.leaving {
		return
	}
	a.retired = true
	a.record.State = member.Draining
	a.publisher.Announce(a.record)
	time.AfterFunc(NoticePeriod, a.closeIfWithdrawn)
}

// unretire accepts calls for a later start of the backend server.
func (a *Announcer) unretire() {
	if a.leaving {
		return
	}
	a.retired = false
	if !a.suspended {
		a.gate.Open()
	}
}

func (a *Announcer) extendLifetime() {
	if a.expiry != nil {
		a.expiry.Reset(a.lifetime)
		return
	}
	a.expiry = time.AfterFunc(a.lifetime, a.expire)
}

// expire removes the backend server from the routes until its next announcement.
func (a *Announcer) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving || a.suspended || a.record.State != member.Ready {
		return
	}
	a.record.State = member.Starting
	a.publisher.Announce(a.record)
}

// HandleCrash removes the backend server from the routes after it crashed, until
// its next announcement.
func (a *Announcer) HandleCrash() { a.expire() }

// Suspend announces that the backend server accepts no new calls during a planned
// stop. Running calls finish.
func (a *Announcer) Suspend() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving || a.suspended {
		return
	}
	a.suspended = true
	a.record.State = member.Draining
	a.publisher.Announce(a.record)
	time.AfterFunc(NoticePeriod, a.closeIfWithdrawn)
}

// closeIfWithdrawn refuses calls if the backend server is still suspended or
// retired.
func (a *Announcer) closeIfWithdrawn() {
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
	a.record.State = member.Starting
	a.publisher.Announce(a.record)
	a.gate.Open()
}

// Drain announces that the backend server is leaving, still accepts calls for
// NoticePeriod, and waits for its calls to end. It returns an error if ctx ends
// first.
func (a *Announcer) Drain(ctx context.Context) error {
	a.setLeaving(member.Draining)
	if err := wait.For(ctx, NoticePeriod); err != nil {
		return err
	}
	return a.gate.Drain(ctx)
}

// Leave announces that the backend server has left.
func (a *Announcer) Leave() { a.setLeaving(member.Left) }

func (a *Announcer) setLeaving(s member.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	if a.expiry != nil {
		a.expiry.Stop()
	}
	if a.record.State >= s {
		return
	}
	a.record.State = s
	a.publisher.Announce(a.record)
}

// SetStoreUnreachable announces whether the daemon cannot reach the platform's
// store.
func (a *Announcer) SetStoreUnreachable(unreachable bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.record.StoreUnreachable == unreachable {
		return
	}
	a.record.StoreUnreachable = unreachable
	a.publisher.Announce(a.record)
}

// Service returns the service announced last.
func (a *Announcer) Service() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.record.Service
}

// State returns the state announced last.
func (a *Announcer) State() member.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.record.State
}

// Serves reports whether server is the one beside this daemon and service the one
// that it announced.
func (a *Announcer) Serves(server, service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return string(a.record.Server) == server && a.record.Service == service
}
