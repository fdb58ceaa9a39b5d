package adminhttp

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/proxy"
	"fescuehoist.example/mesh/route"
	"fescuehoist.example/mesh/target"
)

// fakePlacer records the query and returns a fixed answer.
type fakePlacer struct {
	query     proxy.PlacementQuery
	asked     bool
	placement *proxy.Placement
	err       error
}

func (p *fakePlacer) Explain(q proxy.PlacementQuery) (*proxy.Placement, error) {
	p.query, p.asked = q, true
	return p.placement, p.err
}

// get requests a path of the admin address without a network.
func get(placer Placer, uri string) *fasthttp.Response {
	var c fasthttp.RequestCtx
	c.Request.Header.SetMethod(http.MethodGet)
	c.Request.SetRequestURI(uri)
	(&Server{Placer: placer}).handle(&c, nil)
	return &c.Response
}

func TestPlacementReadsQueryAndWritesAnswer(t *testing.T) {
	chosen := &member.Record{Server: "lookup-1", Domain: "a", State: member.Ready, Release: "v2"}
	placer := &fakePlacer{placement: &proxy.Placement{
		Version: 7,
		Class:   &target.Class{Name: "read", Rank: 2, Latency: 100 * time.Millisecond, Timeout: time.Second, Idempotent: true},
		Account: &target.Account{Name: "filer", Rank: 1, Rate: 100, Burst: 20},
		Destinations: []proxy.Destination{
			{
				Share: target.Share{Service: "lookup", Of: 0.75}, Allowed: 0.5, ServiceRetries: 3, ClassRetries: 2, HedgeDelay: 83 * time.Millisecond, HedgeServer: chosen,
				Servers: route.Explanation{Chosen: chosen, Candidates: []route.Candidate{{
					Record: chosen, Chosen: 0.25, FreeSlot: true,
					Estimate: route.Estimate{Calls: 2, Limit: 10, ServiceTime: 20 * time.Millisecond, Run: 20 * time.Millisecond, Wait: 1500 * time.Microsecond, Crossing: 3 * time.Millisecond},
				}}},
			},
			{Share: target.Share{Service: "spare", Of: 0.25}, Refusal: call.Refuse(call.NoServer, nil), HedgeObstacle: "off"},
		},
	}}
	resp := get(placer, "/v1/placement?method=GET&host=shop:8080&path=%2Fx%3Fy%3D1&account=filer&bytes=60000")
	if want := (proxy.PlacementQuery{Service: "shop", Method: "GET", URI: "/x?y=1", Account: "filer", Bytes: 60000}); placer.query != want {
		t.Errorf("asked %+v, want %+v", placer.query, want)
	}
	var got Placement
	if err := json.Unmarshal(resp.Body(), &got); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		t.Fatalf("status %d, error %v", resp.StatusCode(), err)
	}
	want := Placement{
		Version: 7, Class: &PlacementClass{Name: "read", Rank: 2, LatencyMS: 100, TimeoutMS: 1000, Idempotent: true},
		Account: &PlacementAccount{Name: "filer", Rank: 1, Rate: 100, Burst: 20},
		Destinations: []PlacementDestination{
			{
				Service: "lookup", Share: 0.75, ThrottleAllows: 0.5, RetriesOfService: 3, RetriesOfClass: 2, HedgeDelayMS: 83, HedgeServer: "lookup-1", Chosen: "lookup-1",
				Candidates: []PlacementCandidate{{
					Server: "lookup-1", Domain: "a", State: "ready", Health: "alive", Release: "v2", Chosen: 0.25, Calls: 2, Limit: 10,
					ServiceTimeMS: 20, CostMS: 24.5, RunMS: 20, WaitMS: 1.5, CrossingMS: 3, FreeSlot: true,
				}},
			},
			{Service: "spare", Share: 0.25, Refusal: &PlacementRefusal{Reason: "no-server"}, NoHedge: "off", Candidates: []PlacementCandidate{}},
		},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

// Guards against a query that is understood as another one, and against errors that do not
// say what is wrong.
func TestPlacementRefusesBadQueries(t *testing.T) {
	for query, want := range map[string]string{
		"method=get&host=shop&path=/":                            `method: expected an HTTP method in capital letters, found "get"`,
		"host=shop&path=/":                                       `method: expected an HTTP method in capital letters, found ""`,
		"method=GET&path=/":                                      `host: expected a host name, found ""`,
		"method=GET&host=:80&path=/":                             `host: expected a host name, found ":80"`,
		"method=GET&host=shop&path=x":                            `path: expected a path that begins with /, found "x"`,
		"method=GET&host=shop&path=/&bytes=-1":                   `bytes: expected a whole number from 0 to 1099511627776, found "-1"`,
		"method=GET&host=shop&path=/&bytes=1e3":                  `bytes: expected a whole number from 0 to 1099511627776, found "1e3"`,
		"method=GET&host=shop&path=/&size=3":                     `expected the parameters method, host, path, account and bytes, found "size"`,
		"method=GET&method=PUT&host=shop&path=/":                 `method: expected once, found several times`,
		"method=GET&host=shop&path=/&bytes=99999999999999999999": `bytes: expected a whole number`,
	} {
		placer := &fakePlacer{}
		resp := get(placer, "/v1/placement?"+query)
		if body := string(resp.Body()); resp.StatusCode() != fasthttp.StatusBadRequest || !strings.Contains(body, want) || placer.asked {
			t.Errorf("%s: status %d, %q; want 400 and %q", query, resp.StatusCode(), body, want)
		}
	}
}

func TestPlacementOfUnknownAccountIsBadRequest(t *testing.T) {
	placer := &fakePlacer{err: &proxy.UnknownAccountError{Name: "absent", Version: 3}}
	resp := get(placer, "/v1/placement?method=GET&host=shop&path=/&account=absent")
	if want := placer.err.Error(); resp.StatusCode() != fasthttp.StatusBadRequest || string(resp.Body()) != want {
		t.Errorf("status %d, %q; want 400 and %q", resp.StatusCode(), resp.Body(), want)
	}
}
