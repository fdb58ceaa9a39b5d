package idempotency

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
)

var errCut = errors.New("cut")

// node is one daemon of a network in memory.
type node struct {
	id     member.ServerID
	table  *member.Table
	homes  *Replicas
	ledger *Ledger
	runner *Runner
	dead   atomic.Bool
}

type network struct {
	mu    sync.Mutex
	nodes map[string]*node
	// cut holds the pairs of daemons that cannot reach each other.
	cut map[[2]string]bool
}

// link is the transport of one node.
type link struct {
	net  *network
	from string
}

func (l link) to(address string) (*node, error) {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	n := l.net.nodes[address]
	if n == nil || n.dead.Load() || l.net.nodes[l.from].dead.Load() ||
		l.net.cut[[2]string{l.from, address}] || l.net.cut[[2]string{address, l.from}] {
		return nil, errCut
	}
	return n, nil
}

func (l link) Begin(_ context.Context, address string, m *Begin) (*Reply, error) {
	n, err := l.to(address)
	if err != nil {
		return nil, err
	}
	return n.ledger.Begin(m), nil
}

func (l link) Await(ctx context.Context, address string, id ID) (*Reply, error) {
	n, err := l.to(address)
	if err != nil {
		return nil, err
	}
	return n.ledger.Await(ctx, id), nil
}

func (l link) Finish(_ context.Context, address string, m *Finish) error {
	n, err := l.to(address)
	if err == nil {
		n.runner.Finish(m)
	}
	return err
}

func (l link) Copy(_ context.Context, address string, copies []Transfer) error {
	n, err := l.to(address)
	if err == nil {
		n.ledger.Import(copies)
	}
	return err
}

func newNetwork(size int) *network {
	w := &network{nodes: map[string]*node{}, cut: map[[2]string]bool{}}
	for i := range size {
		w.join(i, nil)
	}
	return w
}

func record(i int, state member.State) member.Record {
	name := fmt.Sprintf("s%d", i)
	return member.Record{
		Server: member.ServerID(name), CallAddress: name, Domain: fmt.Sprint("d", i%3),
		Incarnation: 1, Sequence: uint64(state) + 1, State: state, Service: "lookup",
	}
}

// join adds a daemon; those in unaware do not hear of it.
func (w *network) join(i int, unaware map[string]bool) *node {
	own := record(i, member.Ready)
	n := &node{id: own.Server, table: member.NewTable("nobody")}
	cfg := DefaultConfig()
	cfg.ReplicaTimeout = time.Second
	for _, other := range w.nodes {
		var view []member.Record
		for _, r := range other.table.View().All() {
			view = append(view, *r)
		}
		n.table.Merge(view)
	}
	n.homes = NewReplicas(cfg, n.table)
	n.ledger = NewLedger(cfg, n.homes)
	n.runner = NewRunner(cfg, n.id, n.homes, n.ledger, link{w, own.CallAddress})
	w.mu.Lock()
	w.nodes[own.CallAddress] = n
	w.mu.Unlock()
	w.tell(own, unaware)
	return n
}

// tell gives a record to all daemons but those in unaware.
func (w *network) tell(r member.Record, unaware map[string]bool) {
	for name, n := range w.nodes {
		if unaware[name] || n.dead.Load() {
			continue
		}
		n.table.Merge([]member.Record{r})
		if news := n.homes.update(time.Now()); len(news) > 0 {
			n.runner.ReplicateTo(context.Background(), news)
		}
	}
}

func (w *network) kill(i int, unaware map[string]bool) {
	r := record(i, member.Ready)
	w.nodes[r.CallAddress].dead.Store(true)
	r.Health = member.Failed
	w.tell(r, unaware)
}

func (w *network) separate(n *node, other string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]string{string(n.id), other}] = true
}

func (w *network) leave(i int) {
	r := record(i, member.Left)
	n := w.nodes[r.CallAddress]
	n.runner.Leave(context.Background())
	n.dead.Store(true)
	w.tell(r, nil)
}

// counter runs requests and counts the runs of each key.
type counter struct {
	mu   sync.Mutex
	runs map[string]int
	err  error
}

func (c *counter) send(_ context.Context, r *call.Request) (*call.Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = map[string]int{}
	}
	c.runs[r.Key]++
	if c.err != nil {
		return nil, c.err
	}
	return &call.Answer{Status: 200, Body: []byte(r.Key)}, nil
}

func submit(n *node, c *counter, key string) (*call.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	return n.runner.Run(ctx, &call.Request{Service: "lookup", Key: key, Method: "POST", URI: "/places"}, c.send)
}

func wantAnswer(t *testing.T, key string, answer *call.Answer, err error) {
	t.Helper()
	if err != nil || string(answer.Body) != key {
		t.Fatalf("key %s got %v, %v", key, answer, err)
	}
}

func wantUnknown(t *testing.T, err error) {
	t.Helper()
	var f *call.Failure
	if !errors.As(err, &f) || f.Verdict != call.MayHaveRun {
		t.Fatalf("got %v, want a failure that the request may have run", err)
	}
}

func (w *network) homesOf(key string) []*node {
	var nodes []*node
	for _, k := range w.nodes["s0"].homes.Of(ID{Service: "lookup", Key: key}) {
		nodes = append(nodes, w.nodes[k.address])
	}
	return nodes
}

func number(n *node) int {
	var i int
	_, _ = fmt.Sscanf(string(n.id), "s%d", &i)
	return i
}

func TestTwoCopiesAtOnceRunOnce(t *testing.T) {
	w, c := newNetwork(7), &counter{}
	var tasks sync.WaitGroup
	for i := range 50 {
		key := fmt.Sprint("k", i)
		for copy := range 3 {
			tasks.Go(func() {
				answer, err := submit(w.nodes[fmt.Sprint("s", (i+copy)%7)], c, key)
				if err == nil && string(answer.Body) != key {
					t.Errorf("key %s got the answer %q", key, answer.Body)
				}
			})
		}
	}
	tasks.Wait()
	for key, n := range c.runs {
		if n != 1 {
			t.Errorf("key %s ran %d times", key, n)
		}
	}
	if len(c.runs) != 50 {
		t.Errorf("%d keys ran, want 50", len(c.runs))
	}
}

func TestARepeatElsewhereGetsTheFirstOutcome(t *testing.T) {
	w, c := newNetwork(6), &counter{}
	for i := range 6 {
		answer, err := submit(w.nodes[fmt.Sprint("s", i)], c, "k")
		wantAnswer(t, "k", answer, err)
		w.nodes["s0"].runner.Wait()
	}
	if c.runs["k"] != 1 {
		t.Errorf("ran %d times", c.runs["k"])
	}
}

func TestARequestThatDidNotRunMayBeRepeated(t *testing.T) {
	w, c := newNetwork(6), &counter{err: call.Refuse(call.Overloaded, nil)}
	if _, err := submit(w.nodes["s0"], c, "k"); err == nil {
		t.Fatal("got no failure")
	}
	w.nodes["s0"].runner.Wait()
	c.err = nil
	answer, err := submit(w.nodes["s1"], c, "k")
	wantAnswer(t, "k", answer, err)
}

func TestAKeyOfAnotherRequestIsRefused(t *testing.T) {
	w, c := newNetwork(3), &counter{}
	_, _ = submit(w.nodes["s0"], c, "k")
	w.nodes["s0"].runner.Wait()
	_, err := w.nodes["s1"].runner.Run(context.Background(),
		&call.Request{Service: "lookup", Key: "k", Method: "POST", URI: "/other"}, c.send)
	var f *call.Failure
	if !errors.As(err, &f) || f.Reason != call.BadRequest || c.runs["k"] != 1 {
		t.Errorf("got %v after %d runs", err, c.runs["k"])
	}
}

func TestARunOfUnknownOutcomeIsNotRepeated(t *testing.T) {
	w, c := newNetwork(6), &counter{err: &call.Failure{Verdict: call.MayHaveRun, Reason: call.Cut}}
	_, err := submit(w.nodes["s0"], c, "k")
	wantUnknown(t, err)
	_, err = submit(w.nodes["s1"], c, "k")
	wantUnknown(t, err)
	if c.runs["k"] != 1 {
		t.Errorf("ran %d times", c.runs["k"])
	}
}

func TestARunnerThatDiesLeavesItsKeyTaken(t *testing.T) {
	w, c := newNetwork(6), &counter{}
	dead := w.nodes["s0"]
	_, _ = dead.runner.Run(context.Background(), &call.Request{Service: "lookup", Key: "k", Method: "POST", URI: "/places"},
		func(context.Context, *call.Request) (*call.Answer, error) {
			dead.dead.Store(true)
			return &call.Answer{}, nil
		})
	if number(w.homesOf("k")[0]) == 0 {
		w.kill(0, nil)
	}
	_, err := submit(w.nodes["s1"], c, "k")
	wantUnknown(t, err)
	if c.runs["k"] != 0 {
		t.Error("the request ran again")
	}
}

func TestHomesThatDieKeepTheRequestFromRunningAgain(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		w, c := newNetwork(9), &counter{}
		homes := w.homesOf("k")
		_, err := submit(w.nodes["s0"], c, "k")
		if err != nil {
			t.Fatal(err)
		}
		w.nodes["s0"].runner.Wait()
		for _, h := range homes[:lost] {
			w.kill(number(h), nil)
		}
		for _, n := range w.nodes {
			if n.dead.Load() {
				continue
			}
			answer, err := submit(n, c, "k")
			if lost < 3 {
				wantAnswer(t, "k", answer, err)
				continue
			}
			wantUnknown(t, err)
		}
		if c.runs["k"] != 1 {
			t.Errorf("ran %d times after %d homes were lost", c.runs["k"], lost)
		}
	}
}

func TestLeavingHomesHandTheirKeysOver(t *testing.T) {
	w, c := newNetwork(12), &counter{}
	if _, err := submit(w.nodes["s0"], c, "k"); err != nil {
		t.Fatal(err)
	}
	w.nodes["s0"].runner.Wait()
	for range 9 {
		var live *node
		for _, n := range w.nodes {
			if !n.dead.Load() {
				live = n
			}
		}
		w.leave(number(w.nodes[live.homes.Of(ID{Service: "lookup", Key: "k"})[0].address]))
	}
	for _, n := range w.nodes {
		if !n.dead.Load() {
			answer, err := submit(n, c, "k")
			wantAnswer(t, "k", answer, err)
		}
	}
}

func TestDaemonsThatJoinGetTheKeysOfWhichTheyAreHomes(t *testing.T) {
	w, c := newNetwork(3), &counter{}
	for i := range 100 {
		_, _ = submit(w.nodes["s0"], c, fmt.Sprint("k", i))
	}
	w.nodes["s0"].runner.Wait()
	for i := 3; i < 12; i++ {
		w.join(i, nil)
	}
	for i := range 3 {
		w.leave(i)
	}
	for i := range 100 {
		key := fmt.Sprint("k", i)
		answer, err := submit(w.nodes["s5"], c, key)
		wantAnswer(t, key, answer, err)
	}
}

func TestOnlyOneSideOfASplitRunsARequest(t *testing.T) {
	w, c := newNetwork(9), &counter{}
	side := func(i int) bool { return i%3 == 0 }
	for i := range 9 {
		for j := range 9 {
			if side(i) != side(j) {
				w.cut[[2]string{fmt.Sprint("s", i), fmt.Sprint("s", j)}] = true
			}
		}
	}
	for i := range 9 {
		unaware := map[string]bool{}
		for j := range 9 {
			unaware[fmt.Sprint("s", j)] = side(i) == side(j)
		}
		r := record(i, member.Ready)
		r.Health = member.Failed
		w.tell(r, unaware)
	}
	ran := 0
	for i := range 40 {
		key := fmt.Sprint("k", i)
		_, _ = submit(w.nodes["s0"], c, key)
		_, _ = submit(w.nodes["s1"], c, key)
		ran += c.runs[key]
		if c.runs[key] > 1 {
			t.Errorf("key %s ran on both sides", key)
		}
	}
	if ran == 0 {
		t.Error("the larger side ran no request")
	}
}

func TestNoRequestRunsTwiceUnderRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, seed))
		w, c := newNetwork(6), &counter{}
		next := 6
		for range 12 {
			unaware := map[string]bool{}
			for name := range w.nodes {
				unaware[name] = rng.IntN(6) == 0
			}
			i := rng.IntN(next)
			n := w.nodes[fmt.Sprint("s", i)]
			switch rng.IntN(8) {
			case 0:
				w.join(next, unaware)
				next++
			case 1:
				if !n.dead.Load() {
					w.kill(i, unaware)
				}
			case 2:
				if !n.dead.Load() {
					w.leave(i)
				}
			case 3:
				w.separate(n, fmt.Sprint("s", rng.IntN(next)))
			case 4:
				w.mu.Lock()
				clear(w.cut)
				w.mu.Unlock()
			default:
				if !n.dead.Load() {
					_, _ = submit(n, c, fmt.Sprint("k", rng.IntN(3)))
				}
			}
		}
		for key, n := range c.runs {
			if n > 1 {
				t.Errorf("seed %d: key %s ran %d times", seed, key, n)
			}
		}
	}
}

func TestTheLedgerIsBounded(t *testing.T) {
	w, c := newNetwork(1), &counter{}
	n := w.nodes["s0"]
	n.ledger.cfg.MaxKeys, n.ledger.cfg.MaxOutcomeBytes = 2, 1
	for i := range 3 {
		_, err := submit(n, c, fmt.Sprint("k", i))
		if (err == nil) != (i < 2) {
			t.Errorf("key %d got %v", i, err)
		}
	}
	if _, err := submit(n, c, "k0"); err == nil {
		t.Error("an outcome above the limit was kept")
	}
	n.ledger.expire(time.Now().Add(DefaultConfig().Retention))
	if n.ledger.Len() != 0 || n.ledger.bytes != 0 {
		t.Errorf("%d keys and %d bytes are left", n.ledger.Len(), n.ledger.bytes)
	}
}

// restart empties a daemon's ledger and announces a new start.
func (w *network) restart(n *node) {
	n.ledger = NewLedger(n.ledger.cfg, n.homes)
	n.runner.ledger = n.ledger
	r := record(number(n), member.Ready)
	r.Incarnation = 1 + restartJump
	w.tell(r, nil)
}

func TestHomesThatRestartAreNoEvidence(t *testing.T) {
	w, c := newNetwork(9), &counter{}
	homes := w.homesOf("k")
	taker := homes[0]
	w.separate(taker, string(homes[2].id))
	answer, err := submit(taker, c, "k")
	wantAnswer(t, "k", answer, err)
	taker.runner.Wait()
	clear(w.cut)
	w.restart(homes[0])
	w.restart(homes[1])
	_, err = submit(homes[2], c, "k")
	wantUnknown(t, err)
	if c.runs["k"] != 1 {
		t.Errorf("ran %d times", c.runs["k"])
	}
}

func TestClientsMayUseTheSameKey(t *testing.T) {
	w, c := newNetwork(3), &counter{}
	for _, client := range []string{"a", "b"} {
		r := &call.Request{Service: "lookup", Client: client, Key: "k", Method: "POST", URI: "/places"}
		if _, err := w.nodes["s0"].runner.Run(context.Background(), r, c.send); err != nil {
			t.Error(err)
		}
	}
	if c.runs["k"] != 2 {
		t.Errorf("ran %d times, want once for each client", c.runs["k"])
	}
}
