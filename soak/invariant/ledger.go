// Package invariant compares what callers were told with what backend servers
// ran, and names every promise that was broken.
package invariant

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"fescuehoist.example/platform/platformtest"
)

// Bounds of the promises, from the users' pages and those of this installation.
const (
	// DrainLimit is how long after a confirmed departure a backend server may
	// still get requests.
	DrainLimit = 2500 * time.Millisecond
	// ConfigLimit is how long after its confirmation a configuration may not be
	// in force yet.
	ConfigLimit = 2500 * time.Millisecond
	// RollbackSlack is how long after the first effect of a version an older
	// one may still show.
	RollbackSlack = 250 * time.Millisecond
	// LateLimit is how long after its time limit a request may lack a final
	// answer.
	LateLimit = 500 * time.Millisecond
	// RecoveryLimit is how long after the last fault service may be away.
	RecoveryLimit = 15 * time.Second
	// budgetWindow, budgetShare and BudgetSlack bound the runs of a service
	// beyond the first one of each request.
	budgetWindow = 10 * time.Second
	budgetShare  = 0.2
	BudgetSlack  = 56
)

// Request is one request as a caller sent it.
type Request struct {
	ID, Method, URI string
	// Body is the number of bytes of the body.
	Body       int
	Idempotent bool
	// Services lists those that some configuration allows.
	Services []string
	// Origin is the service beside which the request began.
	Origin string
	SentAt time.Time
}

// Answer is what a caller got.
type Answer struct {
	Status int
	// Sealed says that a backend server vouches for the answer.
	Sealed bool
	Body   string
}

// entry is all that is known of one request.
type entry struct {
	request Request
	answer  *Answer
	// cut says that the connection ended without an answer and that nothing
	// excuses it.
	cut  bool
	runs []platformtest.Execution
}

// Ledger collects what callers and backend servers see.
type Ledger struct {
	mu       sync.Mutex
	requests map[string]*entry
	// strays are runs of requests that nobody sent.
	strays []platformtest.Execution
	broken []string
	// departures maps instances to when their departure was confirmed.
	departures map[string]time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{requests: map[string]*entry{}, departures: map[string]time.Time{}}
}

// Sent notes a request before its first byte leaves.
func (l *Ledger) Sent(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.ID] = &entry{request: r}
}

// Ran notes a run at a backend server.
func (l *Ledger) Ran(r platformtest.Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.requests[r.ID]
	if e == nil {
		l.strays = append(l.strays, r)
		return
	}
	e.runs = append(e.runs, r)
}

// Answered notes the final answer to a request.
func (l *Ledger) Answered(id string, a Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id].answer = &a
}

// Cut notes that a connection ended without an answer although nothing excuses
// it.
func (l *Ledger) Cut(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id].cut = true
}

// Departed notes that the departure of a backend server was confirmed.
func (l *Ledger) Departed(instance string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.departures[instance].IsZero() {
		l.departures[instance] = at
	}
}

// Break notes a broken promise that was seen elsewhere.
func (l *Ledger) Break(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// Tally counts requests and those that were served.
func (l *Ledger) Tally() (requests, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.requests {
		if e.answer != nil && e.answer.Status == platformtest.StatusServed {
			served++
		}
	}
	return len(l.requests), served
}

// Broken returns every promise that was broken. Excused says whether a run that
// came late at a leaving backend server is excused by a fault.
func (l *Ledger) Broken(excused func(platformtest.Execution) bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := slices.Clone(l.broken)
	for _, r := range l.strays {
		found = append(found, fmt.Sprintf("unasked: %s ran %s %s, which nobody sent", r.Instance, r.Method, r.URI))
	}
	for id, e := range l.requests {
		for _, text := range e.check() {
			found = append(found, fmt.Sprintf("%s (request %s, sent to %s)", text, id, e.request.URI))
		}
		for _, r := range e.runs {
			if left := l.departures[r.Instance]; !left.IsZero() && r.At.Sub(left) > DrainLimit && !excused(r) {
				found = append(found, fmt.Sprintf("drain: %s ran %s %s after its departure was confirmed", r.Instance, id, r.At.Sub(left)))
			}
		}
	}
	return append(found, l.overBudget()...)
}

func (e *entry) check() []string {
	var found []string
	r := &e.request
	for i := range e.runs {
		run := &e.runs[i]
		if run.Method != r.Method || run.URI != r.URI || run.Body != r.Body {
			found = append(found, fmt.Sprintf("unasked: ran as %s %s with %d bytes", run.Method, run.URI, run.Body))
		}
		if run.Origin != r.Origin {
			found = append(found, fmt.Sprintf("unasked: said to come from %q, not %q", run.Origin, r.Origin))
		}
		if !slices.Contains(r.Services, run.Service) {
			found = append(found, fmt.Sprintf("route: ran at %s of %s", run.Instance, run.Service))
		}
	}
	if !r.Idempotent && len(e.runs) > 1 {
		found = append(found, fmt.Sprintf("twice: ran %d times", len(e.runs)))
	}
	if e.cut && len(e.runs) > 0 {
		found = append(found, "lost: passed on, and the connection ended without an answer")
	}
	if e.answer != nil {
		found = append(found, e.checkAnswer()...)
	}
	return found
}

func (e *entry) checkAnswer() []string {
	var found []string
	a := e.answer
	if platformtest.StatusMeansNotRun(a.Status) && !a.Sealed && len(e.runs) > 0 && !e.request.Idempotent {
		found = append(found, fmt.Sprintf("refused: status %d, and ran", a.Status))
	}
	if platformtest.StatusMeansDenied(a.Status) {
		found = append(found, fmt.Sprintf("denied: status %d", a.Status))
	}
	if a.Status != platformtest.StatusServed {
		return found
	}
	own := slices.ContainsFunc(e.runs, func(r platformtest.Execution) bool { return r.ResponseBody() == a.Body })
	if !a.Sealed || !own {
		found = append(found, fmt.Sprintf("mixed: sealed %v, answer %.80q", a.Sealed, a.Body))
	}
	return found
}

// overBudget looks for windows in which a service ran too many requests again.
func (l *Ledger) overBudget() []string {
	type counts struct{ requests, again []time.Time }
	services := map[string]*counts{}
	of := func(service string) *counts {
		if services[service] == nil {
			services[service] = &counts{}
		}
		return services[service]
	}
	for _, e := range l.requests {
		for _, s := range e.request.Services {
			of(s).requests = append(of(s).requests, e.request.SentAt)
		}
		for i, r := range e.runs {
			if i > 0 {
				of(r.Service).again = append(of(r.Service).again, r.At)
			}
		}
	}
	var found []string
	for name, c := range services {
		slices.SortFunc(c.again, time.Time.Compare)
		for i := range c.again {
			from := c.again[i]
			again := within(c.again, from)
			allowed := budgetShare*float64(max(within(c.requests, from), within(c.requests, from.Add(-budgetWindow)))) + BudgetSlack
			if float64(again) > allowed {
				found = append(found, fmt.Sprintf("budget: %d runs beyond the first at %s in %s, %.0f are allowed", again, name, budgetWindow, allowed))
				break
			}
		}
	}
	return found
}

func within(times []time.Time, from time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Sub(from) < budgetWindow {
			n++
		}
	}
	return n
}

// Kinds returns the kinds of broken promises, each once.
func Kinds(broken []string) []string {
	var kinds []string
	for _, b := range broken {
		kind, _, _ := strings.Cut(b, ":")
		if !slices.Contains(kinds, kind) {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}
