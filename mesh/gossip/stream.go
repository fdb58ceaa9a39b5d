package gossip

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/wait"
)

var (
	// errSelf means that a seed address is this daemon's own.
	errSelf = errors.New("peer is this daemon itself")
	// errOtherMesh means that the peer belongs to another mesh.
	errOtherMesh = errors.New("peer belongs to another mesh")
	// errOtherServer means that the address now belongs to another daemon.
	errOtherServer = errors.New("address belongs to another daemon")
)

// Serve runs one accepted stream until it fails or ctx ends.
func (n *Node) Serve(ctx context.Context, link Link) error {
	return n.serve(ctx, link, false, func(member.ServerID) error { return nil })
}

// serve exchanges hellos, passes the peer's name to onHello and exchanges
// messages until the stream fails or ctx ends. An error of onHello closes it.
func (n *Node) serve(ctx context.Context, link Link, dialed bool, onHello func(member.ServerID) error) error {
	defer link.Close()
	p := newPeer(link)
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	idleTimer := time.AfterFunc(n.cfg.IdleTimeout, link.Close)
	defer idleTimer.Stop()
	if err := n.handshake(p); err != nil {
		return err
	}
	if err := onHello(p.id); err != nil {
		return err
	}
	n.addPeer(p)
	n.sendAllAdvisories(p)
	defer n.releaseSlots(p)
	defer n.removePeer(p)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer link.Close()
		return n.sendLoop(ctx, p, dialed)
	})
	g.Go(func() error {
		defer link.Close()
		return n.receiveLoop(p, idleTimer)
	})
	return g.Wait()
}

func (n *Node) handshake(p *peer) error {
	if err := p.link.Send(&Hello{From: n.self, Mesh: n.cfg.Mesh, Version: n.configs.KnownVersion(), Advisories: n.Advisories != nil, Domain: n.domain}); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	m, err := p.link.Recv()
	if err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	hello, ok := m.(*Hello)
	if !ok {
		return fmt.Errorf("handshake: got %T, want *gossip.Hello", m)
	}
	if hello.Mesh != n.cfg.Mesh {
		return errOtherMesh
	}
	if hello.From == n.self {
		return errSelf
	}
	p.id, p.knownVersion, p.acceptsAdvisories = hello.From, hello.Version, hello.Advisories
	p.domain = hello.Domain
	if !n.isNear(p) {
		p.adviceInterval = n.cfg.FarAdviceInterval
	}
	n.configs.ObserveVersion(string(hello.From), hello.Version)
	return nil
}

func (n *Node) receiveLoop(p *peer, idleTimer *time.Timer) error {
	for {
		m, err := p.link.Recv()
		if err != nil {
			return err
		}
		idleTimer.Reset(n.cfg.IdleTimeout)
		if err := n.handle(p, m); err != nil {
			return err
		}
	}
}

func (n *Node) handle(p *peer, m Message) error {
	switch m := m.(type) {
	case *Heartbeat:
		p.observeVersion(m.Version)
		n.receiveConfirmation(p, m)
		p.addMissing(nil, m.Version > n.configs.KnownVersion())
	case *Records:
		n.receiveRecords(p, m)
	case *Configuration:
		return n.receiveConfiguration(p, m.Update)
	case *Have:
		n.receiveHave(p, m.Versions)
	case *Pull:
		n.answerPull(p, m)
	case *Prune:
		p.setLazy(true)
	case *Root:
		n.answerRoot(p, m)
	case *Hashes:
		p.enqueue(&Buckets{Buckets: n.table.DifferingBuckets(&m.Hashes)})
	case *Buckets:
		n.answerBuckets(p, m)
	case *Done:
		n.endAntiEntropy(p, m.Busy)
	case *Advisories:
		n.receiveAdvisories(p, m)
	default:
		return fmt.Errorf("unexpected message %T after the handshake", m)
	}
	return nil
}

// receiveRecords merges records and broadcasts those that changed the table. A
// peer that sends no such record is pruned.
func (n *Node) receiveRecords(p *peer, m *Records) {
	if m.FromAntiEntropy {
		n.reconcile(p, m.Records)
		return
	}
	changed := n.table.Merge(m.Records)
	p.dropReceived(m.Records)
	n.broadcast(changed, p)
	p.enqueueRecords(excludeReceived(changed, m.Records))
	if len(changed) == 0 {
		n.prune(p)
	}
}

// excludeReceived returns the updates that differ from what the peer itself
// sent: joins of two records, and refutations.
func excludeReceived(updates, received []member.Record) []member.Record {
	if len(updates) == 0 {
		return nil
	}
	receivedVersions := make(map[member.ServerID]member.Version, len(received))
	for i := range received {
		receivedVersions[received[i].Server] = received[i].Version()
	}
	var remaining []member.Record
	for i := range updates {
		v, sent := updates[i].Version(), receivedVersions[updates[i].Server]
		if !sent.Covers(&v) {
			remaining = append(remaining, updates[i])
		}
	}
	return remaining
}

// prune makes the stream lazy in both directions.
func (n *Node) prune(p *peer) {
	if n.cfg.Flood || p.setLazy(true) {
		return
	}
	p.enqueue(&Prune{})
}

// receiveConfiguration applies configuration from a peer. After a gap it pulls
// the changes since the known version; if a patch has no base here, it pulls the
// whole configuration.
func (n *Node) receiveConfiguration(p *peer, u *manifest.Update) error {
	p.observeVersion(u.FinalVersion())
	advanced, err := n.configs.ApplyUpdate(u)
	if errors.Is(err, manifest.ErrUnpatchable) {
		p.enqueue(&Pull{Configure: true})
		return nil
	}
	if errors.Is(err, manifest.ErrGap) || errors.Is(err, manifest.ErrIncomplete) {
		p.enqueue(&Pull{Configure: true, Version: n.configs.KnownVersion()})
		return nil
	}
	if errors.Is(err, manifest.ErrForked) {
		n.logger.Infof("configuration of peer %s refused: %v", p.id, err)
		return nil
	}
	if err == nil && !advanced {
		n.prune(p)
	}
	return err
}

// receiveHave records the versions that the peer has and this daemon does not.
func (n *Node) receiveHave(p *peer, versions []member.Version) {
	var missing []member.Version
	for i := range versions {
		if n.table.Needs(&versions[i]) {
			missing = append(missing, versions[i])
		}
	}
	p.addMissing(missing, false)
}

// answerPull sends what the peer pulls.
func (n *Node) answerPull(p *peer, m *Pull) {
	if m.Graft {
		p.setLazy(false)
	}
	if m.Configure {
		p.resetVersion(m.Version)
	}
	n.sendRecords(p, n.lookupRecords(m.Servers), !m.Graft)
}

func (n *Node) lookupRecords(servers []member.ServerID) []member.Record {
	var records []member.Record
	for _, id := range servers {
		if r, ok := n.table.Get(id); ok {
			records = append(records, r)
		}
	}
	return records
}

// sendLoop sends heartbeats and queued messages, grafts, and starts anti-entropy
// when it is due and no other exchange started by this daemon is running.
func (n *Node) sendLoop(ctx context.Context, p *peer, antiEntropyFirst bool) error {
	heartbeat := time.NewTicker(n.cfg.HeartbeatInterval)
	defer heartbeat.Stop()
	antiEntropyTimer := time.NewTimer(wait.Jitter(n.cfg.AntiEntropyInterval))
	defer antiEntropyTimer.Stop()
	if antiEntropyFirst {
		antiEntropyTimer.Reset(0)
	}
	graftTimer := time.NewTimer(n.cfg.GraftDelay)
	defer graftTimer.Stop()
	graftScheduled, antiEntropyDue := true, false
	var lastFlush time.Time
	for {
		changed, confirmed := n.configs.Changed(), n.configs.Confirmed()
		sent, err := n.flush(p)
		if err != nil {
			return err
		}
		if sent {
			lastFlush = time.Now()
		}
		if err := n.sendConfirmation(p, heartbeat); err != nil {
			return err
		}
		var slot chan<- struct{}
		if antiEntropyDue = antiEntropyDue || p.takeAntiEntropyDue(); antiEntropyDue {
			slot = n.initiatorSlot
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-p.wake:
			err = wait.For(ctx, n.cfg.BatchInterval-time.Since(lastFlush))
		case <-p.missingAdded:
			if !graftScheduled {
				graftScheduled = true
				graftTimer.Reset(wait.Jitter(n.cfg.GraftDelay))
			}
		case <-graftTimer.C:
			if graftScheduled = n.graft(p); graftScheduled {
				graftTimer.Reset(wait.Jitter(n.cfg.GraftDelay))
			}
		case <-heartbeat.C:
			err = p.link.Send(n.heartbeat(p))
		case <-confirmed:
		case <-antiEntropyTimer.C:
			antiEntropyDue = true
			n.pullFaulty(p)
		case slot <- struct{}{}:
			antiEntropyDue = false
			err = n.startAntiEntropy(p)
		case delay := <-p.antiEntropyDone:
			antiEntropyTimer.Reset(delay)
		}
		if err != nil {
			return err
		}
	}
}

// graft pulls what the peer has had for at least GraftDelay/2 and this daemon is
// still missing. It reports whether it must run again later. A starting daemon
// waits until its running anti-entropy exchange has brought the whole
// configuration.
func (n *Node) graft(p *peer) bool {
	if n.configs.KnownVersion() == 0 && len(n.initiatorSlot) > 0 {
		return true
	}
	now := time.Now()
	versions, version, more := p.takeMissing(now.Add(-n.cfg.GraftDelay/2), now.Add(-n.configGraftDelay(p)))
	known := n.configs.KnownVersion()
	pull := &Pull{Graft: true, Version: known, Configure: version > known}
	for i := range versions {
		if n.table.Needs(&versions[i]) {
			pull.Servers = append(pull.Servers, versions[i].Server)
		}
	}
	if len(pull.Servers) > 0 || pull.Configure {
		p.setLazy(false)
		p.enqueue(pull)
	}
	return more
}

// pullFaulty pulls the known version again while some of its contents could not
// be read from the platform, since the peer may have received them.
func (n *Node) pullFaulty(p *peer) {
	if faulty, from := n.configs.FaultyDigests(); len(faulty) > 0 {
		p.enqueue(&Pull{Configure: true, Version: from})
	}
}

// flush sends the configuration that the peer is missing and the queued
// messages. It reports whether there were any.
func (n *Node) flush(p *peer) (bool, error) {
	messages := n.configurationMessages(p)
	updates, replies := p.takePending()
	messages = append(messages, replies...)
	messages = append(messages, updates...)
	for _, m := range messages {
		if err := p.link.Send(m); err != nil {
			return false, err
		}
		if _, ok := m.(*Done); ok {
			n.releaseResponder(p)
		}
	}
	return len(messages) > 0, nil
}

// configurationMessages returns the message about new configuration versions:
// the changes if they were pulled or the stream is eager and within the failure
// domain, else only the version number. Each failure domain has a reader of its
// own, so a peer elsewhere has the changes before it would pull them. A whole
// table is sent only when pulled; anti-entropy also sends it.
func (n *Node) configurationMessages(p *peer) []Message {
	known := n.configs.KnownVersion()
	from, pulled, eager := p.configState()
	if from >= known {
		return nil
	}
	if pulled || (eager && n.isNear(p)) {
		u := n.configs.UpdateSince(from)
		if u != nil && (pulled || u.Base == nil) {
			p.markSent(u.FinalVersion())
			return []Message{&Configuration{Update: u}}
		}
	}
	if p.markAdvertised(known) {
		return []Message{n.heartbeat(p)}
	}
	return nil
}

// configGraftDelay returns how long this daemon waits before it pulls a configuration
// version that the peer has. A daemon without any configuration would pull all of it, which
// is cheaper from a peer in its own failure domain.
func (n *Node) configGraftDelay(p *peer) time.Duration {
	if n.configs.KnownVersion() == 0 && !n.isNear(p) {
		return n.cfg.FarConfigDelay
	}
	return n.cfg.GraftDelay / 2
}

// isNear reports whether the peer is in this daemon's failure domain.
func (n *Node) isNear(p *peer) bool {
	if p.domain != "" {
		return p.domain == n.domain
	}
	r, known := n.table.Get(p.id)
	return known && r.Domain == n.domain
}
