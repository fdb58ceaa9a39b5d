package adminhttp

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/proxy"
	"fescuehoist.example/mesh/route"
)

// PlacementPath is the path of the explanation where a request would go.
const PlacementPath = "/v1/placement"

// maxPlacementBytes is the largest size of a body that can be asked about.
const maxPlacementBytes = 1 << 40

// Parameters of PlacementPath.
const (
	ParamMethod  = "method"
	ParamHost    = "host"
	ParamPath    = "path"
	ParamAccount = "account"
	ParamBytes   = "bytes"
)

// Placer tells where a request would go, without sending it.
type Placer interface {
	// Explain returns an error for a query that names something that does not exist.
	Explain(q proxy.PlacementQuery) (*proxy.Placement, error)
}

// Placement is the answer of PlacementPath. Durations are in milliseconds.
type Placement struct {
	Version uint64 `json:"version"`
	// Class is absent if the request has none.
	Class *PlacementClass `json:"class,omitempty"`
	// Account is absent if the request needs none.
	Account *PlacementAccount `json:"account,omitempty"`
	// Refusal is absent if the request would be sent.
	Refusal      *PlacementRefusal      `json:"refusal,omitempty"`
	Destinations []PlacementDestination `json:"destinations"`
}

// PlacementClass is the class of a request.
type PlacementClass struct {
	Name string `json:"name"`
	// Rank orders calls by urgency, 1 first; for an account with a rank of its own it
	// includes that.
	Rank       int     `json:"rank"`
	LatencyMS  float64 `json:"latency_ms"`
	TimeoutMS  float64 `json:"timeout_ms"`
	Idempotent bool    `json:"idempotent"`
	Public     bool    `json:"public"`
	Attempts   int     `json:"attempts,omitempty"`
}

// PlacementAccount is the client account of a request. Its allowance is not evaluated.
type PlacementAccount struct {
	Name  string  `json:"name"`
	Rank  int     `json:"rank,omitempty"`
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// PlacementRefusal says why a request would not be sent.
type PlacementRefusal struct {
	Reason string `json:"reason"`
	Cause  string `json:"cause,omitempty"`
}

// PlacementDestination is a service to which a part of the class's calls goes.
type PlacementDestination struct {
	Service string `json:"service"`
	// Share is the part of the class's calls, 0 to 1.
	Share   float64           `json:"share"`
	Refusal *PlacementRefusal `json:"refusal,omitempty"`
	// ThrottleAllows is the share of calls that the throttle lets through.
	ThrottleAllows float64 `json:"throttle_allows"`
	// RetriesOfService and RetriesOfClass are what the retry budgets hold.
	RetriesOfService float64 `json:"retries_of_service"`
	RetriesOfClass   float64 `json:"retries_of_class"`
	// HedgeDelayMS is the time after which a copy would be sent to HedgeServer; NoHedge
	// says why none would be.
	HedgeDelayMS float64 `json:"hedge_delay_ms,omitempty"`
	HedgeServer  string  `json:"hedge_server,omitempty"`
	NoHedge      string  `json:"no_hedge,omitempty"`
	// Chosen is the server that one choice fell on, empty if there is none.
	Chosen     string               `json:"chosen,omitempty"`
	Candidates []PlacementCandidate `json:"candidates"`
}

// PlacementCandidate is a backend server with the inputs of its cost.
type PlacementCandidate struct {
	Server  string `json:"server"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
	Health  string `json:"health"`
	Release string `json:"release,omitempty"`
	// Excluded says why the request must not go there; empty if it may.
	Excluded string `json:"excluded,omitempty"`
	// Chosen is the share of trial choices that fell on the server.
	Chosen float64 `json:"chosen_share"`
	// Calls and Limit are the calls at the server, as estimated, and their limit.
	Calls int `json:"calls"`
	Limit int `json:"limit"`
	// ServiceTimeMS is the class's run time that the server reported last, 0 if none.
	ServiceTimeMS float64 `json:"service_time_ms"`
	// CostMS is the sum of the five after it.
	CostMS     float64 `json:"cost_ms"`
	RunMS      float64 `json:"run_ms"`
	WaitMS     float64 `json:"waiting_ms"`
	LinkMS     float64 `json:"link_ms"`
	CrossingMS float64 `json:"crossing_ms"`
	DoubtMS    float64 `json:"doubt_ms"`
	FreeSlot   bool    `json:"free_slot"`
	InTime     bool    `json:"in_time"`
}

func (s *Server) handlePlacement(c *fasthttp.RequestCtx) {
	q, err := parsePlacementQuery(c.QueryArgs())
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p, err := s.Placer.Explain(q)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	body, err := json.MarshalIndent(encodePlacement(p), "", "  ")
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(append(body, '\n'))
}

// parsePlacementQuery reads the parameters of PlacementPath. Its errors name the
// parameter, what was expected and what was found.
func parsePlacementQuery(args *fasthttp.Args) (proxy.PlacementQuery, error) {
	values := map[string]string{}
	for name, value := range args.All() {
		n := string(name)
		switch n {
		case ParamMethod, ParamHost, ParamPath, ParamAccount, ParamBytes:
		default:
			return proxy.PlacementQuery{}, fmt.Errorf("expected the parameters method, host, path, account and bytes, found %.80q", n)
		}
		if _, repeated := values[n]; repeated {
			return proxy.PlacementQuery{}, fmt.Errorf("%s: expected once, found several times", n)
		}
		values[n] = string(value)
	}
	host, _, _ := strings.Cut(values[ParamHost], ":")
	q := proxy.PlacementQuery{Method: values[ParamMethod], Service: host, URI: values[ParamPath], Account: values[ParamAccount]}
	if q.Method == "" || strings.Trim(q.Method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
		return q, fmt.Errorf("method: expected an HTTP method in capital letters, found %.80q", q.Method)
	}
	if host == "" {
		return q, fmt.Errorf("host: expected a host name, found %.80q", values[ParamHost])
	}
	if !strings.HasPrefix(q.URI, "/") {
		return q, fmt.Errorf("path: expected a path that begins with /, found %.80q", q.URI)
	}
	text := cmp.Or(values[ParamBytes], "0")
	size, err := strconv.ParseInt(text, 10, 64)
	if err != nil || size < 0 || size > maxPlacementBytes {
		return q, fmt.Errorf("bytes: expected a whole number from 0 to %d, found %.80q", int64(maxPlacementBytes), text)
	}
	q.Bytes = int(size)
	return q, nil
}

func encodePlacement(p *proxy.Placement) *Placement {
	out := &Placement{Version: uint64(p.Version), Refusal: encodeRefusal(p.Refusal), Destinations: []PlacementDestination{}}
	if c := p.Class; c != nil {
		out.Class = &PlacementClass{
			Name: c.Name, Rank: c.Rank, LatencyMS: millis(c.Latency), TimeoutMS: millis(c.Timeout),
			Idempotent: c.Idempotent, Public: c.Public, Attempts: c.Attempts,
		}
	}
	if a := p.Account; a != nil {
		out.Account = &PlacementAccount{Name: a.Name, Rank: a.Rank, Rate: a.Rate, Burst: a.Burst}
	}
	for i := range p.Destinations {
		out.Destinations = append(out.Destinations, encodeDestination(&p.Destinations[i]))
	}
	return out
}

func encodeDestination(d *proxy.Destination) PlacementDestination {
	out := PlacementDestination{
		Service: d.Service, Share: d.Of, Refusal: encodeRefusal(d.Refusal), ThrottleAllows: d.Allowed,
		RetriesOfService: d.ServiceRetries, RetriesOfClass: d.ClassRetries,
		HedgeDelayMS: millis(d.HedgeDelay), HedgeServer: serverName(d.HedgeServer), NoHedge: string(d.HedgeObstacle),
		Chosen: serverName(d.Servers.Chosen), Candidates: []PlacementCandidate{},
	}
	for i := range d.Servers.Candidates {
		out.Candidates = append(out.Candidates, encodeCandidate(&d.Servers.Candidates[i]))
	}
	return out
}

func encodeCandidate(c *route.Candidate) PlacementCandidate {
	return PlacementCandidate{
		Server: serverName(c.Record), Domain: c.Record.Domain, State: c.Record.State.String(), Health: c.Record.Health.String(),
		Release: c.Record.Release, Excluded: string(c.Exclusion), Chosen: c.Chosen, Calls: c.Calls, Limit: c.Limit,
		ServiceTimeMS: millis(c.ServiceTime), CostMS: millis(c.Cost()), RunMS: millis(c.Run), WaitMS: millis(c.Wait),
		LinkMS: millis(c.Link), CrossingMS: millis(c.Crossing), DoubtMS: millis(c.Doubt), FreeSlot: c.FreeSlot, InTime: c.InTime,
	}
}

func encodeRefusal(f *call.Failure) *PlacementRefusal {
	if f == nil {
		return nil
	}
	r := &PlacementRefusal{Reason: string(f.Reason)}
	if f.Err != nil {
		r.Cause = f.Err.Error()
	}
	return r
}

func serverName(r *member.Record) string {
	if r == nil {
		return ""
	}
	return string(r.Server)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
