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

// maintainPeers runs a task for each selected peer and, after each change of
// membership or seeds, cancels the tasks of peers no longer selected.
func (n *Node) maintainPeers(ctx context.Context, g *errgroup.Group) error {
	running := map[contact]context.CancelFunc{}
	for {
		changed, seedsAdded := n.table.Changed(), n.seedsChanged()
		chosen := n.selectContacts()
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
			g.Go(func() error { return n.runPeer(peerCtx, c) })
		}
		select {
		case <-ctx.Done():
			for _, cancel := range running {
				cancel()
			}
			return nil
		case <-changed:
		case <-seedsAdded:
		}
		if wait.For(ctx, n.cfg.HeartbeatInterval/4) != nil {
			continue
		}
	}
}

// runPeer is the task of one peer: it dials, exchanges messages until the stream
// ends, and redials after a jittered exponential delay. A peer that stays
// unreachable is suspected.
func (n *Node) runPeer(ctx context.Context, c contact) error {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = n.cfg.RedialBase, n.cfg.RedialMax
	var down outage
	for ctx.Err() == nil {
		err := n.dialOnce(ctx, c, func(id member.ServerID) error {
			if err := c.checkID(id); err != nil {
				return err
			}
			down = outage{}
			delay.Reset()
			return nil
		})
		if ctx.Err() != nil || errors.Is(err, errSelf) {
			return nil
		}
		pause := delay.NextBackOff()
		down.recordFailure(time.Now(), n.cfg.DialTimeout+pause)
		n.logger.Debugf("stream to server %q at %s failed, will redial: %v", c.id, c.address, err)
		n.suspect(c, &down)
		if wait.For(ctx, pause) != nil {
			return nil
		}
	}
	return nil
}

// dialOnce opens a stream to a peer and serves it until it ends.
func (n *Node) dialOnce(ctx context.Context, c contact, onHello func(member.ServerID) error) error {
	dialCtx, cancel := context.WithTimeout(ctx, n.cfg.DialTimeout)
	link, err := n.dialer.Dial(dialCtx, c.address)
	cancel()
	if err != nil {
		return err
	}
	return n.serve(ctx, link, true, onHello)
}

// suspect broadcasts that a peer is unreachable once the outage is long enough. A
// daemon without any open stream suspects no peer before SuspicionTimeout,
// since it may itself be partitioned.
func (n *Node) suspect(c contact, down *outage) {
	current, known := n.table.Get(c.id)
	if !known {
		return
	}
	down.observeIncarnation(current.Incarnation)
	certain := down.exceeds(n.cfg.SuspicionTimeout)
	if !certain && (n.PeerCount() == 0 || !down.exceeds(n.cfg.DialTimeout+rand.N(n.cfg.DialTimeout))) {
		return
	}
	r, changed := n.table.Suspect(c.id, n.self, certain)
	if !changed {
		return
	}
	down.suspectedIncarnation = r.Incarnation
	n.logger.Infof("server %s is %s: unreachable for %s", c.id, r.Health, down.duration.Round(time.Millisecond))
	n.broadcast([]member.Record{r}, nil)
}
