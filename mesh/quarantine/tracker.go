// Package quarantine keeps requests that crash backend servers from running
// again. A request that ran while a server crashed is a suspect: a server runs
// only one suspect at a time. The request is cleared when it ends well, and
// quarantined, that is refused for a time, when a second server crashes while
// running it.
package quarantine

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuehoist.example/mesh/advisory"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
)

// crashesToQuarantine is the number of crashes after which a request is
// quarantined.
const crashesToQuarantine = 2

var errQuarantined = errors.New("request is quarantined: backend servers crashed while running it")

// Config sets how long and how many requests a daemon tracks.
type Config struct {
	// SuspectTime is how long a request stays a suspect after a crash.
	SuspectTime time.Duration
	// QuarantineTime is how long a request is refused after its second crash.
	QuarantineTime time.Duration
	// MaxSuspects bounds the suspects that are tracked.
	MaxSuspects int
	// MaxCleared is the number of cleared requests in each of two generations;
	// up to twice as many are kept.
	MaxCleared int
	// NotifyTimeout bounds the notification of other daemons about a crash.
	NotifyTimeout time.Duration
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		SuspectTime:    5 * time.Minute,
		QuarantineTime: 5 * time.Minute,
		MaxSuspects:    4096,
		MaxCleared:     4096,
		NotifyTimeout:  250 * time.Millisecond,
	}
}

// Fingerprint identifies equal requests, whoever makes them.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(r *call.Request) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{r.Service, "\x00", r.Method, "\x00", r.URI, "\x00"} {
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(r.Body)
	return Fingerprint(d.Sum64())
}

// Report notifies other daemons of a crash, or of suspects that ended well.
type Report struct {
	// Crash identifies the crash.
	Crash string
	// Suspects are the requests that ran during the crash; Cleared are those
	// that ended well.
	Suspects, Cleared []Fingerprint
}

// Prober checks whether the backend server is still running.
type Prober interface {
	Alive(ctx context.Context) bool
}

// Peers notifies the other daemons of a service.
type Peers interface {
	Notify(ctx context.Context, service string, r *Report)
}

// Advisories keeps what other daemons, and later starts of this one, must know.
type Advisories interface {
	Issue(a advisory.Advisory)
}

// Tracker tracks requests and crashes for one daemon.
type Tracker struct {
	cfg  Config
	self member.ServerID
	// start tells the crashes that this tracker reports from those that another
	// start of the daemon reported.
	start  string
	prober Prober
	peers  Peers
	// advisories keep the suspects beyond the life of this process.
	advisories Advisories
	// onCrash is called when the backend server has crashed.
	onCrash func()
	// suspectSlot is held by the one suspect that may run.
	suspectSlot chan struct{}

	mu                  sync.Mutex
	suspects            map[Fingerprint]*suspect
	cleared, oldCleared map[Fingerprint]struct{}
	// crashes counts the crashes of this daemon's backend server.
	crashes int
}

// suspect is a request that ran while servers crashed.
type suspect struct {
	crashes []string
	until   time.Time
}

// startLength is the length of Tracker.start in characters, 5 bits each.
const startLength = 8

// NewTracker returns an empty tracker. It calls onCrash when the backend server
// has crashed.
func NewTracker(cfg Config, self member.ServerID, prober Prober, peers Peers, advisories Advisories, onCrash func()) *Tracker {
	return &Tracker{
		cfg: cfg, self: self, start: rand.Text()[:startLength], prober: prober, peers: peers, advisories: advisories, onCrash: onCrash, suspectSlot: make(chan struct{}, 1),
		suspects: map[Fingerprint]*suspect{}, cleared: map[Fingerprint]struct{}{},
	}
}

// Ticket admits one request.
type Ticket struct {
	tracker     *Tracker
	service     string
	fingerprint Fingerprint
	suspect     bool
	// crashesAtEntry is the tracker's count of crashes when the request
	// entered.
	crashesAtEntry int
}

// Enter admits a request; a suspect waits until no other suspect runs here. An
// error is a *call.Failure with verdict NotRun.
func (t *Tracker) Enter(ctx context.Context, r *call.Request) (*Ticket, error) {
	ticket := &Ticket{tracker: t, service: r.Service, fingerprint: FingerprintOf(r)}
	crashes := t.recordEntry(ticket)
	if crashes >= crashesToQuarantine {
		return nil, call.Refuse(call.Quarantined, errQuarantined)
	}
	if crashes == 0 && !r.Suspect {
		return ticket, nil
	}
	select {
	case t.suspectSlot <- struct{}{}:
	case <-ctx.Done():
		return nil, call.Refuse(call.ReasonOf(ctx, call.Deadline), ctx.Err())
	}
	ticket.suspect = true
	if t.recordEntry(ticket) >= crashesToQuarantine {
		ticket.Release()
		return nil, call.Refuse(call.Quarantined, errQuarantined)
	}
	return ticket, nil
}

// Release releases the ticket of a request that did not run.
func (ticket *Ticket) Release() {
	if ticket.suspect {
		<-ticket.tracker.suspectSlot
	}
}

// End releases the ticket with the error of its request and returns the error
// to report: one with the reason Crashed if the server crashed. The other
// daemons are notified first, so that a repeat by the caller cannot overtake
// the report.
func (ticket *Ticket) End(ctx context.Context, err error) error {
	defer ticket.Release()
	if err == nil {
		ticket.tracker.recordSuccess(ctx, ticket)
		return nil
	}
	var f *call.Failure
	if !errors.As(err, &f) || f.Verdict != call.MayHaveRun || f.Reason != call.Cut {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ticket.tracker.cfg.NotifyTimeout)
	defer cancel()
	if ticket.tracker.prober.Alive(ctx) {
		return err
	}
	report := ticket.tracker.recordCrash(ticket)
	ticket.tracker.onCrash()
	ticket.tracker.peers.Notify(ctx, ticket.service, report)
	return &call.Failure{Verdict: call.MayHaveRun, Reason: call.Crashed, Err: f.Err}
}

// recordEntry sets the crash count at which a request enters and returns the
// number of crashes recorded for the request.
func (t *Tracker) recordEntry(ticket *Ticket) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	ticket.crashesAtEntry = t.crashes
	s := t.suspects[ticket.fingerprint]
	if s == nil || time.Now().After(s.until) {
		return 0
	}
	return len(s.crashes)
}

// recordSuccess clears a request that ended well, and notifies the other
// daemons if it was a suspect.
func (t *Tracker) recordSuccess(ctx context.Context, ticket *Ticket) {
	t.mu.Lock()
	_, wasSuspect := t.suspects[ticket.fingerprint]
	t.markCleared(ticket.fingerprint)
	t.mu.Unlock()
	if !wasSuspect {
		return
	}
	t.advisories.Issue(advisory.Advisory{Kind: advisory.Cleared, Number: uint64(ticket.fingerprint)})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.cfg.NotifyTimeout)
	defer cancel()
	t.peers.Notify(ctx, ticket.service, &Report{Cleared: []Fingerprint{ticket.fingerprint}})
}

func (t *Tracker) markCleared(fingerprint Fingerprint) {
	delete(t.suspects, fingerprint)
	if len(t.cleared) >= t.cfg.MaxCleared {
		t.oldCleared, t.cleared = t.cleared, map[Fingerprint]struct{}{}
	}
	t.cleared[fingerprint] = struct{}{}
}

// recordCrash records that a request ran while the server crashed. All requests
// that entered before the crash was detected report the same crash.
func (t *Tracker) recordCrash(ticket *Ticket) *Report {
	t.mu.Lock()
	number := ticket.crashesAtEntry + 1
	t.crashes = max(t.crashes, number)
	r := &Report{Crash: fmt.Sprintf("%s/%s/%d", t.self, t.start, number), Suspects: []Fingerprint{ticket.fingerprint}}
	harmless := t.isCleared(ticket.fingerprint)
	t.mu.Unlock()
	t.Apply(r)
	if !harmless {
		t.advisories.Issue(advisory.Advisory{Kind: advisory.Crashed, Subject: r.Crash, Number: uint64(ticket.fingerprint)})
	}
	return r
}

// ApplyAdvisory applies a crash or clearance that another daemon, or an earlier start
// of this one, has issued.
func (t *Tracker) ApplyAdvisory(a advisory.Aged) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fingerprint := Fingerprint(a.Number)
	switch {
	case a.Kind == advisory.Cleared:
		t.markCleared(fingerprint)
	case a.Kind == advisory.Crashed && !t.isCleared(fingerprint):
		t.addSuspect(fingerprint, a.Subject, a.Age)
	}
}

// IsSuspect reports whether a backend server crashed while it ran the request, as far as
// this daemon knows, and the request has not ended well since.
func (t *Tracker) IsSuspect(r *call.Request) bool {
	fingerprint := FingerprintOf(r)
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[fingerprint]
	return s != nil && time.Now().Before(s.until)
}

// Apply applies a report. Requests that ended well here do not become suspects.
func (t *Tracker) Apply(r *Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, fingerprint := range r.Cleared {
		t.markCleared(fingerprint)
	}
	for _, fingerprint := range r.Suspects {
		if !t.isCleared(fingerprint) {
			t.addSuspect(fingerprint, r.Crash, 0)
		}
	}
}

func (t *Tracker) isCleared(fingerprint Fingerprint) bool {
	if _, ok := t.cleared[fingerprint]; ok {
		return true
	}
	_, ok := t.oldCleared[fingerprint]
	return ok
}

// addSuspect records a crash that happened a time ago.
func (t *Tracker) addSuspect(fingerprint Fingerprint, crash string, age time.Duration) {
	now := time.Now()
	s := t.suspects[fingerprint]
	if s == nil {
		t.evictExpired(now)
		if len(t.suspects) >= t.cfg.MaxSuspects {
			return
		}
		s = &suspect{}
		t.suspects[fingerprint] = s
	}
	for _, recorded := range s.crashes {
		if recorded == crash {
			return
		}
	}
	s.crashes = append(s.crashes, crash)
	period := t.cfg.SuspectTime
	if len(s.crashes) >= crashesToQuarantine {
		period = t.cfg.QuarantineTime
	}
	if until := now.Add(period - age); until.After(s.until) {
		s.until = until
	}
}

// evictExpired drops expired suspects once there are MaxSuspects.
func (t *Tracker) evictExpired(now time.Time) {
	if len(t.suspects) < t.cfg.MaxSuspects {
		return
	}
	for fingerprint, s := range t.suspects {
		if now.After(s.until) {
			delete(t.suspects, fingerprint)
		}
	}
}
