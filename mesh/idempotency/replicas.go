package idempotency

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/wait"
)

const (
	// minRestartIncrement is the smallest increase of an incarnation that
	// indicates a restart; a refuted suspicion increases it by one.
	minRestartIncrement = 1000
	// batchDelay is how long membership changes are collected before they are
	// applied.
	batchDelay = 20 * time.Millisecond
)

// replica is a daemon that may keep keys.
type replica struct {
	id              member.ServerID
	domain, address string
	hash            uint64
	incarnation     uint64
	failed, left    bool
	// stateLostAt is when the daemon was seen to have lost its records.
	stateLostAt time.Time
}

// Replicas chooses the replicas of keys. It includes failed daemons: they may
// hold keys, and may be partitioned from this daemon rather than down.
type Replicas struct {
	cfg     Config
	table   *member.Table
	current atomic.Pointer[membership]
}

// membership is an immutable snapshot of the daemons that may keep keys.
type membership struct {
	replicas map[member.ServerID]*replica
	domains  []*domain
}

// domain holds the daemons of one failure domain.
type domain struct {
	hash uint64
	// hashes are the hashes of replicas, in a slice of their own for speed.
	hashes   []uint64
	replicas []*replica
}

func newMembership(members []*replica) *membership {
	m := &membership{replicas: make(map[member.ServerID]*replica, len(members))}
	domains := map[string]*domain{}
	for _, r := range members {
		m.replicas[r.id] = r
		d := domains[r.domain]
		if d == nil {
			d = &domain{hash: xxhash.Sum64String(r.domain)}
			domains[r.domain] = d
			m.domains = append(m.domains, d)
		}
		d.hashes = append(d.hashes, r.hash)
		d.replicas = append(d.replicas, r)
	}
	return m
}

// NewReplicas returns the replicas among the members of a table; Run keeps
// them up to date.
func NewReplicas(cfg Config, table *member.Table) *Replicas {
	rs := &Replicas{cfg: cfg, table: table}
	rs.current.Store(&membership{})
	rs.update(time.Now())
	return rs
}

// Run applies membership changes until ctx ends. After each batch it calls
// joined with the new daemons.
func (rs *Replicas) Run(ctx context.Context, joined func(context.Context, []member.ServerID)) error {
	for {
		changed := rs.table.Changed()
		if added := rs.update(time.Now()); len(added) > 0 {
			joined(ctx, added)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
		if wait.For(ctx, batchDelay) != nil {
			return nil
		}
	}
}

// update applies the current view and returns the daemons that are new in it.
func (rs *Replicas) update(now time.Time) []member.ServerID {
	before := rs.current.Load().replicas
	var current []*replica
	var added []member.ServerID
	for _, record := range rs.table.View().All() {
		next := nextState(before[record.Server], record, now)
		if next.left || (next.failed && now.Sub(next.stateLostAt) > rs.cfg.Retention) {
			// Daemons that left keep no keys, though the table still lists them.
			continue
		}
		if before[record.Server] == nil {
			added = append(added, record.Server)
		}
		current = append(current, next)
	}
	rs.current.Store(newMembership(current))
	return added
}

// nextState returns the state of a daemon after an update of its record;
// previous is nil for a new daemon.
func nextState(previous *replica, record *member.Record, now time.Time) *replica {
	state := &replica{
		id: record.Server, domain: record.Domain, address: record.CallAddress, incarnation: record.Incarnation,
		hash:   xxhash.Sum64String(string(record.Server)),
		failed: record.Health == member.Failed, left: record.State == member.Left,
	}
	switch {
	case previous == nil && state.failed:
		state.stateLostAt = now
	case previous == nil:
	case record.Incarnation >= previous.incarnation+minRestartIncrement:
		state.stateLostAt = now
	case state.failed && !previous.failed:
		state.stateLostAt = now
	case state.failed || previous.stateLostAt.IsZero() || !previous.failed:
		state.stateLostAt = previous.stateLostAt
	}
	return state
}

// For returns the replicas of a key: the highest-scoring daemon in each of the
// highest-scoring failure domains, plus the next highest-scoring daemons if
// there are too few domains.
func (rs *Replicas) For(id ID) []*replica { return rs.choose(id, "") }

// forWithout returns the replicas that a key has after a daemon has left.
func (rs *Replicas) forWithout(left member.ServerID, id ID) []member.ServerID {
	return serverIDs(rs.choose(id, left))
}

func (rs *Replicas) choose(id ID, excluded member.ServerID) []*replica {
	key := xxhash.Sum64String(id.Service + "\x00" + id.Client + "\x00" + id.Key)
	members := rs.current.Load()
	domains := slices.Clone(members.domains)
	slices.SortFunc(domains, func(a, b *domain) int { return cmp.Compare(score(b.hash, key), score(a.hash, key)) })
	var chosen []*replica
	for _, d := range domains {
		if len(chosen) == rs.cfg.Replicas {
			return chosen
		}
		if r := d.highest(key, excluded); r != nil {
			chosen = append(chosen, r)
		}
	}
	return append(chosen, members.nextHighest(key, excluded, chosen, rs.cfg.Replicas-len(chosen))...)
}

// highest returns the daemon with the highest score, or nil if there is none
// but the excluded one.
func (d *domain) highest(key uint64, excluded member.ServerID) *replica {
	var best *replica
	bestScore := uint64(0)
	for i, hash := range d.hashes {
		if s := score(hash, key); (best == nil || s > bestScore) && d.replicas[i].id != excluded {
			best, bestScore = d.replicas[i], s
		}
	}
	return best
}

// nextHighest returns up to count daemons that are not in chosen, highest
// score first.
func (m *membership) nextHighest(key uint64, excluded member.ServerID, chosen []*replica, count int) []*replica {
	if count == 0 {
		return nil
	}
	var candidates []*replica
	for _, r := range m.replicas {
		if r.id != excluded && !slices.Contains(chosen, r) {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *replica) int { return cmp.Compare(score(b.hash, key), score(a.hash, key)) })
	return candidates[:min(len(candidates), count)]
}

// score ranks daemons for a key (rendezvous hashing with a 64-bit finalizer).
func score(hash, key uint64) uint64 {
	x := hash ^ key
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// lostState reports whether a replica lost its records within the retention
// time.
func (rs *Replicas) lostState(r *replica) bool {
	return !r.stateLostAt.IsZero() && time.Since(r.stateLostAt) < rs.cfg.Retention
}

func serverIDs(replicas []*replica) []member.ServerID {
	ids := make([]member.ServerID, len(replicas))
	for i, r := range replicas {
		ids[i] = r.id
	}
	return ids
}

// find returns the daemon with the given ID, or nil.
func (rs *Replicas) find(id member.ServerID) *replica { return rs.current.Load().replicas[id] }
