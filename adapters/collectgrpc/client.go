// Package collectgrpc carries reports of counts and their replies over gRPC streams, on the
// listener that also serves the peer streams.
package collectgrpc

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/stats"

	"fescuehoist.example/adapters/collectgrpc/collectpb"
	"fescuehoist.example/mesh/collect"
)

const (
	// idleTimeout is how long a connection stays open without a report.
	idleTimeout = time.Minute
	// bufferSize is the size of the read and write buffers of a connection, in bytes.
	bufferSize = 4 << 10
	// maxMessageSize bounds a message, in bytes. One of 1,000 accounts has about 20 KB.
	maxMessageSize = 4 << 20
)

// Client sends reports to other daemons and keeps one stream for each address.
type Client struct {
	options []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*conn
}

// conn is the connection to one daemon. Reports to it wait for each other.
type conn struct {
	*grpc.ClientConn
	mu     sync.Mutex
	stream collectpb.Collect_ExchangeClient
	// cancel ends the stream.
	cancel context.CancelFunc
	// lastUsed is guarded by the lock of the client.
	lastUsed time.Time
}

// windowSize is the flow control window in bytes. A fixed window keeps grpc-go from
// measuring the connection with a ping after each message.
const windowSize = 1 << 20

// NewClient returns a client; it connects on the first report to an address. traffic counts
// the bytes of messages.
func NewClient(creds credentials.TransportCredentials, traffic stats.Handler) *Client {
	// A collector that restarts has to be reached again soon.
	reconnect := backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 2, Jitter: 0.2, MaxDelay: time.Second}
	return &Client{conns: map[string]*conn{}, options: []grpc.DialOption{
		grpc.WithTransportCredentials(creds), grpc.WithStatsHandler(traffic),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: 2 * time.Second}),
		grpc.WithReadBufferSize(bufferSize), grpc.WithWriteBufferSize(bufferSize),
		grpc.WithInitialWindowSize(windowSize), grpc.WithInitialConnWindowSize(windowSize),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)),
	}}
}

// Report sends a report to the daemon at address and returns its reply. After an error the
// next report to the address opens a new stream, so a late reply is never taken for that to
// a later report.
func (c *Client) Report(ctx context.Context, address string, r *collect.Report) (*collect.Reply, error) {
	cc, err := c.conn(address)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	reply, err := cc.exchange(ctx, encodeReport(r))
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	return decodeReply(reply)
}

// conn returns the connection to address, and closes other connections that were unused for
// longer than idleTimeout.
func (c *Client) conn(address string) (*conn, error) {
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
		return cc, nil
	}
	cc, err := grpc.NewClient("passthrough:///"+address, c.options...)
	if err != nil {
		return nil, err
	}
	c.conns[address] = &conn{ClientConn: cc, lastUsed: now}
	return c.conns[address], nil
}

// exchange sends one message and receives the reply.
func (c *conn) exchange(ctx context.Context, report *collectpb.Report) (*collectpb.Reply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stream == nil {
		if err := c.open(ctx); err != nil {
			return nil, err
		}
	}
	stop := context.AfterFunc(ctx, c.cancel)
	defer stop()
	err := c.stream.Send(report)
	var reply *collectpb.Reply
	if err == nil || c.stream.Context().Err() == nil {
		// After a failed Send, Recv returns its cause.
		reply, err = c.stream.Recv()
	}
	if err != nil || ctx.Err() != nil {
		c.cancel()
		c.stream = nil
	}
	return reply, err
}

// open opens the stream, which outlives ctx.
func (c *conn) open(ctx context.Context) error {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	stream, err := collectpb.NewCollectClient(c.ClientConn).Exchange(streamCtx)
	if err != nil {
		cancel()
		return err
	}
	c.stream, c.cancel = stream, cancel
	return nil
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
