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

// writer keeps a shard's recent intervals and writes its summary.
type writer struct {
	cfg    Config
	store  Store
	self   member.ServerID
	domain string
	shard  int

	window []interval
	lastAt time.Time
	// loaded says whether the history of the stored summary was merged.
	loaded   bool
	revision uint64
	history  map[ClassKey]history
	// newest is the highest version seen in force, newestAt when it was first
	// seen.
	newest   manifest.Version
	newestAt time.Time
}

type interval struct {
	classes Classes
	length  time.Duration
}

// history is what a class's summary takes over from the previous one.
type history struct {
	evaluated   bool
	met         bool
	since       time.Time
	hourlyPeaks [HoursPerDay]HourPeak
}

func newWriter(cfg Config, store Store, self member.ServerID, domain string, shard int) *writer {
	return &writer{cfg: cfg, store: store, self: self, domain: domain, shard: shard, history: map[ClassKey]history{}}
}

// addInterval adds the counts of one interval. Those of the first are dropped
// because the time that they cover is unknown.
func (w *writer) addInterval(classes Classes) {
	now := time.Now()
	if w.lastAt.IsZero() {
		w.lastAt = now
		return
	}
	w.window = append(w.window, interval{classes: classes, length: now.Sub(w.lastAt)})
	w.lastAt = now
	if excess := len(w.window) - w.cfg.WindowIntervals; excess > 0 {
		w.window = slices.Delete(w.window, 0, excess)
	}
}

// summarize returns the summary of the window.
func (w *writer) summarize(snapshot *manifest.Snapshot, daemons []*member.Record, shards int) *Summary {
	s := &Summary{Domain: w.domain, Shard: w.shard, At: w.lastAt, By: w.self}
	total := Classes{}
	for _, iv := range w.window {
		total.Add(iv.classes)
		s.Window += iv.length
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
			w.evaluate(&s.Classes[len(s.Classes)-1], c, s.Window)
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

// evaluate compares a class with its target and updates its history.
func (w *writer) evaluate(s *ClassSummary, c *target.Class, window time.Duration) {
	h := w.history[s.ClassKey]
	met := s.Counts.GoodShare() >= c.Success
	if !h.evaluated || met != h.met {
		h.evaluated, h.met, h.since = true, met, w.lastAt
	}
	if len(w.window) == w.cfg.WindowIntervals && s.Counts.Offered > 0 {
		rate := float64(s.Counts.Offered) / window.Seconds()
		hour := w.lastAt.Unix() / int64(time.Hour/time.Second)
		peak := &h.hourlyPeaks[hour%HoursPerDay]
		if peak.Hour != hour {
			*peak = HourPeak{Hour: hour}
		}
		peak.Rate = max(peak.Rate, rate)
	}
	w.history[s.ClassKey] = h
	s.Met, s.Since, s.HourlyPeaks = h.met, h.since, h.hourlyPeaks
}

// trimBehind removes daemons from Behind that have not had time to report the
// newest version.
func (w *writer) trimBehind(p *Presence) {
	if v := p.newest(); v != w.newest {
		w.newest, w.newestAt = v, w.lastAt
	}
	late := w.lastAt.Sub(w.newestAt) > time.Duration(w.cfg.ExpiryIntervals)*w.cfg.Interval
	p.Behind = slices.DeleteFunc(p.Behind, func(l Laggard) bool { return !late || l.Version >= w.newest })
}

// save writes the summary. The first save, and each after a failed one, merges
// the history of the stored summary.
func (w *writer) save(ctx context.Context, s *Summary) error {
	if !w.loaded {
		stored, revision, err := w.store.Summary(ctx, w.domain, w.shard)
		if err != nil {
			return err
		}
		w.loaded, w.revision = true, revision
		w.mergeHistory(stored)
		w.applyHistory(s)
	}
	revision, err := w.store.SaveSummary(ctx, s, w.revision)
	if err != nil {
		w.loaded = false
		return err
	}
	w.revision = revision
	return nil
}

// mergeHistory takes over the history of a stored summary where this writer's
// own is shorter.
func (w *writer) mergeHistory(stored *Summary) {
	if stored == nil {
		return
	}
	for i := range stored.Classes {
		c := &stored.Classes[i]
		h := w.history[c.ClassKey]
		if !h.evaluated || (h.met == c.Met && c.Since.Before(h.since)) {
			h.evaluated, h.met, h.since = true, c.Met, c.Since
		}
		for hour := range h.hourlyPeaks {
			h.hourlyPeaks[hour] = laterPeak(h.hourlyPeaks[hour], c.HourlyPeaks[hour])
		}
		w.history[c.ClassKey] = h
	}
}

func laterPeak(a, b HourPeak) HourPeak {
	if b.Hour > a.Hour || (b.Hour == a.Hour && b.Rate > a.Rate) {
		return b
	}
	return a
}

// applyHistory copies the history to a summary.
func (w *writer) applyHistory(s *Summary) {
	for i := range s.Classes {
		c := &s.Classes[i]
		h := w.history[c.ClassKey]
		c.Met, c.Since, c.HourlyPeaks = h.met, h.since, h.hourlyPeaks
	}
}
