package spread

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/wait"
)

// contact is a peer to keep a stream to. Seeds have no name yet.
type contact struct {
	id      member.ServerID
	address string
}

// keepPeers starts a task for each chosen peer and ends those no longer
// chosen, after each change of membership.
func (n *Node) keepPeers(ctx context.Context, g *errgroup.Group) error {
	running := map[contact]context.CancelFunc{}
	for {
		changed := n.table.Changed()
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
		}
		if wait.For(ctx, n.cfg.HeartbeatInterval/4) != nil {
			continue
		}
	}
}

// choose returns the next servers after this one on a ring in hash order: some
// of the same failure domain and some of others. Without any it returns seeds.
func (n *Node) choose() []contact {
	var near, far []*member.Record
	for _, r := range n.table.View().All() {
		if r.Server == n.self || r.Terminal() || r.PeerAddress == "" {
			continue
		}
		if r.Domain == n.domain {
			near = append(near, r)
			continue
		}
		far = append(far, r)
	}
	chosen := n.successors(near, n.cfg.NearPeers)
	chosen = append(chosen, n.successors(far, n.cfg.FarPeers)...)
	if len(chosen) < n.cfg.NearPeers+n.cfg.FarPeers {
		for _, s := range n.seeds {
			if !slices.ContainsFunc(chosen, func(c contact) bool { return c.address == s }) {
				chosen = append(chosen, contact{address: s})
			}
		}
	}
	return chosen
}

func (n *Node) successors(records []*member.Record, count int) []contact {
	start := xxhash.Sum64String(string(n.self))
	distance := func(r *member.Record) uint64 { return xxhash.Sum64String(string(r.Server)) - start }
	slices.SortFunc(records, func(a, b *member.Record) int {
		if distance(a) < distance(b) {
			return -1
		}
		return 1
	})
	var chosen []contact
	for _, r := range records[:min(count, len(records))] {
		chosen = append(chosen, contact{id: r.Server, address: r.PeerAddress})
	}
	return chosen
}

// keep is the task of one peer: dial, exchange, and dial again after a
// jittered exponential delay. A peer that stays out of reach is accused.
func (n *Node) keep(ctx context.Context, c contact) error {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = n.cfg.RedialBase, n.cfg.RedialMax
	var lost time.Time
	for ctx.Err() == nil {
		err := n.dialOnce(ctx, c, func(member.ServerID) {
			lost = time.Time{}
			delay.Reset()
		})
		if ctx.Err() != nil || errors.Is(err, errSelf) {
			return nil
		}
		if lost.IsZero() {
			lost = time.Now()
		}
		n.out.Debugf("lost peer %s at %s: %v", c.id, c.address, err)
		n.accuse(c, time.Since(lost))
		if wait.For(ctx, delay.NextBackOff()) != nil {
			return nil
		}
	}
	return nil
}

func (n *Node) dialOnce(ctx context.Context, c contact, met func(member.ServerID)) error {
	dialCtx, cancel := context.WithTimeout(ctx, n.cfg.DialTimeout)
	link, err := n.dialer.Dial(dialCtx, c.address)
	cancel()
	if err != nil {
		return err
	}
	return n.serve(ctx, link, met)
}

// accuse publishes that a peer has been out of reach for a time.
func (n *Node) accuse(c contact, lost time.Duration) {
	if c.id == "" || lost < n.cfg.DialTimeout+rand.N(n.cfg.DialTimeout) {
		return
	}
	r, changed := n.table.Accuse(c.id, n.self, lost > n.cfg.SuspectLimit)
	if !changed {
		return
	}
	n.out.Infof("server %s is %s: out of reach for %s", c.id, r.Health, lost.Round(time.Millisecond))
	n.publish([]member.Record{r}, nil)
}
