package callhttp_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"fescuehoist.example/adapters/callhttp"
	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/link"
	"fescuehoist.example/mesh/target"
)

func noSlots() link.Slots { return link.Slots{} }

// linkBodies admits bodies by a gate alone.
type linkBodies struct{ *link.Gate }

func (b linkBodies) AdmitBody(ctx context.Context, r *call.Request, length int64) (*link.Body, error) {
	body, err := b.Enter(ctx, r, length, noSlots)
	if err != nil {
		err.(*call.Failure).Load = call.Load{Limit: 4, LinkWait: b.Wait()}
	}
	return body, err
}

func (b linkBodies) ObserveBody(length int64) *link.Body { return b.Observe(length) }

// startLinkedDaemon starts a daemon whose host has a link of 10 Mbit/s.
func startLinkedDaemon(t *testing.T, handler call.Handler) (*link.Gate, string) {
	gate := link.NewGate(10)
	ctx, stop := context.WithCancel(context.Background())
	server := httpconn.NewServer(&callhttp.DaemonHandler{Handler: handler, Bodies: linkBodies{gate}}, callhttp.ProgressInterval)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		server.Abort()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return gate, ln.Addr().String()
}

const uploadSize = 60_000

func upload(askFirst bool) *call.Request {
	return &call.Request{
		Service: "lookup", Method: "POST", URI: "/places", Body: []byte(strings.Repeat("b", uploadSize)),
		ClassName: "upload", Class: &target.Class{Name: "upload", Rank: 1, Latency: 20 * time.Second}, AskFirst: askFirst,
	}
}

// holdLink takes the whole link until release is called, as a long body that keeps
// arriving.
func holdLink(t *testing.T, g *link.Gate) (release func()) {
	body, err := g.Enter(t.Context(), upload(true), 4<<20, noSlots)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer body.End()
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
				body.Arrived(1)
			}
		}
	}()
	return func() {
		close(done)
		awaitCounts(t, g, "the long body to end", func(c link.Counts) bool { return c.InTransit < 4<<19 })
	}
}

func awaitCounts(t *testing.T, g *link.Gate, what string, condition func(link.Counts) bool) {
	for end := time.Now().Add(testTimeout); !condition(g.Counts()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("waited for %s: %+v", what, g.Counts())
			return
		}
	}
}

// Guards against bodies that are sent unasked, against refusals that lose their verdict or
// load, and against waiting bodies that outlive their callers.
func TestForwarderAsksBeforeLargeBody(t *testing.T) {
	var elapsed time.Duration
	echo := callFunc(func(_ context.Context, r *call.Request) (*call.Answer, error) {
		elapsed = r.Elapsed
		return &call.Answer{Status: 200, Body: r.Body, Load: call.Load{Limit: 4, LinkWait: 3 * time.Millisecond}}, nil
	})
	gate, daemon := startLinkedDaemon(t, echo)
	forward := forwardTo(t, daemon)

	waits := func(c link.Counts) bool { return c.Waiting == uploadSize }
	release := holdLink(t, gate)
	released := make(chan struct{})
	go func() {
		defer close(released)
		awaitCounts(t, gate, "the body to wait", waits)
		time.Sleep(20 * time.Millisecond)
		release()
	}()
	a, err := forward(t.Context(), upload(true))
	<-released
	if err != nil || len(a.Body) != uploadSize || a.Load.LinkWait != 3*time.Millisecond {
		t.Fatalf("body that waits: got %+v and %v, want an answer of %d bytes with a wait of 3ms", a, err, uploadSize)
	}
	if elapsed < 20*time.Millisecond {
		t.Errorf("call that waited for the link: %v elapsed, want its wait included", elapsed)
	}
	if c := gate.Counts(); c.Granted != 2 || c.InTransit != 0 {
		t.Errorf("after the body arrived: %+v, want 2 granted and none on its way", c)
	}

	release = holdLink(t, gate)
	late := upload(true)
	late.Class.Latency = 20 * time.Millisecond
	_, err = forward(t.Context(), late)
	if f := failureOf(t, err); f.Verdict != call.NotRun || f.Reason != call.Overloaded || f.Load.LinkWait < 30*time.Millisecond {
		t.Errorf("body that cannot arrive in time: got %v with load %+v, want overloaded (not-run) with the wait", err, f.Load)
	}

	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		awaitCounts(t, gate, "the body to wait", waits)
		cancel()
	}()
	_, err = forward(ctx, upload(true))
	if f := failureOf(t, err); f.Verdict != call.NotRun || f.Reason != call.Canceled {
		t.Errorf("canceled while waiting: got %v, want canceled (not-run)", err)
	}
	awaitCounts(t, gate, "the body of the canceled call to be gone", func(c link.Counts) bool { return c.Waiting == 0 })
	release()

	if _, err = forward(t.Context(), upload(false)); err != nil {
		t.Errorf("body of an earlier release, which does not ask: %v", err)
	}
}

// Guards against a daemon that cannot send bodies to one of an earlier release, which asks
// for each body at once.
func TestForwarderAsksDaemonOfEarlierRelease(t *testing.T) {
	s := startScriptedServer(t, func(s *scriptedServer, c net.Conn, r *bufio.Reader) { echoIDs(s, c, r) })
	daemon := startDaemon(t, s.address)
	r := request("r1", false)
	r.Body, r.AskFirst = make([]byte, uploadSize), true
	a, err := forwardTo(t, daemon)(t.Context(), r)
	var f *call.Failure
	if errors.As(err, &f) || string(a.Body) != "r1" {
		t.Errorf("got %v and %v, want answer r1", a, err)
	}
}

// Guards against a grant that outlives the connection of its sender.
func TestSenderThatDiesFreesItsGrant(t *testing.T) {
	gate, daemon := startLinkedDaemon(t, callFunc(func(context.Context, *call.Request) (*call.Answer, error) {
		t.Error("a call whose body is not complete ran")
		return nil, call.Refuse(call.Overloaded, nil)
	}))
	c, err := net.Dial("tcp", daemon)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: lookup\r\nF-Server: a\r\nF-Service: lookup\r\nF-Attempt: 1\r\nF-Spent: 0\r\n"+
		"Expect: 100-continue\r\nContent-Length: %d\r\n\r\n", uploadSize)
	head := make([]byte, 12)
	if _, err := io.ReadFull(c, head); err != nil || string(head) != "HTTP/1.1 100" {
		t.Fatalf("got %q and %v, want an interim answer 100", head, err)
	}
	_, _ = c.Write(make([]byte, 1000))
	if n := gate.Counts().InTransit; n == 0 {
		t.Error("no bytes are on their way, want those of the body")
	}
	_ = c.Close()
	awaitCounts(t, gate, "the grant of the closed connection to end", func(c link.Counts) bool { return c.InTransit == 0 })
}
