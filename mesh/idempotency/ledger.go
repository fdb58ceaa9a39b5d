package idempotency

import (
	"container/list"
	"context"
	"slices"
	"sync"
	"time"

	"fescuehoist.example/mesh/member"
)

// Ledger holds the keys of which this daemon is a replica.
type Ledger struct {
	cfg      Config
	replicas *Replicas

	mu     sync.Mutex
	keys   map[ID]*entry
	byAge  list.List
	bytes  int
	closed bool
	// abandoned holds recently abandoned executions, so that a delayed Begin or
	// Import does not record them again.
	abandoned map[string]time.Time
}

// maxAbandoned is the maximum number of abandoned executions kept.
const maxAbandoned = 4096

// entry is a recorded key.
type entry struct {
	id            ID
	execution     string
	requestDigest uint64
	// deadline is when the execution must have ended, expires when the key is
	// dropped.
	deadline, expires time.Time
	ended             bool
	outcome           *Outcome
	// transferredTo lists the daemons that the key was transferred to.
	transferredTo []member.ServerID
	// changed is closed when the execution ends or is abandoned.
	changed chan struct{}
	element *list.Element
}

// NewLedger returns an empty ledger.
func NewLedger(cfg Config, replicas *Replicas) *Ledger {
	return &Ledger{cfg: cfg, replicas: replicas, keys: map[ID]*entry{}, abandoned: map[string]time.Time{}}
}

// Begin records a key, or returns what is already recorded for it.
func (l *Ledger) Begin(m *Begin) *Reply {
	replicas := l.replicas.For(m.ID)
	reply := &Reply{Replicas: serverIDs(replicas)}
	for _, r := range replicas {
		if l.replicas.lostState(r) {
			reply.LostState = append(reply.LostState, r.id)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.expire(now)
	e := l.keys[m.ID]
	switch {
	case e != nil && e.requestDigest != m.RequestDigest:
		reply.State = KeyReused
	case e != nil && e.execution == m.Execution:
		reply.State = Granted
	case e != nil:
		reply.State, reply.Outcome = e.state(now), e.outcome
	case !slices.Equal(reply.Replicas, m.Replicas):
		reply.State = ReplicasDiffer
	case l.closed || len(l.keys) >= l.cfg.MaxKeys || !l.abandoned[m.Execution].IsZero():
		reply.State = Refused
	default:
		reply.State = Granted
		l.add(&entry{id: m.ID, execution: m.Execution, requestDigest: m.RequestDigest, deadline: now.Add(m.Timeout), expires: now.Add(l.cfg.Retention)})
	}
	return reply
}

func (l *Ledger) add(e *entry) {
	e.changed = make(chan struct{})
	e.element = l.byAge.PushBack(e)
	l.keys[e.id] = e
}

func (l *Ledger) remove(e *entry) {
	l.byAge.Remove(e.element)
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
	for element := l.byAge.Front(); element != nil; element = l.byAge.Front() {
		e := element.Value.(*entry)
		if now.Before(e.expires) {
			return
		}
		l.remove(e)
	}
}

// state returns the state of a key for executions other than its own. An
// execution past its deadline counts as finished with an unknown outcome.
func (e *entry) state(now time.Time) State {
	if e.ended || now.After(e.deadline) {
		return Finished
	}
	return Running
}

// Await returns once the execution of a key has ended or its deadline has
// passed, or when ctx ends.
func (l *Ledger) Await(ctx context.Context, id ID) *Reply {
	l.mu.Lock()
	e := l.keys[id]
	l.mu.Unlock()
	if e == nil {
		return &Reply{State: NotFound}
	}
	ctx, cancel := context.WithDeadline(ctx, e.deadline)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-e.changed:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keys[id] != e {
		return &Reply{State: NotFound}
	}
	return &Reply{State: e.state(time.Now()), Outcome: e.outcome}
}

// Finish ends an execution, or removes the key if it was abandoned. It returns
// the daemons that the key was transferred to.
func (l *Ledger) Finish(m *Finish) []member.ServerID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Abandoned {
		l.recordAbandoned(m.Execution, time.Now())
	}
	e := l.keys[m.ID]
	if e == nil || e.execution != m.Execution || e.ended {
		return nil
	}
	if m.Abandoned {
		l.remove(e)
		return e.transferredTo
	}
	e.ended = true
	l.storeOutcome(e, m.Outcome)
	close(e.changed)
	return e.transferredTo
}

// recordAbandoned records that an execution was abandoned.
func (l *Ledger) recordAbandoned(execution string, now time.Time) {
	if len(l.abandoned) >= maxAbandoned {
		for other, at := range l.abandoned {
			if now.Sub(at) > 4*l.cfg.ReplicaTimeout {
				delete(l.abandoned, other)
			}
		}
	}
	if len(l.abandoned) < maxAbandoned {
		l.abandoned[execution] = now
	}
}

// storeOutcome stores an outcome if it is within the size limits.
func (l *Ledger) storeOutcome(e *entry, o *Outcome) {
	if o == nil || len(o.Body) > l.cfg.MaxOutcomeBytes || l.bytes+len(o.Body) > l.cfg.MaxBytes {
		return
	}
	l.bytes += len(o.Body)
	e.outcome = o
}

// Import records keys transferred from another replica.
func (l *Ledger) Import(transfers []Transfer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.expire(now)
	for i := range transfers {
		t := &transfers[i]
		if l.keys[t.ID] != nil || len(l.keys) >= l.cfg.MaxKeys || !l.abandoned[t.Execution].IsZero() {
			continue
		}
		e := &entry{
			id: t.ID, execution: t.Execution, requestDigest: t.RequestDigest,
			deadline: now.Add(t.Timeout), expires: now.Add(min(t.Retention, l.cfg.Retention)),
		}
		l.add(e)
		if t.Ended {
			e.ended = true
			l.storeOutcome(e, t.Outcome)
			close(e.changed)
		}
	}
}

// Close makes the ledger refuse new keys.
func (l *Ledger) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// Len returns the number of recorded keys.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.keys)
}

// transfers returns the keys to transfer, by recipient; recipients returns the
// daemons that are new replicas of a key.
func (l *Ledger) transfers(recipients func(ID) []member.ServerID) map[member.ServerID][]Transfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.expire(now)
	byServer := map[member.ServerID][]Transfer{}
	for id, e := range l.keys {
		for _, server := range recipients(id) {
			e.transferredTo = append(e.transferredTo, server)
			byServer[server] = append(byServer[server], Transfer{
				ID: id, Execution: e.execution, RequestDigest: e.requestDigest, Ended: e.ended, Outcome: e.outcome,
				Timeout: e.deadline.Sub(now), Retention: e.expires.Sub(now),
			})
		}
	}
	return byServer
}
