package collectgrpc

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fescuehoist.example/adapters/collectgrpc/collectpb"
	"fescuehoist.example/mesh/revision"
	"fescuehoist.example/mesh/rollout"
)

// Guards against counts and directions that lose a part on their way to another daemon, or
// directions that look younger than they are.
func TestCountsAndDirectionsKeepTheirContent(t *testing.T) {
	counts := []rollout.Count{
		{Service: "lookup", Release: "v2", Order: revision.Revision{Epoch: 3, Number: 7}, Target: "v2", Servers: 3, Idle: 2, Active: 3, Failing: 1, State: rollout.Completed, Heard: 2 * time.Second},
		{Service: "lookup", Release: "v1", Class: "r-search", Order: revision.Revision{Epoch: 3, Number: 7}, Answered: 9, Failed: 2, Total: time.Second, Timed: 5, LogSum: -12.5, LogSquares: 40},
	}
	for _, c := range counts {
		got, err := decodeCount(encodeCount(&c))
		if err != nil || got != c {
			t.Errorf("counts arrived as %+v, error %v; want %+v", got, err, c)
		}
	}
	for _, d := range []rollout.Direction{{Age: time.Second}, {Service: "lookup", Release: "v2", Share: 0.25, Servers: 2, State: rollout.Completed, Order: revision.Revision{Epoch: 3, Number: 7}}} {
		got, err := decodeDirection(encodeDirection(&d))
		if got.Age < d.Age {
			t.Errorf("age %s arrived as %s", d.Age, got.Age)
		}
		got.Age = d.Age
		if diff := cmp.Diff(d, got); err != nil || diff != "" {
			t.Errorf("direction differs: %s, error %v", diff, err)
		}
	}
}

// Guards against counts of another release of the product, or of none, that make every
// judgement meaningless.
func TestBadCountsAndDirectionsAreRefused(t *testing.T) {
	for _, c := range []*collectpb.Release{
		{Service: ""}, {Service: "look\nup"}, {Service: "lookup", LogSum: math.NaN()}, {Service: "lookup", LogSquares: math.Inf(1)}, {Service: "lookup", State: 9},
	} {
		if _, err := decodeCount(c); err == nil {
			t.Errorf("counts %v taken, want an error", c)
		}
	}
	for _, d := range []*collectpb.Direction{{Service: "look\nup"}, {Service: "lookup", State: 9}} {
		if _, err := decodeDirection(d); err == nil {
			t.Errorf("direction %v taken, want an error", d)
		}
	}
}
