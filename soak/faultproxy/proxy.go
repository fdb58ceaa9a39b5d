// Package faultproxy holds a loopback proxy that harms the connections through it.
package faultproxy

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Fault is how a proxy treats bytes. The zero value passes them on at once.
type Fault struct {
	// Delay holds each piece of data back.
	Delay time.Duration
	// CutTo holds what goes to the target until the fault ends, CutFrom what
	// comes from it.
	CutTo, CutFrom bool
}

// dialTimeout bounds the connection to the target, which is on this machine.
const dialTimeout = time.Second

// Proxy passes connections on to a target that may change.
type Proxy struct {
	ln net.Listener

	mu     sync.Mutex
	target string
	fault  Fault
	// changed is closed when the fault changes.
	changed chan struct{}
	open    map[*pair]bool
}

// pair is one connection through the proxy.
type pair struct {
	near, far net.Conn
	// silent is closed when the pair passes nothing on any more, ended when it
	// is closed.
	silent, ended chan struct{}
	end           sync.Once
}

var errEnded = errors.New("the connection has ended")

// NewProxy listens on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target, changed: make(chan struct{}), open: map[*pair]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// SetTarget directs new connections to an address.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Set changes the fault of all connections.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// Silence makes the open connections pass nothing on for good; new ones work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		select {
		case <-c.silent:
		default:
			close(c.silent)
		}
	}
}

// Reset resets the open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.close()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		near, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.carry(near)
	}
}

// carry passes one connection on from its beginning to its end.
func (p *Proxy) carry(near net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	far, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		reset(near)
		return
	}
	c := &pair{near: near, far: far, silent: make(chan struct{}), ended: make(chan struct{})}
	p.mu.Lock()
	p.open[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pump(c, far, near, func(f *Fault) bool { return f.CutTo }) })
	both.Go(func() { p.pump(c, near, far, func(f *Fault) bool { return f.CutFrom }) })
	both.Wait()
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
	c.close()
}

const pieceSize = 16 << 10

// pump carries one direction until its source ends.
func (p *Proxy) pump(c *pair, to, from net.Conn, cut func(*Fault) bool) {
	piece := make([]byte, pieceSize)
	for {
		n, readErr := from.Read(piece)
		if p.hold(c, cut) != nil {
			return
		}
		if _, err := to.Write(piece[:n]); err != nil {
			c.close()
			return
		}
		var timeout net.Error
		switch {
		case readErr == nil:
		case errors.As(readErr, &timeout):
			// A reset travels on as a reset.
			c.close()
			return
		default:
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

// hold waits until a direction is open.
func (p *Proxy) hold(c *pair, cut func(*Fault) bool) error {
	for {
		p.mu.Lock()
		fault, changed := p.fault, p.changed
		p.mu.Unlock()
		select {
		case <-c.silent:
			<-c.ended
			return errEnded
		case <-c.ended:
			return errEnded
		default:
		}
		if !cut(&fault) {
			time.Sleep(fault.Delay)
			return nil
		}
		select {
		case <-changed:
		case <-c.silent:
		case <-c.ended:
		}
	}
}

func (c *pair) close() {
	c.end.Do(func() {
		close(c.ended)
		reset(c.near)
		reset(c.far)
	})
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
