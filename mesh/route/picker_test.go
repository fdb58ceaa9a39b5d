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

// testService returns a service with servers spread over three failure domains.
func testService(name string, servers int) *Service {
	s := &Service{}
	for i := range servers {
		s.Servers = append(s.Servers, &member.Record{
			Server: member.ServerID(fmt.Sprintf("%s-%d", name, i)), Domain: fmt.Sprint(i % 3), Slots: 12,
			CallAddress: fmt.Sprintf("%s-%d:1", name, i),
		})
	}
	return s
}

func serverIDs(s *Service) []member.ServerID {
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

// pickShare returns the share of calls that go to servers for which match is
// true.
func pickShare(p *Picker, s *Service, match func(*member.Record) bool) float64 {
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

// TestPickChoosesUntriedServer checks with random outcomes that Pick finds an
// untried server if there is one, and that no calls stay counted as in flight.
func TestPickChoosesUntriedServer(t *testing.T) {
	outcomes := []Outcome{{}, unreachable, refused, {Load: call.Load{Running: 9, Limit: 12}}}
	rapid.Check(t, func(rt *rapid.T) {
		p := NewPicker("0", nil)
		s := testService("a", rapid.IntRange(0, 6).Draw(rt, "servers"))
		for range rapid.IntRange(0, 40).Draw(rt, "calls") {
			tried := rapid.SliceOfDistinct(rapid.SampledFrom(append(serverIDs(s), "gone")), rapid.ID).Draw(rt, "tried")
			r := p.Pick(s, Query{Tried: tried})
			untried := slices.DeleteFunc(serverIDs(s), func(id member.ServerID) bool { return slices.Contains(tried, id) })
			if r == nil {
				if len(untried) > 0 && !allEjected(p, untried) {
					rt.Fatalf("no server picked, but %v are untried", untried)
				}
				continue
			}
			if !slices.Contains(untried, r.Server) {
				rt.Fatalf("picked %s, want one of %v", r.Server, untried)
			}
			p.Done(r.Server, rapid.SampledFrom(outcomes).Draw(rt, "outcome"))
		}
		for id, stats := range p.stats {
			if stats.inflight != 0 {
				rt.Fatalf("%d calls to %s counted as in flight, want 0", stats.inflight, id)
			}
		}
	})
}

func allEjected(p *Picker, servers []member.ServerID) bool {
	for _, id := range servers {
		if !p.statsFor(id).ejected(time.Now()) {
			return false
		}
	}
	return true
}

func TestEjectionLimitedToHalfOfServers(t *testing.T) {
	for failing := range 5 {
		t.Run(fmt.Sprint(failing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, s := NewPicker("0", nil), testService("a", 4)
				for _, r := range s.Servers[:failing] {
					p.Done(p.Pick(&Service{Servers: []*member.Record{r}}, Query{}).Server, unreachable)
				}
				got := pickShare(p, s, func(r *member.Record) bool { return slices.Contains(s.Servers[:failing], r) })
				if failing <= 2 && got > 0 {
					t.Errorf("share of calls to ejected servers: %.3f, want 0", got)
				}
				if failing > 2 && got == 0 {
					t.Error("no calls to the failing servers, though more than half of all servers fail")
				}
				time.Sleep(MinEjection)
				if got := pickShare(p, s, func(r *member.Record) bool { return r == s.Servers[0] }); got == 0 {
					t.Error("no calls to the server after its ejection ended")
				}
			})
		})
	}
}

func TestEjectionLengthensWithRepeatedFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stats serverStats
		var longest time.Duration
		for range 20 {
			stats.record(unreachable, time.Now())
			period := time.Until(stats.ejectedUntil)
			if period > MaxEjection {
				t.Fatalf("ejected for %s, want at most MaxEjection", period)
			}
			longest = max(longest, period)
			time.Sleep(period)
		}
		if longest < MaxEjection/2 {
			t.Errorf("longest ejection: %s, want at least half of MaxEjection", longest)
		}
		stats.record(Outcome{}, time.Now())
		stats.record(Outcome{Failure: &call.Failure{Verdict: call.MayHaveRun, Reason: call.Cut}}, time.Now())
		if stats.ejected(time.Now()) {
			t.Error("server ejected by one cut call after an answer")
		}
	})
}

func TestPickNeedCapacity(t *testing.T) {
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
		"full long ago":     {[]Outcome{full}, CapacityLifetime, true},
		"free recently":     {[]Outcome{free}, 0, true},
		"free long ago":     {[]Outcome{free}, CapacityLifetime, true},
		"full":              {[]Outcome{full}, 0, false},
		"refused since":     {[]Outcome{free, refused}, 0, false},
		"free again since":  {[]Outcome{refused, free}, 0, true},
		"unreachable since": {[]Outcome{free, unreachable}, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, s := NewPicker("0", nil), testService("a", 1)
				for _, outcome := range c.outcomes {
					time.Sleep(time.Millisecond)
					p.Done(p.Pick(s, Query{}).Server, outcome)
				}
				time.Sleep(c.after)
				if got := p.Pick(s, Query{NeedCapacity: true}) != nil; got != c.want {
					t.Errorf("server picked: %t, want %t", got, c.want)
				}
			})
		})
	}
}

func TestPickPrefersOwnDomainUntilBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, s := NewPicker("0", nil), testService("a", 6)
		local := func(r *member.Record) bool { return r.Domain == "0" }
		if got := pickShare(p, s, local); got < 0.95 {
			t.Errorf("share of calls in the own failure domain while all servers are idle: %.3f, want at least 0.95", got)
		}
		for _, r := range s.Servers {
			if local(r) {
				one := &Service{Servers: []*member.Record{r}}
				p.Done(p.Pick(one, Query{}).Server, Outcome{Load: call.Load{Running: 12, Limit: 12}})
			}
		}
		if got := pickShare(p, s, local); got > 0.1 {
			t.Errorf("share of calls in the own failure domain while it is busy: %.3f, want at most 0.1", got)
		}
	})
}

// A call leaves the failure domain for a server that meets the target only if no
// server of its own does: a faster answer is not worth the bytes of the crossing.
func TestPickLeavesDomainOnlyForTarget(t *testing.T) {
	q := Query{Class: "lookup", Latency: 250 * time.Millisecond}
	load := func(running int, service time.Duration) Outcome {
		return Outcome{Class: q.Class, Load: call.Load{Running: running, Limit: 12, ServiceTime: service}}
	}
	for _, c := range []struct {
		name       string
		own        Outcome
		elapsed    time.Duration
		wantLeaves bool
	}{
		{"own server slower, in time", load(6, 120*time.Millisecond), 0, false},
		{"own server misses the target", load(6, 220*time.Millisecond), 0, true},
		{"too late for the own server after a first attempt", load(6, 120*time.Millisecond), 100 * time.Millisecond, true},
		{"own server without a free slot", load(12, 120*time.Millisecond), 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := testService("a", 2)
				p, q := NewPicker(s.Servers[0].Domain, nil), q
				q.Elapsed = c.elapsed
				observe := func(i int, o Outcome) {
					r := p.Pick(&Service{Servers: s.Servers[i : i+1]}, q)
					p.Done(r.Server, o)
				}
				observe(0, c.own)
				observe(1, load(2, 20*time.Millisecond))
				for range 50 {
					r := p.Pick(s, q)
					if leaves := r != s.Servers[0]; leaves != c.wantLeaves {
						t.Fatalf("leaves the failure domain: got %t, want %t", leaves, c.wantLeaves)
					}
					p.Done(r.Server, Outcome{})
				}
			})
		})
	}
}

func TestPickAvoidsSlowServer(t *testing.T) {
	p, s := NewPicker("0", nil), testService("a", 3)
	for i, r := range s.Servers {
		r.Domain = "0"
		serviceTime := 40 * time.Millisecond
		if i == 0 {
			serviceTime *= 2
		}
		p.Done(p.Pick(&Service{Servers: []*member.Record{r}}, Query{}).Server,
			Outcome{Load: call.Load{Running: 1, Limit: 12, ServiceTime: serviceTime}})
	}
	if got := pickShare(p, s, func(r *member.Record) bool { return r == s.Servers[0] }); got > 0.01 {
		t.Errorf("share of calls to the slow server while others have free slots: %.3f, want at most 0.01", got)
	}
}

func TestPickerEvictsIdleServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPicker("0", nil)
		for round := range 50 {
			s := testService(fmt.Sprint(round), 10)
			for range 100 {
				p.Done(p.Pick(s, Query{}).Server, Outcome{})
			}
			time.Sleep(statsRetention)
		}
		if n := len(p.stats); n > minTracked {
			t.Errorf("%d servers tracked, want at most minTracked", n)
		}
	})
}

// BenchmarkPick picks servers in fleets of up to 18,000 servers in 3,300
// services, all called by this daemon, and reports the state held per server.
func BenchmarkPick(b *testing.B) {
	for _, services := range []int{33, 330, 3300} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			servers := services * 18000 / 3300
			var all []*Service
			for i := range services {
				all = append(all, testService(fmt.Sprint(i), servers/services+1))
			}
			before := heap()
			p := NewPicker("0", nil)
			for i := range 20 * servers {
				pickAndFinish(p, all[i%services])
			}
			state := float64(heap()-before) / float64(len(p.stats))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				pickAndFinish(p, all[i%services])
			}
			b.ReportMetric(state, "state-B/server")
		})
	}
}

func pickAndFinish(p *Picker, s *Service) {
	r := p.Pick(s, Query{Class: "search"})
	p.Done(r.Server, Outcome{Class: "search", Load: call.Load{Running: 5, Limit: 12, ServiceTime: 40 * time.Millisecond}})
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func TestPickLeavesOutInstanceThatSaidItLeaves(t *testing.T) {
	s := testService("lookup", 3)
	for _, r := range s.Servers {
		r.Instance = "i-" + string(r.Server)
	}
	leaving := s.Servers[1]
	p := NewPicker("1", nil)
	p.Done(leaving.Server, Outcome{LeavingInstance: leaving.Instance})
	isLeaving := func(r *member.Record) bool { return r.Server == leaving.Server }
	if share := pickShare(p, s, isLeaving); share != 0 {
		t.Errorf("%.2f of the calls go to an instance that leaves, want none", share)
	}
	if r := p.Pick(&Service{Servers: s.Servers[1:2]}, Query{AllowUnreachable: true}); r != nil {
		t.Errorf("picked %s, the only server, which leaves", r.Server)
	}
	leaving.Instance = "i-next"
	if share := pickShare(p, s, isLeaving); share == 0 {
		t.Error("no call goes to the next instance at the same server")
	}
}
