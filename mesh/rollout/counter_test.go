package rollout

import (
	"context"
	"testing"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/revision"
)

type handlerFunc func(context.Context, *call.Request) (*call.Answer, error)

func (h handlerFunc) Call(ctx context.Context, r *call.Request) (*call.Answer, error) {
	return h(ctx, r)
}

// Guards against a release that is ordered again and is judged by calls that it failed under
// the order before, which were still running.
func TestCallsOfEarlierOrderAreNotCounted(t *testing.T) {
	now := time.Hour
	own := func() (member.Record, bool) {
		return member.Record{Server: "a", Service: "lookup", Release: "v2"}, true
	}
	f := NewFollower(func() time.Duration { now += time.Millisecond; return now }, own, func() int { return 0 })
	order := func(number uint64) {
		f.Apply([]Direction{{Share: 1}, {Service: "lookup", Release: "v2", State: Running, Share: 0.1, Order: revision.Revision{Number: number}}})
	}
	order(1)
	h := &Handler{Follower: f, Handler: handlerFunc(func(context.Context, *call.Request) (*call.Answer, error) {
		order(2)
		return &call.Answer{Status: 500}, nil
	})}
	if _, err := h.Call(t.Context(), &call.Request{Service: "lookup", ClassName: "search"}); err != nil {
		t.Fatal(err)
	}
	for _, c := range f.Counts() {
		if c.Order.Number != 2 || c.Answered > 0 {
			t.Errorf("got %+v, want no answers under order 2", c)
		}
	}
}
