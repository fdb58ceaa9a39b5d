// Package statusgrpc carries status reports between daemons over gRPC, on the
// listener that also serves the peer streams.
package statusgrpc

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/stats"
	"google.golang.org/protobuf/proto"

	"fescuehoist.example/adapters/statusgrpc/statuspb"
	"fescuehoist.example/mesh/status"
)

// idleTimeout is how long a connection stays open without a report.
const idleTimeout = 5 * time.Minute

// Client sends status reports to other daemons and keeps one connection for
// each address.
type Client struct {
	options []grpc.DialOption
	reports atomic.Uint64
	bytes   atomic.Uint64

	mu    sync.Mutex
	conns map[string]*conn
}

type conn struct {
	*grpc.ClientConn
	lastUsed time.Time
}

// NewClient returns a client; it connects on the first report to an address.
// traffic counts the bytes of messages.
func NewClient(creds credentials.TransportCredentials, traffic stats.Handler) *Client {
	options := []grpc.DialOption{grpc.WithTransportCredentials(creds), grpc.WithStatsHandler(traffic)}
	return &Client{options: options, conns: map[string]*conn{}}
}

// Sent returns the number of reports sent and their total size in bytes.
func (c *Client) Sent() (reports, bytes uint64) { return c.reports.Load(), c.bytes.Load() }

// Report sends a report to the daemon at address and returns its reply.
func (c *Client) Report(ctx context.Context, address string, r *status.Report) (*status.Reply, error) {
	cc, err := c.conn(address)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	request := encodeReport(r)
	c.reports.Add(1)
	c.bytes.Add(uint64(proto.Size(request)))
	reply, err := statuspb.NewStatusClient(cc).Report(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	return decodeReply(reply), nil
}

// conn returns the connection to address, and closes other connections that
// were unused for longer than idleTimeout.
func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for addr, cc := range c.conns {
		if addr != address && now.Sub(cc.lastUsed) > idleTimeout {
			_ = cc.Close()
			delete(c.conns, addr)
		}
	}
	if cc := c.conns[address]; cc != nil {
		cc.lastUsed = now
		return cc.ClientConn, nil
	}
	cc, err := grpc.NewClient("passthrough:///"+address, c.options...)
	if err != nil {
		return nil, err
	}
	c.conns[address] = &conn{ClientConn: cc, lastUsed: now}
	return cc, nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, cc := range c.conns {
		_ = cc.Close()
		delete(c.conns, addr)
	}
}
