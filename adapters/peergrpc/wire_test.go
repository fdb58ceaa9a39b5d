package peergrpc

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"google.golang.org/grpc/credentials/insecure"

	"fescuehoist.example/mesh/gossip"
	"fescuehoist.example/mesh/revision"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Guards against a transport that answers each short message with messages of its own.
// Streams between failure domains carry a few heartbeats a second each, and bytes there are
// paid for.
func TestHeartbeatCostsFewBytesOnTheWire(t *testing.T) {
	const heartbeats, mostBytes = 200, 40
	received := make(chan struct{})
	serve := handlerFunc(func(_ context.Context, link gossip.Link) error {
		for {
			if _, err := link.Recv(); err != nil {
				return err
			}
			received <- struct{}{}
		}
	})
	bytes := &atomic.Int64{}
	ln := countingListener{listen(t), bytes}
	runUntilTestEnds(t, func(ctx context.Context) { _ = NewServer(serve, insecure.NewCredentials()).Run(ctx, ln) })
	link, err := (&Dialer{Credentials: insecure.NewCredentials()}).Dial(t.Context(), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	send := func() {
		if err := link.Send(&gossip.Heartbeat{Version: 300, Confirmation: gossip.Confirmation{Number: 70, Revision: revision.Revision{Number: 5000}, Age: 1}}); err != nil {
			t.Fatal(err)
		}
		<-received
	}
	send()
	before := bytes.Load()
	for range heartbeats {
		send()
	}
	each := float64(bytes.Load()-before) / heartbeats
	t.Logf("%.1f bytes for each heartbeat", each)
	if each > mostBytes {
		t.Errorf("%.1f bytes for each heartbeat in both directions, want at most %d", each, mostBytes)
	}
}
