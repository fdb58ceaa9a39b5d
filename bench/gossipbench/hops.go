package gossipbench

import (
	"fmt"
	"sync"

	"fescuehoist.example/mesh/gossip"
	"fescuehoist.example/mesh/member"
)

const (
	// hopWorkers is the number of goroutines that select the peers of the daemons.
	hopWorkers = 10
	// hopSources is the number of daemons from which hops are measured.
	hopSources = 20
)

// hopStats returns statistics of the graph of streams of a fleet of the given size:
// the mean and the largest number of hops from one daemon to another, over
// hopSources source daemons, and the largest number of streams of a daemon.
func hopStats(daemons, domains int) (mean float64, worst, streams int) {
	graph := streamGraph(daemons, domains)
	sum := 0
	for s := range hopSources {
		total, farthest := hopDistances(graph, s*daemons/hopSources)
		sum += total
		worst = max(worst, farthest)
	}
	for _, neighbors := range graph {
		streams = max(streams, len(neighbors))
	}
	return float64(sum) / float64(daemons*hopSources), worst, streams
}

// streamGraph returns the indexes of the neighbors of each daemon in the graph of
// streams.
func streamGraph(daemons, domains int) [][]int {
	records := make([]*member.Record, daemons)
	index := map[member.ServerID]int{}
	for i := range records {
		id := member.ServerID(fmt.Sprintf("server-%05d", i))
		records[i] = &member.Record{Server: id, Domain: fmt.Sprintf("domain-%d", i%domains), PeerAddress: string(id)}
		index[id] = i
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
			j := index[r.Server]
			graph[i] = append(graph[i], j)
			graph[j] = append(graph[j], i)
		}
	}
	return graph
}

// hopDistances returns the sum and the maximum of the numbers of hops from one
// daemon to all others.
func hopDistances(graph [][]int, from int) (sum, worst int) {
	distance := make([]int, len(graph))
	for i := range distance {
		distance[i] = -1
	}
	distance[from] = 0
	queue := []int{from}
	for len(queue) > 0 {
		current := queue[0]
		queue = queue[1:]
		sum += distance[current]
		worst = max(worst, distance[current])
		for _, next := range graph[current] {
			if distance[next] < 0 {
				distance[next] = distance[current] + 1
				queue = append(queue, next)
			}
		}
	}
	return sum, worst
}
