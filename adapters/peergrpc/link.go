// Package peergrpc carries gossip messages between daemons over gRPC streams.
package peergrpc

import (
	"context"
	"fmt"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"fescuehoist.example/adapters/grpcconn"
	"fescuehoist.example/adapters/peergrpc/peerpb"
	"fescuehoist.example/mesh/gossip"
)

// MaxMessageSize is the maximum size of one message between daemons, in bytes.
const MaxMessageSize = 32 << 20

// stream is the common interface of client and server streams.
type stream interface {
	Send(*peerpb.Frame) error
	Recv() (*peerpb.Frame, error)
}

// link implements gossip.Link on one stream. close ends the stream from this
// side.
type link struct {
	stream stream
	once   sync.Once
	close  func()
}

// Send encodes m and sends it.
func (l *link) Send(m gossip.Message) error {
	f, err := encode(m)
	if err != nil {
		return err
	}
	return l.stream.Send(f)
}

// Recv receives and decodes the next message.
func (l *link) Recv() (gossip.Message, error) {
	f, err := l.stream.Recv()
	if err != nil {
		return nil, err
	}
	return decode(f)
}

// Close ends the stream.
func (l *link) Close() { l.once.Do(l.close) }

// Dialer opens streams to other daemons, each on its own connection.
type Dialer struct {
	Credentials credentials.TransportCredentials
	// Traffic counts the bytes of messages; nil means no counting.
	Traffic *Traffic
}

func (d *Dialer) options() []grpc.DialOption {
	options := append(grpcconn.FrequentMessages(),
		grpcconn.WithCredentials(d.Credentials),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageSize), grpc.MaxCallSendMsgSize(MaxMessageSize)))
	if d.Traffic != nil {
		options = append(options, grpc.WithStatsHandler(d.Traffic))
	}
	return options
}

// Dial connects to the daemon at address and opens a stream. ctx bounds only
// the opening, not the life of the stream.
func (d *Dialer) Dial(ctx context.Context, address string) (gossip.Link, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, d.options()...)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	s, err := peerpb.NewPeerClient(conn).Exchange(streamCtx, grpc.WaitForReady(false))
	if err == nil && !stop() {
		err = ctx.Err()
	}
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	return &link{stream: s, close: func() {
		cancel()
		_ = conn.Close()
	}}, nil
}
