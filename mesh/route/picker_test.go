package route

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
)

// someServers returns a service with servers spread over three domains.
func someServers(name string, servers int) *Service {
	s := &Service{}
	for i := range servers {
		s.Servers = append(s.Servers, &member.Record{
			Server: member.ServerID(fmt.Sprintf("%s-%d", name, i)), Domain: fmt.Sprint(i % 3), Slots: 12,
			CallAddress: fmt.Sprintf("%s-%d:1", name, i),
		})
	}
	return s
}

func ids(s *Service) []member.ServerID {
	var all []member.ServerID
	for _, r := range s.Servers {
		all = append(all, r.Server)
	}
	return all
}

var (
	unreachable = Outcome{Failure: call.Refuse(call.Unreachable, nil)}
	refused     = Outcome{Failure: call.Refuse(call.Overloaded, nil)}
)

// share returns the part of calls that go to servers for which match is true.
func share(p *Picker, s *Service, match func(*member.Record) bool) float64 {
	const calls = 3000
	n := 0
	for range calls {
		r := p.Pick(s, Query{})
		if match(r) {
			n++
		}
		p.Done(r.Server, Outcome{})
	}
	return float64(n) / calls
}

// TestPickTakesUntriedServers checks, whatever happened before, that a server
// that was not tried is found if there is one, and that calls in flight are
// counted right.
func TestPickTakesUntriedServers(t *testing.T) {
	outcomes := []Outcome{{}, unreachable, refused, {Load: call.Load{Running: 9, Limit: 12}}}
	rapid.Check(t, func(rt *rapid.T) {
		p := NewPicker("0", nil)
		s := someServers("a", rapid.IntRange(0, 6).Draw(rt, "servers"))
		for range rapid.IntRange(0, 40).Draw(rt, "calls") {
			tried := rapid.SliceOfDistinct(rapid.SampledFrom(append(ids(s), "gone")), rapid.ID).Draw(rt, "tried")
			r := p.Pick(s, Query{Tried: tried})
			left := slices.DeleteFunc(ids(s), func(id member.ServerID) bool { return slices.Contains(tried, id) })
			if r == nil {
				if len(left) > 0 && !allEjected(p, left) {
					rt.Fatalf("no server is chosen, but %v are left", left)
				}
				continue
			}
			if !slices.Contains(left, r.Server) {
				rt.Fatalf("%s is chosen of %v", r.Server, left)
			}
			p.Done(r.Server, rapid.SampledFrom(outcomes).Draw(rt, "outcome"))
		}
		for id, o := range p.seen {
			if o.inflight != 0 {
				rt.Fatalf("%d calls to %s are counted in flight", o.inflight, id)
			}
		}
	})
}

func allEjected(p *Picker, servers []member.ServerID) bool {
	for _, id := range servers {
		if !p.observe(id).ejected(time.Now()) {
			return false
		}
	}
	return true
}

func TestEjectionIsBounded(t *testing.T) {
	for failing := range 5 {
		t.Run(fmt.Sprint(failing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, s := NewPicker("0", nil), someServers("a", 4)
				for _, r := range s.Servers[:failing] {
					p.Done(p.Pick(&Service{Servers: []*member.Record{r}}, Query{}).Server, unreachable)
				}
				got := share(p, s, func(r *member.Record) bool { return slices.Contains(s.Servers[:failing], r) })
				if failing <= 2 && got > 0 {
					t.Errorf("%.3f of calls went to ejected servers", got)
				}
				if failing > 2 && got == 0 {
					t.Error("more than half of the servers are left out")
				}
				time.Sleep(MinEjection)
				if got := share(p, s, func(r *member.Record) bool { return r == s.Servers[0] }); got == 0 {
					t.Error("a server is not tried again after its ejection")
				}
			})
		})
	}
}

func TestRepeatedFailureEjectsLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var o observation
		var longest time.Duration
		for range 20 {
			o.note(unreachable, time.Now())
			period := time.Until(o.ejectedUntil)
			if period > MaxEjection {
				t.Fatalf("left out for %s", period)
			}
			longest = max(longest, period)
			time.Sleep(period)
		}
		if longest < MaxEjection/2 {
			t.Errorf("left out for %s at most", longest)
		}
		o.note(Outcome{}, time.Now())
		o.note(Outcome{Failure: &call.Failure{Verdict: call.MayHaveRun, Reason: call.Cut}}, time.Now())
		if o.ejected(time.Now()) {
			t.Error("one cut call after an answer ejects the server")
		}
	})
}

func TestNeedRoom(t *testing.T) {
	free := Outcome{Load: call.Load{Running: 3, Limit: 12}}
	full := Outcome{Load: call.Load{Running: 12, Queued: 2, Limit: 12}}
	cases := map[string]struct {
		outcomes []Outcome
		after    time.Duration
		want     bool
	}{
		"nothing known":     {nil, 0, true},
		"refused":           {[]Outcome{refused}, 0, false},
		"refused long ago":  {[]Outcome{refused}, RefusalLifetime, true},
		"full long ago":     {[]Outcome{full}, RoomLifetime, true},
		"free of late":      {[]Outcome{free}, 0, true},
		"free long ago":     {[]Outcome{free}, RoomLifetime, true},
		"full":              {[]Outcome{full}, 0, false},
		"refused since":     {[]Outcome{free, refused}, 0, false},
		"free again since":  {[]Outcome{refused, free}, 0, true},
		"unreachable since": {[]Outcome{free, unreachable}, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, s := NewPicker("0", nil), someServers("a", 1)
				for _, o := range c.outcomes {
					time.Sleep(time.Millisecond)
					p.Done(p.Pick(s, Query{}).Server, o)
				}
				time.Sleep(c.after)
				if got := p.Pick(s, Query{NeedCapacity: true}) != nil; got != c.want {
					t.Errorf("got %t, want %t", got, c.want)
				}
			})
		})
	}
}

func TestOwnDomainFirstUntilItIsBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, s := NewPicker("0", nil), someServers("a", 6)
		local := func(r *member.Record) bool { return r.Domain == "0" }
		if got := share(p, s, local); got < 0.95 {
			t.Errorf("%.3f of calls stay in the failure domain while all is idle", got)
		}
		for _, r := range s.Servers {
			if local(r) {
				one := &Service{Servers: []*member.Record{r}}
				p.Done(p.Pick(one, Query{}).Server, Outcome{Load: call.Load{Running: 12, Limit: 12}})
			}
		}
		if got := share(p, s, local); got > 0.1 {
			t.Errorf("%.3f of calls stay in the failure domain while it is busy", got)
		}
	})
}

func TestSlowServerGetsLess(t *testing.T) {
	p, s := NewPicker("0", nil), someServers("a", 3)
	for i, r := range s.Servers {
		r.Domain = "0"
		service := 40 * time.Millisecond
		if i == 0 {
			service *= 2
		}
		p.Done(p.Pick(&Service{Servers: []*member.Record{r}}, Query{}).Server,
			Outcome{Load: call.Load{Running: 1, Limit: 12, ServiceTime: service}})
	}
	if got := share(p, s, func(r *member.Record) bool { return r == s.Servers[0] }); got > 0.01 {
		t.Errorf("%.3f of calls go to the slow server while others have room", got)
	}
}

func TestForgetsServersThatAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPicker("0", nil)
		for round := range 50 {
			s := someServers(fmt.Sprint(round), 10)
			for range 100 {
				p.Done(p.Pick(s, Query{}).Server, Outcome{})
			}
			time.Sleep(forgetAfter)
		}
		if n := len(p.seen); n > minSeen {
			t.Errorf("%d servers are remembered of 10 there are", n)
		}
	})
}

// BenchmarkPick chooses among servers of fleets up to 18,000 servers in 3,300
// services, all of which this daemon calls, and gives the state per server.
func BenchmarkPick(b *testing.B) {
	for _, services := range []int{33, 330, 3300} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			servers := services * 18000 / 3300
			var all []*Service
			for i := range services {
				all = append(all, someServers(fmt.Sprint(i), servers/services+1))
			}
			before := heap()
			p := NewPicker("0", nil)
			for i := range 20 * servers {
				pickOne(p, all[i%services])
			}
			state := float64(heap()-before) / float64(len(p.seen))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				pickOne(p, all[i%services])
			}
			b.ReportMetric(state, "state-B/server")
		})
	}
}

func pickOne(p *Picker, s *Service) {
	r := p.Pick(s, Query{Class: "search"})
	p.Done(r.Server, Outcome{Class: "search", Load: call.Load{Running: 5, Limit: 12, ServiceTime: 40 * time.Millisecond}})
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
