package route

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
)

// explainedService returns a service with one server for each cause that matters to the
// choice, and a picker in the failure domain "0" that has seen it.
func explainedService() (*Picker, *Service) {
	var records []*member.Record
	for _, name := range []string{"slow", "fast", "far", "full", "ejected", "unreachable", "leaving", "draining", "suspected"} {
		r := &member.Record{Server: member.ServerID(name), Instance: "i-" + name, Service: "lookup", State: member.Ready, Domain: "0", Slots: 10}
		switch name {
		case "far":
			r.Domain = "1"
		case "draining":
			r.State = member.Draining
		case "suspected":
			r.Health = member.Suspected
		}
		records = append(records, r)
	}
	p := NewPicker("0", func(r *member.Record) bool { return r.Server == "unreachable" })
	s := newService(nil, nil, records, nil, nil, nil)
	load := func(running, queued int, service time.Duration) Outcome {
		return Outcome{Class: "search", Size: 2048, Load: call.Load{Running: running, Queued: queued, Limit: 10, ServiceTime: service}}
	}
	for server, o := range map[member.ServerID]Outcome{
		"slow": load(2, 0, 80*time.Millisecond), "fast": load(2, 0, 20*time.Millisecond), "far": load(0, 0, 20*time.Millisecond),
		"full": load(10, 5, 20*time.Millisecond), "ejected": unreachable, "leaving": {LeavingInstance: "i-leaving"},
		"suspected": load(2, 0, 20*time.Millisecond),
	} {
		p.statsFor(server).inflight++
		p.Done(server, o)
	}
	return p, s
}

var searchQuery = Query{Class: "search", Latency: 100 * time.Millisecond}

// Guards against an explanation whose causes differ from those of the choice.
func TestExplainNamesInputsOfChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, s := explainedService()
		got := map[member.ServerID]Candidate{}
		for _, c := range p.Explain(s, searchQuery).Candidates {
			got[c.Record.Server] = c
		}
		want := map[member.ServerID]Candidate{
			"slow":        {FreeSlot: true, Estimate: Estimate{Calls: 2, Limit: 10, ServiceTime: 80 * time.Millisecond, Run: 80 * time.Millisecond}},
			"fast":        {FreeSlot: true, InTime: true, Estimate: Estimate{Calls: 2, Limit: 10, ServiceTime: 20 * time.Millisecond, Run: 20 * time.Millisecond}},
			"far":         {FreeSlot: true, InTime: true, Estimate: Estimate{Limit: 10, ServiceTime: 20 * time.Millisecond, Run: 20 * time.Millisecond, Crossing: 43 * time.Millisecond}},
			"full":        {InTime: true, Estimate: Estimate{Calls: 15, Limit: 10, ServiceTime: 20 * time.Millisecond, Run: 20 * time.Millisecond, Wait: 17 * time.Millisecond}},
			"suspected":   {FreeSlot: true, InTime: true, Estimate: Estimate{Calls: 2, Limit: 10, ServiceTime: 20 * time.Millisecond, Run: 20 * time.Millisecond, Doubt: 20 * time.Millisecond}},
			"ejected":     {Exclusion: Ejected, FreeSlot: true, InTime: true, Estimate: Estimate{Limit: 10, Run: initialServiceTime}},
			"leaving":     {Exclusion: Leaving, FreeSlot: true, InTime: true, Estimate: Estimate{Limit: 10, Run: initialServiceTime}},
			"unreachable": {Exclusion: Unreachable, FreeSlot: true, InTime: true, Estimate: Estimate{Limit: 10, Run: initialServiceTime}},
			"draining":    {Exclusion: NotRoutable, FreeSlot: true, InTime: true, Estimate: Estimate{Limit: 10, Run: initialServiceTime}},
		}
		for server, c := range got {
			c.Record, c.Chosen = nil, 0
			if diff := cmp.Diff(want[server], c); diff != "" {
				t.Errorf("%s (-want +got):\n%s", server, diff)
			}
		}
		if len(got) != len(want) {
			t.Errorf("%d candidates, want %d", len(got), len(want))
		}
	})
}

// Guards against shares of trial choices that differ from those of calls.
func TestExplainSharesAreThoseOfChoices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, s := explainedService()
		e := p.Explain(s, searchQuery)
		total := 0.0
		for _, c := range e.Candidates {
			total += c.Chosen
			if c.Exclusion != "" && c.Chosen > 0 {
				t.Errorf("%s is %s, but chosen in %.2f of the trials", c.Record.Server, c.Exclusion, c.Chosen)
			}
			want := pickShareFor(p, s, c.Record)
			if diff := c.Chosen - want; diff > 0.1 || diff < -0.1 {
				t.Errorf("%s: chosen in %.2f of the trials, in %.2f of the calls", c.Record.Server, c.Chosen, want)
			}
		}
		if total != 1 || e.Chosen == nil {
			t.Errorf("shares add up to %.2f, chosen %v; want 1 and a server", total, e.Chosen)
		}
	})
}

// pickShareFor returns the share of calls of the class that go to a server.
func pickShareFor(p *Picker, s *Service, server *member.Record) float64 {
	const calls = 3000
	n := 0
	for range calls {
		r := p.Pick(s, searchQuery)
		if r == server {
			n++
		}
		p.statsFor(r.Server).inflight--
	}
	return float64(n) / calls
}

// Guards against an explanation that changes later choices.
func TestExplainChangesNoState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, s := explainedService()
		s.Servers = append(s.Servers, &member.Record{Server: "unseen", Domain: "0", Slots: 10, State: member.Ready, Service: "lookup"})
		state := func() map[member.ServerID]serverStats {
			all := map[member.ServerID]serverStats{}
			for id, stats := range p.stats {
				c := *stats
				c.serviceTimes = maps.Clone(stats.serviceTimes)
				all[id] = c
			}
			return all
		}
		before := state()
		for range 10 {
			p.Explain(s, searchQuery)
		}
		if diff := cmp.Diff(before, state(), cmp.AllowUnexported(serverStats{})); diff != "" {
			t.Errorf("statistics changed (-before +after):\n%s", diff)
		}
	})
}

func TestExplainServiceWithoutServers(t *testing.T) {
	e := NewPicker("0", nil).Explain(newService(nil, nil, nil, nil, nil, nil), searchQuery)
	if e.Chosen != nil || len(e.Candidates) != 0 {
		t.Errorf("got %+v, want no candidates and no choice", e)
	}
}
