package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/revision"
)

const (
	// idleTimeout is how long after the last counts a controller forgets the orders: another
	// daemon is the fleet's collector then.
	idleTimeout = 2 * time.Second
	// adoptTimeout is how long a controller that did not see an order begin waits for daemons
	// that know its number and how long it has been running.
	adoptTimeout = 1500 * time.Millisecond
	// endedAdoptTimeout is the same for an order that has ended: daemons that have just
	// started are told so late that a release was rolled back.
	endedAdoptTimeout = 500 * time.Millisecond
	// storeLifetime is how long after a response the store counts as reachable.
	storeLifetime = 2 * time.Second
)

// Fleet tells a controller about the services and their servers.
type Fleet interface {
	// Servers returns the records of the servers of a service.
	Servers(service string) []*member.Record
	// Known reports whether there is a service of this name.
	Known(service string) bool
	// Mixed returns the services that have servers of several releases.
	Mixed() []string
	// LongestTimeout returns the longest time that a call to a service may take.
	LongestTimeout(service string) time.Duration
}

// Logger receives the log messages of a Controller.
type Logger interface {
	Infof(format string, args ...any)
	Warnf(format string, args ...any)
}

// Config holds the settings of a Controller.
type Config struct {
	Limits Limits
	// WatchTimeout is how long a call to the store waits for a change, CallTimeout how long
	// any call may take beyond that.
	WatchTimeout, CallTimeout time.Duration
	// RetryBase and RetryMax bound the pause after a failed call.
	RetryBase, RetryMax time.Duration
}

// DefaultConfig returns the default settings for the given limits.
func DefaultConfig(l Limits) Config {
	return Config{
		Limits: l, WatchTimeout: 30 * time.Second, CallTimeout: time.Second,
		RetryBase: 100 * time.Millisecond, RetryMax: 2 * time.Second,
	}
}

// Controller decides how far each rollout goes. It works while it receives counts, which
// only the fleet's collector does. It is safe for concurrent use.
type Controller struct {
	cfg    Config
	orders Orders
	fleet  Fleet
	logger Logger
	now    Clock

	mu sync.Mutex
	// known means that all orders in the store were read since the controller became
	// active.
	known    bool
	rollouts map[string]*controlled
	// mixed holds the services with several releases, and whether the orders were read since
	// they were first seen so. A watch whose connection stopped responding hides orders for
	// half a minute.
	mixed map[string]bool
	// refused holds the orders that are not valid, by name.
	refused map[string]Order
	// active is closed while counts arrive, deactivate stops the calls to the store.
	active     chan struct{}
	deactivate *time.Timer
	// unwritten has an element when a status has to be written.
	unwritten chan struct{}
	// unread has an element when the orders have to be read again.
	unread chan struct{}
}

// controlled is the rollout of one service.
type controlled struct {
	order Order
	// number is that of the order in directions; zero while it is not known.
	number revision.Revision
	// adoptBy is when a number is assigned if no daemon knows one.
	adoptBy time.Duration
	// superseded means that daemons follow a later order, which the store has lost.
	superseded bool
	state      State
	startedAt  time.Duration
	progress   *progress
	step       step
	verdict    verdict
	// written is the state that the store has, checkedAt when it last responded to a write.
	written   State
	checkedAt time.Duration
	// unreachable means that the last write had no response.
	unreachable bool
	// check asks for a write that shows whether the store is reachable.
	check bool
	// complete means that the rollout is completed once the store has accepted it.
	complete bool
	reason   string
}

// NewController returns a controller; Run lets it read and write the store.
func NewController(cfg Config, orders Orders, fleet Fleet, logger Logger, now Clock) *Controller {
	return &Controller{
		cfg: cfg, orders: orders, fleet: fleet, logger: logger, now: now,
		rollouts: map[string]*controlled{}, refused: map[string]Order{}, mixed: map[string]bool{},
		active: make(chan struct{}), unwritten: make(chan struct{}, 1), unread: make(chan struct{}, 1),
	}
}

// Observe takes the sums of the counts of a share of all daemons, and decides on the next
// steps.
func (c *Controller) Observe(counts []Count, covered float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activate()
	c.retryRefused()
	c.checkMixed()
	for _, r := range c.rollouts {
		c.advance(r, countsOf(counts, r.order.Service), covered)
	}
}

// checkMixed has the orders read again when a service appears with several releases.
func (c *Controller) checkMixed() {
	mixed := map[string]bool{}
	for _, service := range c.fleet.Mixed() {
		mixed[service] = c.mixed[service] || c.rollouts[service] != nil
		if !mixed[service] {
			signal(c.unread)
		}
	}
	c.mixed = mixed
}

// countsOf returns the counts of one service.
func countsOf(counts []Count, service string) []Count {
	var own []Count
	for _, n := range counts {
		if n.Service == service {
			own = append(own, n)
		}
	}
	return own
}

// Directions returns the directions for all services, or none until all orders are known.
func (c *Controller) Directions() []Direction {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return nil
	}
	list := []Direction{{Share: 1}}
	for _, read := range c.mixed {
		if !read {
			list[0].Share = 0
		}
	}
	for _, r := range c.rollouts {
		switch {
		case !r.number.IsZero():
			list = append(list, r.direction())
		case !r.superseded:
			// What daemons follow is not known yet, so the list confirms nothing.
			list[0].Share = 0
		}
	}
	return list
}

func (r *controlled) direction() Direction {
	d := Direction{Service: r.order.Service, Release: r.order.Release, State: r.state, Order: r.number}
	if r.state == Running {
		d.Share, d.Servers = r.step.share, r.step.servers
	}
	return d
}

// advance decides on the next step of one rollout.
func (c *Controller) advance(r *controlled, counts []Count, covered float64) {
	now := c.now()
	if r.number.IsZero() && !c.adopt(r, counts, covered, now) {
		return
	}
	counts = slices.DeleteFunc(counts, func(n Count) bool { return n.Order != r.number })
	for i := range counts {
		r.startedAt = min(r.startedAt, now-counts[i].Heard)
		if told := counts[i].State; told > r.state {
			// Another controller has ended it. It may not have been able to write that yet.
			c.end(r, told, "other daemons were told so")
		}
	}
	if r.state != Running {
		return
	}
	r.progress.observe(now, counts)
	r.progress.covered = covered
	r.verdict = r.progress.verdict()
	if r.verdict.bad {
		c.end(r, RolledBack, r.verdict.reason)
		return
	}
	c.takeStep(r, now)
}

// adopt finds out the number and the age of an order that the controller did not see begin.
// It reports whether the order has a number.
func (c *Controller) adopt(r *controlled, counts []Count, covered float64, now time.Duration) bool {
	latest := latestFollowed(counts)
	if r.order.isSupersededBy(latest) && (r.order.Status.Final() || now < r.adoptBy) {
		if !r.superseded {
			c.logger.Warnf("service %s: not following the order for release %s, which the store has as %s: daemons follow a later one that the store has lost, %s for release %s",
				r.order.Service, r.order.Release, r.order.Status, latest.Order, latest.Target)
		}
		r.superseded = true
		return false
	}
	r.superseded = false
	switch {
	case r.order.isFollowedBy(latest):
		r.number = latest.Order
		c.logger.Infof("service %s: going on with order %s for release %s, which the store has as %s", r.order.Service, r.number, r.order.Release, r.written)
	case now < r.adoptBy && covered < minCovered:
		return false
	default:
		r.number = r.order.Revision
		c.logger.Infof("service %s: order %s for release %s, time limit %s, which the store has as %s", r.order.Service, r.number, r.order.Release, r.order.Duration, r.written)
	}
	c.wakeWriter()
	return true
}

// latestFollowed returns what daemons say of the latest order that one of them follows, or
// nil. Daemons that were cut off may follow an earlier one.
func latestFollowed(counts []Count) *Count {
	var latest *Count
	for i := range counts {
		if n := &counts[i]; n.Class == "" && (latest == nil || n.Order.After(latest.Order)) {
			latest = n
		}
	}
	return latest
}

// isFollowedBy reports whether the latest order that daemons follow is this one. One without
// a status may have had one before the store came back from an older copy; its number is of
// an earlier epoch then.
func (o *Order) isFollowedBy(latest *Count) bool {
	if latest == nil || latest.Target != o.Release || latest.Order.After(o.Revision) {
		return false
	}
	return o.Status != 0 || latest.Order == o.Revision || latest.Order.Epoch < o.Revision.Epoch
}

// isSupersededBy reports whether the latest order that daemons follow is one of an earlier
// epoch for another release, although this one has a status: the store came back from a copy
// of the time before theirs, which the operator has not written again yet.
func (o *Order) isSupersededBy(latest *Count) bool {
	return latest != nil && o.Status != 0 && latest.Target != o.Release && latest.Order.Epoch < o.Revision.Epoch
}

func (c *Controller) takeStep(r *controlled, now time.Duration) {
	servers := c.fleet.Servers(r.order.Service)
	s := r.progress.situation(servers)
	s.elapsed, s.duration, s.longest = now-r.startedAt, r.order.Duration, c.fleet.LongestTimeout(r.order.Service)
	s.doubtful, s.slightlyDoubtful = r.verdict.doubtful, r.verdict.slightlyDoubtful
	s.storeReachable = now-r.checkedAt < storeLifetime
	if s.expired() && r.step.phase != full {
		c.end(r, RolledBack, fmt.Sprintf("not completed within the time limit of %s, %d servers of the release are ready; %s",
			r.order.Duration, s.servers, cmp.Or(r.verdict.reason, "no sign of a fault")))
		return
	}
	next := s.next(r.step)
	if next.phase != r.step.phase {
		c.logger.Infof("service %s: release %s enters phase %s after %s, previously %s: share %.3f on %d servers, %d ready with %d slots, others with %d slots; %.0f requests, %.0f of them to the release, allowance %.0f, %.1f requests a second, %.1f running",
			r.order.Service, r.order.Release, next.phase, s.elapsed.Round(time.Millisecond), r.step.phase, next.share, next.servers,
			s.servers, s.slots, s.otherSlots, s.requests, s.exposed, s.allowance(), s.rate, s.busy)
	}
	r.step = next
	if r.step.phase == probe && !s.storeReachable {
		r.check = true
		c.wakeWriter()
	}
	switch {
	case r.step.phase != full:
	case s.doubtful && s.spent():
		c.end(r, RolledBack, fmt.Sprintf("in doubt when it has got as many requests as a bad release may, %.0f; %s", s.allowance(), r.verdict.reason))
	case !s.doubtful && s.proven(r.step) && r.progress.oldServersIdle(servers):
		r.complete = true
		c.wakeWriter()
	}
}

// end ends a rollout in a state.
func (c *Controller) end(r *controlled, s State, reason string) {
	r.state, r.reason, r.complete = s, reason, false
	log := c.logger.Infof
	if s == RolledBack {
		log = c.logger.Warnf
	}
	log("service %s: release %s %s in phase %s after %s, order %s: %s; %.0f requests, %.0f of them to the release",
		r.order.Service, r.order.Release, s, r.step.phase, (c.now() - r.startedAt).Round(time.Millisecond), r.number, reason,
		r.progress.requests, r.progress.exposed)
	c.wakeWriter()
}

func (c *Controller) wakeWriter() { signal(c.unwritten) }

// signal puts an element into a channel unless it has one.
func signal(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// apply takes an order as the store has it.
func (c *Controller) apply(o Order) {
	r := c.rolloutNamed(o.Name)
	if o.Err == nil && !o.Removed && !c.fleet.Known(o.Service) {
		o.Err = fmt.Errorf("expected a known service, found %.80q", o.Service)
	}
	switch {
	case o.Removed:
		c.remove(o, r)
	case o.Err != nil:
		c.refuse(o)
		if r != nil {
			r.order.Revision = revision.Latest(r.order.Revision, o.Revision)
		}
	default:
		delete(c.refused, o.Name)
		c.accept(o)
	}
}

func (c *Controller) rolloutNamed(name string) *controlled {
	for _, r := range c.rollouts {
		if r.order.Name == name {
			return r
		}
	}
	return nil
}

func (c *Controller) refuse(o Order) {
	if known, refused := c.refused[o.Name]; !refused || known.Revision != o.Revision {
		c.logger.Warnf("order %.80q of revision %s refused, nothing changes: %v", o.Name, o.Revision, o.Err)
	}
	c.refused[o.Name] = o
}

// retryRefused takes the orders again whose service was not known.
func (c *Controller) retryRefused() {
	for name, o := range c.refused {
		if o.Service != "" && o.Duration > 0 && c.fleet.Known(o.Service) {
			delete(c.refused, name)
			o.Err = nil
			c.accept(o)
		}
	}
}

// remove takes back a running order whose object was deleted. Directions of a completed or
// rolled back one stay.
func (c *Controller) remove(o Order, r *controlled) {
	delete(c.refused, o.Name)
	if r != nil && r.state == Running && o.Revision.After(r.order.Revision) {
		r.written = RolledBack
		c.end(r, RolledBack, "the order was deleted")
	}
}

// accept takes a valid order: a new one, or the one that is known with a new status.
func (c *Controller) accept(o Order) {
	r := c.rollouts[o.Service]
	switch {
	case r == nil:
		c.begin(o, nil)
	case !o.Revision.After(r.order.Revision):
	case o.Revision.Epoch > r.order.Revision.Epoch && !r.number.IsZero():
		c.acceptFromCopy(o, r)
	case r.replacedBy(&o):
		c.begin(o, r)
	default:
		c.update(o, r)
	}
}

// acceptFromCopy takes an order from a store that came back from an older copy. The order
// that the controller knows has been written again, or is still there; what the store lacks
// of its state is written again. Another one that has ended is from the time before it.
func (c *Controller) acceptFromCopy(o Order, r *controlled) {
	switch {
	case r.order.isSameAs(&o):
		r.written = o.Status
		c.update(o, r)
		c.wakeWriter()
	case !o.Status.Final():
		c.begin(o, r)
	}
}

// update takes a new revision and status of an order.
func (c *Controller) update(o Order, r *controlled) {
	r.order = o
	r.written = max(r.written, o.Status)
	if o.Status > r.state || (o.Status.Final() && !r.state.Final()) {
		c.end(r, o.Status, "the store has it")
	}
}

// isSameAs reports whether two orders say the same.
func (o *Order) isSameAs(other *Order) bool {
	return o.Name == other.Name && o.Release == other.Release && o.Duration == other.Duration
}

// replacedBy reports whether a later order is another one than that of the rollout. A
// status for the release stays with the order; an order that changes after its end was
// known to be stored has been given again.
func (r *controlled) replacedBy(o *Order) bool {
	switch {
	case !r.order.isSameAs(o):
		return true
	case o.Status == 0:
		return r.written != 0
	}
	return r.written.Final()
}

// begin begins an order. Its number is assigned with the next counts, which may show that
// daemons follow it already. Not all of them need have reported if the controller has just
// begun to read orders, or if another controller has written a status.
func (c *Controller) begin(o Order, replaced *controlled) {
	now := c.now()
	if replaced != nil && replaced.order.Release == o.Release {
		// The status is left from the earlier order.
		o.Status = 0
	}
	r := &controlled{order: o, state: Running, startedAt: now, adoptBy: now, progress: newProgress(o.Release, c.cfg.Limits), written: o.Status}
	if o.Status.Final() {
		r.state = o.Status
	}
	unknown := !c.known || (replaced != nil && replaced.number.IsZero())
	switch {
	case unknown && o.Status.Final():
		r.adoptBy += endedAdoptTimeout
	case unknown || o.Status == Running:
		r.adoptBy += adoptTimeout
	}
	c.rollouts[o.Service] = r
}

// Refused is the state of an order that is not valid, in a Status.
const Refused = "refused"

// Status describes one rollout, or an order that was refused.
type Status struct {
	Service string  `json:"service"`
	Release string  `json:"release"`
	State   string  `json:"state"`
	Phase   string  `json:"phase,omitempty"`
	Share   float64 `json:"share"`
	// Requests and Exposed count the requests since the order, and those of them that the
	// release got.
	Requests float64 `json:"requests"`
	Exposed  float64 `json:"exposed"`
	// Reason says why the rollout ended, or waits, or why the order was refused.
	Reason string `json:"reason,omitempty"`
	// Unwritten means that the store does not have the state yet.
	Unwritten bool `json:"unwritten,omitempty"`
}

// Status returns the rollouts and the refused orders that this controller knows, sorted by
// service.
func (c *Controller) Status() []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []Status
	for _, r := range c.rollouts {
		s := Status{
			Service: r.order.Service, Release: r.order.Release, State: r.state.String(), Reason: cmp.Or(r.reason, r.verdict.reason),
			Requests: r.progress.requests, Exposed: r.progress.exposed, Unwritten: r.written != r.state,
		}
		if d := r.direction(); r.state == Running {
			s.Phase, s.Share = r.step.phase.String(), d.Share
		}
		all = append(all, s)
	}
	for _, o := range c.refused {
		all = append(all, Status{Service: cmp.Or(o.Service, o.Name), Release: o.Release, State: Refused, Reason: o.Err.Error()})
	}
	slices.SortFunc(all, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.State, b.State))
	})
	return all
}
