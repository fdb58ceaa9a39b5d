// Package statusgrpc carries status reports between daemons over gRPC, on the
// listener that also serves the peer streams.
package statusgrpc

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/stats"
	"google.golang.org/protobuf/proto"

	"fescuehoist.example/adapters/grpcconn"
	"fescuehoist.example/adapters/statusgrpc/statuspb"
	"fescuehoist.example/mesh/status"
)

// idleTimeout is how long a connection stays open without a report.
const idleTimeout = 5 * time.Minute

// Client sends status reports to other daemons and keeps one connection for
// each address.
type Client struct {
	conns   *grpcconn.Cache[statuspb.StatusClient]
	reports atomic.Uint64
	bytes   atomic.Uint64
}

// NewClient returns a client; it connects on the first report to an address.
// traffic counts the bytes of messages.
func NewClient(creds credentials.TransportCredentials, traffic stats.Handler) *Client {
	return &Client{conns: grpcconn.NewCache(idleTimeout, statuspb.NewStatusClient,
		grpcconn.WithCredentials(creds), grpc.WithStatsHandler(traffic))}
}

// Sent returns the number of reports sent and their total size in bytes.
func (c *Client) Sent() (reports, bytes uint64) { return c.reports.Load(), c.bytes.Load() }

// Report sends a report to the daemon at address and returns its reply.
func (c *Client) Report(ctx context.Context, address string, r *status.Report) (*status.Reply, error) {
	client, err := c.conns.Get(address)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	request := encodeReport(r)
	c.reports.Add(1)
	c.bytes.Add(uint64(proto.Size(request)))
	reply, err := client.Report(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	return decodeReply(reply), nil
}

// Close closes all connections.
func (c *Client) Close() { c.conns.Close() }
