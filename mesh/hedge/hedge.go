// Package hedge decides when a call whose first attempt is slow is sent a second time,
// whether that is allowed, and where the copy goes. It makes no attempts itself.
package hedge

import (
	"sync"
	"sync/atomic"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/retry"
	"fescuehoist.example/mesh/route"
)

const (
	// MinDelay is the shortest time after which a copy is sent. Below it, the copy would
	// mostly be overtaken by the answer while it crosses the network.
	MinDelay = 5 * time.Millisecond
	// MaxBodySize is the size in bytes of the largest body that is sent twice. Larger ones
	// would take the links of others for longer than a few packets.
	MaxBodySize = 4 << 10
	// RefusalMemory is how long a service gets no copies after one of its servers refused
	// a call for lack of capacity.
	RefusalMemory = time.Second
	// budgetBurst is the number of copies of a class that the budget holds at most.
	budgetBurst = 2
	// serversForCopy is the number of backend servers that a call with a copy reaches.
	serversForCopy = 2
	// maxClasses bounds the classes whose durations and budgets are kept, maxServices the
	// services whose last refusal is kept.
	maxClasses  = 256
	maxServices = 1024
)

// Obstacle says why no copy of a call is sent; it is empty if one may be.
type Obstacle string

// Obstacles to a copy.
const (
	Off             Obstacle = "hedging is off, or the daemon is draining"
	NotIdempotent   Obstacle = "calls of the class must not run twice"
	LargeBody       Obstacle = "the body is larger than 4 KiB"
	OneServer       Obstacle = "the class allows one backend server for each call"
	Suspect         Obstacle = "a backend server crashed while it ran the request"
	ServiceRefuses  Obstacle = "a server of the service refused a call for lack of capacity in the last second"
	TooFewCalls     Obstacle = "too few calls of the class were answered in the last minute"
	NotEnoughTime   Obstacle = "the call's deadline leaves no time for a copy"
	BudgetExhausted Obstacle = "the hedge budget of the class is used up"
	NoRetryBudget   Obstacle = "the retry budget of the service or class is used up"
	NoFreeServer    Obstacle = "no other server is known to have a free slot"
)

// Retries is the budget of second arrivals at backend servers, which copies share with
// retries.
type Retries interface {
	// Withdraw takes a retry from the budgets of a call's service and class, or none.
	Withdraw(r *call.Request) bool
	// Refund returns a retry that Withdraw granted and that reached no server.
	Refund(r *call.Request)
}

// Suspects knows the requests during which a backend server crashed.
type Suspects interface {
	IsSuspect(r *call.Request) bool
}

// Servers chooses a backend server and counts the call there.
type Servers interface {
	Pick(s *route.Service, q route.Query) *member.Record
}

// Config is what a Hedger asks.
type Config struct {
	// Share returns the number of copies that each first attempt deposits; 0 means no
	// copies.
	Share    func() float64
	Retries  Retries
	Suspects Suspects
	Servers  Servers
}

// Hedger decides about the copies of one daemon's calls. It is safe for concurrent use.
type Hedger struct {
	cfg Config

	mu      sync.Mutex
	classes map[classKey]*class
	// refused holds the time of the last refusal for lack of capacity of each service.
	refused map[string]time.Time

	sent, won atomic.Uint64
}

// New returns a Hedger that knows no calls yet.
func New(cfg Config) *Hedger {
	return &Hedger{cfg: cfg, classes: map[classKey]*class{}, refused: map[string]time.Time{}}
}

// Plan says how the first attempt of a call is made.
type Plan struct {
	// Measure means that Observe must be told how long the attempt took.
	Measure bool
	// Delay is the time after which a copy is sent, 0 if none is.
	Delay time.Duration
}

// Plan counts the first attempt of a call, which has a time left, and plans its copy.
func (h *Hedger) Plan(r *call.Request, left time.Duration) Plan {
	if h.cfg.Share() <= 0 || obstacleOf(r) != "" {
		return Plan{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.class(r)
	if c == nil {
		return Plan{}
	}
	c.budget.Deposit()
	delay, _ := h.delay(c, r, left)
	return Plan{Measure: true, Delay: delay}
}

// Explain returns what Plan and Choose would decide about a call now, without the choice
// of the server. It changes nothing.
func (h *Hedger) Explain(r *call.Request, left time.Duration) (time.Duration, Obstacle) {
	if h.cfg.Share() <= 0 {
		return 0, Off
	}
	if o := obstacleOf(r); o != "" {
		return 0, o
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.classes[keyOf(r)]
	if c == nil {
		return 0, TooFewCalls
	}
	delay, obstacle := h.delay(c, r, left)
	switch {
	case obstacle != "":
		return 0, obstacle
	case h.cfg.Suspects.IsSuspect(r):
		return 0, Suspect
	case c.budget.Tokens() < 1:
		return 0, BudgetExhausted
	}
	return delay, ""
}

// obstacleOf returns the obstacle in the call itself.
func obstacleOf(r *call.Request) Obstacle {
	switch {
	case !r.Class.Idempotent:
		return NotIdempotent
	case r.Suspect:
		return Suspect
	case len(r.Body) > MaxBodySize:
		return LargeBody
	case retry.MaxReached(r) < serversForCopy:
		return OneServer
	}
	return ""
}

// delay returns the time after which a copy of a call is sent, or the obstacle to it.
func (h *Hedger) delay(c *class, r *call.Request, left time.Duration) (time.Duration, Obstacle) {
	now := time.Now()
	if h.refusedLately(r.Service, now) {
		return 0, ServiceRefuses
	}
	slow, usual := c.durations.quantiles(h.cfg.Share(), now)
	if slow == 0 {
		return 0, TooFewCalls
	}
	slow = max(slow, MinDelay)
	if slow+usual > left {
		return 0, NotEnoughTime
	}
	return slow, ""
}

// Choose returns the backend server to which a copy of a call goes at the end of its
// delay, or nil. q is the query of the first attempt, which went to first. If a server is
// returned, End must be called once the copy has ended.
func (h *Hedger) Choose(r *call.Request, s *route.Service, q route.Query, first member.ServerID) *member.Record {
	if h.cfg.Share() <= 0 || h.cfg.Suspects.IsSuspect(r) || !h.withdraw(r) {
		return nil
	}
	if !h.cfg.Retries.Withdraw(r) {
		h.refund(r)
		return nil
	}
	server := h.cfg.Servers.Pick(s, QueryForCopy(q, first))
	if server == nil {
		h.refund(r)
		h.cfg.Retries.Refund(r)
		return nil
	}
	h.sent.Add(1)
	return server
}

// QueryForCopy returns the query for the server of a copy, given that of the first attempt,
// which went to first.
func QueryForCopy(q route.Query, first member.ServerID) route.Query {
	q.Tried, q.NeedCapacity = []member.ServerID{first}, true
	return q
}

// End ends a copy for which Choose returned a server. reached means that it may have
// reached that server, won that its answer is the answer of the call.
func (h *Hedger) End(r *call.Request, reached, won bool) {
	if !reached {
		h.cfg.Retries.Refund(r)
	}
	if won {
		h.won.Add(1)
	}
}

// withdraw takes a copy from the budget of a call's class unless servers of the service
// refused calls lately.
func (h *Hedger) withdraw(r *call.Request) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.classes[keyOf(r)]
	return c != nil && !h.refusedLately(r.Service, time.Now()) && c.budget.Withdraw()
}

func (h *Hedger) refund(r *call.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.classes[keyOf(r)]; c != nil {
		c.budget.Refund()
	}
}

// Observe records how long the first attempt of a call took: to its answer, or to its
// cancellation when the copy was answered first. That is less than the attempt would
// have taken, but more than the delay, so it does not lower the delay of later calls.
func (h *Hedger) Observe(r *call.Request, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.classes[keyOf(r)]; c != nil {
		c.durations.record(took, time.Now())
	}
}

// ObserveRefusal records that a server of the service refused a call for lack of
// capacity.
func (h *Hedger) ObserveRefusal(service string) {
	if h.cfg.Share() <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if len(h.refused) >= maxServices {
		for name, at := range h.refused {
			if now.Sub(at) >= RefusalMemory {
				delete(h.refused, name)
			}
		}
	}
	h.refused[service] = now
}

func (h *Hedger) refusedLately(service string, now time.Time) bool {
	at, ok := h.refused[service]
	return ok && now.Sub(at) < RefusalMemory
}

// Sent returns the number of copies that were sent.
func (h *Hedger) Sent() uint64 { return h.sent.Load() }

// Won returns the number of copies whose answer was the answer of the call.
func (h *Hedger) Won() uint64 { return h.won.Load() }

// classKey names a class of calls to a service.
type classKey struct{ service, class string }

func keyOf(r *call.Request) classKey { return classKey{r.Service, r.ClassName} }

// class is what is kept for the calls of one class to one service.
type class struct {
	durations durations
	budget    *retry.Budget
	usedAt    time.Time
}

// class returns the state of a call's class, or nil if too many others are in use.
func (h *Hedger) class(r *call.Request) *class {
	key, now := keyOf(r), time.Now()
	c := h.classes[key]
	if c == nil {
		if !h.evictIdle(now) {
			return nil
		}
		c = &class{budget: retry.NewBudget(retry.Limits{Share: h.cfg.Share, Burst: func() float64 { return budgetBurst }})}
		h.classes[key] = c
	}
	c.usedAt = now
	return c
}

// evictIdle drops the classes without calls in the last window once there are maxClasses.
// It reports whether there is room for another one.
func (h *Hedger) evictIdle(now time.Time) bool {
	if len(h.classes) < maxClasses {
		return true
	}
	for key, c := range h.classes {
		if now.Sub(c.usedAt) >= window {
			delete(h.classes, key)
		}
	}
	return len(h.classes) < maxClasses
}
