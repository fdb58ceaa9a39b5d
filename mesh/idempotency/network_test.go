package idempotency

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
)

var errPartitioned = errors.New("partitioned")

// node is one daemon of an in-memory network.
type node struct {
	id       member.ServerID
	table    *member.Table
	replicas *Replicas
	ledger   *Ledger
	runner   *Runner
	dead     atomic.Bool
}

type network struct {
	mu    sync.Mutex
	nodes map[string]*node
	// cut holds the pairs of daemons that cannot reach each other.
	partitioned map[[2]string]bool
	// loseBegins is the number of Begin messages that are lost at each daemon, and
	// lostBegins the number of those that were.
	loseBegins int
	lostBegins map[string]int
}

// losesBegin reports whether a Begin message to a daemon is lost.
func (net *network) losesBegin(address string) bool {
	net.mu.Lock()
	defer net.mu.Unlock()
	if net.lostBegins[address] >= net.loseBegins {
		return false
	}
	net.lostBegins[address]++
	return true
}

// link is the transport of one node.
type link struct {
	net  *network
	from string
}

func (l link) resolve(address string) (*node, error) {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	n := l.net.nodes[address]
	if n == nil || n.dead.Load() || l.net.nodes[l.from].dead.Load() ||
		l.net.partitioned[[2]string{l.from, address}] || l.net.partitioned[[2]string{address, l.from}] {
		return nil, errPartitioned
	}
	return n, nil
}

func (l link) Begin(_ context.Context, address string, m *Begin) (*Reply, error) {
	n, err := l.resolve(address)
	if err != nil {
		return nil, err
	}
	if l.net.losesBegin(address) {
		return nil, context.DeadlineExceeded
	}
	return n.ledger.Begin(m), nil
}

func (l link) Await(ctx context.Context, address string, id ID) (*Reply, error) {
	n, err := l.resolve(address)
	if err != nil {
		return nil, err
	}
	return n.ledger.Await(ctx, id), nil
}

func (l link) Finish(_ context.Context, address string, m *Finish) error {
	n, err := l.resolve(address)
	if err == nil {
		n.runner.Finish(m)
	}
	return err
}

func (l link) Import(_ context.Context, address string, transfers []Transfer) error {
	n, err := l.resolve(address)
	if err == nil {
		n.ledger.Import(transfers)
	}
	return err
}

func newNetwork(size int) *network {
	net := &network{nodes: map[string]*node{}, partitioned: map[[2]string]bool{}, lostBegins: map[string]int{}}
	for i := range size {
		net.join(i, nil)
	}
	return net
}

func record(i int, state member.State) member.Record {
	name := fmt.Sprintf("s%d", i)
	return member.Record{
		Server: member.ServerID(name), CallAddress: name, Domain: fmt.Sprint("d", i%3),
		Incarnation: 1, Sequence: uint64(state) + 1, State: state, Service: "lookup",
	}
}

// join adds a daemon; those in unaware do not receive its record.
func (net *network) join(i int, unaware map[string]bool) *node {
	own := record(i, member.Ready)
	n := &node{id: own.Server, table: member.NewTable("nobody")}
	cfg := DefaultConfig()
	cfg.ReplicaTimeout = time.Second
	for _, other := range net.nodes {
		var view []member.Record
		for _, r := range other.table.View().All() {
			view = append(view, *r)
		}
		n.table.Merge(view)
	}
	n.replicas = NewReplicas(cfg, n.table)
	n.ledger = NewLedger(cfg, n.replicas)
	n.runner = NewRunner(cfg, n.id, n.replicas, n.ledger, link{net, own.CallAddress})
	net.mu.Lock()
	net.nodes[own.CallAddress] = n
	net.mu.Unlock()
	net.broadcast(own, unaware)
	return n
}

// broadcast merges a record at all daemons except those in unaware.
func (net *network) broadcast(r member.Record, unaware map[string]bool) {
	for name, n := range net.nodes {
		if unaware[name] || n.dead.Load() {
			continue
		}
		n.table.Merge([]member.Record{r})
		if added := n.replicas.update(time.Now()); len(added) > 0 {
			n.runner.ReplicateTo(context.Background(), added)
		}
	}
}

func (net *network) kill(i int, unaware map[string]bool) {
	r := record(i, member.Ready)
	net.nodes[r.CallAddress].dead.Store(true)
	r.Health = member.Failed
	net.broadcast(r, unaware)
}

func (net *network) disconnect(n *node, other string) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.partitioned[[2]string{string(n.id), other}] = true
}

func (net *network) leave(i int) {
	r := record(i, member.Left)
	n := net.nodes[r.CallAddress]
	n.runner.Leave(context.Background())
	n.dead.Store(true)
	net.broadcast(r, nil)
}

// executor runs requests and counts the executions of each key.
type executor struct {
	mu         sync.Mutex
	executions map[string]int
	err        error
}

func (exec *executor) send(_ context.Context, r *call.Request) (*call.Answer, error) {
	exec.mu.Lock()
	defer exec.mu.Unlock()
	if exec.executions == nil {
		exec.executions = map[string]int{}
	}
	exec.executions[r.Key]++
	if exec.err != nil {
		return nil, exec.err
	}
	return &call.Answer{Status: 200, Body: []byte(r.Key)}, nil
}

func runRequest(n *node, exec *executor, key string) (*call.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	return n.runner.Run(ctx, &call.Request{Service: "lookup", Key: key, Method: "POST", URI: "/places"}, exec.send)
}

func wantAnswer(t *testing.T, key string, answer *call.Answer, err error) {
	t.Helper()
	if err != nil || string(answer.Body) != key {
		t.Fatalf("key %s: got %v, %v, want the key as answer", key, answer, err)
	}
}

func wantOutcomeUnknown(t *testing.T, err error) {
	t.Helper()
	var f *call.Failure
	if !errors.As(err, &f) || f.Verdict != call.MayHaveRun {
		t.Fatalf("got %v, want a failure with verdict may-have-run", err)
	}
}

func (net *network) replicasOf(key string) []*node {
	var nodes []*node
	for _, r := range net.nodes["s0"].replicas.For(ID{Service: "lookup", Key: key}) {
		nodes = append(nodes, net.nodes[r.address])
	}
	return nodes
}

func indexOf(n *node) int {
	var i int
	_, _ = fmt.Sscanf(string(n.id), "s%d", &i)
	return i
}

// restart empties a daemon's ledger and broadcasts its new incarnation.
func (net *network) restart(n *node) {
	n.ledger = NewLedger(n.ledger.cfg, n.replicas)
	n.runner.ledger = n.ledger
	r := record(indexOf(n), member.Ready)
	r.Incarnation = 1 + minRestartIncrement
	net.broadcast(r, nil)
}
