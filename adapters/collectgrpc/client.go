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
	"fescuehoist.example/adapters/grpcconn"
	"fescuehoist.example/mesh/collect"
)

const (
	// idleTimeout is how long a connection stays open without a report.
	idleTimeout = time.Minute
	// maxMessageSize bounds a message, in bytes. One of 1,000 accounts has about 20 KB.
	maxMessageSize = 4 << 20
)

// Client sends reports to other daemons and keeps one stream for each address.
type Client struct{ conns *grpcconn.Cache[*exchanger] }

// exchanger exchanges reports and replies with one daemon. Reports to it wait for each other.
type exchanger struct {
	client collectpb.CollectClient

	mu     sync.Mutex
	stream collectpb.Collect_ExchangeClient
	// cancel ends the stream.
	cancel context.CancelFunc
}

// NewClient returns a client; it connects on the first report to an address. traffic counts
// the bytes of messages.
func NewClient(creds credentials.TransportCredentials, traffic stats.Handler) *Client {
	// A collector that restarts has to be reached again soon.
	reconnect := backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 2, Jitter: 0.2, MaxDelay: time.Second}
	options := append(grpcconn.FrequentMessages(),
		grpcconn.WithCredentials(creds), grpc.WithStatsHandler(traffic),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: 2 * time.Second}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)))
	newExchanger := func(cc grpc.ClientConnInterface) *exchanger {
		return &exchanger{client: collectpb.NewCollectClient(cc)}
	}
	return &Client{conns: grpcconn.NewCache(idleTimeout, newExchanger, options...)}
}

// Report sends a report to the daemon at address and returns its reply. After an error the
// next report to the address opens a new stream, so a late reply is never taken for that to
// a later report.
func (c *Client) Report(ctx context.Context, address string, r *collect.Report) (*collect.Reply, error) {
	daemon, err := c.conns.Get(address)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	reply, err := daemon.exchange(ctx, encodeReport(r))
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	return decodeReply(reply)
}

// exchange sends one message and receives the reply.
func (e *exchanger) exchange(ctx context.Context, report *collectpb.Report) (*collectpb.Reply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stream == nil {
		if err := e.open(ctx); err != nil {
			return nil, err
		}
	}
	stop := context.AfterFunc(ctx, e.cancel)
	defer stop()
	err := e.stream.Send(report)
	var reply *collectpb.Reply
	if err == nil || e.stream.Context().Err() == nil {
		// After a failed Send, Recv returns its cause.
		reply, err = e.stream.Recv()
	}
	if err != nil || ctx.Err() != nil {
		e.cancel()
		e.stream = nil
	}
	return reply, err
}

// open opens the stream, which outlives ctx.
func (e *exchanger) open(ctx context.Context) error {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	stream, err := e.client.Exchange(streamCtx)
	if err != nil {
		cancel()
		return err
	}
	e.stream, e.cancel = stream, cancel
	return nil
}

// Close closes all connections.
func (c *Client) Close() { c.conns.Close() }
