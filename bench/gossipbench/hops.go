package gossipbench

import (
	"fmt"
	"sync"

	"fescuehoist.example/mesh/gossip"
	"fescuehoist.example/mesh/member"
)

const (
	hopWorkers = 10
	hopSources = 20
)

// hops returns, for the graph of streams of a fleet of the given size, the
// mean and the greatest number of hops from a daemon to another and the
// greatest number of streams that a daemon has.
func hops(daemons, domains int) (mean float64, worst, streams int) {
	graph := streamsOf(daemons, domains)
	sum := 0
	for s := range hopSources {
		total, far := reach(graph, s*daemons/hopSources)
		sum += total
		worst = max(worst, far)
	}
	for _, neighbours := range graph {
		streams = max(streams, len(neighbours))
	}
	return float64(sum) / float64(daemons*hopSources), worst, streams
}

// streamsOf returns the neighbours of every daemon.
func streamsOf(daemons, domains int) [][]int {
	records := make([]*member.Record, daemons)
	number := map[member.ServerID]int{}
	for i := range records {
		id := member.ServerID(fmt.Sprintf("server-%05d", i))
		records[i] = &member.Record{Server: id, Domain: fmt.Sprintf("domain-%d", i%domains), PeerAddress: string(id)}
		number[id] = i
	}
	chosen := make([][]*member.Record, daemons)
	cfg := gossip.DefaultConfig()
	var workers sync.WaitGroup
	for w := range hopWorkers {
		workers.Go(func() {
			for i := w; i < daemons; i += hopWorkers {
				chosen[i] = gossip.SelectPeers(&cfg, records[i].Server, records[i].Domain, records)
			}
		})
	}
	workers.Wait()
	graph := make([][]int, daemons)
	for i := range chosen {
		for _, r := range chosen[i] {
			j := number[r.Server]
			graph[i] = append(graph[i], j)
			graph[j] = append(graph[j], i)
		}
	}
	return graph
}

// reach returns the sum of the hops to all daemons and the greatest of them.
func reach(graph [][]int, from int) (sum, worst int) {
	distance := make([]int, len(graph))
	for i := range distance {
		distance[i] = -1
	}
	distance[from] = 0
	queue := []int{from}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		sum += distance[at]
		worst = max(worst, distance[at])
		for _, next := range graph[at] {
			if distance[next] < 0 {
				distance[next] = distance[at] + 1
				queue = append(queue, next)
			}
		}
	}
	return sum, worst
}
