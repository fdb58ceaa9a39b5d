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
	// restartJump is the least growth of an incarnation that shows a restart;
	// a refuted accusation grows it by one.
	restartJump = 1000
	// settleDelay is how long changes of membership are gathered.
	settleDelay = 20 * time.Millisecond
)

// home is a daemon that may keep keys.
type home struct {
	id              member.ServerID
	domain, address string
	hash            uint64
	incarnation     uint64
	gone, left      bool
	// forgotAt is when the daemon was seen to have lost its records.
	forgotAt time.Time
}

// Replicas chooses the homes of keys. It remembers daemons that failed, since
// they may hold keys or be cut off rather than dead.
type Replicas struct {
	cfg   Config
	table *member.Table
	known atomic.Pointer[fleet]
}

// fleet is an immutable picture of the daemons that may keep keys.
type fleet struct {
	homes   map[member.ServerID]*home
	domains []*domain
}

// domain holds the daemons of one failure domain.
type domain struct {
	hash uint64
	// hashes are those of the homes, side by side for speed.
	hashes []uint64
	homes  []*home
}

func newFleet(known []*home) *fleet {
	f := &fleet{homes: make(map[member.ServerID]*home, len(known))}
	domains := map[string]*domain{}
	for _, k := range known {
		f.homes[k.id] = k
		d := domains[k.domain]
		if d == nil {
			d = &domain{hash: xxhash.Sum64String(k.domain)}
			domains[k.domain] = d
			f.domains = append(f.domains, d)
		}
		d.hashes = append(d.hashes, k.hash)
		d.homes = append(d.homes, k)
	}
	return f
}

// NewReplicas returns the homes among the members of a table; Run keeps them up
// to date.
func NewReplicas(cfg Config, table *member.Table) *Replicas {
	h := &Replicas{cfg: cfg, table: table}
	h.known.Store(&fleet{})
	h.update(time.Now())
	return h
}

// Run follows changes of membership until ctx ends, and calls joined after
// each with the daemons that are new.
func (h *Replicas) Run(ctx context.Context, joined func(context.Context, []member.ServerID)) error {
	for {
		changed := h.table.Changed()
		if news := h.update(time.Now()); len(news) > 0 {
			joined(ctx, news)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
		if wait.For(ctx, settleDelay) != nil {
			return nil
		}
	}
}

// update takes the current view and returns the daemons that are new in it.
func (h *Replicas) update(now time.Time) []member.ServerID {
	before := h.known.Load().homes
	var known []*home
	var news []member.ServerID
	for _, r := range h.table.View().All() {
		k := next(before[r.Server], r, now)
		if k.left || (k.gone && now.Sub(k.forgotAt) > h.cfg.Retention) {
			// Left daemons are remembered by the table; they keep no keys.
			continue
		}
		if before[r.Server] == nil {
			news = append(news, r.Server)
		}
		known = append(known, k)
	}
	h.known.Store(newFleet(known))
	return news
}

// next returns what is known of a daemon after its record was seen.
func next(old *home, r *member.Record, now time.Time) *home {
	k := &home{
		id: r.Server, domain: r.Domain, address: r.CallAddress, incarnation: r.Incarnation,
		hash: xxhash.Sum64String(string(r.Server)),
		gone: r.Health == member.Failed, left: r.State == member.Left,
	}
	switch {
	case old == nil && k.gone:
		k.forgotAt = now
	case old == nil:
	case r.Incarnation >= old.incarnation+restartJump:
		k.forgotAt = now
	case k.gone && !old.gone:
		k.forgotAt = now
	case k.gone || old.forgotAt.IsZero() || !old.gone:
		k.forgotAt = old.forgotAt
	}
	return k
}

// Of returns the homes of a key: the first daemon in each of the first failure
// domains, and further daemons if there are too few domains. Failure domains
// and daemons are ordered by their scores.
func (h *Replicas) Of(id ID) []*home { return h.choose(id, "") }

// without returns the homes that a key has once a daemon has left.
func (h *Replicas) without(left member.ServerID, id ID) []member.ServerID {
	return idsOf(h.choose(id, left))
}

func (h *Replicas) choose(id ID, except member.ServerID) []*home {
	key := xxhash.Sum64String(id.Service + "\x00" + id.Client + "\x00" + id.Key)
	f := h.known.Load()
	domains := slices.Clone(f.domains)
	slices.SortFunc(domains, func(a, b *domain) int { return cmp.Compare(score(b.hash, key), score(a.hash, key)) })
	var chosen []*home
	for _, d := range domains {
		if len(chosen) == h.cfg.Homes {
			return chosen
		}
		if k := d.first(key, except); k != nil {
			chosen = append(chosen, k)
		}
	}
	return append(chosen, f.further(key, except, chosen, h.cfg.Homes-len(chosen))...)
}

// first returns the daemon with the highest score.
func (d *domain) first(key uint64, except member.ServerID) *home {
	var best *home
	highest := uint64(0)
	for i, hash := range d.hashes {
		if s := score(hash, key); (best == nil || s > highest) && d.homes[i].id != except {
			best, highest = d.homes[i], s
		}
	}
	return best
}

// further returns up to count daemons that are not chosen yet.
func (f *fleet) further(key uint64, except member.ServerID, chosen []*home, count int) []*home {
	if count == 0 {
		return nil
	}
	var rest []*home
	for _, k := range f.homes {
		if k.id != except && !slices.Contains(chosen, k) {
			rest = append(rest, k)
		}
	}
	slices.SortFunc(rest, func(a, b *home) int { return cmp.Compare(score(b.hash, key), score(a.hash, key)) })
	return rest[:min(len(rest), count)]
}

// score orders daemons for a key (rendezvous hashing with a 64-bit finalizer).
func score(hash, key uint64) uint64 {
	x := hash ^ key
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// forgetful reports whether a home lost its records within the retention time.
func (h *Replicas) forgetful(k *home) bool {
	return !k.forgotAt.IsZero() && time.Since(k.forgotAt) < h.cfg.Retention
}

func idsOf(homes []*home) []member.ServerID {
	ids := make([]member.ServerID, len(homes))
	for i, k := range homes {
		ids[i] = k.id
	}
	return ids
}

// find returns the daemon with a name, or nil.
func (h *Replicas) find(id member.ServerID) *home { return h.known.Load().homes[id] }
