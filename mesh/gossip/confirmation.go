package gossip

import (
	"time"

	"fescuehoist.example/mesh/manifest"
)

// heartbeat returns the next heartbeat for a peer. It carries the confirmation
// unless the peer has it.
func (n *Node) heartbeat(p *peer) *Heartbeat {
	// The confirmation is read before the version, which may only be a later one.
	c := n.configs.Confirmation()
	h := &Heartbeat{Version: n.configs.KnownVersion()}
	if p.observeConfirmation(c.Number) {
		h.Confirmation = Confirmation{Number: c.Number, Revision: c.Revision, Age: time.Since(c.At)}
	}
	return h
}

// sendConfirmation sends a heartbeat with the latest confirmation unless the peer has it.
func (n *Node) sendConfirmation(p *peer, next *time.Ticker) error {
	if n.configs.Confirmation().Number <= p.confirmationNumber() {
		return nil
	}
	next.Reset(n.cfg.HeartbeatInterval)
	return p.link.Send(n.heartbeat(p))
}

// receiveConfirmation records the confirmation in a heartbeat.
func (n *Node) receiveConfirmation(p *peer, m *Heartbeat) {
	c := m.Confirmation
	if c.Number == 0 {
		return
	}
	p.observeConfirmation(c.Number)
	n.Epochs.Observe(c.Revision.Epoch)
	n.configs.ConfirmFromPeer(m.Version, manifest.Confirmation{Number: c.Number, Revision: c.Revision, At: time.Now().Add(-c.Age)})
}

// confirmationNumber returns the number of the latest confirmation that the peer
// has or was sent.
func (p *peer) confirmationNumber() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmation
}

// observeConfirmation records that the peer has or is sent a confirmation. It
// reports whether that is a new one.
func (p *peer) observeConfirmation(number uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if number <= p.confirmation {
		return false
	}
	p.confirmation = number
	return true
}
