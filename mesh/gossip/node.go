package gossip

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
)

// Logger takes short messages about peers.
type Logger interface {
	Infof(format string, args ...any)
	Debugf(format string, args ...any)
}

// Node is this daemon's part in the spreading. Tasks share the two stores and
// the set of peers; everything else is local to a task.
type Node struct {
	cfg     Config
	self    member.ServerID
	domain  string
	seeds   []string
	dialer  Dialer
	table   *member.Table
	configs *manifest.Store
	out     Logger

	// comparing holds a token while this daemon compares its table with a
	// peer's, serving one for each comparison that it answers.
	comparing, serving chan struct{}

	mu    sync.Mutex
	peers map[*peer]bool
	// met is closed when seeds are added.
	met chan struct{}
}

// NewNode returns a node; Run starts it. Seeds are peer addresses to ask while
// the table knows nobody.
func NewNode(cfg Config, self member.ServerID, domain string, seeds []string, dialer Dialer,
	table *member.Table, log *manifest.Store, out Logger) *Node {
	return &Node{
		cfg: cfg, self: self, domain: domain, seeds: seeds, dialer: dialer,
		table: table, configs: log, out: out, peers: map[*peer]bool{}, met: make(chan struct{}),
		comparing: make(chan struct{}, 1), serving: make(chan struct{}, cfg.MaxServed),
	}
}

// Run keeps streams to the chosen peers until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.keepPeers(ctx, g) })
	g.Go(func() error { return n.rejoin(ctx) })
	g.Go(func() error { return n.forget(ctx) })
	return g.Wait()
}

// Announce publishes the daemon's own record.
func (n *Node) Announce(own member.Record) {
	n.publish([]member.Record{n.table.Announce(own)}, nil)
}

// Publish merges records that did not come from a peer and spreads the news.
func (n *Node) Publish(records []member.Record) {
	n.publish(n.table.Merge(records), nil)
}

// Receive takes an update that did not come from a peer.
func (n *Node) Receive(u *manifest.Update) error {
	_, err := n.configs.ApplyUpdate(u)
	return err
}

// Peers returns the number of open streams.
func (n *Node) Peers() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.peers)
}

// publish hands records to every stream except the one that they came from.
func (n *Node) publish(records []member.Record, from *peer) {
	if len(records) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.peers {
		if p != from {
			p.announce(records)
		}
	}
}

// compareSoon makes every stream except one compare the tables.
func (n *Node) compareSoon(except *peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.peers {
		if p != except {
			p.compareSoon()
		}
	}
}

func (n *Node) add(p *peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[p] = true
}

func (n *Node) remove(p *peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.peers, p)
}

func (n *Node) forget(ctx context.Context) error {
	tick := time.NewTicker(max(n.cfg.Retention/10, time.Second))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			n.table.Forget(n.cfg.Retention)
		}
	}
}
