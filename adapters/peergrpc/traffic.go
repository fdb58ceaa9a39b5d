package peergrpc

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// Traffic counts the bytes of control messages: those of peer streams and those
// of other services on the same listener. It implements stats.Handler.
type Traffic struct{ sent, received atomic.Uint64 }

// Sent returns the number of bytes sent.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Received returns the number of bytes received.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// HandleRPC counts the wire length of one message.
func (t *Traffic) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s := s.(type) {
	case *stats.OutPayload:
		t.sent.Add(uint64(s.WireLength))
	case *stats.InPayload:
		t.received.Add(uint64(s.WireLength))
	}
}

// TagRPC does nothing.
func (t *Traffic) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn does nothing.
func (t *Traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (t *Traffic) HandleConn(context.Context, stats.ConnStats) {}
