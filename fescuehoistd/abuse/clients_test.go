//go:build linux

package abuse

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"fescuehoist.example/platform/platformtest"
)

// target is an address and path that clients send requests to.
type target struct {
	name, method, path string
	address            func(d *daemon) string
}

var targets = []target{
	{"route", "POST", "/submit/x", func(d *daemon) string { return d.callers }},
	{"no route", "POST", "/nowhere/x", func(d *daemon) string { return d.callers }},
	{"other daemons", "POST", "/submit/x", func(d *daemon) string { return d.calls }},
	{"readiness", "GET", "/readyz", func(d *daemon) string { return d.ready }},
	{"announcements", "PUT", platformtest.InstancesPath + "i-2", func(d *daemon) string { return d.announcements }},
	{"admin", "PUT", "/v1/backend", func(d *daemon) string { return d.admin }},
}

// head returns the start of a request's head, with an id, but without its framing.
func (g *target) head(path, id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: site.example\r\n%s: %s\r\n%s: 20000\r\n",
		g.method, path, platformtest.HeaderRequestID, id, platformtest.HeaderDeadline)
}

// client sends what the n-th client of a crowd sends on its connection, and returns when
// it has sent all or the connection fails. The connection stays open.
type client func(g *target, n int, conn net.Conn)

// crowd is a number of clients at the same time.
type crowd struct {
	clients, descriptors int
	client               client
}

// play lets a crowd send to each target, to a daemon of its own, and checks that the
// daemon stays within its limits and serves others while the connections are open.
func (c crowd) play(t *testing.T) {
	for _, g := range targets {
		t.Run(g.name, func(t *testing.T) {
			d := startDaemon(t, c.descriptors)
			closeAll := c.send(&g, g.address(d))
			defer closeAll()
			checkServed(t, d.callers, "/submit/x")
			checkServed(t, d.ready, "/readyz")
			d.check(t)
		})
	}
}

// sendGuard bounds the time that a client may take to send, so that a daemon that reads
// nothing more does not keep the test waiting.
const sendGuard = 3 * time.Second

// send lets all clients of a crowd send, and returns a function that closes their
// connections.
func (c crowd) send(g *target, address string) (closeAll func()) {
	var tasks sync.WaitGroup
	conns := make([]net.Conn, c.clients)
	for n := range conns {
		tasks.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendGuard)
			if err != nil {
				return
			}
			conns[n] = conn
			_ = conn.SetDeadline(time.Now().Add(sendGuard))
			c.client(g, n, conn)
		})
	}
	tasks.Wait()
	return func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
}

// bodyLength is a length that all addresses accept, in bytes. One client in completeShare
// sends its whole body, the others all but the last bytes.
const (
	bodyLength    = 63_000
	completeShare = 16
)

// bodyOf returns the bytes that a client sends of a body with a length.
func bodyOf(n, length int) string {
	if n%completeShare == 0 {
		return strings.Repeat("x", length)
	}
	return strings.Repeat("x", length-1)
}

// Guards against a daemon that keeps bodies of a size that needs no permission, and is
// out of memory because of their number.
func TestManyBodiesLeaveDaemonWithinItsLimits(t *testing.T) {
	for name, send := range map[string]client{
		"one piece": func(g *target, n int, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", g.head(g.path, fmt.Sprint("one-", n)), bodyLength, bodyOf(n, bodyLength))
		},
		"small pieces": func(g *target, n int, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", g.head(g.path, fmt.Sprint("small-", n)), bodyLength)
			for text := bodyOf(n, bodyLength); text != ""; {
				piece := text[:min(len(text), 1000)]
				text = text[len(piece):]
				if _, err := io.WriteString(conn, piece); err != nil {
					return
				}
			}
		},
		"chunks": func(g *target, n int, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n", g.head(g.path, fmt.Sprint("chunks-", n)))
			chunk := fmt.Sprintf("%x\r\n%s\r\n", bodyLength/20, strings.Repeat("x", bodyLength/20))
			_, _ = io.WriteString(conn, strings.Repeat(chunk, 20))
			if n%completeShare == 0 {
				_, _ = io.WriteString(conn, "0\r\n\r\n")
			}
		},
	} {
		t.Run(name, crowd{clients: 1300, descriptors: manyDescriptors, client: send}.play)
	}
}

// Guards against a daemon that takes memory for the length that clients state, or for
// what they send before it knows the length.
func TestLongBodiesLeaveDaemonWithinItsLimits(t *testing.T) {
	const length = 7_500_000
	for name, send := range map[string]client{
		"long": func(g *target, n int, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", g.head(g.path, fmt.Sprint("long-", n)), length, bodyOf(n, length))
		},
		"stated chunk": func(g *target, n int, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", g.head(g.path, fmt.Sprint("stated-", n)), 60<<20, bodyOf(n, bodyLength))
		},
		"over the limit": func(g *target, n int, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", g.head(g.path, fmt.Sprint("over-", n)), 1<<30)
			writeUntilError(conn, strings.Repeat("x", 1<<20), 100)
		},
		"chunks over the limit": func(g *target, n int, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n", g.head(g.path, fmt.Sprint("over-", n)))
			writeUntilError(conn, fmt.Sprintf("%x\r\n%s\r\n", 1<<20, strings.Repeat("x", 1<<20)), 100)
		},
	} {
		t.Run(name, crowd{clients: 40, descriptors: manyDescriptors, client: send}.play)
	}
}

func writeUntilError(w io.Writer, text string, times int) {
	for range times {
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
	}
}

// headLength is about the length of the longest heads that clients send, in bytes.
const headLength = 15_000

// Guards against a daemon for which a request of legal size becomes many times as large,
// or takes time without end.
func TestRequestsOfManyPartsLeaveDaemonWithinItsLimits(t *testing.T) {
	for name, send := range map[string]client{
		"fields": func(g *target, n int, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "%s%sContent-Length: 10\r\n\r\n%s", g.head(g.path, fmt.Sprint("fields-", n)), strings.Repeat("a:\r\n", headLength/4), bodyOf(n, 10))
		},
		"fields before chunks": func(g *target, n int, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "%s%sTransfer-Encoding: chunked\r\n\r\n", g.head(g.path, fmt.Sprint("fields-", n)), strings.Repeat("a:\r\n", headLength/4))
			_, _ = io.WriteString(conn, strings.Repeat("1;a=b\r\nx\r\n", 1000))
		},
		"query parts": func(g *target, n int, conn net.Conn) {
			path := g.path + "?" + strings.Repeat("a&", headLength/2)
			_, _ = fmt.Fprintf(conn, "%sContent-Length: 10\r\n\r\n%s", g.head(path, fmt.Sprint("query-", n)), bodyOf(n, 10))
		},
		"path parts": func(g *target, n int, conn net.Conn) {
			path := g.path + strings.Repeat("/a", headLength/2)
			_, _ = fmt.Fprintf(conn, "%sContent-Length: 10\r\n\r\n%s", g.head(path, fmt.Sprint("path-", n)), bodyOf(n, 10))
		},
	} {
		t.Run(name, crowd{clients: 400, descriptors: manyDescriptors, client: send}.play)
	}
}

// Guards against a daemon that keeps requests, or answers, for clients that do not read
// their answers.
func TestPipelinedRequestsLeaveDaemonWithinItsLimits(t *testing.T) {
	for name, send := range map[string]client{
		"bodies": func(g *target, n int, conn net.Conn) {
			for i := range 100 {
				_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", g.head(g.path, fmt.Sprint("body-", n, "-", i)), bodyLength, bodyOf(0, bodyLength))
				if err != nil {
					return
				}
			}
		},
		"fields": func(g *target, n int, conn net.Conn) {
			for i := range 100 {
				_, err := fmt.Fprintf(conn, "%s%s\r\n", g.head(g.path, fmt.Sprint("fields-", n, "-", i)), strings.Repeat("a:\r\n", headLength/4))
				if err != nil {
					return
				}
			}
		},
		"long answers": func(g *target, n int, conn net.Conn) {
			path := g.path
			if path == "/submit/x" {
				path = largePath
			}
			for i := range 100 {
				if _, err := fmt.Fprintf(conn, "%sContent-Length: 0\r\n\r\n", g.head(path, fmt.Sprint("answer-", n, "-", i))); err != nil {
					return
				}
			}
		},
	} {
		t.Run(name, crowd{clients: 60, descriptors: manyDescriptors, client: send}.play)
	}
}

// Guards against a daemon that runs out of descriptors, or out of places for other
// clients, because of clients that are slow or stop half-way.
func TestSlowClientsLeaveDaemonWithinItsLimits(t *testing.T) {
	for name, send := range map[string]client{
		"head": func(g *target, n int, conn net.Conn) {
			sendSlowly(conn, g.head(g.path, fmt.Sprint("slow-", n))[:40])
		},
		"body": func(g *target, n int, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", g.head(g.path, fmt.Sprint("slow-", n)), 1000)
			sendSlowly(conn, bodyOf(1, 40))
		},
		"answer": func(g *target, n int, conn net.Conn) {
			path := g.path
			if path == "/submit/x" {
				path = largePath
			}
			_ = conn.(*net.TCPConn).SetReadBuffer(4096)
			_, _ = fmt.Fprintf(conn, "%sContent-Length: 0\r\n\r\n", g.head(path, fmt.Sprint("slow-", n)))
			for range 40 {
				time.Sleep(pieceInterval)
				_, _ = conn.Read(make([]byte, 1))
			}
		},
	} {
		t.Run(name, crowd{clients: 400, descriptors: fewDescriptors, client: send}.play)
	}
}

// pieceInterval is the time between two pieces of what a slow client sends or reads.
const pieceInterval = 10 * time.Millisecond

func sendSlowly(conn net.Conn, text string) {
	for i := range len(text) {
		if _, err := io.WriteString(conn, text[i:i+1]); err != nil {
			return
		}
		time.Sleep(pieceInterval)
	}
}
