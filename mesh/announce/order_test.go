package announce_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/announce"
	"fescuehoist.example/mesh/member"
)

// parts stand in for what an announcer tells.
type parts struct {
	mu     sync.Mutex
	state  member.State
	closed bool
}

func (p *parts) Announce(own member.Record) { p.set(func() { p.state = own.State }) }
func (p *parts) Close()                     { p.set(func() { p.closed = true }) }
func (p *parts) Open()                      { p.set(func() { p.closed = false }) }

func (*parts) SetAddress(string)           {}
func (*parts) SetSlots(int)                {}
func (*parts) Drain(context.Context) error { return nil }

func (p *parts) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *parts) get() (member.State, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.closed
}

func backend(instance string, started, sequence uint64) announce.Backend {
	return announce.Backend{Service: "lookup", Address: instance, Slots: 4, Instance: instance, Started: started, Sequence: sequence}
}

func TestAnnouncementsCountInTheOrderOfStartsAndSequences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &parts{}
		a := announce.New(member.Record{Server: "lookup-1"}, p, p, p, time.Hour)
		leaving := backend("i-1", 10, 3)
		leaving.Draining = true
		for _, step := range []struct {
			name   string
			b      announce.Backend
			taken  bool
			state  member.State
			closed bool
		}{
			{"first", backend("i-1", 10, 1), true, member.Ready, false},
			{"repeated", backend("i-1", 10, 1), false, member.Ready, false},
			{"draining", leaving, true, member.Draining, true},
			{"late, from before", backend("i-1", 10, 2), false, member.Draining, true},
			{"ready again", backend("i-1", 10, 4), true, member.Draining, true},
			{"an earlier start", backend("i-0", 5, 99), false, member.Draining, true},
			{"a later start under the same name", backend("i-1", 20, 1), true, member.Ready, false},
		} {
			if taken := a.Announce(step.b); taken != step.taken {
				t.Errorf("%s: taken %t", step.name, taken)
			}
			time.Sleep(2 * announce.NoticePeriod)
			if state, closed := p.get(); state != step.state || closed != step.closed {
				t.Errorf("%s: state %s, closed %t", step.name, state, closed)
			}
		}
		if a.Withdraw("i-0") {
			t.Error("another start was withdrawn")
		}
		withdrawn := a.Withdraw("i-1")
		if state, _ := p.get(); !withdrawn || state != member.Draining {
			t.Errorf("withdrawn %t: state %s", withdrawn, state)
		}
		a.Announce(backend("i-1", 20, 2))
		if state, _ := p.get(); state != member.Draining {
			t.Errorf("a withdrawn start is %s again", state)
		}
	})
}
