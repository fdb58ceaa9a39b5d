package peergrpc

import (
	"net"
	"sync"
)

// closableListener can close the connections that it has accepted. The Stop of a gRPC
// server waits, for two minutes at most, for those whose peer has sent nothing yet.
type closableListener struct {
	net.Listener

	mu     sync.Mutex
	conns  map[*acceptedConn]bool
	closed bool
}

func newClosableListener(ln net.Listener) *closableListener {
	return &closableListener{Listener: ln, conns: map[*acceptedConn]bool{}}
}

// Accept returns the next connection. After CloseConns it is closed already.
func (l *closableListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &acceptedConn{Conn: nc, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = nc.Close()
		return c, nil
	}
	l.conns[c] = true
	return c, nil
}

// CloseConns closes all accepted connections, and those that are accepted later.
func (l *closableListener) CloseConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		_ = c.Conn.Close()
	}
	clear(l.conns)
}

type acceptedConn struct {
	net.Conn
	listener *closableListener
}

// Close closes the connection.
func (c *acceptedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
