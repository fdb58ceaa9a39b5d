package status

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/stop"
	"fescuehoist.example/mesh/wait"
)

// Logger receives the log messages of a Collector.
type Logger interface {
	Infof(format string, args ...any)
	Debugf(format string, args ...any)
}

// Collector adds up the counts measured by this daemon and reported by others,
// and reports them to its parent or, as the root of a shard's tree, writes the
// summary.
type Collector struct {
	cfg          Config
	self         member.ServerID
	domain       string
	meter        *Meter
	members      *member.Table
	configs      *manifest.Store
	parentClient ParentClient
	store        Store
	stops        *stop.Executor
	logger       Logger

	mu       sync.Mutex
	shards   map[int]Classes
	children map[member.ServerID]childReport
	writers  map[int]*writer
}

// childReport is the last report of presence from a daemon that reports to
// this one.
type childReport struct {
	presence *Presence
	at       time.Time
}

// NewCollector returns a collector; Run starts it.
func NewCollector(cfg Config, self member.ServerID, domain string, meter *Meter, members *member.Table,
	configs *manifest.Store, parentClient ParentClient, store Store, stops *stop.Executor, logger Logger) *Collector {
	return &Collector{
		cfg: cfg, self: self, domain: domain, meter: meter, members: members, configs: configs,
		parentClient: parentClient, store: store, stops: stops, logger: logger,
		shards: map[int]Classes{}, children: map[member.ServerID]childReport{}, writers: map[int]*writer{},
	}
}

// Receive handles a report from another daemon. It fails if the sender
// precedes this daemon in the shard's tree.
func (c *Collector) Receive(r *Report) (*Reply, error) {
	if rank(r.From, r.Shard) <= rank(c.self, r.Shard) {
		return nil, errNotChild
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(r.Shard, r.Classes)
	if r.Presence != nil {
		c.children[r.From] = childReport{presence: r.Presence, at: time.Now()}
	}
	return &Reply{Stops: c.stops.List()}, nil
}

func (c *Collector) add(shard int, classes Classes) {
	if c.shards[shard] == nil {
		c.shards[shard] = Classes{}
	}
	c.shards[shard].Add(classes)
}

// firstReportDelay is the time from start to the first report, whose reply
// carries the planned stops, also one already under way.
const firstReportDelay = time.Second

// Run reports and writes summaries until ctx ends.
func (c *Collector) Run(ctx context.Context) error {
	if wait.For(ctx, min(firstReportDelay, c.cfg.Interval)) != nil {
		return nil
	}
	c.reportFirst(ctx)
	tick := time.NewTicker(c.cfg.Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		c.flush(ctx)
	}
}

// reportFirst sends the first report. A daemon that appears to be the root may
// not know the other daemons yet, so it waits for the first interval.
func (c *Collector) reportFirst(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Interval)
	defer cancel()
	if daemons := c.daemons(); !isRoot(c.self, daemons, 0) {
		c.report(ctx, 0, nil, daemons)
	}
}

// flush reports or writes what was collected in one interval.
func (c *Collector) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Interval)
	defer cancel()
	shards := shardCount(c.configs.Snapshot().Len(), c.cfg.ServicesPerShard)
	c.mu.Lock()
	for k, counts := range c.meter.take() {
		c.add(shardOf(k.Service, shards), Classes{k: counts})
	}
	c.mu.Unlock()
	daemons := c.daemons()
	var g errgroup.Group
	for shard := range shards {
		if isRoot(c.self, daemons, shard) {
			g.Go(func() error { c.write(ctx, shard, shards, daemons); return nil })
			continue
		}
		c.dropWriter(shard)
		if classes := c.take(shard); shard == 0 || len(classes) > 0 {
			g.Go(func() error { c.report(ctx, shard, classes, daemons); return nil })
		}
	}
	_ = g.Wait()
}

// daemons returns the live daemons of the failure domain.
func (c *Collector) daemons() []*member.Record {
	var live []*member.Record
	for _, r := range c.members.View().All() {
		if r.Domain == c.domain && !r.Terminal() {
			live = append(live, r)
		}
	}
	return live
}

func (c *Collector) take(shard int) Classes {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.shards[shard]
	delete(c.shards, shard)
	return taken
}

// report sends a shard's counts to the parent in its tree. Counts that could
// not be sent are added to the next report.
func (c *Collector) report(ctx context.Context, shard int, classes Classes, daemons []*member.Record) {
	r := &Report{From: c.self, Shard: shard, Classes: classes}
	if shard == 0 {
		r.Presence = c.presence()
	}
	parent := parentOf(c.self, daemons, shard, c.cfg.Fanout)
	reply, err := c.parentClient.Report(ctx, parent.PeerAddress, r)
	if err != nil {
		c.logger.Debugf("report to %s failed, counts go with the next report: %v", parent.Server, err)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.add(shard, classes)
		return
	}
	c.stops.Update(reply.Stops)
}

// presence returns the presence of this daemon and of all that report to it.
func (c *Collector) presence() *Presence {
	p := newPresence(c.self, c.configs.Snapshot().Version(), c.configs.Refusal())
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := time.Now().Add(-time.Duration(c.cfg.ExpiryIntervals) * c.cfg.Interval)
	for id, report := range c.children {
		if report.at.Before(oldest) {
			delete(c.children, id)
			continue
		}
		p.add(report.presence)
	}
	return p
}

// notReporting returns up to MaxNamed daemons that should report to this one
// but did not.
func (c *Collector) notReporting(daemons []*member.Record) []member.ServerID {
	var notReporting []member.ServerID
	for _, r := range daemons {
		if r.Server == c.self || len(notReporting) >= MaxNamed {
			continue
		}
		parent := parentOf(r.Server, daemons, 0, c.cfg.Fanout)
		if parent == nil || parent.Server != c.self {
			continue
		}
		c.mu.Lock()
		_, reported := c.children[r.Server]
		c.mu.Unlock()
		if !reported {
			notReporting = append(notReporting, r.Server)
		}
	}
	return notReporting
}

// write adds the interval to the shard's window and writes the summary.
func (c *Collector) write(ctx context.Context, shard, shards int, daemons []*member.Record) {
	c.mu.Lock()
	w := c.writers[shard]
	if w == nil {
		w = newWriter(c.cfg, c.store, c.self, c.domain, shard)
		c.writers[shard] = w
	}
	c.mu.Unlock()
	w.addInterval(c.take(shard))
	s := w.summarize(c.configs.Snapshot(), daemons, shards)
	if shard == 0 {
		p := c.presence()
		s.Presence, s.Expected = p, len(daemons)
		if p.count() < len(daemons) {
			s.NotReporting = c.notReporting(daemons)
		}
		w.trimBehind(p)
		c.readStops(ctx)
	}
	if err := w.save(ctx, s); err != nil {
		c.logger.Debugf("writing the status summary failed, retrying after the next interval: %v", err)
	}
}

// dropWriter drops the window of a shard whose root is another daemon.
func (c *Collector) dropWriter(shard int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.writers, shard)
}

func (c *Collector) readStops(ctx context.Context) {
	list, err := c.store.Stops(ctx)
	if err != nil {
		c.logger.Debugf("reading the planned stops failed, keeping the current list: %v", err)
		return
	}
	c.stops.Update(list)
}
