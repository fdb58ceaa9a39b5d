package gossip

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fescuehoist.example/mesh/member"
)

// contact is a peer to dial. The id of a seed is empty: it is not known before
// the hello.
type contact struct {
	id      member.ServerID
	address string
}

// SelectPeers returns the peers to which a daemon maintains streams: its
// successors in its failure domain on a ring in hash order, which keep the graph
// connected and make each daemon monitored, and random ones in its own and in
// other failure domains, which keep the number of hops logarithmic. The random
// order is a hash of both names: it is different for each daemon and stable, so
// that a change of membership moves few streams.
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
			far.offer(r, hashPair(own, h))
			continue
		}
		successors.offer(r, h-own)
		near.offer(r, hashPair(own, h))
	}
	chosen := successors.records
	for _, r := range near.records {
		if len(chosen) < cfg.NearPeers && !slices.Contains(chosen, r) {
			chosen = append(chosen, r)
		}
	}
	return append(chosen, far.records...)
}

// hashPair returns a hash of an ordered pair.
func hashPair(a, b uint64) uint64 {
	h := a*0x9e3779b97f4a7c15 ^ b
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// nearest keeps the count records with the least distances, in ascending order.
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

// selectContacts returns the peers to dial. With fewer than NearPeers+FarPeers
// it adds the unresolved seeds.
func (n *Node) selectContacts() []contact {
	var chosen []contact
	for _, r := range SelectPeers(&n.cfg, n.self, n.domain, n.table.View().All()) {
		chosen = append(chosen, contact{id: r.Server, address: r.PeerAddress})
	}
	if len(chosen) >= n.cfg.NearPeers+n.cfg.FarPeers {
		return chosen
	}
	for _, s := range n.unresolvedSeeds() {
		chosen = append(chosen, contact{address: s})
	}
	return chosen
}

// unresolvedSeeds returns the seeds whose address is not that of a live server.
func (n *Node) unresolvedSeeds() []string {
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

// AddContacts adds seeds, which are dialed while few peers are known. The
// daemon's own address may be among them: its task ends after the handshake.
func (n *Node) AddContacts(addresses []string) {
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
		close(n.seedsAdded)
		n.seedsAdded = make(chan struct{})
	}
}

// seedsChanged returns a channel that is closed when seeds are added.
func (n *Node) seedsChanged() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.seedsAdded
}

// checkID returns errOtherServer if the daemon at the address is not the
// expected one. Seeds accept any daemon.
func (c contact) checkID(id member.ServerID) error {
	if c.id != "" && id != c.id {
		return errOtherServer
	}
	return nil
}
