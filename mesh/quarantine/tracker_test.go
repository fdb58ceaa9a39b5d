package quarantine

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"fescuehoist.example/mesh/advisory"
	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
)

// group holds the trackers of the daemons of one service.
type group struct {
	trackers []*Tracker
	alive    bool
}

func newGroup(size int) *group {
	g := &group{}
	for i := range size {
		g.trackers = append(g.trackers, NewTracker(DefaultConfig(), member.ServerID(fmt.Sprint("s", i)), g, g, advisory.NewBook(), func() {}))
	}
	return g
}

func (g *group) Alive(context.Context) bool { return g.alive }

func (g *group) Notify(_ context.Context, _ string, r *Report) {
	for _, tracker := range g.trackers {
		tracker.Apply(r)
	}
}

func get(uri string) *call.Request {
	return &call.Request{Service: "lookup", Method: "GET", URI: uri}
}

// enter admits a request that must not be refused.
func enter(t *testing.T, tracker *Tracker, uri string) *Ticket {
	t.Helper()
	ticket, err := tracker.Enter(context.Background(), get(uri))
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

var errCut = &call.Failure{Verdict: call.MayHaveRun, Reason: call.Cut}

func wantReason(t *testing.T, err error, reason call.Reason) {
	t.Helper()
	var f *call.Failure
	if !errors.As(err, &f) || f.Reason != reason {
		t.Fatalf("got %v, want a failure with reason %s", err, reason)
	}
}

func TestRequestQuarantinedEverywhereAfterSecondCrash(t *testing.T) {
	g := newGroup(4)
	for i := range crashesToQuarantine {
		crashing, bystander := enter(t, g.trackers[i], "/crashing"), enter(t, g.trackers[i], fmt.Sprint("/bystander", i))
		wantReason(t, crashing.End(context.Background(), errCut), call.Crashed)
		wantReason(t, bystander.End(context.Background(), errCut), call.Crashed)
	}
	for _, tracker := range g.trackers {
		_, err := tracker.Enter(context.Background(), get("/crashing"))
		wantReason(t, err, call.Quarantined)
		for i := range crashesToQuarantine {
			ticket := enter(t, tracker, fmt.Sprint("/bystander", i))
			if err := ticket.End(context.Background(), nil); err != nil {
				t.Error(err)
			}
		}
	}
}

// A daemon that restarted counts the crashes beside it from 1 again. They must not be
// taken for those that it reported before.
func TestRequestQuarantinedAfterCrashesBeforeAndAfterDaemonRestart(t *testing.T) {
	g := newGroup(2)
	_ = enter(t, g.trackers[0], "/crashing").End(context.Background(), errCut)
	g.trackers[0] = newGroup(1).trackers[0]
	g.trackers[0].peers = g
	_ = enter(t, g.trackers[0], "/crashing").End(context.Background(), errCut)
	_, err := g.trackers[1].Enter(context.Background(), get("/crashing"))
	wantReason(t, err, call.Quarantined)
}

// restored returns a tracker that has only what the advisories of the others say.
func (g *group) restored(book *advisory.Book) *Tracker {
	tracker := newGroup(1).trackers[0]
	for _, a := range book.Live() {
		tracker.ApplyAdvisory(a)
	}
	return tracker
}

func TestRestartedDaemonKnowsQuarantinedSuspectedAndClearedRequests(t *testing.T) {
	g, book := newGroup(2), advisory.NewBook()
	for _, tracker := range g.trackers {
		tracker.advisories = book
		_ = enter(t, tracker, "/crashing").End(context.Background(), errCut)
	}
	_ = enter(t, g.trackers[0], "/bystander").End(context.Background(), errCut)
	_ = enter(t, g.trackers[0], "/suspect").End(context.Background(), errCut)
	if err := enter(t, g.trackers[1], "/bystander").End(context.Background(), nil); err != nil {
		t.Fatal(err)
	}
	restarted := g.restored(book)
	_, err := restarted.Enter(context.Background(), get("/crashing"))
	wantReason(t, err, call.Quarantined)
	for uri, want := range map[string]bool{"/suspect": true, "/bystander": false} {
		ticket := enter(t, restarted, uri)
		if ticket.suspect != want {
			t.Errorf("%s is a suspect: %t, want %t", uri, ticket.suspect, want)
		}
		ticket.Release()
	}
}

// A request that many callers make runs during many crashes. After a restart it must
// not be taken for their cause.
func TestRestartedDaemonTakesNoClearedRequestForSuspect(t *testing.T) {
	g, book := newGroup(2), advisory.NewBook()
	for _, tracker := range g.trackers {
		tracker.advisories = book
		if err := enter(t, tracker, "/often").End(context.Background(), nil); err != nil {
			t.Fatal(err)
		}
		_ = enter(t, tracker, "/often").End(context.Background(), errCut)
	}
	ticket := enter(t, g.restored(book), "/often")
	if ticket.suspect {
		t.Error("a request that had ended well is a suspect after a restart")
	}
}

func TestRestoredQuarantineEndsWithItsTime(t *testing.T) {
	tracker := newGroup(1).trackers[0]
	fingerprint := uint64(FingerprintOf(get("/crashing")))
	for _, crash := range []string{"s1/a/1", "s2/a/1"} {
		age := tracker.cfg.QuarantineTime - time.Millisecond
		tracker.ApplyAdvisory(advisory.Aged{Advisory: advisory.Advisory{Kind: advisory.Crashed, Subject: crash, Number: fingerprint}, Age: age})
	}
	time.Sleep(2 * time.Millisecond)
	enter(t, tracker, "/crashing").Release()
}

func TestSuspectsRunOneAtATimeUntilCleared(t *testing.T) {
	g := newGroup(2)
	a, b := enter(t, g.trackers[0], "/a"), enter(t, g.trackers[0], "/b")
	_ = a.End(context.Background(), errCut)
	_ = b.End(context.Background(), errCut)
	first := enter(t, g.trackers[1], "/a")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := g.trackers[1].Enter(ctx, get("/b"))
	wantReason(t, err, call.Deadline)
	if err := first.End(context.Background(), nil); err != nil {
		t.Fatal(err)
	}
	second, third := enter(t, g.trackers[1], "/b"), enter(t, g.trackers[1], "/a")
	second.Release()
	third.Release()
	if n := len(g.trackers[0].suspects); n != 1 {
		t.Errorf("%d suspects left, want 1", n)
	}
}

func TestClearedRequestDoesNotBecomeSuspect(t *testing.T) {
	g := newGroup(2)
	if err := enter(t, g.trackers[0], "/often").End(context.Background(), nil); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		_ = enter(t, g.trackers[0], "/often").End(context.Background(), errCut)
	}
	enter(t, g.trackers[0], "/often").Release()
}

func TestCutWithServerAliveIsNoCrash(t *testing.T) {
	g := newGroup(1)
	g.alive = true
	for range 3 {
		wantReason(t, enter(t, g.trackers[0], "/cut").End(context.Background(), errCut), call.Cut)
	}
}

func TestCrashCountsOnceForEqualRequests(t *testing.T) {
	g := newGroup(1)
	a, b := enter(t, g.trackers[0], "/same"), enter(t, g.trackers[0], "/same")
	_ = a.End(context.Background(), errCut)
	_ = b.End(context.Background(), errCut)
	enter(t, g.trackers[0], "/same").Release()
}

func TestSuspectsExpireAndAreBounded(t *testing.T) {
	g := newGroup(1)
	tracker := g.trackers[0]
	tracker.cfg.MaxSuspects, tracker.cfg.SuspectTime = 2, time.Nanosecond
	for i := range 5 {
		tracker.Apply(&Report{Crash: fmt.Sprint(i), Suspects: []Fingerprint{Fingerprint(i)}})
		time.Sleep(time.Microsecond)
	}
	if n := len(tracker.suspects); n > 2 {
		t.Errorf("%d suspects kept, want at most 2", n)
	}
}
