package grpcconn_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"fescuehoist.example/adapters/grpcconn"
	"fescuehoist.example/standin/rawgrpc"
)

// Guards against a part of an answer of a daemon that is taken for a whole one, and against
// an answer with a malformed head.
func TestBrokenAnswerToMessageIsNoAnswer(t *testing.T) {
	const rounds = 20
	encoded, err := proto.Marshal(wrapperspb.String("a"))
	if err != nil {
		t.Fatal(err)
	}
	message := rawgrpc.Message(encoded)
	head := func(status, name string) []string {
		return []string{":status", status, "content-type", rawgrpc.ContentType, name, "x"}
	}
	sound := head("200", "x")
	end := func(s *rawgrpc.Stream) {
		s.Data(message)
		s.Trailers("grpc-status", "0")
	}
	for _, c := range []struct {
		name  string
		sound bool
		serve func(s *rawgrpc.Stream)
	}{
		{name: "sound", sound: true, serve: func(s *rawgrpc.Stream) { s.Head(sound...); end(s) }},
		{name: "sound, head in several frames", sound: true, serve: func(s *rawgrpc.Stream) { s.HeadInFrames(sound...); end(s) }},
		{name: "sound, after an interim answer", sound: true, serve: func(s *rawgrpc.Stream) { s.Head(":status", "103"); s.Head(sound...); end(s) }},
		{name: "closed before the trailers", serve: func(s *rawgrpc.Stream) { s.Head(sound...); s.Data(message) }},
		{name: "closed in two steps before the trailers", serve: func(s *rawgrpc.Stream) { s.Head(sound...); s.Data(message); s.HalfClose() }},
		{name: "reset before the trailers", serve: func(s *rawgrpc.Stream) { s.Head(sound...); s.Data(message); s.Reset() }},
		{name: "reset in the message", serve: func(s *rawgrpc.Stream) { s.Head(sound...); s.Data(message[:len(message)-1]); s.Reset() }},
		{name: "ended without trailers", serve: func(s *rawgrpc.Stream) { s.Head(sound...); s.LastData(message) }},
		{name: "ended in the message", serve: func(s *rawgrpc.Stream) {
			s.Head(sound...)
			s.Data(message[:len(message)-1])
			s.Trailers("grpc-status", "0")
		}},
		{name: "status 000", serve: func(s *rawgrpc.Stream) { s.Head(head("000", "x")...); end(s) }},
		{name: "status 000, head in several frames", serve: func(s *rawgrpc.Stream) { s.HeadInFrames(head("000", "x")...); end(s) }},
		{name: "status 000 of an interim answer", serve: func(s *rawgrpc.Stream) { s.Head(":status", "000"); s.Head(sound...); end(s) }},
		{name: "status 600", serve: func(s *rawgrpc.Stream) { s.Head(head("600", "x")...); end(s) }},
		{name: "status of two digits", serve: func(s *rawgrpc.Stream) { s.Head(head("20", "x")...); end(s) }},
		{name: "no status", serve: func(s *rawgrpc.Stream) { s.Head(sound[2:]...); end(s) }},
		{name: "blank in a name", serve: func(s *rawgrpc.Stream) { s.Head(head("200", "x y")...); end(s) }},
		{name: "control byte in a name", serve: func(s *rawgrpc.Stream) { s.Head(head("200", "x\x01")...); end(s) }},
		{name: "blank in a name of the trailers", serve: func(s *rawgrpc.Stream) {
			s.Head(sound...)
			s.Data(message)
			s.Trailers("grpc-status", "0", "x y", "x")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := rawgrpc.Start(t, c.serve)
			// The message exceeds the buffers of a connection and the server's window.
			sent := wrapperspb.String(strings.Repeat("b", 4<<20))
			for range rounds {
				conns := grpcconn.NewCache(time.Minute, func(conn grpc.ClientConnInterface) grpc.ClientConnInterface { return conn },
					grpcconn.WithCredentials(insecure.NewCredentials()))
				conn, err := conns.Get(address)
				if err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				received := &wrapperspb.StringValue{}
				err = conn.Invoke(ctx, "/service/Method", sent, received)
				if ctx.Err() != nil {
					t.Error("the call lasted until its deadline")
				}
				cancel()
				conns.Close()
				if (err == nil) != c.sound || (err == nil && received.Value != "a") {
					t.Fatalf("got message %q, error %v; want a message: %v", received.Value, err, c.sound)
				}
			}
		})
	}
}
