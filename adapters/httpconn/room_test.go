package httpconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// startLimitedServer starts a server with a limit of open connections.
func startLimitedServer(t *testing.T, h Handler, limit int, minIdleAge time.Duration) (*Server, string) {
	t.Helper()
	return startTunedServer(t, h, func(s *Server) { s.SetMaxConnections(limit, minIdleAge) })
}

// startTunedServer starts a server after tune has been called.
func startTunedServer(t *testing.T, h Handler, tune func(*Server)) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(h, 0)
	tune(s)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, ln.Addr().String()
}

func sendGet(t *testing.T, c net.Conn, path string) *bufio.Reader {
	t.Helper()
	if _, err := io.WriteString(c, getRequest(path)); err != nil {
		t.Fatal(err)
	}
	return bufio.NewReader(c)
}

// A caller beyond the limit of connections that all have a request in progress must
// be told that its request did not run, and the others must get their answers.
func TestServerBeyondLimitRefusesWithAnswer(t *testing.T) {
	const limit = 4
	g := newGatedHandler("/")
	s, address := startLimitedServer(t, g, limit, 0)
	var busy []*bufio.Reader
	for range limit {
		busy = append(busy, sendGet(t, dial(t, address), "/"))
		<-g.started
	}
	if got, last := readResponse(t, sendGet(t, dial(t, address), "/")); got != "crowded" || !last {
		t.Errorf("connection beyond the limit: got answer %q, last %t; want the refusal, last", got, last)
	}
	close(g.gates["/"])
	for i, r := range busy {
		if got, _ := readResponse(t, r); got != "/" {
			t.Errorf("connection %d: got answer %q, want /", i, got)
		}
	}
	if got := s.Crowding(); got.Refused != 1 || got.Dropped != 0 {
		t.Errorf("got %+v, want 1 refused and none dropped", got)
	}
}

// Connections beyond those whose requests are refused are closed unread.
func TestServerClosesConnectionsBeyondRefusedOnes(t *testing.T) {
	s, address := startLimitedServer(t, newGatedHandler("/"), 1, time.Hour)
	_, _ = dial(t, address), dial(t, address)
	third := dial(t, address)
	if _, err := third.Read(make([]byte, 1)); err == nil {
		t.Error("connection beyond the limit and the refused ones was served")
	}
	if got := s.Crowding(); got.Dropped != 1 {
		t.Errorf("got %+v, want 1 dropped", got)
	}
}

// Callers that keep idle connections must not keep others out.
func TestServerAtLimitClosesIdleConnectionsFirst(t *testing.T) {
	const limit = 16
	s, address := startLimitedServer(t, echoHandler{}, limit, 0)
	for i := range 10 * limit {
		// The first answers keep their connections, which stay idle.
		if _, err := io.WriteString(dial(t, address), getRequest("/")); err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		c := dial(t, address)
		if got, _ := readResponse(t, sendGet(t, c, fmt.Sprint("/", i))); got != "" {
			t.Fatalf("connection %d: got answer %q, want that of the handler", i, got)
		}
	}
	if got := s.Crowding(); got.Refused+got.Dropped > 0 {
		t.Errorf("got %+v, want none refused or dropped while idle connections can be closed", got)
	}
}

// Close to the limit, a kept connection ends with an answer rather than unasked, so
// that no request can cross its end.
func TestServerCloseToLimitEndsConnectionWithAnswer(t *testing.T) {
	_, address := startLimitedServer(t, echoHandler{}, 4, time.Hour)
	c := dial(t, address)
	if _, last := readResponse(t, sendGet(t, c, "/")); last {
		t.Error("answer on the only connection ends it, want it kept")
	}
	var readers []*bufio.Reader
	for range 3 {
		other := dial(t, address)
		readers = append(readers, bufio.NewReader(other))
		_, _ = io.WriteString(other, getRequest("/"))
	}
	ended := 0
	for _, r := range readers {
		if _, last := readResponse(t, r); last {
			ended++
		}
	}
	if ended == 0 {
		t.Error("no answer ended its connection with 4 of 4 connections open")
	}
}
