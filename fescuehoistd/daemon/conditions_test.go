package daemon_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"fescuehoist.example/platform/platformtest"
)

// Bounds of the users' platform.
const (
	// stableWindow is the time after which a named limit binds.
	stableWindow = 3 * time.Second
	// limitWindow is the window in which arrivals are counted.
	limitWindow = 4 * time.Second
	// leavingBound is the time after which a backend server that said it leaves
	// gets no request.
	leavingBound = 2 * time.Second
)

// limitedArrivals returns how many requests may arrive within limitWindow at a
// backend server that names a limit of requests a second.
func limitedArrivals(limit float64) int { return int(1.5*limit*limitWindow.Seconds()) + 5 }

// sendFor sends requests from several callers at each host for a time, one after
// another with a pause between.
func sendFor(t *testing.T, d time.Duration, hosts ...*host) {
	t.Helper()
	const callers, pause = 6, 30 * time.Millisecond
	end := time.Now().Add(d)
	var tasks sync.WaitGroup
	for i, h := range hosts {
		for c := range callers {
			tasks.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					sendRequest(t, h, http.MethodGet, "/search/x", fmt.Sprintf("%d-%d-%d", i, c, n))
					time.Sleep(pause)
				}
			})
		}
	}
	tasks.Wait()
}

// busiestWindow returns the greatest number of arrivals after a time within
// limitWindow.
func busiestWindow(arrivals []platformtest.Arrival, after time.Time) int {
	busiest, first := 0, 0
	for i := range arrivals {
		for arrivals[i].At.Sub(arrivals[first].At) > limitWindow || arrivals[first].At.Before(after) && first < i {
			first++
		}
		busiest = max(busiest, i-first+1)
	}
	return busiest
}

// startLimitTest starts a host with a backend server of the called service and one
// without, and waits until both can call it.
func startLimitTest(t *testing.T) (called, other *host) {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.PutConfiguration(configuration(1))
	called = startHost(t, store, "lookup-1", "cairo-a", "lookup")
	other = startHost(t, store, "archive-1", "cairo-b", "archive")
	for i, h := range []*host{called, other} {
		await(t, "the route to the backend server", func() bool {
			return sendRequest(t, h, http.MethodGet, "/search/x", fmt.Sprintf("first-%d", i)).status == http.StatusOK
		})
	}
	return called, other
}

func TestBackendServerThatNamesLimitGetsNoMoreRequestsFromAllDaemons(t *testing.T) {
	const limit = 8.0
	called, other := startLimitTest(t)
	called.backend.SetRateLimit(fmt.Sprint(limit))
	named := time.Now()
	sendFor(t, stableWindow+limitWindow+time.Second, called, other)
	if got, want := busiestWindow(called.backend.Arrivals(), named.Add(stableWindow)), limitedArrivals(limit); got > want {
		t.Errorf("%d requests in %s at a limit of %g a second, want at most %d", got, limitWindow, limit, want)
	}
	called.backend.SetRateLimit("")
	await(t, "all requests to be admitted after the limit has ended", func() bool {
		before := called.backend.TotalExecutions()
		sendFor(t, time.Second, called)
		return called.backend.TotalExecutions()-before > int(2*limit)
	})
}

func TestBackendServerThatSaysItLeavesGetsNoFurtherRequests(t *testing.T) {
	called, other := startLimitTest(t)
	called.backend.SetLeaving(true)
	for i, h := range []*host{called, other} {
		sendRequest(t, h, http.MethodGet, "/search/x", fmt.Sprintf("leaving-%d", i))
	}
	time.Sleep(leavingBound)
	before := len(called.backend.Arrivals())
	for i, h := range []*host{called, other} {
		if got := sendRequest(t, h, http.MethodGet, "/search/x", fmt.Sprintf("late-%d", i)); got.status != http.StatusServiceUnavailable {
			t.Errorf("request from %d got status %d, want %d", i, got.status, http.StatusServiceUnavailable)
		}
	}
	if after := len(called.backend.Arrivals()); after != before {
		t.Errorf("%d requests arrived %s after the backend server said that it leaves, want none", after-before, leavingBound)
	}
}
