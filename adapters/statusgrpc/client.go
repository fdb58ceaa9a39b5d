// Package statusgrpc carries reports of status between daemons over gRPC, on
// the listener that also takes the streams of peers.
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

// idleTime is how long a connection that carries no report stays open.
const idleTime = 5 * time.Minute

// Client sends reports.
type Client struct {
	options []grpc.DialOption
	reports atomic.Uint64
	bytes   atomic.Uint64

	mu    sync.Mutex
	conns map[string]*conn
}

type conn struct {
	*grpc.ClientConn
	used time.Time
}

// NewClient returns a client without connections. The handler counts bytes.
func NewClient(creds credentials.TransportCredentials, traffic stats.Handler) *Client {
	options := []grpc.DialOption{grpc.WithTransportCredentials(creds), grpc.WithStatsHandler(traffic)}
	return &Client{options: options, conns: map[string]*conn{}}
}

// Sent returns the number of reports sent and their bytes.
func (c *Client) Sent() (reports, bytes uint64) { return c.reports.Load(), c.bytes.Load() }

// Report sends a report to the daemon at an address.
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

// conn returns the connection to an address and closes those long unused.
func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for a, cc := range c.conns {
		if a != address && now.Sub(cc.used) > idleTime {
			_ = cc.Close()
			delete(c.conns, a)
		}
	}
	if cc := c.conns[address]; cc != nil {
		cc.used = now
		return cc.ClientConn, nil
	}
	cc, err := grpc.NewClient("passthrough:///"+address, c.options...)
	if err != nil {
		return nil, err
	}
	c.conns[address] = &conn{ClientConn: cc, used: now}
	return cc, nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, cc := range c.conns {
		_ = cc.Close()
		delete(c.conns, a)
	}
}
