package status

import (
	"context"
	"slices"
	"strings"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/target"
)

// writer keeps one shard's recent intervals and writes its summary.
type writer struct {
	cfg    Config
	store  Store
	self   member.ServerID
	domain string
	shard  int

	window []interval
	last   time.Time
	// loaded says that history was taken over from the stored summary.
	loaded   bool
	revision uint64
	history  map[ClassKey]history
	// newest is the highest version seen in force, first at newestAt.
	newest   manifest.Version
	newestAt time.Time
}

type interval struct {
	classes Classes
	length  time.Duration
}

// history is what a class's summary carries on from the one before.
type history struct {
	known bool
	met   bool
	since time.Time
	shape [HoursPerDay]HourPeak
}

func newWriter(cfg Config, store Store, self member.ServerID, domain string, shard int) *writer {
	return &writer{cfg: cfg, store: store, self: self, domain: domain, shard: shard, history: map[ClassKey]history{}}
}

// push adds the counts of one interval. Those of the first are dropped, since
// the time that they cover is not known.
func (w *writer) push(classes Classes) {
	now := time.Now()
	if w.last.IsZero() {
		w.last = now
		return
	}
	w.window = append(w.window, interval{classes: classes, length: now.Sub(w.last)})
	w.last = now
	if extra := len(w.window) - w.cfg.WindowIntervals; extra > 0 {
		w.window = slices.Delete(w.window, 0, extra)
	}
}

// summarize returns the summary of the window.
func (w *writer) summarize(snapshot *manifest.Snapshot, daemons []*member.Record, shards int) *Summary {
	s := &Summary{Domain: w.domain, Shard: w.shard, At: w.last, By: w.self}
	total := Classes{}
	for _, in := range w.window {
		total.Add(in.classes)
		s.Window += in.length
	}
	snapshot.Each(func(service *target.Service) {
		if shardOf(service.Name, shards) != w.shard {
			return
		}
		for i := range service.Classes {
			c := &service.Classes[i]
			s.Classes = append(s.Classes, ClassSummary{
				ClassKey: ClassKey{service.Name, c.Name}, Target: *c, Counts: total.Of(ClassKey{service.Name, c.Name}),
			})
			w.judge(&s.Classes[len(s.Classes)-1], c, s.Window)
		}
	})
	slices.SortFunc(s.Classes, func(a, b ClassSummary) int { return strings.Compare(a.String(), b.String()) })
	for _, r := range daemons {
		if r.Service != "" && shardOf(r.Service, shards) == w.shard {
			s.Servers = append(s.Servers, ServerSummary{Server: r.Server, Service: r.Service, Slots: r.Slots, State: stateOf(r)})
		}
	}
	return s
}

func stateOf(r *member.Record) string {
	if r.Health != member.Alive {
		return r.Health.String()
	}
	return r.State.String()
}

// judge compares a class with its target and carries its history on.
func (w *writer) judge(s *ClassSummary, c *target.Class, window time.Duration) {
	h := w.history[s.ClassKey]
	met := s.Counts.GoodShare() >= c.Success
	if !h.known || met != h.met {
		h.known, h.met, h.since = true, met, w.last
	}
	if len(w.window) == w.cfg.WindowIntervals && s.Counts.Offered > 0 {
		rate := float64(s.Counts.Offered) / window.Seconds()
		hour := w.last.Unix() / int64(time.Hour/time.Second)
		peak := &h.shape[hour%HoursPerDay]
		if peak.Hour != hour {
			*peak = HourPeak{Hour: hour}
		}
		peak.Rate = max(peak.Rate, rate)
	}
	w.history[s.ClassKey] = h
	s.Met, s.Since, s.HourlyPeaks = h.met, h.since, h.shape
}

// settle keeps those behind that had time to report the newest version.
func (w *writer) settle(p *Presence) {
	if v := p.newest(); v != w.newest {
		w.newest, w.newestAt = v, w.last
	}
	late := w.last.Sub(w.newestAt) > time.Duration(w.cfg.ExpiryIntervals)*w.cfg.Interval
	p.Behind = slices.DeleteFunc(p.Behind, func(l Laggard) bool { return !late || l.Version >= w.newest })
}

// save writes the summary. The first save takes over the history of the one
// that is stored.
func (w *writer) save(ctx context.Context, s *Summary) error {
	if !w.loaded {
		stored, revision, err := w.store.Summary(ctx, w.domain, w.shard)
		if err != nil {
			return err
		}
		w.loaded, w.revision = true, revision
		w.inherit(stored)
		w.carry(s)
	}
	revision, err := w.store.SaveSummary(ctx, s, w.revision)
	if err != nil {
		w.loaded = false
		return err
	}
	w.revision = revision
	return nil
}

// inherit takes over the history of a stored summary where this writer's own
// is shorter.
func (w *writer) inherit(stored *Summary) {
	if stored == nil {
		return
	}
	for i := range stored.Classes {
		c := &stored.Classes[i]
		h := w.history[c.ClassKey]
		if !h.known || (h.met == c.Met && c.Since.Before(h.since)) {
			h.known, h.met, h.since = true, c.Met, c.Since
		}
		for hour := range h.shape {
			h.shape[hour] = later(h.shape[hour], c.HourlyPeaks[hour])
		}
		w.history[c.ClassKey] = h
	}
}

func later(a, b HourPeak) HourPeak {
	if b.Hour > a.Hour || (b.Hour == a.Hour && b.Rate > a.Rate) {
		return b
	}
	return a
}

// carry puts the history into a summary.
func (w *writer) carry(s *Summary) {
	for i := range s.Classes {
		c := &s.Classes[i]
		h := w.history[c.ClassKey]
		c.Met, c.Since, c.HourlyPeaks = h.met, h.since, h.shape
	}
}
