package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fescuehoist.example/adapters/callhttp"
	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/bench/fleet"
	"fescuehoist.example/fescuehoistd/daemon"
	"fescuehoist.example/mesh/call"
)

// network opens connections between daemons that can be cut or go silent.
type network struct {
	mu  sync.Mutex
	rng *rand.Rand
	// cutting makes connections fail after a random number of bytes.
	cutting atomic.Bool
	// age grows when the connections that are open go silent for good.
	age atomic.Int64
}

func newNetwork(seed uint64) *network {
	return &network{rng: rand.New(rand.NewPCG(seed, seed))}
}

func (n *network) tune(c *daemon.Config) { c.Dial = n.dial }

func (n *network) dial(ctx context.Context, kind, address string) (net.Conn, error) {
	c, err := httpconn.Dialer().DialContext(ctx, kind, address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return &faulty{Conn: c, net: n, born: n.age.Load(), left: n.rng.IntN(6000)}, nil
}

// faulty is a connection with faults.
type faulty struct {
	net.Conn
	net  *network
	born int64
	left int
}

var errCut = errors.New("the connection is cut")

// take counts bytes and returns how many of n pass before the cut.
func (c *faulty) take(n int) int {
	if !c.net.cutting.Load() {
		return n
	}
	n = min(n, c.left)
	c.left -= n
	return n
}

func (c *faulty) Write(b []byte) (int, error) {
	if c.net.age.Load() > c.born {
		return len(b), nil
	}
	n := c.take(len(b))
	if n == len(b) {
		return c.Conn.Write(b)
	}
	n, _ = c.Conn.Write(b[:n])
	_ = c.Close()
	return n, errCut
}

func (c *faulty) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil {
			return n, err
		}
		if c.net.age.Load() > c.born {
			continue
		}
		if passed := c.take(n); passed < n {
			_ = c.Close()
			return passed, os.ErrClosed
		}
		return n, nil
	}
}

// check compares what a caller was told with how often its request ran.
func check(t *testing.T, f *fleet.Fleet, id string, got reply, idempotent bool) {
	ran := f.Runs()[id]
	switch {
	case got.verdict == call.NotRun.String() && ran > 0,
		got.verdict == call.Ran.String() && (ran == 0 || got.body[:len(id)+1] != id+" "),
		!idempotent && ran > 1:
		t.Errorf("%s ran %d times and got %v, %q", id, ran, got, got.body)
	}
}

func TestVerdictsAreTrueWhileConnectionsAreCut(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
	defer cancel()
	n := newNetwork(1)
	f := start(ctx, t, fleet.Nuqta(), fleet.Options{Tune: n.tune})
	n.cutting.Store(true)
	var calls sync.WaitGroup
	var verdicts sync.Map
	for task := range 8 {
		calls.Go(func() {
			for i := range 60 {
				id := fmt.Sprintf("r-%d-%d", task, i)
				front := f.Members[(task+i)%8].Callers
				got := do("GET", front, "lookup", "/search?q="+id, id, nil)
				verdicts.Store(got.verdict, true)
				check(t, f, id, got, true)
				id = "p-" + id
				header := map[string]string{}
				if i%2 == 0 {
					header[callhttp.HeaderKey] = id
				}
				got = do("POST", front, "lookup", "/places?q="+id, id, header)
				verdicts.Store(got.verdict, true)
				check(t, f, id, got, false)
			}
		})
	}
	calls.Wait()
	for _, v := range []call.Verdict{call.MayHaveRun, call.Ran} {
		if _, ok := verdicts.Load(v.String()); !ok {
			t.Errorf("no call got the verdict %s", v)
		}
	}
}

func TestVerdictsAreTrueWhileAServerIsFullOrSheds(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	d := &fleet.Deployment{
		Servers: []fleet.Server{
			{Name: "lookup-1", Service: "lookup", Domain: "a", Slots: 2},
			{Name: "archive-1", Service: "archive", Domain: "a", Slots: 2},
		},
		Work: func(string, string) time.Duration { return 40 * time.Millisecond },
	}
	f := start(ctx, t, d, fleet.Options{})
	for _, shedding := range []bool{false, true} {
		f.Members[0].Backend.SetShedding(shedding)
		var calls sync.WaitGroup
		var refused atomic.Int64
		for i := range 60 {
			calls.Go(func() {
				id := fmt.Sprintf("full-%v-%d", shedding, i)
				header := map[string]string{callhttp.HeaderTimeout: fmt.Sprint(30 + 10*(i%20))}
				got := do("POST", f.Members[i%2].Callers, "lookup", "/places?q="+id, id, header)
				if got.verdict == call.NotRun.String() {
					refused.Add(1)
				}
				if shedding && got.verdict != call.NotRun.String() {
					t.Errorf("%s got %v from a server that sheds", id, got)
				}
				time.Sleep(100 * time.Millisecond)
				check(t, f, id, got, false)
			})
		}
		calls.Wait()
		if refused.Load() == 0 {
			t.Error("no call was refused")
		}
	}
}

func TestSearchesAreAnsweredWhenAllOpenConnectionsGoSilent(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	n := newNetwork(1)
	f := start(ctx, t, fleet.Nuqta(), fleet.Options{Tune: n.tune})
	round := func(name string) {
		var calls sync.WaitGroup
		for i := range 8 {
			calls.Go(func() {
				id := fmt.Sprintf("%s-%d", name, i)
				if got := do("GET", f.Members[5+i%3].Callers, "lookup", "/search?q="+id, id, nil); got.verdict != "ran" {
					t.Errorf("%s got %v", id, got)
				}
			})
		}
		calls.Wait()
	}
	round("before")
	for i := range 3 {
		n.age.Add(1)
		round(fmt.Sprint("silent-", i))
	}
}
