package route

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/member"
)

type silentLog struct{}

func (silentLog) Infof(string, ...any) {}
func (silentLog) Warnf(string, ...any) {}

// door is a daemon that answers or not.
type door struct {
	open, refuses atomic.Bool
	tries         atomic.Int32
}

var errShut = errors.New("shut")

func (d *door) Probe(context.Context, string) error {
	d.tries.Add(1)
	if d.open.Load() {
		return nil
	}
	if d.refuses.Load() {
		return errShut
	}
	return ErrNotResponding
}

func TestAServerOutOfReachGetsNoCallsUntilItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		a, d := NewUnreachableServers(silentLog{}), &door{}
		d.refuses.Store(true)
		done := make(chan error, 1)
		go func() { done <- a.Run(ctx, d) }()
		servers := someServers("a", 2)
		p := NewPicker("0", a.Contains)
		held, ended := a.CallContext(ctx, servers.Servers[0])
		defer ended()
		other, otherEnded := a.CallContext(ctx, servers.Servers[1])
		defer otherEnded()
		a.Add(servers.Servers[0], errShut)
		time.Sleep(time.Second)
		if held.Err() != nil {
			t.Error("a call was given up at a daemon that merely refuses connections")
		}
		d.refuses.Store(false)
		time.Sleep(4 * time.Second)
		if context.Cause(held) != ErrNotResponding || other.Err() != nil {
			t.Errorf("the call there: %v, elsewhere: %v", context.Cause(held), other.Err())
		}
		for range 50 {
			if r := p.Pick(servers, Query{}); r == nil || r.Server != servers.Servers[1].Server {
				t.Fatalf("picked %v", r)
			}
		}
		if n := d.tries.Load(); n < 4 || n > 16 {
			t.Errorf("tried %d times in 5 s", n)
		}
		d.open.Store(true)
		time.Sleep(2 * recheckMax)
		if a.Contains(servers.Servers[0]) {
			t.Error("the server answers and gets no calls")
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func TestAServerNobodyReachesIsLeftToItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		a := NewUnreachableServers(silentLog{})
		go func() { _ = a.Run(ctx, &door{}) }()
		r := &member.Record{Server: "a", CallAddress: "old"}
		a.Add(r, errShut)
		if !a.Contains(r) || a.Contains(&member.Record{Server: "a", CallAddress: "new"}) {
			t.Error("the absence is not that of the address")
		}
		time.Sleep(recheckLimit + 2*recheckMax)
		if a.Contains(r) {
			t.Error("still looked for")
		}
	})
}
