package callhttp_test

import (
	"bufio"
	"context"
	"errors"
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

// linkBodies admits bodies by a gate alone.
type linkBodies struct{ *link.Gate }

func (b linkBodies) AdmitBody(ctx context.Context, r *call.Request, length int64) (*link.Body, error) {
	body, err := b.Enter(ctx, r, length, link.Slots{})
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
		ClassName: "upload", Class: &target.Class{Name: "upload", Rank: 1, Latency: time.Second}, AskFirst: askFirst,
	}
}

// holdLink takes the whole link, as a body that is on its way.
func holdLink(t *testing.T, g *link.Gate) *link.Body {
	body, err := g.Enter(t.Context(), upload(true), uploadSize, link.Slots{})
	if err != nil {
		t.Fatal(err)
	}
	return body
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

	held := holdLink(t, gate)
	time.AfterFunc(40*time.Millisecond, held.End)
	a, err := forward(t.Context(), upload(true))
	if err != nil || len(a.Body) != uploadSize || a.Load.LinkWait != 3*time.Millisecond {
		t.Fatalf("body that waits: got %+v and %v, want an answer of %d bytes with a wait of 3ms", a, err, uploadSize)
	}
	if elapsed < 30*time.Millisecond {
		t.Errorf("call that waited for the link: %v elapsed, want its wait included", elapsed)
	}
	if c := gate.Counts(); c.Granted != 2 || c.InTransit != 0 {
		t.Errorf("after the body arrived: %+v, want 2 granted and none on its way", c)
	}

	held = holdLink(t, gate)
	late := upload(true)
	late.Class.Latency = 20 * time.Millisecond
	_, err = forward(t.Context(), late)
	if f := failureOf(t, err); f.Verdict != call.NotRun || f.Reason != call.Overloaded || f.Load.LinkWait < 30*time.Millisecond {
		t.Errorf("body that cannot arrive in time: got %v with load %+v, want overloaded (not-run) with the wait", err, f.Load)
	}

	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = forward(ctx, upload(true))
	if f := failureOf(t, err); f.Verdict != call.NotRun || f.Reason != call.Canceled {
		t.Errorf("canceled while waiting: got %v, want canceled (not-run)", err)
	}
	for end := time.Now().Add(testTimeout); gate.Counts().Waiting > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the body of a canceled call still waits")
		}
	}
	held.End()

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
