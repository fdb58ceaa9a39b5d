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

// Logger takes short messages about the gathering.
type Logger interface {
	Infof(format string, args ...any)
	Debugf(format string, args ...any)
}

// Collector is this daemon's part in gathering status: it adds up what was
// measured here and reported by others, and passes it on.
type Collector struct {
	cfg     Config
	self    member.ServerID
	domain  string
	meter   *Meter
	members *member.Table
	configs *manifest.Store
	uplink  ParentClient
	store   Store
	stops   *stop.Executor
	out     Logger

	mu       sync.Mutex
	shards   map[int]Classes
	children map[member.ServerID]child
	writers  map[int]*writer
}

// child is what a daemon that reports to this one said last.
type child struct {
	presence *Presence
	at       time.Time
}

// NewCollector returns a collector; Run starts it.
func NewCollector(cfg Config, self member.ServerID, domain string, meter *Meter, members *member.Table,
	log *manifest.Store, uplink ParentClient, store Store, stops *stop.Executor, out Logger) *Collector {
	return &Collector{
		cfg: cfg, self: self, domain: domain, meter: meter, members: members, configs: log,
		uplink: uplink, store: store, stops: stops, out: out,
		shards: map[int]Classes{}, children: map[member.ServerID]child{}, writers: map[int]*writer{},
	}
}

// Receive takes a report from another daemon.
func (c *Collector) Receive(r *Report) (*Reply, error) {
	if weight(r.From, r.Shard) <= weight(c.self, r.Shard) {
		return nil, errOrder
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(r.Shard, r.Classes)
	if r.Presence != nil {
		c.children[r.From] = child{presence: r.Presence, at: time.Now()}
	}
	return &Reply{Stops: c.stops.List()}, nil
}

func (c *Collector) add(shard int, classes Classes) {
	if c.shards[shard] == nil {
		c.shards[shard] = Classes{}
	}
	c.shards[shard].Add(classes)
}

// joinDelay is how long after its start a daemon reports for the first time, to
// learn of a planned stop that is under way.
const joinDelay = time.Second

// Run reports and writes summaries until ctx ends.
func (c *Collector) Run(ctx context.Context) error {
	if wait.For(ctx, min(joinDelay, c.cfg.Interval)) != nil {
		return nil
	}
	c.join(ctx)
	tick := time.NewTicker(c.cfg.Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		c.pass(ctx)
	}
}

// join reports for the first time. A daemon that seems to come first in the
// tree may just not know the others yet, so it waits for its first pass.
func (c *Collector) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Interval)
	defer cancel()
	if daemons := c.daemons(); !isRoot(c.self, daemons, 0) {
		c.report(ctx, 0, nil, daemons)
	}
}

// pass sends on what was gathered in one interval.
func (c *Collector) pass(ctx context.Context) {
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
		c.resign(shard)
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

// report sends a shard's counts to the next daemon of the tree. Counts that
// did not arrive go with the next report.
func (c *Collector) report(ctx context.Context, shard int, classes Classes, daemons []*member.Record) {
	r := &Report{From: c.self, Shard: shard, Classes: classes}
	if shard == 0 {
		r.Presence = c.presence()
	}
	parent := parentOf(c.self, daemons, shard, c.cfg.Fanout)
	reply, err := c.uplink.Report(ctx, parent.PeerAddress, r)
	if err != nil {
		c.out.Debugf("cannot report to %s: %v", parent.Server, err)
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
	for id, ch := range c.children {
		if ch.at.Before(oldest) {
			delete(c.children, id)
			continue
		}
		p.add(ch.presence)
	}
	return p
}

// silent returns the daemons that should report to this one but did not.
func (c *Collector) silent(daemons []*member.Record) []member.ServerID {
	var silent []member.ServerID
	for _, r := range daemons {
		if r.Server == c.self || len(silent) >= MaxNamed {
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
			silent = append(silent, r.Server)
		}
	}
	return silent
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
	w.push(c.take(shard))
	s := w.summarize(c.configs.Snapshot(), daemons, shards)
	if shard == 0 {
		p := c.presence()
		s.Presence, s.Expected = p, len(daemons)
		if p.count() < len(daemons) {
			s.NotReporting = c.silent(daemons)
		}
		w.settle(p)
		c.readStops(ctx)
	}
	if err := w.save(ctx, s); err != nil {
		c.out.Debugf("cannot write the status: %v", err)
	}
}

// resign drops the window of a shard whose root is another daemon now.
func (c *Collector) resign(shard int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.writers, shard)
}

func (c *Collector) readStops(ctx context.Context) {
	list, err := c.store.Stops(ctx)
	if err != nil {
		c.out.Debugf("cannot read the planned stops: %v", err)
		return
	}
	c.stops.Update(list)
}
