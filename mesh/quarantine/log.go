// Package quarantine keeps requests that crash backend servers from running again.
// A request that ran while a server crashed is a suspect: it runs beside no
// other suspect, until it ends well or a second server crashes under it. Then
// it is refused for a time.
package quarantine

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
)

// crashesToRefuse is the number of crashes after which a request is refused.
const crashesToRefuse = 2

var errRefused = errors.New("backend servers crashed when they ran the request")

// Config sets what a daemon remembers of requests and crashes.
type Config struct {
	// SuspectTime is how long a request stays a suspect after a crash.
	SuspectTime time.Duration
	// RefusalTime is how long a request is refused after its second crash.
	RefusalTime time.Duration
	// MaxSuspects bounds the suspects that are remembered.
	MaxSuspects int
	// MaxProven bounds the requests that are remembered as having ended well;
	// up to twice as many are.
	MaxProven int
	// TellTimeout bounds the telling of other daemons about a crash.
	TellTimeout time.Duration
}

// DefaultConfig returns the defaults of a daemon.
func DefaultConfig() Config {
	return Config{
		SuspectTime: 5 * time.Minute,
		RefusalTime: 5 * time.Minute,
		MaxSuspects: 4096,
		MaxProven:   4096,
		TellTimeout: 250 * time.Millisecond,
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

// Report tells other daemons of a crash, or that suspects ended well.
type Report struct {
	// Crash identifies the crash.
	Crash string
	// Suspects are the requests that ran, Cleared those that ended well.
	Suspects, Cleared []Fingerprint
}

// Prober finds out whether the backend server still runs.
type Prober interface {
	Alive(ctx context.Context) bool
}

// Peers tells the other daemons of a service.
type Peers interface {
	Tell(ctx context.Context, service string, r *Report)
}

// Tracker is what a daemon knows of requests and crashes.
type Tracker struct {
	cfg    Config
	self   member.ServerID
	prober Prober
	peers  Peers
	// lost is called when the backend server has crashed.
	lost func()
	// alone is held by the one suspect that runs.
	alone chan struct{}

	mu            sync.Mutex
	suspects      map[Fingerprint]*suspect
	proven, older map[Fingerprint]struct{}
	// crashes counts the crashes of the server beside this daemon.
	crashes int
}

// suspect is a request that ran while servers crashed.
type suspect struct {
	crashes []string
	until   time.Time
}

// NewTracker returns an empty log. Lost is called when the server has crashed.
func NewTracker(cfg Config, self member.ServerID, prober Prober, peers Peers, lost func()) *Tracker {
	return &Tracker{
		cfg: cfg, self: self, prober: prober, peers: peers, lost: lost, alone: make(chan struct{}, 1),
		suspects: map[Fingerprint]*suspect{}, proven: map[Fingerprint]struct{}{},
	}
}

// Ticket lets one request run.
type Ticket struct {
	log     *Tracker
	service string
	print   Fingerprint
	suspect bool
	// crashes is the log's count when the request entered.
	crashes int
}

// Enter lets a request run, a suspect once no other one runs here. An error is
// a *call.Failure with verdict NotRun.
func (l *Tracker) Enter(ctx context.Context, r *call.Request) (*Ticket, error) {
	p := &Ticket{log: l, service: r.Service, print: FingerprintOf(r)}
	crashes := l.enter(p)
	if crashes >= crashesToRefuse {
		return nil, call.Refuse(call.Quarantined, errRefused)
	}
	if crashes == 0 && !r.Suspect {
		return p, nil
	}
	select {
	case l.alone <- struct{}{}:
	case <-ctx.Done():
		return nil, call.Refuse(call.ReasonOf(ctx, call.Deadline), ctx.Err())
	}
	p.suspect = true
	if l.enter(p) >= crashesToRefuse {
		p.Release()
		return nil, call.Refuse(call.Quarantined, errRefused)
	}
	return p, nil
}

// Release ends a pass whose request did not run.
func (p *Ticket) Release() {
	if p.suspect {
		<-p.log.alone
	}
}

// End ends a pass with the outcome of its request, and returns that outcome:
// with the reason Crashed if the server crashed. The other daemons have been
// told by then, so that the caller cannot be faster.
func (p *Ticket) End(ctx context.Context, err error) error {
	defer p.Release()
	if err == nil {
		p.log.succeeded(ctx, p)
		return nil
	}
	var f *call.Failure
	if !errors.As(err, &f) || f.Verdict != call.MayHaveRun || f.Reason != call.Cut {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.log.cfg.TellTimeout)
	defer cancel()
	if p.log.prober.Alive(ctx) {
		return err
	}
	report := p.log.crashed(p)
	p.log.lost()
	p.log.peers.Tell(ctx, p.service, report)
	return &call.Failure{Verdict: call.MayHaveRun, Reason: call.Crashed, Err: f.Err}
}

// enter notes when a request entered and returns the number of crashes under
// it.
func (l *Tracker) enter(p *Ticket) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.crashes = l.crashes
	s := l.suspects[p.print]
	if s == nil || time.Now().After(s.until) {
		return 0
	}
	return len(s.crashes)
}

// succeeded notes that a request ended well.
func (l *Tracker) succeeded(ctx context.Context, p *Ticket) {
	l.mu.Lock()
	_, suspected := l.suspects[p.print]
	l.prove(p.print)
	l.mu.Unlock()
	if !suspected {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.cfg.TellTimeout)
	defer cancel()
	l.peers.Tell(ctx, p.service, &Report{Cleared: []Fingerprint{p.print}})
}

func (l *Tracker) prove(print Fingerprint) {
	delete(l.suspects, print)
	if len(l.proven) >= l.cfg.MaxProven {
		l.older, l.proven = l.proven, map[Fingerprint]struct{}{}
	}
	l.proven[print] = struct{}{}
}

// crashed notes that a request ran while the server crashed. All requests that
// entered before the crash was noticed belong to the same one.
func (l *Tracker) crashed(p *Ticket) *Report {
	l.mu.Lock()
	number := p.crashes + 1
	l.crashes = max(l.crashes, number)
	r := &Report{Crash: fmt.Sprintf("%s/%d", l.self, number), Suspects: []Fingerprint{p.print}}
	l.mu.Unlock()
	l.Apply(r)
	return r
}

// Apply takes the report of a crash. Requests that ended well here stay free of
// suspicion.
func (l *Tracker) Apply(r *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, print := range r.Cleared {
		l.prove(print)
	}
	for _, print := range r.Suspects {
		if !l.isProven(print) {
			l.suspect(print, r.Crash)
		}
	}
}

func (l *Tracker) isProven(print Fingerprint) bool {
	if _, ok := l.proven[print]; ok {
		return true
	}
	_, ok := l.older[print]
	return ok
}

func (l *Tracker) suspect(print Fingerprint, crash string) {
	now := time.Now()
	s := l.suspects[print]
	if s == nil {
		l.forget(now)
		if len(l.suspects) >= l.cfg.MaxSuspects {
			return
		}
		s = &suspect{}
		l.suspects[print] = s
	}
	for _, known := range s.crashes {
		if known == crash {
			return
		}
	}
	s.crashes = append(s.crashes, crash)
	s.until = now.Add(l.cfg.SuspectTime)
	if len(s.crashes) >= crashesToRefuse {
		s.until = now.Add(l.cfg.RefusalTime)
	}
}

// forget makes room for a new suspect.
func (l *Tracker) forget(now time.Time) {
	if len(l.suspects) < l.cfg.MaxSuspects {
		return
	}
	for print, s := range l.suspects {
		if now.After(s.until) {
			delete(l.suspects, print)
		}
	}
}
