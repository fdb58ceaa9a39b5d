package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/wait"
)

// rejoin dials a random failed server or seed now and then, so that parts of
// the fleet that lost each other meet again. The stream lasts for one interval,
// which is enough to compare the tables.
func (n *Node) rejoin(ctx context.Context) error {
	for {
		candidates, live := n.absentees()
		interval := wait.Jitter(n.rejoinInterval(live))
		if wait.For(ctx, interval) != nil {
			return nil
		}
		if len(candidates) == 0 {
			continue
		}
		c := candidates[rand.N(len(candidates))]
		met, cancel := context.WithTimeout(ctx, n.rejoinHold())
		err := n.dialOnce(met, c, func(id member.ServerID) error {
			if err := c.expect(id); err != nil {
				return err
			}
			n.out.Infof("met server %s again", id)
			return nil
		})
		cancel()
		n.out.Debugf("tried server %s at %s again: %v", c.id, c.address, err)
	}
}

// rejoinHold is how long the stream to a failed server is kept.
func (n *Node) rejoinHold() time.Duration { return n.cfg.DialTimeout + n.cfg.SilenceLimit }

// rejoinInterval grows with the number of live daemons.
func (n *Node) rejoinInterval(live int) time.Duration {
	return n.cfg.RejoinInterval * time.Duration(max(live, n.cfg.RejoinFleet)) / time.Duration(n.cfg.RejoinFleet)
}

// absentees returns the failed servers and the seeds at which no live server
// is known, and the number of live daemons.
func (n *Node) absentees() ([]contact, int) {
	var absent []contact
	live := 0
	for _, r := range n.table.View().All() {
		switch {
		case !r.Terminal():
			live++
		case r.State != member.Left && r.PeerAddress != "":
			absent = append(absent, contact{id: r.Server, address: r.PeerAddress})
		}
	}
	for _, s := range n.seedsUnknown() {
		absent = append(absent, contact{address: s})
	}
	return absent, live
}
