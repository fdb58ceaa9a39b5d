package gossip

import (
	"math"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/wait"
)

// maxBroadcastRepairs is the number of changed records of one message up to
// which the result of anti-entropy is broadcast. Above it, anti-entropy is
// scheduled with the other peers instead.
const maxBroadcastRepairs = 64

// startAntiEntropy starts an exchange; the caller has taken initiatorSlot.
func (n *Node) startAntiEntropy(p *peer) error {
	p.mu.Lock()
	p.initiating = true
	p.antiEntropyTimer = time.AfterFunc(n.cfg.AntiEntropyTimeout, p.link.Close)
	p.mu.Unlock()
	return p.link.Send(&Root{Hash: n.table.Root(), Version: n.requestedVersion(p)})
}

// requestedVersion returns the version after which the peer is asked for configuration in
// an anti-entropy exchange. A daemon without any asks no peer of another failure domain: it
// pulls there after FarConfigDelay what it has not received until then.
func (n *Node) requestedVersion(p *peer) manifest.Version {
	known := n.configs.KnownVersion()
	if known == 0 && !n.isNear(p) {
		return noVersionRequested
	}
	return known
}

// noVersionRequested is not below the version of any peer.
const noVersionRequested = manifest.Version(math.MaxUint64)

// endAntiEntropy releases initiatorSlot and reports when the next exchange with
// the peer is due.
func (n *Node) endAntiEntropy(p *peer, busy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.initiating {
		return
	}
	p.initiating = false
	p.antiEntropyTimer.Stop()
	<-n.initiatorSlot
	delay := wait.Jitter(n.cfg.AntiEntropyInterval)
	if busy {
		delay = wait.Jitter(n.cfg.BusyRetryDelay)
	}
	select {
	case p.antiEntropyDone <- delay:
	default:
	}
}

// answerRoot answers an exchange that the peer started.
func (n *Node) answerRoot(p *peer, m *Root) {
	equal := m.Hash == n.table.Root()
	update := n.configs.UpdateSince(m.Version)
	if equal && update == nil {
		p.enqueue(&Done{})
		return
	}
	if !n.acquireResponder(p) {
		p.enqueue(&Done{Busy: true})
		return
	}
	if update != nil {
		p.markSent(update.FinalVersion())
		p.enqueue(&Configuration{Update: update})
	}
	if equal {
		p.enqueue(&Done{})
		return
	}
	p.enqueue(&Hashes{Hashes: n.table.Hashes()})
}

// answerBuckets sends the records that the peer is missing and pulls those that
// this daemon is missing.
func (n *Node) answerBuckets(p *peer, m *Buckets) {
	var newer []member.Record
	pull := &Pull{}
	for i := range m.Buckets {
		records, servers := n.table.Compare(&m.Buckets[i])
		newer = append(newer, records...)
		pull.Servers = append(pull.Servers, servers...)
	}
	n.sendRecords(p, newer, true)
	if len(pull.Servers) > 0 {
		p.enqueue(pull)
	}
	p.enqueue(&Done{})
}

func (n *Node) sendRecords(p *peer, records []member.Record, fromAntiEntropy bool) {
	p.enqueue(recordMessages(records, fromAntiEntropy)...)
}

// reconcile merges the records found by anti-entropy.
func (n *Node) reconcile(p *peer, records []member.Record) {
	changed := n.table.Reconcile(records, n.cfg.SuspicionTimeout)
	p.enqueueRecords(excludeReceived(changed, records))
	if len(changed) <= maxBroadcastRepairs {
		n.broadcast(changed, p)
		return
	}
	n.scheduleAntiEntropy(p)
}

// acquireResponder takes a responder slot for the stream unless it has one. It
// reports false if no slot is free.
func (n *Node) acquireResponder(p *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.responding {
		return true
	}
	select {
	case n.responderSlots <- struct{}{}:
		p.responding = true
	default:
	}
	return p.responding
}

func (n *Node) releaseResponder(p *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.responding {
		p.responding = false
		<-n.responderSlots
	}
}

// releaseSlots releases the anti-entropy slots of a closed stream.
func (n *Node) releaseSlots(p *peer) {
	n.endAntiEntropy(p, false)
	n.releaseResponder(p)
}

// scheduleAntiEntropy makes anti-entropy on the stream due.
func (p *peer) scheduleAntiEntropy() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.antiEntropyDue = true
	signal(p.wake)
}

// takeAntiEntropyDue reports whether anti-entropy is due and clears the mark.
func (p *peer) takeAntiEntropyDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := p.antiEntropyDue
	p.antiEntropyDue = false
	return due
}
