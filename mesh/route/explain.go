package route

import (
	"math/rand/v2"
	"time"

	"fescuehoist.example/mesh/member"
)

// Exclusion says why a call must not go to a server; it is empty if it may.
type Exclusion string

// Reasons for which a call must not go to a server.
const (
	// Tried means that the call was already sent there.
	Tried Exclusion = "tried"
	// Unreachable means that the server's daemon cannot be reached.
	Unreachable Exclusion = "unreachable"
	// Leaving means that the server said in an answer that it will stop soon.
	Leaving Exclusion = "leaving"
	// NotRoutable means that the server's record does not let it take new calls.
	NotRoutable Exclusion = "not-routable"
	// Ejected means that calls to the server fail.
	Ejected Exclusion = "ejected"
)

// Estimate is the expected duration of a call at a server, the price of a crossing
// included, with what it is made of.
type Estimate struct {
	// Calls and Limit are the estimated number of calls at the server and how many may
	// run there at once.
	Calls, Limit int
	// ServiceTime is the mean run time of the class that the server reported last, 0 if it
	// reported none.
	ServiceTime time.Duration
	// Run is the time that the call is expected to run, Wait that for which it waits.
	Run, Wait time.Duration
	// Link is the time for which the body waits for the link of the server's host and
	// takes there.
	Link time.Duration
	// Crossing is the price of crossing to another failure domain.
	Crossing time.Duration
	// Doubt is added for a server that is suspected to have failed, or that refused a call
	// lately.
	Doubt time.Duration
}

// Cost returns the sum of the parts.
func (e *Estimate) Cost() time.Duration { return e.Run + e.Wait + e.Link + e.Crossing + e.Doubt }

// Candidate is a server as the choice for one call sees it.
type Candidate struct {
	Record    *member.Record
	Exclusion Exclusion
	Estimate
	// FreeSlot means that the call is not expected to wait.
	FreeSlot bool
	// InTime means that the call is expected to be answered well within the target of its
	// class.
	InTime bool
	// Chosen is the share of trial choices, 0 to 1, that fell on the server.
	Chosen float64
}

// Explanation tells how the choice of a server for a call comes about.
type Explanation struct {
	Candidates []Candidate
	// Chosen is the server that the choice fell on, or nil if there is none.
	Chosen *member.Record
}

// explainDraws is the number of trial choices of an explanation. The choice compares
// random servers, so that one alone does not show which others it may fall on.
const explainDraws = 256

// Explain makes the choice of Pick repeatedly, without counting a call, and returns it with
// its inputs for all servers of the service.
func (p *Picker) Explain(s *Service, q Query) Explanation {
	var e Explanation
	chosen := map[member.ServerID]int{}
	for i := range explainDraws {
		r := p.draw(s, q)
		if i == 0 {
			e.Chosen = r
		}
		if r != nil {
			chosen[r.Server]++
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	draws := sampler{picker: p, servers: s.Servers, query: &q, now: time.Now()}
	for _, r := range s.records {
		c := p.candidate(&draws, r)
		c.Chosen = float64(chosen[r.Server]) / explainDraws
		e.Candidates = append(e.Candidates, c)
	}
	return e
}

// draw makes one choice, as for a call of its own where a release gets a share of them. It
// holds the lock only for that, so that calls do not wait for an explanation.
func (p *Picker) draw(s *Service, q Query) *member.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	q.Draw = rand.Float64()
	return p.chooseFor(s, q)
}

func (p *Picker) candidate(s *sampler, r *member.Record) Candidate {
	c := Candidate{
		Record: r, Estimate: p.estimate(s.query, r, s.now), Exclusion: p.exclusion(s.query, r),
		FreeSlot: p.hasFreeSlot(r), InTime: p.meetsTarget(*s.query, r),
	}
	switch {
	case !r.Routable():
		c.Exclusion = NotRoutable
	case c.Exclusion == "" && s.ejected(r):
		c.Exclusion = Ejected
	}
	return c
}
