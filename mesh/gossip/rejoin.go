package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/wait"
)

// rejoin periodically dials a random failed server or seed, so that partitions of
// the fleet merge again. The stream lasts for rejoinDuration, which is enough for
// one anti-entropy exchange.
func (n *Node) rejoin(ctx context.Context) error {
	for {
		candidates, live := n.rejoinCandidates()
		interval := wait.Jitter(n.rejoinInterval(live))
		if wait.For(ctx, interval) != nil {
			return nil
		}
		if len(candidates) == 0 {
			continue
		}
		c := candidates[rand.N(len(candidates))]
		streamCtx, cancel := context.WithTimeout(ctx, n.rejoinDuration())
		err := n.dialOnce(streamCtx, c, func(id member.ServerID) error {
			if err := c.checkID(id); err != nil {
				return err
			}
			n.logger.Infof("rejoined server %s", id)
			return nil
		})
		cancel()
		n.logger.Debugf("rejoin attempt to server %q at %s ended: %v", c.id, c.address, err)
	}
}

// rejoinDuration is how long the stream to a failed server or seed is kept.
func (n *Node) rejoinDuration() time.Duration { return n.cfg.DialTimeout + n.cfg.IdleTimeout }

// rejoinInterval returns the mean time between attempts. It grows with the number
// of live daemons above RejoinFleetSize.
func (n *Node) rejoinInterval(live int) time.Duration {
	return n.cfg.RejoinInterval * time.Duration(max(live, n.cfg.RejoinFleetSize)) / time.Duration(n.cfg.RejoinFleetSize)
}

// rejoinCandidates returns the failed servers and the unresolved seeds, and the
// number of live daemons.
func (n *Node) rejoinCandidates() ([]contact, int) {
	var candidates []contact
	live := 0
	for _, r := range n.table.View().All() {
		switch {
		case !r.Terminal():
			live++
		case r.State != member.Left && r.PeerAddress != "":
			candidates = append(candidates, contact{id: r.Server, address: r.PeerAddress})
		}
	}
	for _, s := range n.unresolvedSeeds() {
		candidates = append(candidates, contact{address: s})
	}
	return candidates, live
}
