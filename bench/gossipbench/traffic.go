package gossipbench

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"fescuehoist.example/mesh/gossip"
)

// trafficCounts are the traffic of all streams so far. Bytes and dials are counted at
// the accepting end, messages when they are sent.
type trafficCounts struct {
	bytes, messages, dials atomic.Int64
}

// countingListener counts the connections that it accepts and their bytes.
type countingListener struct {
	net.Listener
	counts *trafficCounts
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.counts.dials.Add(1)
	return &countingConn{Conn: c, counts: l.counts}, nil
}

// countingConn counts the bytes that are read and written.
type countingConn struct {
	net.Conn
	counts *trafficCounts
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counts.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counts.bytes.Add(int64(n))
	return n, err
}

// silencer holds the addresses of daemons that stop responding without closing
// their connections: their messages are dropped, and dials to or from them hang.
type silencer struct {
	mu     sync.Mutex
	silent map[string]bool
}

func (s *silencer) silence(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[address] = true
}

func (s *silencer) isSilent(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[address]
}

// filteredLink is a link of the daemon at address own. It counts the messages that
// the daemon sends, and drops them while it is silent.
type filteredLink struct {
	gossip.Link
	silencer *silencer
	own      string
	counts   *trafficCounts
}

func (l *filteredLink) Send(m gossip.Message) error {
	if l.silencer.isSilent(l.own) {
		return nil
	}
	l.counts.messages.Add(1)
	return l.Link.Send(m)
}

// filteredDialer dials for the daemon at address own. While that daemon or the dialed
// one is silent, dials hang until their context ends.
type filteredDialer struct {
	gossip.Dialer
	silencer *silencer
	own      string
	counts   *trafficCounts
}

func (d *filteredDialer) Dial(ctx context.Context, address string) (gossip.Link, error) {
	if d.silencer.isSilent(address) || d.silencer.isSilent(d.own) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	l, err := d.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &filteredLink{Link: l, silencer: d.silencer, own: d.own, counts: d.counts}, nil
}

// filteredHandler serves the links that the daemon at address own accepts.
type filteredHandler struct {
	node     *gossip.Node
	silencer *silencer
	own      string
	counts   *trafficCounts
}

func (h *filteredHandler) Serve(ctx context.Context, l gossip.Link) error {
	return h.node.Serve(ctx, &filteredLink{Link: l, silencer: h.silencer, own: h.own, counts: h.counts})
}
