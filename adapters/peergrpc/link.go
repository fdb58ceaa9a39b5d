// Package peergrpc carries the messages between daemons over gRPC streams.
package peergrpc

import (
	"context"
	"fmt"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"fescuehoist.example/adapters/peergrpc/peerpb"
	"fescuehoist.example/mesh/gossip"
)

// MaxMessageSize bounds one message between daemons, in bytes.
const MaxMessageSize = 32 << 20

// stream is the part that client and server streams share.
type stream interface {
	Send(*peerpb.Frame) error
	Recv() (*peerpb.Frame, error)
}

// link is one stream; close ends it from this side.
type link struct {
	stream stream
	once   sync.Once
	close  func()
}

// Send encodes and sends a message.
func (l *link) Send(m gossip.Message) error {
	f, err := encode(m)
	if err != nil {
		return err
	}
	return l.stream.Send(f)
}

// Recv waits for the next message.
func (l *link) Recv() (gossip.Message, error) {
	f, err := l.stream.Recv()
	if err != nil {
		return nil, err
	}
	return decode(f)
}

// Close ends the stream.
func (l *link) Close() { l.once.Do(l.close) }

// Dialer opens streams to other daemons, each on a connection of its own.
type Dialer struct {
	Credentials credentials.TransportCredentials
	// Traffic counts bytes unless it is nil.
	Traffic *Traffic
}

// bufferSize is that of the buffers of a stream, in bytes. Most messages are
// below 1 KB, and a daemon holds ten streams; the library's default is 32 KB.
const bufferSize = 4 << 10

func (d *Dialer) options() []grpc.DialOption {
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(d.Credentials),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageSize), grpc.MaxCallSendMsgSize(MaxMessageSize)),
		grpc.WithReadBufferSize(bufferSize), grpc.WithWriteBufferSize(bufferSize),
	}
	if d.Traffic != nil {
		options = append(options, grpc.WithStatsHandler(d.Traffic))
	}
	return options
}

// Dial connects and opens the stream; ctx bounds only the opening.
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
