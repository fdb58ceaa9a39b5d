package route

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
)

const uploadSize = 60_000

// linkedService returns a service with three servers in each of three failure domains
// behind links of 10 Mbit/s.
func linkedService() *Service {
	s := &Service{}
	for i := range 9 {
		id := member.ServerID(fmt.Sprintf("store-%d", i))
		s.Servers = append(s.Servers, &member.Record{Server: id, Domain: fmt.Sprintf("cairo-%d", i/3), Slots: 8, LinkMbps: 10})
	}
	return s
}

var uploadQuery = Query{Class: "upload", Latency: 400 * time.Millisecond, Body: uploadSize}

// report tells the picker of the load at a server, with the given wait for its link.
func report(p *Picker, r *member.Record, linkWait time.Duration) {
	p.statsFor(r.Server).inflight++
	p.Done(r.Server, Outcome{Class: "upload", Size: uploadSize, Load: call.Load{Limit: 8, ServiceTime: 70 * time.Millisecond, LinkWait: linkWait}})
}

// Guards against bodies that go to one link of a domain while another is free, and against
// bodies that leave the domain although its links can take them in time.
func TestLargeBodiesSpreadOverLinksOfOwnDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, s := NewPicker("cairo-0", nil), linkedService()
		for _, r := range s.Servers {
			report(p, r, 0)
		}
		counts := map[string]int{}
		for range 600 {
			r := p.Pick(s, uploadQuery)
			counts[string(r.Server)]++
			p.statsFor(r.Server).inflight--
			// The links of the domain are 80% used.
			time.Sleep(20 * time.Millisecond)
		}
		for _, r := range s.Servers[:3] {
			if n := counts[string(r.Server)]; n < 160 || n > 240 {
				t.Errorf("%s got %d of 600 bodies, want about 200: %v", r.Server, n, counts)
			}
		}
	})
}

// Guards against bodies that cross a failure domain for nothing, or wait in the own one
// where they are late while another one has room.
func TestLargeBodyLeavesDomainOnlyToArriveInTime(t *testing.T) {
	for _, c := range []struct {
		name                 string
		ownWait, others      time.Duration
		needCapacity, leaves bool
	}{
		{name: "own links used", ownWait: 150 * time.Millisecond},
		{name: "own links too busy", ownWait: 400 * time.Millisecond, leaves: true},
		{name: "all links too busy", ownWait: 400 * time.Millisecond, others: 300 * time.Millisecond},
		{name: "own links used, after a refusal", ownWait: 150 * time.Millisecond, needCapacity: true},
		{name: "own links too busy, after a refusal", ownWait: 400 * time.Millisecond, needCapacity: true, leaves: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, q := linkedService(), uploadQuery
				q.NeedCapacity = c.needCapacity
				for range 100 {
					p := NewPicker("cairo-0", nil)
					for _, r := range s.Servers {
						wait := c.others
						if r.Domain == "cairo-0" {
							wait = c.ownWait
						}
						report(p, r, wait)
					}
					if r := p.Pick(s, q); (r.Domain != "cairo-0") != c.leaves {
						t.Fatalf("picked %s in %s, want another domain: %t", r.Server, r.Domain, c.leaves)
					}
				}
			})
		})
	}
}

// Guards against a retry at servers whose links cannot take the body either.
func TestLargeBodyIsNotRetriedOverBusyLinks(t *testing.T) {
	p, s, q := NewPicker("cairo-0", nil), linkedService(), uploadQuery
	q.NeedCapacity = true
	for _, r := range s.Servers {
		report(p, r, 400*time.Millisecond)
	}
	if r := p.Pick(s, q); r != nil {
		t.Errorf("picked %s, want none", r.Server)
	}
	q.Body = 600
	if r := p.Pick(s, q); r == nil {
		t.Error("no server for a short request, want one")
	}
}

// Guards against bodies that cross a link although the server beside the daemon is as
// good, and against a cost of links whose bandwidth is unknown.
func TestBodyCostsNoLinkAtOwnHostOrWhereItIsUnknown(t *testing.T) {
	p, s := NewPicker("cairo-0", nil), linkedService()
	p.Self = s.Servers[1].Server
	now := time.Now()
	unknown := *s.Servers[0]
	unknown.LinkMbps = 0
	for _, r := range []*member.Record{s.Servers[1], &unknown} {
		if d := p.linkTime(uploadQuery, r, now); d != 0 {
			t.Errorf("%s: link time %v, want 0", r.Server, d)
		}
	}
	if d := p.linkTime(uploadQuery, s.Servers[0], now); d != 48*time.Millisecond {
		t.Errorf("another host: link time %v, want 48ms", d)
	}
}

// Guards against keeping short requests from a server whose slots are free.
func TestRefusalByLinkKeepsShortRequests(t *testing.T) {
	p, s := NewPicker("cairo-0", nil), linkedService()
	for _, r := range s.Servers {
		p.statsFor(r.Server).inflight++
		p.Done(r.Server, Outcome{Class: "upload", Failure: &call.Failure{Reason: call.Overloaded},
			Load: call.Load{Running: 1, Limit: 8, ServiceTime: 70 * time.Millisecond, LinkWait: 100 * time.Millisecond}})
	}
	short := Query{Class: "read", Latency: 400 * time.Millisecond, NeedCapacity: true}
	if r := p.Pick(s, short); r == nil || !p.statsFor(r.Server).refusedAt.IsZero() {
		t.Errorf("picked %v, want a server without a refusal for lack of slots", r)
	}
}
