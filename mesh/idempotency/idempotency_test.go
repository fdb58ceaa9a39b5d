package idempotency

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
)

func TestRunnerConcurrentCopiesExecuteOnce(t *testing.T) {
	net, exec := newNetwork(7), &executor{}
	var wg sync.WaitGroup
	for i := range 50 {
		key := fmt.Sprint("k", i)
		for offset := range 3 {
			wg.Go(func() {
				answer, err := runRequest(net.nodes[fmt.Sprint("s", (i+offset)%7)], exec, key)
				if err == nil && string(answer.Body) != key {
					t.Errorf("key %s: got answer %q, want the key", key, answer.Body)
				}
			})
		}
	}
	wg.Wait()
	for key, n := range exec.executions {
		if n != 1 {
			t.Errorf("key %s: executed %d times, want 1", key, n)
		}
	}
	if len(exec.executions) != 50 {
		t.Errorf("%d keys executed, want 50", len(exec.executions))
	}
}

func TestRunnerRepeatAtOtherDaemonReturnsFirstOutcome(t *testing.T) {
	net, exec := newNetwork(6), &executor{}
	for i := range 6 {
		answer, err := runRequest(net.nodes[fmt.Sprint("s", i)], exec, "k")
		wantAnswer(t, "k", answer, err)
		net.nodes["s0"].runner.Wait()
	}
	if exec.executions["k"] != 1 {
		t.Errorf("executed %d times, want 1", exec.executions["k"])
	}
}

// A replica that is slow for a moment must not fail a request that no other copy of
// has begun; replicas that stay silent must not hold it for long.
func TestRunnerAsksSilentReplicasOnceMore(t *testing.T) {
	net, exec := newNetwork(6), &executor{}
	net.loseBegins = 1
	answer, err := runRequest(net.nodes["s0"], exec, "k")
	wantAnswer(t, "k", answer, err)
	if exec.executions["k"] != 1 {
		t.Errorf("executed %d times, want 1", exec.executions["k"])
	}
	net = newNetwork(6)
	net.loseBegins = 100
	_, err = runRequest(net.nodes["s0"], exec, "silent")
	wantOutcomeUnknown(t, err)
	for address, n := range net.lostBegins {
		if n > 2 {
			t.Errorf("replica %s was asked %d times, want at most 2", address, n)
		}
	}
}

func TestRunnerRepeatAfterNotRunExecutes(t *testing.T) {
	net, exec := newNetwork(6), &executor{err: call.Refuse(call.Overloaded, nil)}
	if _, err := runRequest(net.nodes["s0"], exec, "k"); err == nil {
		t.Fatal("got no error, want a refusal")
	}
	net.nodes["s0"].runner.Wait()
	exec.err = nil
	answer, err := runRequest(net.nodes["s1"], exec, "k")
	wantAnswer(t, "k", answer, err)
}

func TestRunnerKeyOfOtherRequestIsRefused(t *testing.T) {
	net, exec := newNetwork(3), &executor{}
	_, _ = runRequest(net.nodes["s0"], exec, "k")
	net.nodes["s0"].runner.Wait()
	_, err := net.nodes["s1"].runner.Run(context.Background(),
		&call.Request{Service: "lookup", Key: "k", Method: "POST", URI: "/other"}, exec.send)
	var f *call.Failure
	if !errors.As(err, &f) || f.Reason != call.BadRequest || exec.executions["k"] != 1 {
		t.Errorf("got %v after %d executions, want bad-request after 1", err, exec.executions["k"])
	}
}

func TestRunnerRepeatAfterUnknownOutcomeDoesNotExecute(t *testing.T) {
	net, exec := newNetwork(6), &executor{err: &call.Failure{Verdict: call.MayHaveRun, Reason: call.Cut}}
	_, err := runRequest(net.nodes["s0"], exec, "k")
	wantOutcomeUnknown(t, err)
	_, err = runRequest(net.nodes["s1"], exec, "k")
	wantOutcomeUnknown(t, err)
	if exec.executions["k"] != 1 {
		t.Errorf("executed %d times, want 1", exec.executions["k"])
	}
}

func TestRunnerDeathDuringExecutionKeepsKeyRecorded(t *testing.T) {
	net, exec := newNetwork(6), &executor{}
	dead := net.nodes["s0"]
	_, _ = dead.runner.Run(context.Background(), &call.Request{Service: "lookup", Key: "k", Method: "POST", URI: "/places"},
		func(context.Context, *call.Request) (*call.Answer, error) {
			dead.dead.Store(true)
			return &call.Answer{}, nil
		})
	if indexOf(net.replicasOf("k")[0]) == 0 {
		net.kill(0, nil)
	}
	_, err := runRequest(net.nodes["s1"], exec, "k")
	wantOutcomeUnknown(t, err)
	if exec.executions["k"] != 0 {
		t.Error("the request was executed again")
	}
}

func TestRunnerRepeatAfterReplicaLossDoesNotExecute(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		net, exec := newNetwork(9), &executor{}
		replicas := net.replicasOf("k")
		_, err := runRequest(net.nodes["s0"], exec, "k")
		if err != nil {
			t.Fatal(err)
		}
		net.nodes["s0"].runner.Wait()
		for _, r := range replicas[:lost] {
			net.kill(indexOf(r), nil)
		}
		for _, n := range net.nodes {
			if n.dead.Load() {
				continue
			}
			answer, err := runRequest(n, exec, "k")
			if lost < 3 {
				wantAnswer(t, "k", answer, err)
				continue
			}
			wantOutcomeUnknown(t, err)
		}
		if exec.executions["k"] != 1 {
			t.Errorf("executed %d times after the loss of %d replicas, want 1", exec.executions["k"], lost)
		}
	}
}

func TestRunnerLeaveTransfersKeys(t *testing.T) {
	net, exec := newNetwork(12), &executor{}
	if _, err := runRequest(net.nodes["s0"], exec, "k"); err != nil {
		t.Fatal(err)
	}
	net.nodes["s0"].runner.Wait()
	for range 9 {
		var live *node
		for _, n := range net.nodes {
			if !n.dead.Load() {
				live = n
			}
		}
		net.leave(indexOf(net.nodes[live.replicas.For(ID{Service: "lookup", Key: "k"})[0].address]))
	}
	for _, n := range net.nodes {
		if !n.dead.Load() {
			answer, err := runRequest(n, exec, "k")
			wantAnswer(t, "k", answer, err)
		}
	}
}

func TestRunnerJoiningReplicasReceiveKeys(t *testing.T) {
	net, exec := newNetwork(3), &executor{}
	for i := range 100 {
		_, _ = runRequest(net.nodes["s0"], exec, fmt.Sprint("k", i))
	}
	net.nodes["s0"].runner.Wait()
	for i := 3; i < 12; i++ {
		net.join(i, nil)
	}
	for i := range 3 {
		net.leave(i)
	}
	for i := range 100 {
		key := fmt.Sprint("k", i)
		answer, err := runRequest(net.nodes["s5"], exec, key)
		wantAnswer(t, key, answer, err)
	}
}

func TestRunnerPartitionExecutesOnOneSideOnly(t *testing.T) {
	net, exec := newNetwork(9), &executor{}
	minority := func(i int) bool { return i%3 == 0 }
	for i := range 9 {
		for j := range 9 {
			if minority(i) != minority(j) {
				net.partitioned[[2]string{fmt.Sprint("s", i), fmt.Sprint("s", j)}] = true
			}
		}
	}
	for i := range 9 {
		unaware := map[string]bool{}
		for j := range 9 {
			unaware[fmt.Sprint("s", j)] = minority(i) == minority(j)
		}
		r := record(i, member.Ready)
		r.Health = member.Failed
		net.broadcast(r, unaware)
	}
	executed := 0
	for i := range 40 {
		key := fmt.Sprint("k", i)
		_, _ = runRequest(net.nodes["s0"], exec, key)
		_, _ = runRequest(net.nodes["s1"], exec, key)
		executed += exec.executions[key]
		if exec.executions[key] > 1 {
			t.Errorf("key %s: executed on both sides of the partition", key)
		}
	}
	if executed == 0 {
		t.Error("the larger side of the partition executed no request")
	}
}

func TestRunnerRandomFaultsExecuteAtMostOnce(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, seed))
		net, exec := newNetwork(6), &executor{}
		next := 6
		for range 12 {
			unaware := map[string]bool{}
			for name := range net.nodes {
				unaware[name] = rng.IntN(6) == 0
			}
			i := rng.IntN(next)
			n := net.nodes[fmt.Sprint("s", i)]
			switch rng.IntN(8) {
			case 0:
				net.join(next, unaware)
				next++
			case 1:
				if !n.dead.Load() {
					net.kill(i, unaware)
				}
			case 2:
				if !n.dead.Load() {
					net.leave(i)
				}
			case 3:
				net.disconnect(n, fmt.Sprint("s", rng.IntN(next)))
			case 4:
				net.mu.Lock()
				clear(net.partitioned)
				net.mu.Unlock()
			default:
				if !n.dead.Load() {
					_, _ = runRequest(n, exec, fmt.Sprint("k", rng.IntN(3)))
				}
			}
		}
		for key, n := range exec.executions {
			if n > 1 {
				t.Errorf("seed %d: key %s executed %d times, want at most 1", seed, key, n)
			}
		}
	}
}

func TestLedgerLimitsAreEnforced(t *testing.T) {
	net, exec := newNetwork(1), &executor{}
	n := net.nodes["s0"]
	n.ledger.cfg.MaxKeys, n.ledger.cfg.MaxOutcomeBytes = 2, 1
	for i := range 3 {
		_, err := runRequest(n, exec, fmt.Sprint("k", i))
		if (err == nil) != (i < 2) {
			t.Errorf("key %d: got %v", i, err)
		}
	}
	if _, err := runRequest(n, exec, "k0"); err == nil {
		t.Error("the outcome of k0 was kept despite exceeding MaxOutcomeBytes")
	}
	n.ledger.expire(time.Now().Add(DefaultConfig().Retention))
	if n.ledger.Len() != 0 || n.ledger.bytes != 0 {
		t.Errorf("%d keys and %d bytes remain after the retention time, want none", n.ledger.Len(), n.ledger.bytes)
	}
}

func TestRunnerRestartedReplicasDoNotAllowExecution(t *testing.T) {
	net, exec := newNetwork(9), &executor{}
	replicas := net.replicasOf("k")
	first := replicas[0]
	net.disconnect(first, string(replicas[2].id))
	answer, err := runRequest(first, exec, "k")
	wantAnswer(t, "k", answer, err)
	first.runner.Wait()
	clear(net.partitioned)
	net.restart(replicas[0])
	net.restart(replicas[1])
	_, err = runRequest(replicas[2], exec, "k")
	wantOutcomeUnknown(t, err)
	if exec.executions["k"] != 1 {
		t.Errorf("executed %d times, want 1", exec.executions["k"])
	}
}

func TestRunnerSameKeyOfTwoClientsExecutesForEach(t *testing.T) {
	net, exec := newNetwork(3), &executor{}
	for _, client := range []string{"a", "b"} {
		r := &call.Request{Service: "lookup", Client: client, Key: "k", Method: "POST", URI: "/places"}
		if _, err := net.nodes["s0"].runner.Run(context.Background(), r, exec.send); err != nil {
			t.Error(err)
		}
	}
	if exec.executions["k"] != 2 {
		t.Errorf("executed %d times, want once per client", exec.executions["k"])
	}
}
