package idempotency

import (
	"context"
	"crypto/rand"
	"errors"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/wait"
)

var (
	errReused         = errors.New("the idempotency key was already used for a different request")
	errOutcomeUnknown = errors.New("an earlier copy of the request may have run; its outcome is unknown")
	errUnrecorded     = errors.New("too few replicas could record the idempotency key")
)

// maxTransferKeys is the maximum number of keys in one message.
const maxTransferKeys = 256

// Runner runs each request at most once.
type Runner struct {
	cfg       Config
	self      member.ServerID
	replicas  *Replicas
	ledger    *Ledger
	transport Transport
	// pending counts the Finish messages being sent.
	pending sync.WaitGroup
}

// NewRunner returns the runner of the daemon self.
func NewRunner(cfg Config, self member.ServerID, replicas *Replicas, ledger *Ledger, transport Transport) *Runner {
	return &Runner{cfg: cfg, self: self, replicas: replicas, ledger: ledger, transport: transport}
}

// execution is one attempt to run a request.
type execution struct {
	begin    Begin
	replicas []*replica
}

// Run records the request's key at its replicas and runs the request, or
// returns the outcome of an earlier copy. An error is a *call.Failure.
func (p *Runner) Run(ctx context.Context, r *call.Request,
	send func(context.Context, *call.Request) (*call.Answer, error)) (*call.Answer, error) {
	e := &execution{begin: Begin{ID: ID{Service: r.Service, Client: r.Client, Key: r.Key}, RequestDigest: digest(r)}}
	earlier, err := p.record(ctx, e)
	if err != nil {
		return nil, err
	}
	if earlier != nil {
		return earlier, nil
	}
	answer, err := send(ctx, r)
	p.finish(ctx, e, finishFor(answer, err))
	return answer, err
}

func digest(r *call.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Method, "\x00", r.URI, "\x00"} {
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

func finishFor(answer *call.Answer, err error) Finish {
	if err == nil {
		return Finish{Outcome: &Outcome{Status: answer.Status, Header: answer.Header, Body: answer.Body}}
	}
	var f *call.Failure
	return Finish{Abandoned: errors.As(err, &f) && f.Verdict == call.NotRun}
}

// record returns nil, nil once a majority of the replicas has recorded the
// key. Else it returns the outcome of an earlier copy or an error.
func (p *Runner) record(ctx context.Context, e *execution) (*call.Answer, error) {
	var ids []member.ServerID
	repeated := false
	for round := range p.cfg.Rounds {
		if round > 0 && wait.For(ctx, mathrand.N(p.cfg.RoundDelay<<(round-1))) != nil {
			break
		}
		e.begin.Execution = rand.Text()
		p.chooseReplicas(e, ids)
		ids = nil
		replies := p.sendBegin(ctx, e)
		v := tally(e, replies, p.replicas)
		if v.mayStart() {
			return nil, nil
		}
		p.finish(ctx, e, Finish{Abandoned: true})
		if v.onlySilent() && !repeated {
			// A replica may only have been slow. One round more is all that the
			// caller can wait for.
			repeated = true
			continue
		}
		answer, err := p.earlierOutcome(ctx, e, v)
		if answer != nil || err != nil {
			return answer, err
		}
		if v.replicasDiffer != nil {
			ids = v.replicasDiffer.Replicas
		}
	}
	return nil, &call.Failure{Verdict: call.MayHaveRun, Reason: call.ReasonOf(ctx, call.Unrecorded), Err: errUnrecorded}
}

// chooseReplicas sets the replicas of an execution: those listed in ids, which
// another replica returned, or those computed here if ids is empty or names an
// unknown daemon.
func (p *Runner) chooseReplicas(e *execution, ids []member.ServerID) {
	e.replicas = nil
	for _, id := range ids {
		if r := p.replicas.find(id); r != nil {
			e.replicas = append(e.replicas, r)
		}
	}
	if len(ids) == 0 || len(e.replicas) != len(ids) {
		e.replicas = p.replicas.For(e.begin.ID)
	}
	e.begin.Replicas = serverIDs(e.replicas)
}

// sendBegin sends Begin to all replicas concurrently. The reply of an
// unreachable replica is nil.
func (p *Runner) sendBegin(ctx context.Context, e *execution) []*Reply {
	if deadline, ok := ctx.Deadline(); ok {
		e.begin.Timeout = time.Until(deadline)
	}
	ctx, cancel := context.WithTimeout(ctx, p.cfg.ReplicaTimeout)
	defer cancel()
	replies := make([]*Reply, len(e.replicas))
	var wg sync.WaitGroup
	for i, r := range e.replicas {
		if r.id == p.self {
			replies[i] = p.ledger.Begin(&e.begin)
			continue
		}
		if r.failed {
			continue
		}
		wg.Go(func() {
			if reply, err := p.transport.Begin(ctx, r.address, &e.begin); err == nil {
				replies[i] = reply
			}
		})
	}
	wg.Wait()
	return replies
}

// votes sums up the replies of the replicas to Begin.
type votes struct {
	replicas, granted, reliable int
	// silent counts the replicas that are not known to have failed and did not
	// reply.
	silent int

	running                             *replica
	finished, keyReused, replicasDiffer *Reply
}

func tally(e *execution, replies []*Reply, replicas *Replicas) votes {
	v := votes{replicas: len(e.replicas)}
	var lostState []member.ServerID
	for i, reply := range replies {
		if replicas.lostState(e.replicas[i]) {
			lostState = append(lostState, e.replicas[i].id)
		}
		if reply != nil {
			lostState = append(lostState, reply.LostState...)
			v.add(e.replicas[i], reply)
		} else if !e.replicas[i].failed {
			v.silent++
		}
	}
	for i, reply := range replies {
		if reply != nil && reply.State == Granted && !slices.Contains(lostState, e.replicas[i].id) {
			v.reliable++
		}
	}
	return v
}

func (v *votes) add(r *replica, reply *Reply) {
	switch reply.State {
	case Granted:
		v.granted++
	case Running:
		v.running = r
	case Finished:
		if v.finished == nil || v.finished.Outcome == nil {
			v.finished = reply
		}
	case KeyReused:
		v.keyReused = reply
	case ReplicasDiffer:
		v.replicasDiffer = reply
	}
}

// mayStart reports whether the execution may start: a majority has recorded
// the key, no replica knows of another execution, and every possible majority
// that may have recorded an earlier one includes a replica that replied and
// did not lose its records.
func (v *votes) mayStart() bool {
	if v.disputed() {
		return false
	}
	majority := v.replicas/2 + 1
	return v.replicas > 0 && v.granted >= majority && v.reliable > v.replicas-majority
}

// onlySilent reports whether the execution may not start for no other reason than that
// replicas did not reply.
func (v *votes) onlySilent() bool { return v.silent > 0 && !v.disputed() }

// disputed reports whether a replica knows of another use of the key, or of other
// replicas.
func (v *votes) disputed() bool {
	return v.running != nil || v.finished != nil || v.keyReused != nil || v.replicasDiffer != nil
}

// earlierOutcome returns the outcome of an earlier execution, or nil, nil to
// start another round.
func (p *Runner) earlierOutcome(ctx context.Context, e *execution, v votes) (*call.Answer, error) {
	switch {
	case v.keyReused != nil:
		return nil, call.Refuse(call.BadRequest, errReused)
	case v.finished != nil:
		return answerFrom(v.finished)
	case v.running != nil:
		return p.await(ctx, e, v.running)
	case v.replicasDiffer != nil:
		return nil, nil
	}
	return nil, &call.Failure{Verdict: call.MayHaveRun, Reason: call.Unrecorded, Err: errUnrecorded}
}

// await waits for the end of the execution that a replica reported.
func (p *Runner) await(ctx context.Context, e *execution, r *replica) (*call.Answer, error) {
	var reply *Reply
	var err error
	if r.id == p.self {
		reply = p.ledger.Await(ctx, e.begin.ID)
	} else {
		reply, err = p.transport.Await(ctx, r.address, e.begin.ID)
	}
	if err == nil && reply.State == NotFound {
		return nil, nil
	}
	if err != nil || reply.State != Finished {
		return nil, &call.Failure{Verdict: call.MayHaveRun, Reason: call.ReasonOf(ctx, call.Repeated), Err: errOutcomeUnknown}
	}
	return answerFrom(reply)
}

func answerFrom(reply *Reply) (*call.Answer, error) {
	if reply.Outcome == nil {
		return nil, &call.Failure{Verdict: call.MayHaveRun, Reason: call.Repeated, Err: errOutcomeUnknown}
	}
	return &call.Answer{Status: reply.Outcome.Status, Header: reply.Outcome.Header, Body: reply.Outcome.Body}, nil
}

// Finish ends an execution in this daemon's ledger and at the daemons that its
// key was transferred to.
func (p *Runner) Finish(m *Finish) {
	for _, id := range p.ledger.Finish(m) {
		if r := p.replicas.find(id); r != nil && !r.failed {
			p.sendFinish(context.Background(), r, m)
		}
	}
}

// sendFinish sends a Finish without waiting for it. A replica that does not
// receive it reports an unknown outcome.
func (p *Runner) sendFinish(ctx context.Context, r *replica, m *Finish) {
	p.pending.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, p.cfg.ReplicaTimeout)
		defer cancel()
		_ = p.transport.Finish(ctx, r.address, m)
	})
}

// finish sends the end of an execution to all replicas, including those that
// did not reply. The caller's answer does not wait for it.
func (p *Runner) finish(ctx context.Context, e *execution, m Finish) {
	m.ID, m.Execution = e.begin.ID, e.begin.Execution
	ctx = context.WithoutCancel(ctx)
	for _, r := range e.replicas {
		if r.id == p.self {
			p.Finish(&m)
			continue
		}
		if !r.failed {
			p.sendFinish(ctx, r, &m)
		}
	}
}

// ReplicateTo transfers keys to daemons that have become their replicas.
func (p *Runner) ReplicateTo(ctx context.Context, added []member.ServerID) {
	p.sendTransfers(ctx, p.ledger.transfers(func(id ID) []member.ServerID {
		var recipients []member.ServerID
		for _, r := range p.replicas.For(id) {
			if r.id != p.self && slices.Contains(added, r.id) {
				recipients = append(recipients, r.id)
			}
		}
		return recipients
	}))
}

// Leave refuses new keys and transfers this daemon's keys to the replicas that
// they have without it.
func (p *Runner) Leave(ctx context.Context) {
	p.ledger.Close()
	p.sendTransfers(ctx, p.ledger.transfers(func(id ID) []member.ServerID {
		return p.replicas.forWithout(p.self, id)
	}))
}

// Wait returns once all Finish messages have been sent.
func (p *Runner) Wait() { p.pending.Wait() }

func (p *Runner) sendTransfers(ctx context.Context, transfers map[member.ServerID][]Transfer) {
	var wg sync.WaitGroup
	for id, batch := range transfers {
		r := p.replicas.find(id)
		if r == nil || r.failed {
			continue
		}
		wg.Go(func() {
			for chunk := range slices.Chunk(batch, maxTransferKeys) {
				sendCtx, cancel := context.WithTimeout(ctx, p.cfg.ReplicaTimeout)
				err := p.transport.Import(sendCtx, r.address, chunk)
				cancel()
				if err != nil {
					return
				}
			}
		})
	}
	wg.Wait()
}
