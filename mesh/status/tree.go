package status

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"fescuehoist.example/mesh/member"
)

// shardOf returns the shard that gathers a service.
func shardOf(service string, shards int) int {
	return int(xxhash.Sum64String(service) % uint64(shards))
}

// shardCount returns the number of shards for a number of services.
func shardCount(services, perShard int) int {
	return max(1, (services+perShard-1)/perShard)
}

// weight orders the daemons of a failure domain in the tree of a shard. It
// rests on the names alone, so two daemons never both report to each other.
func weight(server member.ServerID, shard int) uint64 {
	return xxhash.Sum64String(string(server) + "/" + strconv.Itoa(shard))
}

// isRoot reports whether a daemon comes first in a shard's tree.
func isRoot(self member.ServerID, daemons []*member.Record, shard int) bool {
	own := weight(self, shard)
	for _, r := range daemons {
		if r.Server != self && weight(r.Server, shard) < own {
			return false
		}
	}
	return true
}

// parentOf returns the daemon that self reports to in a shard's tree, or nil
// if self is the root.
func parentOf(self member.ServerID, daemons []*member.Record, shard, fanout int) *member.Record {
	own := weight(self, shard)
	type ranked struct {
		weight uint64
		record *member.Record
	}
	var before []ranked
	for _, r := range daemons {
		if w := weight(r.Server, shard); r.Server != self && w < own {
			before = append(before, ranked{w, r})
		}
	}
	if len(before) == 0 {
		return nil
	}
	slices.SortFunc(before, func(a, b ranked) int { return cmp.Compare(a.weight, b.weight) })
	return before[(len(before)-1)/fanout].record
}
