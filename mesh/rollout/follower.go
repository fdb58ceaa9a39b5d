package rollout

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fescuehoist.example/mesh/member"
)

const (
	// DirectionLifetime is how long a daemon sends requests to a release that is not
	// proven, after the direction to do so was issued.
	DirectionLifetime = time.Second
	// closeDelay is the time between the direction that all requests go to the release and
	// the refusal of requests by servers of other releases. Daemons that are told later
	// would otherwise have their requests refused.
	closeDelay = 300 * time.Millisecond
	// reopenAfter is how long those servers refuse requests after the latest such direction,
	// whatever other controllers say of the same order. A controller may use a report that
	// they are idle for 2 s, and then take 1 s to write that the rollout is completed.
	reopenAfter = 4 * time.Second
	// settleTime is the longest time for which a release that is new to a service is held
	// back until directions issued after its appearance arrive.
	settleTime = 1500 * time.Millisecond
)

// Clock returns the time since some point in the past, including time for which the host
// was suspended.
type Clock func() time.Duration

// Load is the number of calls that run or wait at a server.
type Load func() int

// Follower holds the newest directions of a daemon, and counts the calls to the server
// beside it while there is an order for its service. It is safe for concurrent use.
type Follower struct {
	// Orders are read at the start; nil means that there are none. It must be set before Run.
	Orders Orders

	now Clock
	// own returns the record of the server beside the daemon, load its calls.
	own  func() (member.Record, bool)
	load Load

	directions atomic.Pointer[Directions]
	// confirmedAt is when the newest list of directions was issued by a controller that knew
	// all orders; 0 before one.
	confirmedAt atomic.Int64
	// started means that Run has read the orders, or given up.
	started atomic.Bool

	mu sync.Mutex
	// listedAt is when the newest complete list was issued.
	listedAt time.Duration
	changed  chan struct{}
	counter  *counter
}

// Directions is an immutable set of directions; only the age of its members changes.
type Directions struct {
	byService map[string]*Active
	follower  *Follower
}

// Active is a direction that a daemon applies.
type Active struct {
	Direction
	// Avoid is the release of an order that this one replaced before it was completed. It
	// gets no requests; empty if there is none.
	Avoid string
	// fullSince is when the daemon was first told to send all requests to the release,
	// fullAt when the latest such direction of this order was issued; 0 before one.
	fullSince, fullAt time.Duration
	issuedAt          *atomic.Int64
	now               Clock
}

// NewFollower returns a follower without directions. own returns the record of the server
// beside the daemon, load the number of calls there.
func NewFollower(now Clock, own func() (member.Record, bool), load Load) *Follower {
	f := &Follower{now: now, own: own, load: load, changed: make(chan struct{})}
	f.directions.Store(&Directions{byService: map[string]*Active{}, follower: f})
	return f
}

// Current returns the newest directions.
func (f *Follower) Current() *Directions { return f.directions.Load() }

// Changed returns a channel that is closed when Current returns other directions.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Active reports whether a rollout is running, and returns the channel of Changed.
func (f *Follower) Active() (active bool, changed <-chan struct{}) {
	changed = f.Changed()
	for _, a := range f.Current().byService {
		active = active || a.State == Running
	}
	return active, changed
}

// Apply takes a list of directions. A list that is not marked as complete, or that was
// issued before the newest one, is ignored. A direction stays until a later order replaces
// it, since a controller may know fewer orders than its predecessor.
func (f *Follower) Apply(list []Direction) {
	f.mu.Lock()
	defer f.mu.Unlock()
	marker := slices.IndexFunc(list, func(d Direction) bool { return d.Service == "" })
	if marker < 0 {
		return
	}
	issued := f.now() - list[marker].Age
	if issued <= f.listedAt {
		return
	}
	f.listedAt = issued
	confirmed := list[marker].Share >= 1
	if confirmed {
		f.confirmedAt.Store(int64(issued))
	}
	f.follow(f.merge(list, confirmed))
	f.followOwnServer()
}

// follow applies other directions; nil means that they are the same.
func (f *Follower) follow(next *Directions) {
	if next == nil {
		return
	}
	f.directions.Store(next)
	close(f.changed)
	f.changed = make(chan struct{})
}

// merge returns the directions after a list, or nil if only the age of them changes. A
// confirmed list replaces all that were assumed.
func (f *Follower) merge(list []Direction, confirmed bool) *Directions {
	next := &Directions{byService: maps.Clone(f.Current().byService), follower: f}
	changed := false
	for _, d := range list {
		held := next.byService[d.Service]
		if d.Service == "" || (held != nil && (!d.supersedes(&held.Direction) || held.outranks(&d))) {
			continue
		}
		at := f.now() - d.Age
		d.Age = 0
		if held != nil && held.Direction == d {
			held.issuedAt.Store(max(held.issuedAt.Load(), int64(at)))
			continue
		}
		next.byService[d.Service] = f.activate(d, held, at)
		changed = true
	}
	if before := len(next.byService); confirmed {
		maps.DeleteFunc(next.byService, func(_ string, a *Active) bool { return a.assumed() })
		changed = changed || len(next.byService) < before
	}
	if !changed {
		return nil
	}
	return next
}

func (f *Follower) activate(d Direction, held *Active, at time.Duration) *Active {
	a := &Active{Direction: d, issuedAt: &atomic.Int64{}, now: f.now}
	a.issuedAt.Store(int64(at))
	if held != nil && held.assumed() {
		held = nil
	}
	if held != nil && held.Order == d.Order && at-held.lastFull() < reopenAfter {
		a.fullSince, a.fullAt = held.fullSince, held.lastFull()
	}
	if d.Full() && a.fullAt == 0 {
		a.fullSince = f.now()
	}
	if held != nil && held.Release != d.Release && held.State != Completed {
		a.Avoid = held.Release
	} else if held != nil && held.Release == d.Release {
		a.Avoid = held.Avoid
	}
	return a
}

// followOwnServer starts counting the calls to the server beside the daemon when there is
// an order for its service, and notes when another instance of the server appears.
func (f *Follower) followOwnServer() {
	own, known := f.own()
	a := f.Current().Of(own.Service)
	if !known || a == nil || a.assumed() {
		return
	}
	now := f.now()
	if f.counter == nil || f.counter.order != a.Order {
		f.counter = newCounter(a.Order, now)
		if own.Release != a.Release {
			f.counter.setInstance(own.Instance, now-warmUpTime)
		}
	}
	f.counter.setInstance(own.Instance, now)
}

// supersedes reports whether a direction that was issued later replaces another one.
func (d *Direction) supersedes(held *Direction) bool {
	return d.Order.After(held.Order) || (d.Order == held.Order && d.State >= held.State)
}

// Of returns the direction for a service, or nil.
func (d *Directions) Of(service string) *Active { return d.byService[service] }

// outranks reports whether a direction stays in force beside a later one of another
// controller, which knows less of the same order.
func (a *Active) outranks(d *Direction) bool {
	return a.Full() && d.State == Running && !d.Full() && a.Order == d.Order && a.age() < DirectionLifetime
}

// lastFull returns when the latest direction was issued that sends all requests to the
// release; 0 before one.
func (a *Active) lastFull() time.Duration {
	if a.Full() {
		return time.Duration(a.issuedAt.Load())
	}
	return a.fullAt
}

// All returns the directions for all services, sorted by service.
func (d *Directions) All() []*Active {
	return slices.SortedFunc(maps.Values(d.byService), func(a, b *Active) int { return cmp.Compare(a.Service, b.Service) })
}

// Started reports whether the daemon knows which releases stored orders are about, or cannot
// read them.
func (d *Directions) Started() bool { return d.follower.Orders == nil || d.follower.started.Load() }

// Settled reports whether a release that appeared in a service at a time of the clock may
// be used: directions issued later have arrived, or none did for settleTime.
func (d *Directions) Settled(appeared time.Duration) bool {
	confirmed := time.Duration(d.follower.confirmedAt.Load())
	return confirmed > appeared || d.follower.now()-appeared >= settleTime
}

// Now returns the time of the follower's clock.
func (d *Directions) Now() time.Duration { return d.follower.now() }

func (a *Active) age() time.Duration { return a.now() - time.Duration(a.issuedAt.Load()) }

// CurrentShare returns the share of the requests that go to the release now. It is 0 while
// the rollout runs and no direction was issued lately.
func (a *Active) CurrentShare() float64 {
	switch {
	case a.State == Completed:
		return 1
	case a.State == RolledBack || a.age() >= DirectionLifetime:
		return 0
	}
	return a.Share
}

// refuses reports whether a server of a release must not run requests any more.
func (a *Active) refuses(release string) bool {
	switch a.State {
	case Completed:
		return release != a.Release
	case RolledBack:
		return release == a.Release
	}
	full := a.lastFull()
	return release != a.Release && full > 0 && a.now()-a.fullSince >= closeDelay && a.now()-full < reopenAfter
}

// Refuses reports whether the server beside the daemon refuses requests because of a
// direction.
func (f *Follower) Refuses() bool {
	current := f.Current()
	if len(current.byService) == 0 {
		return false
	}
	own, known := f.own()
	if !known {
		return false
	}
	a := current.Of(own.Service)
	return a != nil && a.refuses(own.Release)
}

// Counts returns what this daemon has counted since it heard of the order for the service
// of its server; nothing without an order.
func (f *Follower) Counts() []Count {
	own, known := f.own()
	a := f.Current().Of(own.Service)
	if !known || a == nil || a.assumed() {
		return nil
	}
	f.mu.Lock()
	c := f.counter
	f.mu.Unlock()
	if c == nil || c.order != a.Order {
		return nil
	}
	server := Count{Service: own.Service, Release: own.Release, Order: a.Order, Target: a.Release, Servers: 1, State: a.State, Heard: f.now() - c.heardAt}
	server.Active, server.Failing = c.recent(own.Release, f.now())
	if a.refuses(own.Release) && a.Full() && a.age() < DirectionLifetime && !own.Terminal() && f.load() == 0 {
		server.Idle = 1
	}
	counts := []Count{server}
	if a.State == Running {
		counts = append(counts, c.counts(own.Service)...)
	}
	return counts
}
