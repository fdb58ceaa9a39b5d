package httpconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
)

// startSmallMemory starts a server with a bound of the memory of requests and answers.
func startSmallMemory(t *testing.T, h Handler, requests, answers int64) string {
	t.Helper()
	_, address := startTunedServer(t, h, func(s *Server) { s.SetRequestMemory(NewRequestMemory(requests, answers)) })
	return address
}

// Guards against parsed header fields without a bound: 15 KB of text become over 1 MB. A
// request of common size is served beside them.
func TestServerManyFieldsBeyondMemoryAreRefused(t *testing.T) {
	const fields = 3000
	many := func(path string) string {
		return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", fields) + "\r\n"
	}
	for name, head := range map[string]func(string) string{
		"fields": many,
		"cookie": func(path string) string {
			return "GET " + path + " HTTP/1.1\r\nHost: a\r\nCookie: " + strings.Repeat("a;", fields) + "\r\n\r\n"
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGatedHandler("/held", "/short")
			address := startSmallMemory(t, refusedHead{g}, fields*fieldBytes*3/2, 1<<20)
			held := dial(t, address)
			_, _ = io.WriteString(held, head("/held"))
			<-g.started
			refused := dial(t, address)
			_, _ = io.WriteString(refused, head("/refused"))
			if got, last := readResponse(t, bufio.NewReader(refused)); got != "/refused: "+ErrNoBodyRoom.Error() || !last {
				t.Errorf("many fields without room: got answer %q, last %t; want the refusal, last", got, last)
			}
			close(g.gates["/short"])
			if got, _ := readResponse(t, sendGet(t, dial(t, address), "/short")); got != "/short" {
				t.Errorf("short request beside it: got answer %q, want /short", got)
			}
			close(g.gates["/held"])
			if got, _ := readResponse(t, bufio.NewReader(held)); got != "/held" {
				t.Errorf("request with room: got answer %q, want /held", got)
			}
		})
	}
}

// Pipelined requests without room must be read once there is, none may be lost.
func TestServerPipelinedRequestsWithoutRoomAreServedInTurn(t *testing.T) {
	address := startSmallMemory(t, echoHandler{}, pipelinedBytes-1, 1<<20)
	c := dial(t, address)
	const requests = 20
	var text strings.Builder
	for i := range requests {
		fmt.Fprintf(&text, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n%02d", i)
	}
	_, _ = io.WriteString(c, text.String())
	r := bufio.NewReader(c)
	for i := range requests {
		if got, _ := readResponse(t, r); got != fmt.Sprintf("%02d", i) {
			t.Fatalf("answer %d: got %q", i, got)
		}
	}
}

// longAnswers answers each request with a long body.
type longAnswers struct{ echoHandler }

const testAnswerSize = 8 << 20

func (longAnswers) Handle(_ context.Context, _ *fasthttp.Request, resp *fasthttp.Response) {
	resp.SetBodyRaw(make([]byte, testAnswerSize))
}

// Guards against answers that are held without a bound for clients that do not read. Once
// these have gone, there is room again.
func TestServerAnswerWithoutRoomClosesConnection(t *testing.T) {
	address := startSmallMemory(t, longAnswers{}, 1<<20, testAnswerSize+testAnswerSize/2)
	unread := dial(t, address)
	_ = unread.(*net.TCPConn).SetReadBuffer(4096)
	unreadAnswers := sendGet(t, unread, "/")
	if _, err := unreadAnswers.Peek(1); err != nil {
		t.Fatal(err)
	}
	if resp, err := http.ReadResponse(sendGet(t, dial(t, address), "/"), nil); err == nil {
		t.Errorf("answer without room: got status %d, want the connection closed", resp.StatusCode)
	}
	_ = unread.Close()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.ReadResponse(sendGet(t, dial(t, address), "/"), nil)
		if err == nil {
			if n, _ := io.Copy(io.Discard, resp.Body); n != testAnswerSize {
				t.Errorf("answer with room has %d bytes, want %d", n, testAnswerSize)
			}
			return
		}
		if time.Now().After(end) {
			t.Fatal("no answer after the client that did not read had gone")
		}
	}
}

// pipeServer serves one end of a connection in memory with a fake clock, and returns the
// other end.
func pipeServer(t *testing.T, h Handler) net.Conn {
	t.Helper()
	client, conn := net.Pipe()
	s := NewServer(h, 0)
	n := newSession(s, conn)
	s.add(n)
	go n.run(context.Background())
	t.Cleanup(func() { _ = client.Close() })
	return client
}

// Guards against cutting off a client that is slow but within its limits: 3 s for the
// head, and a body that arrives steadily.
func TestServerSlowButSteadyRequestIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := pipeServer(t, echoHandler{})
		head := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 29\r\n\r\n"
		_, _ = io.WriteString(c, head[:10])
		time.Sleep(3 * time.Second)
		_, _ = io.WriteString(c, head[10:])
		body := strings.Repeat("b", 29)
		for i := range body {
			if _, err := io.WriteString(c, body[i:i+1]); err != nil {
				t.Fatalf("after %d s of the body: %v", i, err)
			}
			time.Sleep(time.Second)
		}
		if got, _ := readResponse(t, bufio.NewReader(c)); got != body {
			t.Errorf("got answer %q, want the body", got)
		}
	})
}

// Guards against clients that hold a connection by sending next to nothing.
func TestServerClientThatStopsIsCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		within time.Duration
	}{
		"head": {"POST / HTTP/1.1\r\nHo", HeadTimeout},
		"body": {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 29\r\n\r\nb", StallTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn := pipeServer(t, echoHandler{})
				start := time.Now()
				_, _ = io.WriteString(conn, c.text)
				if _, err := io.Copy(io.Discard, conn); err != nil {
					t.Fatal(err)
				}
				if took := time.Since(start); took > c.within+time.Second {
					t.Errorf("connection was closed after %v, want within %v", took, c.within)
				}
			})
		})
	}
}

// awaitReading waits until a number of sessions read the head of a request.
func awaitReading(t *testing.T, s *Server, want int) {
	t.Helper()
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		reading := 0
		s.mu.Lock()
		for n := range s.sessions {
			if n.progress.readingSince.Load() > 0 {
				reading++
			}
		}
		s.mu.Unlock()
		if reading == want {
			return
		}
	}
	t.Fatalf("timed out waiting for %d sessions that read", want)
}

// Guards against a crowd of slow clients that keeps all places for ordinary ones.
func TestServerAtLimitClosesSlowClients(t *testing.T) {
	const limit = 8
	s, address := startLimitedServer(t, echoHandler{}, limit, 0)
	for range limit {
		_, _ = io.WriteString(dial(t, address), "POST / HTTP/1.1\r\nHo")
	}
	awaitReading(t, s, limit)
	for end := time.Now().Add(20 * time.Second); s.Crowding().ClosedSlow == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no slow connection was closed")
		}
		dial(t, address)
	}
}

// Guards against bodies that stop just short of their end and keep out those of others
// until their time limits end.
func TestServerSlowBodiesMakeRoomForOthers(t *testing.T) {
	const length = 32 << 10
	s, address := startTunedServer(t, echoHandler{}, func(s *Server) {
		s.SetRequestMemory(NewRequestMemory(length, 1<<20))
		s.memory.OnShort(s.MakeMemoryRoom)
	})
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", length)
	_, _ = io.WriteString(dial(t, address), head+"b")
	awaitReading(t, s, 1)
	body := strings.Repeat("b", length)
	for end := time.Now().Add(StallTimeout / 2); ; time.Sleep(10 * time.Millisecond) {
		c := dial(t, address)
		_, _ = io.WriteString(c, head+body)
		if got, _ := readResponse(t, bufio.NewReader(c)); got == body {
			return
		}
		if time.Now().After(end) {
			t.Fatal("no body was served while one that had stopped held all room")
		}
	}
}

// Guards against taking fields after a body for the next request, or keeping them.
func TestServerFieldsAfterBodyAreDropped(t *testing.T) {
	_, address := startServer(t, echoHandler{})
	const head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n"
	c := dial(t, address)
	_, _ = io.WriteString(c, head+"a\r\n0\r\nX-Wait: 1\r\nX: y\r\n\r\n"+head+"b\r\n0\r\n\r\n")
	r := bufio.NewReader(c)
	for _, want := range []string{"a", "b"} {
		if got, _ := readResponse(t, r); got != want {
			t.Errorf("got answer %q, want %q", got, want)
		}
	}
	endless := dial(t, address)
	_, _ = io.WriteString(endless, head+"a\r\n0\r\n"+strings.Repeat("a: b\r\n", MaxHeaderSize))
	if resp, err := http.ReadResponse(bufio.NewReader(endless), nil); err == nil && resp.StatusCode != fasthttp.StatusBadRequest {
		t.Errorf("fields without end: got status %d, want 400 or the connection closed", resp.StatusCode)
	}
}

// A daemon adds fields to the calls that it forwards. Guards against a head of the largest
// size for callers that the next daemon refuses.
func TestServerHeadUpToItsMaximumIsServed(t *testing.T) {
	_, address := startTunedServer(t, echoHandler{}, func(s *Server) { s.SetMaxHead(MaxHeaderSize + 4096) })
	c := dial(t, address)
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nX-Long: "+strings.Repeat("a", MaxHeaderSize)+"\r\n\r\nb")
	if got, _ := readResponse(t, bufio.NewReader(c)); got != "b" {
		t.Errorf("got answer %q, want b", got)
	}
}
