package rollout

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/revision"
)

const (
	tick      = 100 * time.Millisecond
	testRate  = 100.0
	perSide   = 6
	timeLimit = 12 * time.Second
)

// orders is an Orders port in memory.
type orders struct {
	mu       sync.Mutex
	revision revision.Revision
	order    map[string]Order
	changed  chan struct{}
	down     bool
	// deaf means that watches do not respond.
	deaf     bool
	statuses []State
}

func newOrders() *orders {
	return &orders{revision: revision.Revision{Epoch: 1, Number: 1}, order: map[string]Order{}, changed: make(chan struct{})}
}

var errDown = fmt.Errorf("down")

// put stores an order; a revision of zero or the stored one is its condition.
func (s *orders) put(o Order) (revision.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return revision.Revision{}, errDown
	}
	if !o.Revision.IsZero() && o.Revision != s.order[o.Name].Revision {
		return revision.Revision{}, ErrChanged
	}
	s.revision.Number++
	o.Revision = s.revision
	s.order[o.Name] = o
	close(s.changed)
	s.changed = make(chan struct{})
	return o.Revision, nil
}

func (s *orders) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *orders) status() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.order["lookup"].Status
}

func (s *orders) since(after revision.Revision) ([]Order, revision.Revision, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Order
	for _, o := range s.order {
		if o.Revision.After(after) {
			all = append(all, o)
		}
	}
	return all, s.revision, s.changed, s.down
}

// storeCopy is what the store held at one time.
type storeCopy struct {
	number uint64
	order  map[string]Order
}

func (s *orders) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{s.revision.Number, maps.Clone(s.order)}
}

// restore brings the store back from a copy.
func (s *orders) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = revision.Revision{Epoch: s.revision.Epoch + 1, Number: c.number}
	s.order = map[string]Order{}
	for name, o := range c.order {
		o.Revision.Epoch = s.revision.Epoch
		s.order[name] = o
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *orders) List(context.Context) ([]Order, revision.Revision, error) {
	all, at, _, down := s.since(revision.Revision{})
	if down {
		return nil, revision.Revision{}, errDown
	}
	return all, at, nil
}

func (s *orders) Next(ctx context.Context, after revision.Revision, limit time.Duration) ([]Order, revision.Revision, error) {
	timer := time.After(limit)
	for {
		all, at, changed, down := s.since(after)
		if down {
			return nil, revision.Revision{}, errDown
		}
		if at.Epoch != after.Epoch {
			return nil, revision.Revision{}, ErrCompacted
		}
		s.mu.Lock()
		deaf := s.deaf
		s.mu.Unlock()
		if len(all) > 0 && !deaf {
			return all, at, nil
		}
		select {
		case <-changed:
		case <-timer:
			return nil, after, nil
		case <-ctx.Done():
			return nil, revision.Revision{}, ctx.Err()
		}
	}
}

func (s *orders) WriteStatus(_ context.Context, o Order, state State) (revision.Revision, error) {
	o.Status = state
	written, err := s.put(o)
	if err == nil {
		s.mu.Lock()
		s.statuses = append(s.statuses, state)
		s.mu.Unlock()
	}
	return written, err
}

type testLogger struct{ t *testing.T }

func (l testLogger) Infof(format string, args ...any) { l.t.Logf(format, args...) }
func (l testLogger) Warnf(format string, args ...any) { l.t.Logf(format, args...) }

// server is a server with the follower of its daemon.
type server struct {
	*Follower
	record member.Record
	// cutOff means that the daemon gets no directions.
	cutOff bool
}

// lag is the time that counts and directions take, in ticks.
const lag = 2

// link holds what is on its way to and from a controller.
type link struct {
	counts     [][]Count
	directions [][]Direction
}

// fleet is two releases of one service with the daemons beside them, which count what
// calls would have brought.
type fleet struct {
	t       *testing.T
	rand    *rand.Rand
	start   time.Time
	orders  *orders
	servers []*server
	control *Controller
	links   map[*Controller]*link
	rate    float64
	// mixed means that servers of v2 are there.
	mixed bool
	// answer returns the run time of a call and whether it fails.
	answer func(release, class string, at time.Duration, load float64) (time.Duration, bool)
	// exposed and bad count the calls to v2 and their bad answers; lost counts the calls
	// without a server.
	requests, exposed, bad, lost int
	fiftiethAt, lastAt           time.Duration
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{t: t, rand: rand.New(rand.NewPCG(seed, 1)), start: time.Now(), orders: newOrders(), links: map[*Controller]*link{}, rate: testRate}
	f.answer = f.healthy
	for i := range 2 * perSide {
		s := &server{record: member.Record{
			Server: member.ServerID(fmt.Sprint("s", i)), Service: "lookup", State: member.Ready, Slots: 4,
			Release: "v1", Instance: fmt.Sprint("i", i),
		}}
		if i >= perSide {
			s.record.Release = "v2"
		}
		s.Follower = NewFollower(f.now, func() (member.Record, bool) { return s.record, true }, func() int { return 0 })
		f.servers = append(f.servers, s)
	}
	f.control = f.startController()
	return f
}

func (f *fleet) startController() *Controller {
	limits := Limits{Share: 0.1, Slack: 50, Within: 5 * time.Second}
	c := NewController(DefaultConfig(limits), f.orders, f, testLogger{f.t}, f.now)
	ctx, cancel := context.WithCancel(f.t.Context())
	done := make(chan struct{})
	go func() {
		_ = c.Run(ctx)
		close(done)
	}()
	f.t.Cleanup(func() { cancel(); <-done })
	return c
}

func (f *fleet) now() time.Duration { return time.Since(f.start) + time.Hour }

func (f *fleet) Servers(string) []*member.Record {
	var all []*member.Record
	for _, s := range f.servers {
		all = append(all, &s.record)
	}
	return all
}

func (f *fleet) Mixed() []string {
	if f.mixed {
		return []string{"lookup"}
	}
	return nil
}

func (f *fleet) Known(service string) bool           { return service == "lookup" }
func (f *fleet) LongestTimeout(string) time.Duration { return 800 * time.Millisecond }
func (f *fleet) healthy(string, string, time.Duration, float64) (time.Duration, bool) {
	return f.runTime(), f.rand.Float64() < 0.005
}

// flawless answers leave nothing to chance, where a test is not about the judgement.
func flawless(string, string, time.Duration, float64) (time.Duration, bool) {
	return 30 * time.Millisecond, false
}

// runTime returns an exponentially distributed run time.
func (f *fleet) runTime() time.Duration {
	return time.Duration(f.rand.ExpFloat64() * float64(30*time.Millisecond))
}

// order stores an order for a release.
func (f *fleet) order(release string) {
	if _, err := f.orders.put(Order{Name: "lookup", Service: "lookup", Release: release, Duration: timeLimit}); err != nil {
		f.t.Fatal(err)
	}
	synctest.Wait()
}

// run lets calls arrive and daemons exchange counts and directions for a time.
func (f *fleet) run(d time.Duration) {
	for end := f.now() + d; f.now() < end; {
		n := f.rate * tick.Seconds()
		for range int(n + f.rand.Float64()) {
			f.call()
		}
		f.exchange(f.control)
		time.Sleep(tick)
		synctest.Wait()
	}
}

func (f *fleet) exchange(c *Controller) {
	var counts [][]Count
	for _, s := range f.servers {
		if !s.cutOff {
			counts = append(counts, s.Counts())
		}
	}
	directions := f.delay(c, Merge(counts...))
	for _, s := range f.servers {
		if !s.cutOff {
			s.Apply(directions)
		}
	}
}

// delay lets a controller observe counts and returns directions, both of them some ticks
// old.
func (f *fleet) delay(c *Controller, counts []Count) []Direction {
	l := f.links[c]
	if l == nil {
		l = &link{}
		f.links[c] = l
	}
	l.counts = append(l.counts, counts)
	if len(l.counts) > lag {
		c.Observe(l.counts[0], 1)
		l.counts = l.counts[1:]
	}
	l.directions = append(l.directions, c.Directions())
	if len(l.directions) <= lag {
		return nil
	}
	oldest := l.directions[0]
	l.directions = l.directions[1:]
	return Aged(oldest, lag*tick)
}

// call sends one call as the daemon of a random server would.
func (f *fleet) call() {
	f.requests++
	caller := f.servers[f.rand.IntN(len(f.servers))]
	release, share, limit := "v1", 0.0, perSide
	if a := caller.Current().Of("lookup"); a != nil {
		share = a.CurrentShare()
		if a.Servers > 0 {
			limit = a.Servers
		}
		if a.Release == "v1" {
			share = 0 // as v2, the release of the order before, is avoided
		}
	}
	side := f.servers[:perSide]
	if f.rand.Float64() < share {
		release, side = "v2", f.servers[perSide:perSide+limit]
	}
	to := side[f.rand.IntN(len(side))]
	if to.Refuses() {
		f.lost++
		return
	}
	class := fmt.Sprint("c", min(f.rand.IntN(5), 2))
	load := share * float64(perSide) / float64(len(side))
	elapsed, fails := f.answer(release, class, f.now(), load)
	r := succeeded
	if fails {
		r = failed
	}
	if a := to.Current().Of("lookup"); a != nil {
		to.count(a.Order, release, class, r, f.now()-elapsed)
	}
	if release != "v2" {
		return
	}
	f.exposed++
	f.lastAt = f.now()
	if fails || elapsed > 150*time.Millisecond {
		if f.bad++; f.bad == 50 {
			f.fiftiethAt = f.now()
		}
	}
}

// expectExposure fails if the release got more than a bad one may get.
func (f *fleet) expectExposure() {
	f.t.Helper()
	allowed := 0.1*f.rate*timeLimit.Seconds() + 50
	if float64(f.exposed) > allowed {
		f.t.Errorf("the release got %d of %d requests, want at most %.0f", f.exposed, f.requests, allowed)
	}
	if f.fiftiethAt > 0 && f.lastAt > f.fiftiethAt+5*time.Second {
		f.t.Errorf("last request %s after the 50th bad answer", f.lastAt-f.fiftiethAt)
	}
}

func (f *fleet) expectStatus(want State) {
	f.t.Helper()
	if got := f.orders.status(); got != want {
		f.t.Errorf("the store has state %s, want %s", got, want)
	}
}

// inFleet runs a test with a fleet in a bubble, with each of some seeds.
func inFleet(t *testing.T, seeds int, test func(f *fleet)) {
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(newFleet(t, uint64(seed))) })
		})
	}
}
