package gossipbench

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"fescuehoist.example/mesh/gossip"
)

// counts are the traffic of all streams so far, counted at the accepting end.
type counts struct {
	bytes, messages, dials atomic.Int64
}

// listener counts the bytes of the connections that it accepts.
type listener struct {
	net.Listener
	counts *counts
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.counts.dials.Add(1)
	return &conn{Conn: c, counts: l.counts}, nil
}

type conn struct {
	net.Conn
	counts *counts
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counts.bytes.Add(int64(n))
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counts.bytes.Add(int64(n))
	return n, err
}

// silencer makes a daemon fall silent without closing anything: what it sends
// vanishes, what is sent to it is not read, and dials to it hang.
type silencer struct {
	mu     sync.Mutex
	silent map[string]bool
}

func (s *silencer) silence(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[address] = true
}

func (s *silencer) is(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[address]
}

// link passes messages on unless its own daemon is silent.
type link struct {
	gossip.Link
	silencer *silencer
	own      string
	counts   *counts
}

func (l *link) Send(m gossip.Message) error {
	if l.silencer.is(l.own) {
		return nil
	}
	l.counts.messages.Add(1)
	return l.Link.Send(m)
}

// dialer dials for one daemon.
type dialer struct {
	gossip.Dialer
	silencer *silencer
	own      string
	counts   *counts
}

func (d *dialer) Dial(ctx context.Context, address string) (gossip.Link, error) {
	if d.silencer.is(address) || d.silencer.is(d.own) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	l, err := d.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &link{Link: l, silencer: d.silencer, own: d.own, counts: d.counts}, nil
}

// handler wraps the links that a daemon accepts.
type handler struct {
	node     *gossip.Node
	silencer *silencer
	own      string
	counts   *counts
}

func (h *handler) Serve(ctx context.Context, l gossip.Link) error {
	return h.node.Serve(ctx, &link{Link: l, silencer: h.silencer, own: h.own, counts: h.counts})
}
