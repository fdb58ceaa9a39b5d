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
	errReused     = errors.New("the key was used for another request")
	errRepeated   = errors.New("an earlier copy of the request may have run")
	errUnrecorded = errors.New("too few homes could record the key")
)

// copyBatch bounds the keys in one message.
const copyBatch = 256

// Runner runs requests at most once each.
type Runner struct {
	cfg    Config
	self   member.ServerID
	homes  *Replicas
	ledger *Ledger
	remote Transport
	// tasks are the messages that end runs.
	tasks sync.WaitGroup
}

// NewRunner returns a runner of the daemon self.
func NewRunner(cfg Config, self member.ServerID, homes *Replicas, ledger *Ledger, remote Transport) *Runner {
	return &Runner{cfg: cfg, self: self, homes: homes, ledger: ledger, remote: remote}
}

// run is one copy of a request that wants to run.
type run struct {
	begin Begin
	homes []*home
}

// Run records the request's key at its homes and runs it, or returns what came
// of an earlier copy. An error is a *call.Failure.
func (p *Runner) Run(ctx context.Context, r *call.Request,
	send func(context.Context, *call.Request) (*call.Answer, error)) (*call.Answer, error) {
	u := &run{begin: Begin{ID: ID{Service: r.Service, Client: r.Client, Key: r.Key}, Request: digest(r)}}
	earlier, err := p.record(ctx, u)
	if err != nil {
		return nil, err
	}
	if earlier != nil {
		return earlier, nil
	}
	answer, err := send(ctx, r)
	p.end(ctx, u, finishOf(answer, err))
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

func finishOf(answer *call.Answer, err error) Finish {
	if err == nil {
		return Finish{Outcome: &Outcome{Status: answer.Status, Header: answer.Header, Body: answer.Body}}
	}
	var f *call.Failure
	return Finish{Abandoned: errors.As(err, &f) && f.Verdict == call.NotRun}
}

// record returns nil, nil once a majority of the homes has recorded the key.
func (p *Runner) record(ctx context.Context, u *run) (*call.Answer, error) {
	var names []member.ServerID
	for round := range p.cfg.Rounds {
		if round > 0 && wait.For(ctx, mathrand.N(p.cfg.RoundDelay<<(round-1))) != nil {
			break
		}
		u.begin.Run = rand.Text()
		p.choose(u, names)
		names = nil
		replies := p.ask(ctx, u)
		t := tally(u, replies, p.homes)
		if t.decided() {
			return nil, nil
		}
		p.end(ctx, u, Finish{Abandoned: true})
		answer, err := p.earlier(ctx, u, t)
		if answer != nil || err != nil {
			return answer, err
		}
		if t.disagreed != nil {
			names = t.disagreed.Homes
		}
	}
	return nil, &call.Failure{Verdict: call.MayHaveRun, Reason: call.ReasonOf(ctx, call.Unrecorded), Err: errUnrecorded}
}

// choose sets the homes of a run: those with the given names, which another
// home sees, or else those that this daemon sees.
func (p *Runner) choose(u *run, names []member.ServerID) {
	u.homes = nil
	for _, id := range names {
		if k := p.homes.find(id); k != nil {
			u.homes = append(u.homes, k)
		}
	}
	if len(names) == 0 || len(u.homes) != len(names) {
		u.homes = p.homes.Of(u.begin.ID)
	}
	u.begin.Homes = idsOf(u.homes)
}

// ask sends Begin to all homes at once. A home out of reach gives nil.
func (p *Runner) ask(ctx context.Context, u *run) []*Reply {
	if deadline, ok := ctx.Deadline(); ok {
		u.begin.Left = time.Until(deadline)
	}
	ctx, cancel := context.WithTimeout(ctx, p.cfg.ReplicaTimeout)
	defer cancel()
	replies := make([]*Reply, len(u.homes))
	var asked sync.WaitGroup
	for i, k := range u.homes {
		if k.id == p.self {
			replies[i] = p.ledger.Begin(&u.begin)
			continue
		}
		if k.gone {
			continue
		}
		asked.Go(func() {
			if reply, err := p.remote.Begin(ctx, k.address, &u.begin); err == nil {
				replies[i] = reply
			}
		})
	}
	asked.Wait()
	return replies
}

// count is what the homes said together.
type count struct {
	homes, granted, evidence    int
	running                     *home
	finished, reused, disagreed *Reply
}

func tally(u *run, replies []*Reply, homes *Replicas) count {
	c := count{homes: len(u.homes)}
	var forgetful []member.ServerID
	for i, reply := range replies {
		if homes.forgetful(u.homes[i]) {
			forgetful = append(forgetful, u.homes[i].id)
		}
		if reply != nil {
			forgetful = append(forgetful, reply.Forgetful...)
			c.add(u.homes[i], reply)
		}
	}
	for i, reply := range replies {
		if reply != nil && reply.State == Granted && !slices.Contains(forgetful, u.homes[i].id) {
			c.evidence++
		}
	}
	return c
}

func (c *count) add(k *home, reply *Reply) {
	switch reply.State {
	case Granted:
		c.granted++
	case Running:
		c.running = k
	case Finished:
		if c.finished == nil || c.finished.Outcome == nil {
			c.finished = reply
		}
	case Reused:
		c.reused = reply
	case Disagreed:
		c.disagreed = reply
	}
}

// decided reports whether the run may start: a majority has recorded the key,
// no home knows of another run, and of any majority that recorded an earlier
// one at least one home has answered that still has its records.
func (c *count) decided() bool {
	if c.running != nil || c.finished != nil || c.reused != nil || c.disagreed != nil {
		return false
	}
	majority := c.homes/2 + 1
	return c.homes > 0 && c.granted >= majority && c.evidence > c.homes-majority
}

// earlier returns what came of an earlier run, or nil, nil to try again.
func (p *Runner) earlier(ctx context.Context, u *run, c count) (*call.Answer, error) {
	switch {
	case c.reused != nil:
		return nil, call.Refuse(call.BadRequest, errReused)
	case c.finished != nil:
		return answerOf(c.finished)
	case c.running != nil:
		return p.await(ctx, u, c.running)
	case c.disagreed != nil:
		return nil, nil
	}
	return nil, &call.Failure{Verdict: call.MayHaveRun, Reason: call.Unrecorded, Err: errUnrecorded}
}

// await waits for the run that a home knows of.
func (p *Runner) await(ctx context.Context, u *run, k *home) (*call.Answer, error) {
	var reply *Reply
	var err error
	if k.id == p.self {
		reply = p.ledger.Await(ctx, u.begin.ID)
	} else {
		reply, err = p.remote.Await(ctx, k.address, u.begin.ID)
	}
	if err == nil && reply.State == Gone {
		return nil, nil
	}
	if err != nil || reply.State != Finished {
		return nil, &call.Failure{Verdict: call.MayHaveRun, Reason: call.ReasonOf(ctx, call.Repeated), Err: errRepeated}
	}
	return answerOf(reply)
}

func answerOf(r *Reply) (*call.Answer, error) {
	if r.Outcome == nil {
		return nil, &call.Failure{Verdict: call.MayHaveRun, Reason: call.Repeated, Err: errRepeated}
	}
	return &call.Answer{Status: r.Outcome.Status, Header: r.Outcome.Header, Body: r.Outcome.Body}, nil
}

// Finish ends a run at this home and at those that it gave a copy to.
func (p *Runner) Finish(m *Finish) {
	for _, id := range p.ledger.Finish(m) {
		if k := p.homes.find(id); k != nil && !k.gone {
			p.tell(context.Background(), k, m)
		}
	}
}

// tell sends a Finish without waiting for it. A home that is not told reports
// an unknown outcome.
func (p *Runner) tell(ctx context.Context, k *home, m *Finish) {
	p.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, p.cfg.ReplicaTimeout)
		defer cancel()
		_ = p.remote.Finish(ctx, k.address, m)
	})
}

// end tells the homes how a run ended, also those that did not answer. The
// caller's answer does not wait for it.
func (p *Runner) end(ctx context.Context, u *run, m Finish) {
	m.ID, m.Run = u.begin.ID, u.begin.Run
	ctx = context.WithoutCancel(ctx)
	for _, k := range u.homes {
		if k.id == p.self {
			p.Finish(&m)
			continue
		}
		if !k.gone {
			p.tell(ctx, k, &m)
		}
	}
}

// ReplicateTo copies keys to daemons that have become their homes.
func (p *Runner) ReplicateTo(ctx context.Context, news []member.ServerID) {
	p.send(ctx, p.ledger.copies(func(id ID) []member.ServerID {
		var need []member.ServerID
		for _, k := range p.homes.Of(id) {
			if k.id != p.self && slices.Contains(news, k.id) {
				need = append(need, k.id)
			}
		}
		return need
	}))
}

// Leave refuses new keys and hands the keys of this daemon over to the homes
// that they have without it.
func (p *Runner) Leave(ctx context.Context) {
	p.ledger.Close()
	p.send(ctx, p.ledger.copies(func(id ID) []member.ServerID {
		return p.homes.without(p.self, id)
	}))
}

// Wait returns once all messages that end runs have been sent.
func (p *Runner) Wait() { p.tasks.Wait() }

func (p *Runner) send(ctx context.Context, copies map[member.ServerID][]Transfer) {
	var sent sync.WaitGroup
	for id, batch := range copies {
		k := p.homes.find(id)
		if k == nil || k.gone {
			continue
		}
		sent.Go(func() {
			for part := range slices.Chunk(batch, copyBatch) {
				sendCtx, cancel := context.WithTimeout(ctx, p.cfg.ReplicaTimeout)
				err := p.remote.Copy(sendCtx, k.address, part)
				cancel()
				if err != nil {
					return
				}
			}
		})
	}
	sent.Wait()
}
