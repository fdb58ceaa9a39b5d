package gossip

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuehoist.example/mesh/advisory"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/revision"
)

// Logger receives the log messages of a Node.
type Logger interface {
	Infof(format string, args ...any)
	Debugf(format string, args ...any)
}

// Node takes part in the gossip for one daemon. Its tasks share the record table,
// the configuration store and the set of peers; all other state belongs to one
// task.
type Node struct {
	// Advisories are exchanged with the peers; nil means that the daemon takes no part.
	Advisories *advisory.Book
	// Epochs records the epochs of the platform's store that peers tell of; it may be nil.
	Epochs *revision.Epochs

	cfg     Config
	self    member.ServerID
	domain  string
	seeds   []string
	dialer  Dialer
	table   *member.Table
	configs *manifest.Store
	logger  Logger

	// initiatorSlot holds a token while this daemon runs an anti-entropy exchange
	// that it started, responderSlots one token for each exchange that it answers.
	initiatorSlot, responderSlots chan struct{}

	mu    sync.Mutex
	peers map[*peer]bool
	// seedsAdded is closed and replaced when seeds are added.
	seedsAdded chan struct{}
}

// NewNode returns a node; Run starts it. seeds are the peer addresses to dial
// while the table holds too few servers.
func NewNode(cfg Config, self member.ServerID, domain string, seeds []string, dialer Dialer,
	table *member.Table, configs *manifest.Store, logger Logger) *Node {
	return &Node{
		cfg: cfg, self: self, domain: domain, seeds: seeds, dialer: dialer,
		table: table, configs: configs, logger: logger, peers: map[*peer]bool{}, seedsAdded: make(chan struct{}),
		initiatorSlot: make(chan struct{}, 1), responderSlots: make(chan struct{}, cfg.MaxAntiEntropyResponses),
	}
}

// Run maintains streams to the selected peers until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.maintainPeers(ctx, g) })
	g.Go(func() error { return n.rejoin(ctx) })
	g.Go(func() error { return n.expireRecords(ctx) })
	return g.Wait()
}

// Announce broadcasts the daemon's own record.
func (n *Node) Announce(own member.Record) {
	n.broadcast([]member.Record{n.table.Announce(own)}, nil)
}

// Publish merges records that did not come from a peer and broadcasts those
// that changed the table.
func (n *Node) Publish(records []member.Record) {
	n.broadcast(n.table.Merge(records), nil)
}

// Receive applies a configuration update that did not come from a peer.
func (n *Node) Receive(u *manifest.Update) error {
	_, err := n.configs.ApplyUpdate(u)
	return err
}

// PeerCount returns the number of open streams.
func (n *Node) PeerCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.peers)
}

// broadcast queues records on every stream except the one they came from.
func (n *Node) broadcast(records []member.Record, from *peer) {
	if len(records) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.peers {
		if p != from {
			p.enqueueRecords(records)
		}
	}
}

// scheduleAntiEntropy makes anti-entropy due on every stream except one.
func (n *Node) scheduleAntiEntropy(except *peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.peers {
		if p != except {
			p.scheduleAntiEntropy()
		}
	}
}

func (n *Node) addPeer(p *peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[p] = true
}

func (n *Node) removePeer(p *peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.peers, p)
}

// expireRecords periodically removes the records of servers that left or failed
// longer than Retention ago.
func (n *Node) expireRecords(ctx context.Context) error {
	tick := time.NewTicker(max(n.cfg.Retention/10, time.Second))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			n.table.RemoveExpired(n.cfg.Retention)
		}
	}
}
