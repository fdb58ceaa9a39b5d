package route

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/member"
)

type discardLogger struct{}

func (discardLogger) Infof(string, ...any) {}
func (discardLogger) Warnf(string, ...any) {}

// recordingLogger keeps the last message.
type recordingLogger struct{ last atomic.Pointer[string] }

func (l *recordingLogger) Infof(format string, args ...any) { l.Warnf(format, args...) }
func (l *recordingLogger) Warnf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.last.Store(&text)
}

// fakeDaemon accepts connections, refuses them or does not respond.
type fakeDaemon struct {
	reachable, refuses atomic.Bool
	probes             atomic.Int32
}

var errRefused = errors.New("connection refused")

func (d *fakeDaemon) Probe(context.Context, string) error {
	d.probes.Add(1)
	if d.reachable.Load() {
		return nil
	}
	if d.refuses.Load() {
		return errRefused
	}
	return ErrNotResponding
}

func TestUnreachableServerGetsNoCallsUntilProbeSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		u, daemon := NewUnreachableServers(discardLogger{}), &fakeDaemon{}
		daemon.refuses.Store(true)
		done := make(chan error, 1)
		go func() { done <- u.Run(ctx, daemon) }()
		servers := testService("a", 2)
		p := NewPicker("0", u.Contains)
		pending, release := u.CallContext(ctx, servers.Servers[0])
		defer release()
		other, releaseOther := u.CallContext(ctx, servers.Servers[1])
		defer releaseOther()
		u.Add(servers.Servers[0], errRefused)
		time.Sleep(time.Second)
		if pending.Err() != nil {
			t.Error("a call was canceled although the daemon refuses connections, which is a response")
		}
		daemon.refuses.Store(false)
		time.Sleep(4 * time.Second)
		if context.Cause(pending) != ErrNotResponding || other.Err() != nil {
			t.Errorf("call to the unreachable server canceled with %v, want ErrNotResponding; call to the other server: %v, want no error", context.Cause(pending), other.Err())
		}
		for range 50 {
			if r := p.Pick(servers, Query{}); r == nil || r.Server != servers.Servers[1].Server {
				t.Fatalf("picked %v, want the reachable server", r)
			}
		}
		if n := daemon.probes.Load(); n < 4 || n > 16 {
			t.Errorf("%d probes in 5 s, want 4 to 16", n)
		}
		daemon.reachable.Store(true)
		time.Sleep(2 * maxProbeInterval)
		if u.Contains(servers.Servers[0]) {
			t.Error("server still marked unreachable after a probe succeeded")
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func TestUnreachableServerNotProbedAfterMaxProbeTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		logger := &recordingLogger{}
		u := NewUnreachableServers(logger)
		go func() { _ = u.Run(ctx, &fakeDaemon{}) }()
		r := &member.Record{Server: "a", CallAddress: "old"}
		u.Add(r, errRefused)
		if !u.Contains(r) || u.Contains(&member.Record{Server: "a", CallAddress: "new"}) {
			t.Error("want the old address marked unreachable and the new one not")
		}
		time.Sleep(maxProbeTime + 2*maxProbeInterval)
		if u.Contains(r) {
			t.Error("server still marked unreachable after maxProbeTime")
		}
		if got := *logger.last.Load(); !strings.Contains(got, "still unreachable") {
			t.Errorf("logged %q at the end of the probes, want that the server is still unreachable", got)
		}
	})
}
