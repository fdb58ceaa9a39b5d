package status

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"fescuehoist.example/mesh/member"
)

// shardOf returns the shard of a service.
func shardOf(service string, shards int) int {
	return int(xxhash.Sum64String(service) % uint64(shards))
}

// shardCount returns the number of shards for a number of services.
func shardCount(services, perShard int) int {
	return max(1, (services+perShard-1)/perShard)
}

// rank orders the daemons of a failure domain in the tree of a shard. It
// depends only on the names, so two daemons never report to each other.
func rank(server member.ServerID, shard int) uint64 {
	return xxhash.Sum64String(string(server) + "/" + strconv.Itoa(shard))
}

// isRoot reports whether self is the root of a shard's tree.
func isRoot(self member.ServerID, daemons []*member.Record, shard int) bool {
	ownRank := rank(self, shard)
	for _, r := range daemons {
		if r.Server != self && rank(r.Server, shard) < ownRank {
			return false
		}
	}
	return true
}

// parentOf returns the daemon that self reports to in a shard's tree, or nil
// if self is the root.
func parentOf(self member.ServerID, daemons []*member.Record, shard, fanout int) *member.Record {
	ownRank := rank(self, shard)
	type candidate struct {
		rank   uint64
		record *member.Record
	}
	var predecessors []candidate
	for _, r := range daemons {
		if recordRank := rank(r.Server, shard); r.Server != self && recordRank < ownRank {
			predecessors = append(predecessors, candidate{recordRank, r})
		}
	}
	if len(predecessors) == 0 {
		return nil
	}
	slices.SortFunc(predecessors, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	return predecessors[(len(predecessors)-1)/fanout].record
}
