// Package faultproxy provides a loopback TCP proxy that injects faults into the
// connections through it.
package faultproxy

import (
	"errors"
	"net"
	"sync"
	"time"

	"fescuehoist.example/platform/platformtest"
)

// Fault says how a proxy treats data. The zero value forwards it at once.
type Fault struct {
	// Delay is added before each chunk of data is forwarded.
	Delay time.Duration
	// BlockToTarget keeps back data sent to the target until the fault ends,
	// BlockFromTarget data sent by the target.
	BlockToTarget, BlockFromTarget bool
}

// dialTimeout limits connecting to the target. It is short because the target
// is on this machine.
const dialTimeout = time.Second

// Proxy forwards connections to a target, which may change.
type Proxy struct {
	ln net.Listener

	mu     sync.Mutex
	target string
	fault  Fault
	// changed is closed and replaced when the fault changes.
	changed     chan struct{}
	connections map[*connection]bool
}

// connection is one connection through the proxy.
type connection struct {
	downstream, upstream net.Conn
	// blackholed is closed when the connection stops forwarding for good, closed
	// when it is closed.
	blackholed, closed chan struct{}
	closeOnce          sync.Once
}

var errClosed = errors.New("connection is closed")

// NewProxy returns a running proxy that listens on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	ln, err := platformtest.Listen()
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target, changed: make(chan struct{}), connections: map[*connection]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// SetTarget sets the address to which new connections are forwarded.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetFault sets the fault of all connections, open and new.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// Blackhole makes the open connections stop forwarding without closing them. New
// connections are not affected.
func (p *Proxy) Blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		select {
		case <-c.blackholed:
		default:
			close(c.blackholed)
		}
	}
}

// Reset closes all open connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.close()
	}
}

// Close stops listening and resets all open connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		downstream, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.forward(downstream)
	}
}

// forward connects to the target and forwards one connection until both
// directions have ended.
func (p *Proxy) forward(downstream net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	upstream, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		reset(downstream)
		return
	}
	c := &connection{downstream: downstream, upstream: upstream, blackholed: make(chan struct{}), closed: make(chan struct{})}
	p.mu.Lock()
	p.connections[c] = true
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.copyDirection(c, upstream, downstream, func(f *Fault) bool { return f.BlockToTarget }) })
	directions.Go(func() { p.copyDirection(c, downstream, upstream, func(f *Fault) bool { return f.BlockFromTarget }) })
	directions.Wait()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
	c.close()
}

const bufferSize = 16 << 10

// copyDirection forwards one direction until its source ends. blocked selects
// the field of the fault that blocks this direction.
func (p *Proxy) copyDirection(c *connection, destination, source net.Conn, blocked func(*Fault) bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, readErr := source.Read(buffer)
		if p.awaitForwarding(c, blocked) != nil {
			return
		}
		if _, err := destination.Write(buffer[:n]); err != nil {
			c.close()
			return
		}
		var netErr net.Error
		switch {
		case readErr == nil:
		case errors.As(readErr, &netErr):
			// Forward a reset as a reset.
			c.close()
			return
		default:
			_ = destination.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

// awaitForwarding waits until the current fault lets data of one direction
// pass. It returns errClosed if the connection closes first.
func (p *Proxy) awaitForwarding(c *connection, blocked func(*Fault) bool) error {
	for {
		p.mu.Lock()
		fault, changed := p.fault, p.changed
		p.mu.Unlock()
		select {
		case <-c.blackholed:
			<-c.closed
			return errClosed
		case <-c.closed:
			return errClosed
		default:
		}
		if !blocked(&fault) {
			time.Sleep(fault.Delay)
			return nil
		}
		select {
		case <-changed:
		case <-c.blackholed:
		case <-c.closed:
		}
	}
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		reset(c.downstream)
		reset(c.upstream)
	})
}

// reset closes a connection with a TCP reset instead of a FIN.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
