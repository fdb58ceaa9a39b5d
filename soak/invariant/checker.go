// Package invariant compares the responses that callers got with the requests
// that backend servers executed, and reports every violated invariant.
package invariant

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"fescuehoist.example/platform/platformtest"
)

// Limits of the invariants. They come from the user documentation and from the
// settings of this test installation.
const (
	// DrainLimit is how long a backend server may still get requests after its
	// departure was confirmed.
	DrainLimit = 2500 * time.Millisecond
	// ConfigLimit is how long a daemon may take to apply a configuration after
	// its write was confirmed.
	ConfigLimit = 2500 * time.Millisecond
	// RollbackSlack is how long an older version may still have an effect after
	// the first effect of a newer one.
	RollbackSlack = 250 * time.Millisecond
	// LateLimit is how long after its deadline a request may get its final
	// response.
	LateLimit = 500 * time.Millisecond
	// RecoveryLimit is how long after the last fault daemons may take to become
	// ready again.
	RecoveryLimit = 15 * time.Second
	// budgetWindow, budgetShare and BudgetBurst limit the retries of a service,
	// which are all executions of a request after the first: in each window at
	// most BudgetBurst plus budgetShare of the requests in this window or in the
	// one before it, whichever has more.
	budgetWindow = 10 * time.Second
	budgetShare  = 0.2
	BudgetBurst  = 56
)

// Request describes one request as a client sent it.
type Request struct {
	ID, Method, URI string
	// Body is the size of the body in bytes.
	Body       int
	Idempotent bool
	// Services lists the services to which some configuration routes the
	// request.
	Services []string
	// Origin is the service of the host at which the request entered the mesh.
	Origin string
	// Key is the API key that the client presented, empty for none. Public
	// requests need none.
	Key    string
	Public bool
	SentAt time.Time
}

// Response is the final response that a client got.
type Response struct {
	Status int
	// Sealed reports whether the response carries a backend server's seal, which
	// proves that the backend server produced it.
	Sealed bool
	Body   string
}

// requestRecord is everything that was recorded of one request.
type requestRecord struct {
	request  Request
	response *Response
	// disconnected says that the connection closed without a response and that
	// no injected fault excuses this.
	disconnected bool
	executions   []platformtest.Execution
}

// Checker records what clients and backend servers observe and finds the
// invariants that were violated.
type Checker struct {
	mu       sync.Mutex
	requests map[string]*requestRecord
	// unsolicited are executions of requests that no client sent.
	unsolicited []platformtest.Execution
	violations  []string
	// departures holds the time at which each instance's departure was confirmed.
	departures map[string]time.Time
	keys       map[string]heldKey
	// limits holds the allowances of each account in the order of their
	// acceptance.
	limits map[string][]limit
}

// NewChecker returns a checker without records.
func NewChecker() *Checker {
	return &Checker{requests: map[string]*requestRecord{}, departures: map[string]time.Time{},
		keys: map[string]heldKey{}, limits: map[string][]limit{}}
}

// RecordRequest records a request. Call it before the first byte is sent.
func (c *Checker) RecordRequest(r Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[r.ID] = &requestRecord{request: r}
}

// RecordExecution records that a backend server executed a request.
func (c *Checker) RecordExecution(execution platformtest.Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.requests[execution.ID]
	if rec == nil {
		c.unsolicited = append(c.unsolicited, execution)
		return
	}
	rec.executions = append(rec.executions, execution)
}

// RecordResponse records the final response to a request.
func (c *Checker) RecordResponse(id string, resp Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id].response = &resp
}

// RecordDisconnect records that a connection closed without a response although
// no injected fault excuses this.
func (c *Checker) RecordDisconnect(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id].disconnected = true
}

// RecordDeparture records when the departure of a backend server was confirmed.
// Only the first confirmation counts.
func (c *Checker) RecordDeparture(instance string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.departures[instance].IsZero() {
		c.departures[instance] = at
	}
}

// RecordViolation records a violation that the caller found itself. The text
// starts with the kind and a colon.
func (c *Checker) RecordViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Counts returns the number of requests and of those that were served.
func (c *Checker) Counts() (requests, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, rec := range c.requests {
		if rec.response != nil && rec.response.Status == platformtest.StatusServed {
			served++
		}
	}
	return len(c.requests), served
}

// Violations returns all violations found so far. excused reports whether an
// execution at a leaving backend server after DrainLimit is excused by a fault.
func (c *Checker) Violations(excused func(platformtest.Execution) bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := slices.Clone(c.violations)
	for _, execution := range c.unsolicited {
		found = append(found, fmt.Sprintf("unasked: %s executed %s %s, which no client sent", execution.Instance, execution.Method, execution.URI))
	}
	for id, rec := range c.requests {
		for _, text := range rec.check() {
			found = append(found, fmt.Sprintf("%s (request %s, sent to %s)", text, id, rec.request.URI))
		}
		for _, execution := range rec.executions {
			for _, text := range c.checkAccount(&rec.request, &execution) {
				found = append(found, fmt.Sprintf("%s (request %s, at %s)", text, id, execution.Instance))
			}
			if departedAt := c.departures[execution.Instance]; !departedAt.IsZero() && execution.At.Sub(departedAt) > DrainLimit && !excused(execution) {
				found = append(found, fmt.Sprintf("drain: %s executed %s %s after its departure was confirmed", execution.Instance, id, execution.At.Sub(departedAt)))
			}
		}
	}
	return append(found, c.checkRetryBudget()...)
}

func (rec *requestRecord) check() []string {
	var found []string
	r := &rec.request
	for i := range rec.executions {
		execution := &rec.executions[i]
		if execution.Method != r.Method || execution.URI != r.URI || execution.Body != r.Body {
			found = append(found, fmt.Sprintf("unasked: executed as %s %s with a body of %d bytes", execution.Method, execution.URI, execution.Body))
		}
		if execution.Origin != r.Origin {
			found = append(found, fmt.Sprintf("unasked: got origin %q, want %q", execution.Origin, r.Origin))
		}
		if !slices.Contains(r.Services, execution.Service) {
			found = append(found, fmt.Sprintf("route: executed at %s of service %s, to which no configuration routes it", execution.Instance, execution.Service))
		}
	}
	if !r.Idempotent && len(rec.executions) > 1 {
		found = append(found, fmt.Sprintf("twice: executed %d times, want at most 1", len(rec.executions)))
	}
	if rec.disconnected && len(rec.executions) > 0 {
		found = append(found, "lost: executed, but the connection closed without a response")
	}
	if rec.response != nil {
		found = append(found, rec.checkResponse()...)
	}
	return found
}

func (rec *requestRecord) checkResponse() []string {
	var found []string
	resp := rec.response
	if platformtest.StatusMeansNotRun(resp.Status) && !resp.Sealed && len(rec.executions) > 0 && !rec.request.Idempotent {
		found = append(found, fmt.Sprintf("refused: status %d means not executed, but it was executed", resp.Status))
	}
	if platformtest.StatusMeansDenied(resp.Status) {
		found = append(found, fmt.Sprintf("denied: status %d", resp.Status))
	}
	if resp.Status != platformtest.StatusServed {
		return found
	}
	matches := slices.ContainsFunc(rec.executions, func(r platformtest.Execution) bool { return r.ResponseBody() == resp.Body })
	if !resp.Sealed || !matches {
		found = append(found, fmt.Sprintf("mixed: response is not sealed or matches no execution: sealed %v, body %.80q", resp.Sealed, resp.Body))
	}
	return found
}

// checkRetryBudget finds the windows in which a service executed more retries
// than its budget allows.
func (c *Checker) checkRetryBudget() []string {
	type counts struct{ requests, retries []time.Time }
	services := map[string]*counts{}
	countsOf := func(service string) *counts {
		if services[service] == nil {
			services[service] = &counts{}
		}
		return services[service]
	}
	for _, rec := range c.requests {
		for _, s := range rec.request.Services {
			countsOf(s).requests = append(countsOf(s).requests, rec.request.SentAt)
		}
		for i, r := range rec.executions {
			if i > 0 {
				countsOf(r.Service).retries = append(countsOf(r.Service).retries, r.At)
			}
		}
	}
	var found []string
	for name, times := range services {
		slices.SortFunc(times.retries, time.Time.Compare)
		for i := range times.retries {
			from := times.retries[i]
			retries := countWithin(times.retries, from)
			allowed := budgetShare*float64(max(countWithin(times.requests, from), countWithin(times.requests, from.Add(-budgetWindow)))) + BudgetBurst
			if float64(retries) > allowed {
				found = append(found, fmt.Sprintf("budget: %d retries at service %s within %s, want at most %.0f", retries, name, budgetWindow, allowed))
				break
			}
		}
	}
	return found
}

// countWithin counts the times in the budgetWindow that starts at from.
func countWithin(times []time.Time, from time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Sub(from) < budgetWindow {
			n++
		}
	}
	return n
}

// Kinds returns the distinct kinds of violations, in order of appearance.
func Kinds(violations []string) []string {
	var kinds []string
	for _, violation := range violations {
		kind, _, _ := strings.Cut(violation, ":")
		if !slices.Contains(kinds, kind) {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}
