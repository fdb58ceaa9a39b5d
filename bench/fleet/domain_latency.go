package fleet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fescuehoist.example/adapters/httpconn"
)

// domainNetwork emulates the latency between failure domains on the connections
// that carry calls from one daemon to another.
type domainNetwork struct {
	latency time.Duration

	mu sync.Mutex
	// domainOf maps the address of a daemon's listener for calls to its domain.
	domainOf map[string]string
}

func newDomainNetwork(latency time.Duration) *domainNetwork {
	return &domainNetwork{latency: latency, domainOf: map[string]string{}}
}

func (d *domainNetwork) add(address, domain string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.domainOf[address] = domain
}

func (d *domainNetwork) domain(address string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.domainOf[address]
}

// dialFrom returns the dial function of the daemons of a domain. Connections to
// other domains are delayed.
func (d *domainNetwork) dialFrom(domain string) httpconn.DialFunc {
	dialer := &net.Dialer{Timeout: httpconn.DialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil || d.domain(address) == domain {
			return c, err
		}
		return &delayedConn{Conn: c, latency: d.latency}, nil
	}
}

// delayedConn adds the one-way latency before the first write of each request and
// after the first read of its response. Later writes and reads of the same
// exchange are not delayed. Write and Read may run concurrently, since a response
// can be read while a long request is still being written.
type delayedConn struct {
	net.Conn
	latency time.Duration
	// awaitingResponse is set from the first write of a request to the first read
	// of its response.
	awaitingResponse atomic.Bool
}

// NetConn returns the wrapped connection.
func (c *delayedConn) NetConn() net.Conn { return c.Conn }

// Write delays the first write of a request.
func (c *delayedConn) Write(b []byte) (int, error) {
	if c.awaitingResponse.CompareAndSwap(false, true) {
		time.Sleep(c.latency)
	}
	return c.Conn.Write(b)
}

// Read delays the first read of a response.
func (c *delayedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.awaitingResponse.Swap(false) {
		time.Sleep(c.latency)
	}
	return n, err
}
