package quarantine

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
)

// group holds the logs of the daemons of one service.
type group struct {
	logs  []*Tracker
	alive bool
}

func newGroup(size int) *group {
	g := &group{}
	for i := range size {
		g.logs = append(g.logs, NewTracker(DefaultConfig(), member.ServerID(fmt.Sprint("s", i)), g, g, func() {}))
	}
	return g
}

func (g *group) Alive(context.Context) bool { return g.alive }

func (g *group) Tell(_ context.Context, _ string, r *Report) {
	for _, l := range g.logs {
		l.Apply(r)
	}
}

func get(uri string) *call.Request {
	return &call.Request{Service: "lookup", Method: "GET", URI: uri}
}

// pass lets a request in.
func pass(t *testing.T, l *Tracker, uri string) *Ticket {
	t.Helper()
	p, err := l.Enter(context.Background(), get(uri))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

var errCutOff = &call.Failure{Verdict: call.MayHaveRun, Reason: call.Cut}

func wantReason(t *testing.T, err error, reason call.Reason) {
	t.Helper()
	var f *call.Failure
	if !errors.As(err, &f) || f.Reason != reason {
		t.Fatalf("got %v, want the reason %s", err, reason)
	}
}

func TestTheSecondCrashRefusesARequestEverywhere(t *testing.T) {
	g := newGroup(4)
	for i := range crashesToRefuse {
		deadly, beside := pass(t, g.logs[i], "/deadly"), pass(t, g.logs[i], fmt.Sprint("/innocent", i))
		wantReason(t, deadly.End(context.Background(), errCutOff), call.Crashed)
		wantReason(t, beside.End(context.Background(), errCutOff), call.Crashed)
	}
	for _, l := range g.logs {
		_, err := l.Enter(context.Background(), get("/deadly"))
		wantReason(t, err, call.Quarantined)
		for i := range crashesToRefuse {
			p := pass(t, l, fmt.Sprint("/innocent", i))
			if err := p.End(context.Background(), nil); err != nil {
				t.Error(err)
			}
		}
	}
}

func TestSuspectsRunOneAtATimeAndAreClearedBySuccess(t *testing.T) {
	g := newGroup(2)
	a, b := pass(t, g.logs[0], "/a"), pass(t, g.logs[0], "/b")
	_ = a.End(context.Background(), errCutOff)
	_ = b.End(context.Background(), errCutOff)
	first := pass(t, g.logs[1], "/a")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := g.logs[1].Enter(ctx, get("/b"))
	wantReason(t, err, call.Deadline)
	if err := first.End(context.Background(), nil); err != nil {
		t.Fatal(err)
	}
	second, third := pass(t, g.logs[1], "/b"), pass(t, g.logs[1], "/a")
	second.Release()
	third.Release()
	if n := len(g.logs[0].suspects); n != 1 {
		t.Errorf("%d suspects are left, want 1", n)
	}
}

func TestARequestThatEndedWellIsNoSuspect(t *testing.T) {
	g := newGroup(2)
	if err := pass(t, g.logs[0], "/often").End(context.Background(), nil); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		_ = pass(t, g.logs[0], "/often").End(context.Background(), errCutOff)
	}
	pass(t, g.logs[0], "/often").Release()
}

func TestACutWhileTheServerLivesIsNoCrash(t *testing.T) {
	g := newGroup(1)
	g.alive = true
	for range 3 {
		wantReason(t, pass(t, g.logs[0], "/cut").End(context.Background(), errCutOff), call.Cut)
	}
}

func TestOneCrashCountsOnceForCopiesOfARequest(t *testing.T) {
	g := newGroup(1)
	a, b := pass(t, g.logs[0], "/same"), pass(t, g.logs[0], "/same")
	_ = a.End(context.Background(), errCutOff)
	_ = b.End(context.Background(), errCutOff)
	pass(t, g.logs[0], "/same").Release()
}

func TestSuspectsAreForgottenAndBounded(t *testing.T) {
	g := newGroup(1)
	l := g.logs[0]
	l.cfg.MaxSuspects, l.cfg.SuspectTime = 2, time.Nanosecond
	for i := range 5 {
		l.Apply(&Report{Crash: fmt.Sprint(i), Suspects: []Fingerprint{Fingerprint(i)}})
		time.Sleep(time.Microsecond)
	}
	if n := len(l.suspects); n > 2 {
		t.Errorf("%d suspects are kept", n)
	}
}
