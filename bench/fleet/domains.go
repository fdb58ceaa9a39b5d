package fleet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fescuehoist.example/adapters/httpconn"
)

// domains emulates the distance between failure domains on the connections
// that carry calls from one daemon to another.
type domains struct {
	crossing time.Duration

	mu sync.Mutex
	of map[string]string
}

func newDomains(crossing time.Duration) *domains {
	return &domains{crossing: crossing, of: map[string]string{}}
}

func (d *domains) add(address, domain string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.of[address] = domain
}

func (d *domains) domain(address string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.of[address]
}

// dialFrom returns the function by which a daemon of a domain opens
// connections.
func (d *domains) dialFrom(domain string) httpconn.DialFunc {
	dialer := &net.Dialer{Timeout: httpconn.DialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil || d.domain(address) == domain {
			return c, err
		}
		return &distantConn{Conn: c, crossing: d.crossing}, nil
	}
}

// distantConn delays each request before it leaves and each answer after its
// first byte has come. A long request may be written while its answer is read.
type distantConn struct {
	net.Conn
	crossing time.Duration
	asked    atomic.Bool
}

// NetConn returns the connection underneath.
func (c *distantConn) NetConn() net.Conn { return c.Conn }

// Write delays the first part of a request.
func (c *distantConn) Write(b []byte) (int, error) {
	if c.asked.CompareAndSwap(false, true) {
		time.Sleep(c.crossing)
	}
	return c.Conn.Write(b)
}

// Read delays the first part of an answer.
func (c *distantConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.asked.Swap(false) {
		time.Sleep(c.crossing)
	}
	return n, err
}
