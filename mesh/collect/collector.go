package collect

import (
	"context"
	"sync"
	"time"

	"fescuehoist.example/mesh/allowance"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/rollout"
	"fescuehoist.example/mesh/wait"
)

// Config holds the settings of a Collector.
type Config struct {
	// Interval is the time between the reports of a daemon, SumInterval that between
	// those of a failure domain. IdleInterval takes the place of both while nothing is
	// counted and only the age of the configuration is passed on.
	Interval, SumInterval, IdleInterval time.Duration
	// Timeout is how long a daemon waits for a reply.
	Timeout time.Duration
	// WholeInterval is the time after which a report repeats the accounts that did not
	// change, for a collector that has lost them.
	WholeInterval time.Duration
	// Window is the time over which the requests of an account are counted.
	Window time.Duration
	// VerifyAccounts makes the daemon exchange the age of the configuration while there
	// are accounts, whether these have allowances or not.
	VerifyAccounts bool
}

// DefaultConfig returns the default settings for a window.
func DefaultConfig(window time.Duration) Config {
	return Config{
		Interval: 100 * time.Millisecond, SumInterval: 200 * time.Millisecond, IdleInterval: 500 * time.Millisecond,
		Timeout: 200 * time.Millisecond, WholeInterval: 5 * time.Second, Window: window,
	}
}

// Collector reports the counts of this daemon, and those of others while it is their
// collector. Run must run in one task; Receive may be called concurrently.
type Collector struct {
	cfg     Config
	self    member.ServerID
	domain  string
	members *member.Table
	configs *manifest.Store
	counter *allowance.Counter
	link    Link
	logger  Logger
	// FleetSize returns the number of all daemons that may be running. It must be set
	// before Run.
	FleetSize func() int
	// Releases and Judge may be nil. They must be set before Run.
	Releases Releases
	Judge    Judge

	// The fields up to recording belong to the task of Run. view is that from which roles
	// were determined at rolesAt.
	view            *member.View
	rolesAt         time.Time
	attempts        map[member.ServerID]*attempts
	attemptsChanged bool
	skipLoggedAt    time.Time
	// reported names the daemon that has all counts up to the last report.
	reported            reported
	reportedAt, wholeAt time.Time
	// recording means that the book daemons has all counts of this daemon.
	recording bool

	mu sync.Mutex
	// roles are written by the task of Run only.
	roles roles
	// fleetSize is the number of all daemons that may be running.
	fleetSize int
	// daemons holds the reports of daemons including this one, sums those of
	// failure domains.
	daemons, sums *book
	// collectingSince and summingSince are when the reports in daemons and sums began.
	collectingSince, summingSince time.Duration
	// isFleet means that this daemon is the fleet's collector, since fleetSince.
	isFleet    bool
	fleetSince time.Duration
	// decided is the reply of the fleet's collector, or its own decision at this one.
	decided   *Reply
	decidedAt time.Duration
	// deciding means that a task is making a decision for the fleet.
	deciding bool
	limited  limitedLog
	// answered and failed count the reports of this daemon.
	answered, failed uint64
}

// reported names the receiver of reports of one kind.
type reported struct {
	to  member.ServerID
	sum bool
}

// New returns a Collector; Run starts it.
func New(cfg Config, self member.ServerID, domain string, members *member.Table, configs *manifest.Store,
	counter *allowance.Counter, link Link, logger Logger) *Collector {
	return &Collector{
		cfg: cfg, self: self, domain: domain, members: members, configs: configs, counter: counter, link: link, logger: logger,
		attempts: map[member.ServerID]*attempts{}, daemons: newBook(cfg.Window), sums: newBook(cfg.Window),
		limited: limitedLog{logger: logger},
	}
}

// Run reports until ctx ends, and waits for a change while there is nothing to report.
func (c *Collector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		configChanged := c.configs.Changed()
		interval, releasesChanged := c.interval()
		if interval > 0 {
			start := time.Now()
			c.exchange(ctx, interval)
			_ = wait.For(ctx, interval-time.Since(start))
			continue
		}
		c.stop()
		select {
		case <-ctx.Done():
		case <-configChanged:
		case <-releasesChanged:
		}
	}
	return nil
}

// interval returns the time until the next report, 0 if there is nothing to report until
// the configuration or the returned channel changes.
func (c *Collector) interval() (time.Duration, <-chan struct{}) {
	var changed <-chan struct{}
	if c.Releases != nil {
		var active bool
		if active, changed = c.Releases.Active(); active {
			return c.cfg.Interval, changed
		}
	}
	accounts := c.configs.Snapshot().Accounts()
	switch {
	case accounts.HasLimited():
		return c.cfg.Interval, changed
	case c.Releases != nil:
		// Only a reply tells that there is an order.
		return c.cfg.SumInterval, changed
	case c.cfg.VerifyAccounts && accounts.Len() > 0:
		return c.cfg.IdleInterval, changed
	}
	return 0, changed
}

// stop forgets the collectors, so that the next report is a whole one.
func (c *Collector) stop() {
	c.reported, c.recording, c.view = reported{}, false, nil
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons, c.sums = newBook(c.cfg.Window), newBook(c.cfg.Window)
	c.roles, c.isFleet, c.decided = roles{}, false, nil
}

// exchange makes one report as the role of this daemon demands, and applies the reply.
func (c *Collector) exchange(ctx context.Context, interval time.Duration) {
	r := c.updateRoles()
	now := c.configs.Now()
	if r.domain != nil && !c.collects(now) {
		c.recording = false
		c.reportOwn(ctx, r.domain)
		return
	}
	c.recordOwn(now)
	due := time.Since(c.reportedAt) >= c.cfg.SumInterval-interval/2
	if r.fleet != nil && (due || c.reported != (reported{r.fleet.Server, true})) {
		c.reportSum(ctx, r.fleet)
	}
	now = c.configs.Now()
	c.apply(c.ownReply(now), now)
}

// collects reports whether other daemons report to this one. It then is their collector,
// also if others come first in the order as it knows it.
func (c *Collector) collects(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons.inTouch(now, c.self) > 0
}

// reportOwn reports the counts of this daemon to the collector of its failure domain.
func (c *Collector) reportOwn(ctx context.Context, to *member.Record) {
	r := c.ownReport(c.startReport(to, false))
	asked := c.configs.Now()
	reply := c.send(ctx, to, r)
	if reply == nil || reply.Undecided {
		return
	}
	c.setDecided(reply, asked)
	c.apply(reply, asked)
}

// reportSum reports the counts of the failure domain to the fleet's collector.
func (c *Collector) reportSum(ctx context.Context, to *member.Record) {
	whole := c.startReport(to, true)
	asked := c.configs.Now()
	c.mu.Lock()
	r := sum(asked, c.daemons).report(c.self, whole, c.daemons.takeChanged())
	c.mu.Unlock()
	reply := c.send(ctx, to, r)
	if reply != nil && !reply.Undecided {
		c.setDecided(reply, asked)
	}
}

func (c *Collector) setDecided(r *Reply, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decided, c.decidedAt = r, at
}

// startReport reports whether the next report must hold all accounts.
func (c *Collector) startReport(to *member.Record, sum bool) (whole bool) {
	now, receiver := time.Now(), reported{to.Server, sum}
	whole = receiver != c.reported || now.Sub(c.wholeAt) >= c.cfg.WholeInterval
	if whole {
		c.wholeAt = now
	}
	c.reportedAt, c.reported = now, receiver
	return whole
}

// send sends a report and records what its reply says about the configuration. It returns
// nil if there is no reply; the next report then is a whole one.
func (c *Collector) send(ctx context.Context, to *member.Record, r *Report) *Reply {
	asked := c.configs.Now()
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	reply, err := c.link.Report(callCtx, to.PeerAddress, r)
	if ctx.Err() != nil {
		return nil
	}
	c.recordAttempt(to.Server, err)
	c.countReport(err == nil)
	if err != nil {
		c.reported = reported{}
		return nil
	}
	if reply.Verified {
		c.configs.Verify(reply.Version, asked-reply.VerificationAge)
	}
	return reply
}

func (c *Collector) countReport(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answered {
		c.answered++
		return
	}
	c.failed++
}

// ownReport returns the counts of this daemon.
func (c *Collector) ownReport(whole bool) *Report {
	r := &Report{From: c.self, Daemons: 1, Present: c.counter.Present(), Whole: whole, Accounts: c.counter.Counts(whole)}
	if c.Releases != nil {
		r.Releases = c.Releases.Counts()
	}
	return r
}

// recordOwn adds the counts of this daemon to those of its failure domain.
func (c *Collector) recordOwn(now time.Duration) {
	r := c.ownReport(!c.recording)
	c.recording = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons.put(r, now)
}

// apply applies a decision that was made at a time, or later, at this daemon.
func (c *Collector) apply(r *Reply, at time.Duration) {
	if r.Undecided {
		return
	}
	c.counter.Apply(r.Limits, at)
	if r.Fleet && c.Releases != nil {
		c.Releases.Apply(rollout.Aged(r.Directions, c.configs.Now()-at))
	}
}

// Status is what operators see of a collector.
type Status struct {
	// Domain and Fleet are the collectors in use, empty while nothing is collected.
	Domain, Fleet member.ServerID
	// Daemons is the number of daemons that the latest decision rests on.
	Daemons int
	// Answered and Failed count the reports that this daemon sent.
	Answered, Failed uint64
}

// Status returns the current status.
func (c *Collector) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{Answered: c.answered, Failed: c.failed}
	if c.decided != nil {
		s.Domain, s.Fleet, s.Daemons = c.nameOf(c.roles.domain), c.nameOf(c.roles.fleet), c.decided.Daemons
	}
	return s
}

func (c *Collector) nameOf(r *member.Record) member.ServerID {
	if r == nil {
		return c.self
	}
	return r.Server
}

// setRoles records the collectors in use and logs a change.
func (c *Collector) setRoles(r roles, fleetSize int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, after := c.nameOf(c.roles.domain), c.nameOf(r.domain)
	if before != after {
		c.logger.Infof("server %q collects for failure domain %s, previously %q", after, c.domain, before)
	}
	if was, is := c.nameOf(c.roles.fleet), c.nameOf(r.fleet); was != is && r.domain == nil {
		c.logger.Infof("server %q collects for the fleet, previously %q", is, was)
	}
	if r.fleet == nil && !c.isFleet {
		c.fleetSince = c.configs.Now()
	}
	c.roles, c.isFleet, c.fleetSize = r, r.fleet == nil, fleetSize
}
