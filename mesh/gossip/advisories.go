package gossip

import "fescuehoist.example/mesh/advisory"

// SpreadAdvisories queues advisories on every stream.
func (n *Node) SpreadAdvisories(advisories []advisory.Aged) { n.spreadAdvisories(advisories, nil) }

// spreadAdvisories queues advisories on every stream except the one they came from.
func (n *Node) spreadAdvisories(advisories []advisory.Aged, from *peer) {
	if len(advisories) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.peers {
		if p != from && p.acceptsAdvisories {
			p.enqueue(&Advisories{Advisories: advisories})
		}
	}
}

// SendAllAdvisories queues all advisories on every stream. Peers that still miss some
// need not wait for the platform's store once this daemon has them all.
func (n *Node) SendAllAdvisories() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.peers {
		n.sendAllAdvisories(p)
	}
}

// sendAllAdvisories queues all advisories for a new peer. Advisories that are issued from now on
// are spread to it.
func (n *Node) sendAllAdvisories(p *peer) {
	if n.Advisories == nil || !p.acceptsAdvisories {
		return
	}
	complete := n.Advisories.Completeness() == advisory.Complete
	p.enqueue(&Advisories{Advisories: n.Advisories.Live(), Complete: complete})
}

// receiveAdvisories adds the advisories of a peer and passes on those that are new.
func (n *Node) receiveAdvisories(p *peer, m *Advisories) {
	if n.Advisories == nil {
		return
	}
	n.spreadAdvisories(n.Advisories.Merge(m.Advisories), p)
	if m.Complete {
		n.Advisories.SetCompleteness(advisory.Complete)
	}
}
