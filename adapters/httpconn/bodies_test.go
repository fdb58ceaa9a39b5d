package httpconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// refusedHead answers refused requests with their path, and others like gatedHandler.
type refusedHead struct{ *gatedHandler }

func (refusedHead) Refuse(req *fasthttp.Request, resp *fasthttp.Response, cause error) {
	resp.SetBodyString(fmt.Sprintf("%s: %v", req.Header.RequestURI(), cause))
}

const testBodySize = 1 << 20

// sendBody starts to send a request with a body of testBodySize.
func sendBody(c net.Conn, path string, chunked bool) *bufio.Reader {
	body := strings.Repeat("b", testBodySize)
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", path, len(body))
	if chunked {
		head = fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", path, len(body))
		body += "\r\n0\r\n\r\n"
	}
	go func() { _, _ = io.WriteString(c, head+body) }()
	return bufio.NewReader(c)
}

// Guards against reading more bodies at the same time than there is memory for. What is
// refused must not reach the handler, and the head decides about the refusal.
func TestServerBodyBeyondBudgetIsRefusedUnread(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) {
			g := newGatedHandler("/held", "/short", "/next")
			_, address := startTunedServer(t, refusedHead{g}, func(s *Server) { s.SetBodyBudget(testBodySize + testBodySize/2) })
			held := sendBody(dial(t, address), "/held", chunked)
			<-g.started
			c := dial(t, address)
			want := "/refused: " + ErrNoBodyRoom.Error()
			if got, last := readResponse(t, sendBody(c, "/refused", chunked)); got != want || !last {
				t.Errorf("body without room: got answer %q, last %t; want %q, last", got, last, want)
			}
			close(g.gates["/short"])
			if got, _ := readResponse(t, sendGet(t, dial(t, address), "/short")); got != "/short" {
				t.Errorf("short request beside it: got answer %q, want /short", got)
			}
			<-g.started
			close(g.gates["/held"])
			if got, _ := readResponse(t, held); got != "/held" {
				t.Errorf("body that was read: got answer %q, want /held", got)
			}
			close(g.gates["/next"])
			if got, _ := readResponse(t, sendBody(dial(t, address), "/next", chunked)); got != "/next" {
				t.Errorf("body after the other has ended: got answer %q, want /next", got)
			}
			if len(g.started) != 1 {
				t.Errorf("%d requests in the handler after the refusal, want /next alone", len(g.started))
			}
		})
	}
}

// A body for which there is room soon is held back, not refused.
func TestServerBodyWaitsForRoom(t *testing.T) {
	g := newGatedHandler("/held", "/waiting")
	_, address := startTunedServer(t, refusedHead{g}, func(s *Server) {
		s.SetBodyBudget(testBodySize)
		s.bodies.wait = time.Minute
	})
	sendBody(dial(t, address), "/held", false)
	<-g.started
	waiting := sendBody(dial(t, address), "/waiting", false)
	close(g.gates["/waiting"])
	close(g.gates["/held"])
	if got, _ := readResponse(t, waiting); got != "/waiting" {
		t.Errorf("got answer %q, want /waiting", got)
	}
}

// A body that can never fit is refused without waiting for others.
func TestServerBodyLargerThanBudgetIsRefused(t *testing.T) {
	_, address := startTunedServer(t, refusedHead{newGatedHandler()}, func(s *Server) { s.SetBodyBudget(testBodySize / 2) })
	for _, chunked := range []bool{false, true} {
		if got, _ := readResponse(t, sendBody(dial(t, address), "/large", chunked)); !strings.HasPrefix(got, "/large: ") {
			t.Errorf("chunked %t: got answer %q, want the refusal", chunked, got)
		}
	}
}
