package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/wait"
)

// keepPeers starts a task for each chosen peer and ends those no longer
// chosen, after each change of membership.
func (n *Node) keepPeers(ctx context.Context, g *errgroup.Group) error {
	running := map[contact]context.CancelFunc{}
	for {
		changed, met := n.table.Changed(), n.seedsChanged()
		chosen := n.choose()
		for c, cancel := range running {
			if !slices.Contains(chosen, c) {
				cancel()
				delete(running, c)
			}
		}
		for _, c := range chosen {
			if running[c] != nil {
				continue
			}
			peerCtx, cancel := context.WithCancel(ctx)
			running[c] = cancel
			g.Go(func() error { return n.keep(peerCtx, c) })
		}
		select {
		case <-ctx.Done():
			for _, cancel := range running {
				cancel()
			}
			return nil
		case <-changed:
		case <-met:
		}
		if wait.For(ctx, n.cfg.HeartbeatInterval/4) != nil {
			continue
		}
	}
}

// keep is the task of one peer: dial, exchange, and dial again after a
// jittered exponential delay. A peer that stays out of reach is accused.
func (n *Node) keep(ctx context.Context, c contact) error {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = n.cfg.RedialBase, n.cfg.RedialMax
	var out absence
	for ctx.Err() == nil {
		err := n.dialOnce(ctx, c, func(id member.ServerID) error {
			if err := c.expect(id); err != nil {
				return err
			}
			out = absence{}
			delay.Reset()
			return nil
		})
		if ctx.Err() != nil || errors.Is(err, errSelf) {
			return nil
		}
		pause := delay.NextBackOff()
		out.extend(time.Now(), n.cfg.DialTimeout+pause)
		n.out.Debugf("lost peer %s at %s: %v", c.id, c.address, err)
		n.accuse(c, &out)
		if wait.For(ctx, pause) != nil {
			return nil
		}
	}
	return nil
}

// maxRefutations bounds how often the patience with a peer doubles.
const maxRefutations = 8

// absence measures how long a peer has been out of reach. A daemon that was
// itself paused must not count the pause, so no step counts for more time than
// was planned for it.
type absence struct {
	last   time.Time
	limit  time.Duration
	lasted time.Duration
	// accused is the incarnation last accused and refuted the number of
	// refutations heard since the peer was last in reach.
	accused uint64
	refuted int
}

// extend notes a failed attempt at now, the next being due within next.
func (a *absence) extend(now time.Time, next time.Duration) {
	if !a.last.IsZero() {
		a.lasted += min(now.Sub(a.last), a.limit)
	}
	a.last, a.limit = now, next
}

// hear notes the peer's incarnation. One above the accused one is a
// refutation: others reach the peer, so the absence starts anew and counts for
// half as much.
func (a *absence) hear(incarnation uint64) {
	if a.accused == 0 || incarnation <= a.accused {
		return
	}
	a.accused, a.lasted = 0, 0
	a.refuted = min(a.refuted+1, maxRefutations)
}

// exceeds reports whether the absence is longer than a limit.
func (a *absence) exceeds(limit time.Duration) bool { return a.lasted > limit<<a.refuted }

func (n *Node) dialOnce(ctx context.Context, c contact, met func(member.ServerID) error) error {
	dialCtx, cancel := context.WithTimeout(ctx, n.cfg.DialTimeout)
	link, err := n.dialer.Dial(dialCtx, c.address)
	cancel()
	if err != nil {
		return err
	}
	return n.serve(ctx, link, true, met)
}

// accuse publishes that a peer has been out of reach for a time. A daemon
// without any open stream suspects nobody: it may itself be cut off.
func (n *Node) accuse(c contact, out *absence) {
	have, known := n.table.Get(c.id)
	if !known {
		return
	}
	out.hear(have.Incarnation)
	certain := out.exceeds(n.cfg.SuspectLimit)
	if !certain && (n.Peers() == 0 || !out.exceeds(n.cfg.DialTimeout+rand.N(n.cfg.DialTimeout))) {
		return
	}
	r, changed := n.table.Accuse(c.id, n.self, certain)
	if !changed {
		return
	}
	out.accused = r.Incarnation
	n.out.Infof("server %s is %s: out of reach for %s", c.id, r.Health, out.lasted.Round(time.Millisecond))
	n.publish([]member.Record{r}, nil)
}
