package idempotency

import (
	"container/list"
	"context"
	"slices"
	"sync"
	"time"

	"fescuehoist.example/mesh/member"
)

// Ledger holds the keys of which this daemon is a home.
type Ledger struct {
	cfg   Config
	homes *Replicas

	mu      sync.Mutex
	keys    map[ID]*entry
	order   list.List
	bytes   int
	leaving bool
	// abandoned remembers runs for a while, so that a message that is
	// overtaken does not record them again.
	abandoned map[string]time.Time
}

// maxAbandoned bounds the abandoned runs that are remembered.
const maxAbandoned = 4096

// entry is a recorded key.
type entry struct {
	id      ID
	run     string
	request uint64
	// until is when the run must have ended, expires when the key is dropped.
	until, expires time.Time
	ended          bool
	outcome        *Outcome
	// copied lists the daemons that were given a copy.
	copied []member.ServerID
	// changed is closed when the run ends or is abandoned.
	changed chan struct{}
	place   *list.Element
}

// NewLedger returns an empty ledger.
func NewLedger(cfg Config, homes *Replicas) *Ledger {
	return &Ledger{cfg: cfg, homes: homes, keys: map[ID]*entry{}, abandoned: map[string]time.Time{}}
}

// Begin records a key, or says what is recorded of it.
func (l *Ledger) Begin(m *Begin) *Reply {
	homes := l.homes.Of(m.ID)
	reply := &Reply{Homes: idsOf(homes)}
	for _, k := range homes {
		if l.homes.forgetful(k) {
			reply.Forgetful = append(reply.Forgetful, k.id)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.expire(now)
	e := l.keys[m.ID]
	switch {
	case e != nil && e.request != m.Request:
		reply.State = Reused
	case e != nil && e.run == m.Run:
		reply.State = Granted
	case e != nil:
		reply.State, reply.Outcome = e.state(now), e.outcome
	case !slices.Equal(reply.Homes, m.Homes):
		reply.State = Disagreed
	case l.leaving || len(l.keys) >= l.cfg.MaxKeys || !l.abandoned[m.Run].IsZero():
		reply.State = Refused
	default:
		reply.State = Granted
		l.add(&entry{id: m.ID, run: m.Run, request: m.Request, until: now.Add(m.Left), expires: now.Add(l.cfg.Retention)})
	}
	return reply
}

func (l *Ledger) add(e *entry) {
	e.changed = make(chan struct{})
	e.place = l.order.PushBack(e)
	l.keys[e.id] = e
}

func (l *Ledger) remove(e *entry) {
	l.order.Remove(e.place)
	delete(l.keys, e.id)
	if e.outcome != nil {
		l.bytes -= len(e.outcome.Body)
	}
	if !e.ended {
		close(e.changed)
	}
}

// expire drops the keys whose retention time has passed.
func (l *Ledger) expire(now time.Time) {
	for p := l.order.Front(); p != nil; p = l.order.Front() {
		e := p.Value.(*entry)
		if now.Before(e.expires) {
			return
		}
		l.remove(e)
	}
}

// state returns the state of a key for a run other than its own. A run that
// lasts too long counts as ended without a known outcome.
func (e *entry) state(now time.Time) State {
	if e.ended || now.After(e.until) {
		return Finished
	}
	return Running
}

// Await returns once the run of a key has ended or must have ended.
func (l *Ledger) Await(ctx context.Context, id ID) *Reply {
	l.mu.Lock()
	e := l.keys[id]
	l.mu.Unlock()
	if e == nil {
		return &Reply{State: Gone}
	}
	ctx, cancel := context.WithDeadline(ctx, e.until)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-e.changed:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keys[id] != e {
		return &Reply{State: Gone}
	}
	return &Reply{State: e.state(time.Now()), Outcome: e.outcome}
}

// Finish ends a run, or forgets one that is abandoned. It returns the daemons
// that were given a copy of the key.
func (l *Ledger) Finish(m *Finish) []member.ServerID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Abandoned {
		l.abandon(m.Run, time.Now())
	}
	e := l.keys[m.ID]
	if e == nil || e.run != m.Run || e.ended {
		return nil
	}
	if m.Abandoned {
		l.remove(e)
		return e.copied
	}
	e.ended = true
	l.keep(e, m.Outcome)
	close(e.changed)
	return e.copied
}

// abandon remembers an abandoned run.
func (l *Ledger) abandon(run string, now time.Time) {
	if len(l.abandoned) >= maxAbandoned {
		for known, at := range l.abandoned {
			if now.Sub(at) > 4*l.cfg.ReplicaTimeout {
				delete(l.abandoned, known)
			}
		}
	}
	if len(l.abandoned) < maxAbandoned {
		l.abandoned[run] = now
	}
}

// keep keeps an outcome if there is room for it.
func (l *Ledger) keep(e *entry, o *Outcome) {
	if o == nil || len(o.Body) > l.cfg.MaxOutcomeBytes || l.bytes+len(o.Body) > l.cfg.MaxBytes {
		return
	}
	l.bytes += len(o.Body)
	e.outcome = o
}

// Import takes over keys from another home.
func (l *Ledger) Import(copies []Transfer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.expire(now)
	for i := range copies {
		c := &copies[i]
		if l.keys[c.ID] != nil || len(l.keys) >= l.cfg.MaxKeys || !l.abandoned[c.Run].IsZero() {
			continue
		}
		e := &entry{
			id: c.ID, run: c.Run, request: c.Request,
			until: now.Add(c.Left), expires: now.Add(min(c.Kept, l.cfg.Retention)),
		}
		l.add(e)
		if c.Ended {
			e.ended = true
			l.keep(e, c.Outcome)
			close(e.changed)
		}
	}
}

// Close refuses new keys from now on.
func (l *Ledger) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

// Len returns the number of keys kept.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.keys)
}

// copies returns the keys that the given daemons need, by daemon: those of
// which need says that they are new homes.
func (l *Ledger) copies(need func(ID) []member.ServerID) map[member.ServerID][]Transfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.expire(now)
	found := map[member.ServerID][]Transfer{}
	for id, e := range l.keys {
		for _, server := range need(id) {
			e.copied = append(e.copied, server)
			found[server] = append(found[server], Transfer{
				ID: id, Run: e.run, Request: e.request, Ended: e.ended, Outcome: e.outcome,
				Left: e.until.Sub(now), Kept: e.expires.Sub(now),
			})
		}
	}
	return found
}
