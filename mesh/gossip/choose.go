package gossip

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fescuehoist.example/mesh/member"
)

// contact is a peer to keep a stream to. Seeds have no name yet.
type contact struct {
	id      member.ServerID
	address string
}

// SelectPeers returns the peers that a daemon keeps streams to: the next ones of
// its failure domain on a ring in hash order, which makes the graph connected
// and gives each daemon observers, and random ones near and far, which keep
// the number of hops logarithmic. Each daemon's random order is its own and
// steady, so that a change of membership moves few streams.
func SelectPeers(cfg *Config, self member.ServerID, domain string, records []*member.Record) []*member.Record {
	own := xxhash.Sum64String(string(self))
	successors := nearest{count: cfg.NearSuccessors}
	near := nearest{count: cfg.NearPeers}
	far := nearest{count: cfg.FarPeers}
	for _, r := range records {
		if r.Server == self || r.Terminal() || r.PeerAddress == "" {
			continue
		}
		h := xxhash.Sum64String(string(r.Server))
		if r.Domain != domain {
			far.offer(r, mix(own, h))
			continue
		}
		successors.offer(r, h-own)
		near.offer(r, mix(own, h))
	}
	chosen := successors.records
	for _, r := range near.records {
		if len(chosen) < cfg.NearPeers && !slices.Contains(chosen, r) {
			chosen = append(chosen, r)
		}
	}
	return append(chosen, far.records...)
}

// mix returns a hash of a pair in which the order of the two matters.
func mix(a, b uint64) uint64 {
	h := a*0x9e3779b97f4a7c15 ^ b
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// nearest keeps the count records of the least distances, in order.
type nearest struct {
	count     int
	records   []*member.Record
	distances []uint64
}

func (n *nearest) offer(r *member.Record, distance uint64) {
	worst := uint64(math.MaxUint64)
	if len(n.records) == n.count && n.count > 0 {
		worst = n.distances[n.count-1]
	}
	if n.count == 0 || distance >= worst {
		return
	}
	i, _ := slices.BinarySearch(n.distances, distance)
	n.distances = slices.Insert(n.distances, i, distance)
	n.records = slices.Insert(n.records, i, r)
	if len(n.records) > n.count {
		n.distances, n.records = n.distances[:n.count], n.records[:n.count]
	}
}

// choose returns the contacts to keep; with too few it adds seeds.
func (n *Node) choose() []contact {
	var chosen []contact
	for _, r := range SelectPeers(&n.cfg, n.self, n.domain, n.table.View().All()) {
		chosen = append(chosen, contact{id: r.Server, address: r.PeerAddress})
	}
	if len(chosen) >= n.cfg.NearPeers+n.cfg.FarPeers {
		return chosen
	}
	for _, s := range n.seedsUnknown() {
		chosen = append(chosen, contact{address: s})
	}
	return chosen
}

// seedsUnknown returns the seeds at which no live server is known.
func (n *Node) seedsUnknown() []string {
	seeds := n.currentSeeds()
	for _, r := range n.table.View().All() {
		if !r.Terminal() {
			seeds = slices.DeleteFunc(seeds, func(s string) bool { return s == r.PeerAddress })
		}
	}
	return seeds
}

func (n *Node) currentSeeds() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.seeds)
}

// Meet adds peer addresses to ask while few others are known. The daemon's own
// address among them does no harm.
func (n *Node) Meet(addresses []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	added := false
	for _, a := range addresses {
		if !slices.Contains(n.seeds, a) {
			n.seeds = append(n.seeds, a)
			added = true
		}
	}
	if added {
		close(n.met)
		n.met = make(chan struct{})
	}
}

// seedsChanged returns a channel that is closed when seeds are added.
func (n *Node) seedsChanged() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.met
}

// expect returns an error if another daemon than the one meant answers.
func (c contact) expect(id member.ServerID) error {
	if c.id != "" && id != c.id {
		return errReplaced
	}
	return nil
}
