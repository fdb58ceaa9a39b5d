package peergrpc

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc/credentials/insecure"

	"fescuehoist.example/mesh/gossip"
)

// A peer behind a link that carries nothing has connected and does not send its preface.
func TestServerStopEndsConnectionsThatSentNothing(t *testing.T) {
	ln := listen(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	handler := handlerFunc(func(context.Context, gossip.Link) error { return nil })
	done := make(chan error, 1)
	go func() { done <- NewServer(handler, insecure.NewCredentials()).Run(ctx, ln) }()
	silent, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	// The server sends its settings once it serves the connection.
	if _, err := silent.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	stop()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(20 * time.Second):
		t.Error("the server still runs 20 s after its end, want it to end with the connection that sent nothing")
	}
}
