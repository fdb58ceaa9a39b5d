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
	// errSelf says that a seed address turned out to be this daemon's own.
	errSelf = errors.New("the peer is this daemon")
	// errForeign says that an address belongs to a daemon of another mesh.
	errForeign = errors.New("the peer belongs to another mesh")
	// errReplaced says that an address now belongs to another daemon.
	errReplaced = errors.New("another daemon answers at the address")
)

// Serve runs one accepted stream until it fails or ctx ends.
func (n *Node) Serve(ctx context.Context, link Link) error {
	return n.serve(ctx, link, false, func(member.ServerID) error { return nil })
}

// serve greets the peer, reports its name to met, and exchanges messages.
func (n *Node) serve(ctx context.Context, link Link, dialled bool, met func(member.ServerID) error) error {
	defer link.Close()
	p := newPeer(link)
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	silence := time.AfterFunc(n.cfg.SilenceLimit, link.Close)
	defer silence.Stop()
	if err := n.greet(p); err != nil {
		return err
	}
	if err := met(p.id); err != nil {
		return err
	}
	n.add(p)
	defer n.release(p)
	defer n.remove(p)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer link.Close()
		return n.sendLoop(ctx, p, dialled)
	})
	g.Go(func() error {
		defer link.Close()
		return n.receiveLoop(p, silence)
	})
	return g.Wait()
}

func (n *Node) greet(p *peer) error {
	if err := p.link.Send(&Hello{From: n.self, Mesh: n.cfg.Mesh, Version: n.configs.KnownVersion()}); err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	m, err := p.link.Recv()
	if err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	hello, ok := m.(*Hello)
	if !ok {
		return fmt.Errorf("hello: got %T first", m)
	}
	if hello.Mesh != n.cfg.Mesh {
		return errForeign
	}
	if hello.From == n.self {
		return errSelf
	}
	p.id, p.version = hello.From, hello.Version
	n.configs.ObserveVersion(string(hello.From), hello.Version)
	return nil
}

func (n *Node) receiveLoop(p *peer, silence *time.Timer) error {
	for {
		m, err := p.link.Recv()
		if err != nil {
			return err
		}
		silence.Reset(n.cfg.SilenceLimit)
		if err := n.handle(p, m); err != nil {
			return err
		}
	}
}

func (n *Node) handle(p *peer, m Message) error {
	switch m := m.(type) {
	case *Heartbeat:
		p.know(m.Version)
		p.hear(nil, m.Version > n.configs.KnownVersion())
	case *Records:
		n.receive(p, m)
	case *Configuration:
		return n.configure(p, m.Update)
	case *Have:
		n.hear(p, m.Versions)
	case *Pull:
		n.answer(p, m)
	case *Prune:
		p.setLazy(true)
	case *Root:
		n.answerRoot(p, m)
	case *Hashes:
		p.reply(&Buckets{Buckets: n.table.Differing(&m.Hashes)})
	case *Buckets:
		n.answerBuckets(p, m)
	case *Done:
		n.endComparison(p, m.Busy)
	default:
		return fmt.Errorf("unexpected message %T", m)
	}
	return nil
}

// receive merges records and spreads the news. A peer that sends nothing new
// is asked to send versions only.
func (n *Node) receive(p *peer, m *Records) {
	if m.FromAntiEntropy {
		n.reconcile(p, m.Records)
		return
	}
	news := n.table.Merge(m.Records)
	p.learn(m.Records)
	n.publish(news, p)
	p.announce(differing(news, m.Records))
	if len(news) == 0 {
		n.prune(p)
	}
}

// differing returns the news that is not what the peer itself sent: joined
// records, and the refutation of an accusation.
func differing(news, received []member.Record) []member.Record {
	if len(news) == 0 {
		return nil
	}
	sent := make(map[member.ServerID]member.Version, len(received))
	for i := range received {
		sent[received[i].Server] = received[i].Version()
	}
	var differ []member.Record
	for i := range news {
		v, had := news[i].Version(), sent[news[i].Server]
		if !had.Covers(&v) {
			differ = append(differ, news[i])
		}
	}
	return differ
}

// prune makes the stream lazy in both directions.
func (n *Node) prune(p *peer) {
	if n.cfg.Flood || p.setLazy(true) {
		return
	}
	p.reply(&Prune{})
}

// configure takes a version from a peer. After a gap the changes from the
// version known are pulled.
func (n *Node) configure(p *peer, u *manifest.Update) error {
	p.know(u.FinalVersion())
	grew, err := n.configs.ApplyUpdate(u)
	if errors.Is(err, manifest.ErrUnpatchable) {
		p.reply(&Pull{Configure: true})
		return nil
	}
	if errors.Is(err, manifest.ErrGap) || errors.Is(err, manifest.ErrIncomplete) {
		p.reply(&Pull{Configure: true, Version: n.configs.KnownVersion()})
		return nil
	}
	if errors.Is(err, manifest.ErrForked) {
		n.out.Infof("configuration of peer %s not taken up: %v", p.id, err)
		return nil
	}
	if err == nil && !grew {
		n.prune(p)
	}
	return err
}

// hear notes versions that the peer has and this daemon lacks.
func (n *Node) hear(p *peer, versions []member.Version) {
	var lacking []member.Version
	for i := range versions {
		if n.table.Lacks(&versions[i]) {
			lacking = append(lacking, versions[i])
		}
	}
	p.hear(lacking, false)
}

// answer sends what the peer pulls.
func (n *Node) answer(p *peer, m *Pull) {
	if m.Graft {
		p.setLazy(false)
	}
	if m.Configure {
		p.restart(m.Version)
	}
	n.sendRecords(p, n.records(m.Servers), !m.Graft)
}

func (n *Node) records(servers []member.ServerID) []member.Record {
	var records []member.Record
	for _, id := range servers {
		if r, ok := n.table.Get(id); ok {
			records = append(records, r)
		}
	}
	return records
}

// sendLoop sends heartbeats, news as it comes, and starts comparisons when
// they are due and this daemon is in no other.
func (n *Node) sendLoop(ctx context.Context, p *peer, compareFirst bool) error {
	heartbeat := time.NewTicker(n.cfg.HeartbeatInterval)
	defer heartbeat.Stop()
	compare := time.NewTimer(wait.Jitter(n.cfg.ExchangeInterval))
	defer compare.Stop()
	if compareFirst {
		compare.Reset(0)
	}
	graft := time.NewTimer(n.cfg.GraftDelay)
	defer graft.Stop()
	grafting, due := true, false
	var flushed time.Time
	for {
		changed := n.configs.Changed()
		sent, err := n.flush(p)
		if err != nil {
			return err
		}
		if sent {
			flushed = time.Now()
		}
		var slot chan<- struct{}
		if due = due || p.takeDue(); due {
			slot = n.comparing
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-p.wake:
			err = wait.For(ctx, n.cfg.BatchDelay-time.Since(flushed))
		case <-p.heard:
			if !grafting {
				grafting = true
				graft.Reset(wait.Jitter(n.cfg.GraftDelay))
			}
		case <-graft.C:
			if grafting = n.graft(p); grafting {
				graft.Reset(wait.Jitter(n.cfg.GraftDelay))
			}
		case <-heartbeat.C:
			err = p.link.Send(&Heartbeat{Version: n.configs.KnownVersion()})
		case <-compare.C:
			due = true
			n.askAgain(p)
		case slot <- struct{}{}:
			due = false
			err = n.startComparison(p)
		case delay := <-p.ended:
			compare.Reset(delay)
		}
		if err != nil {
			return err
		}
	}
}

// graft pulls what the peer has had for a while and this daemon still lacks.
// It reports whether to look again later. A starting daemon waits for the
// comparison that brings it the whole configuration.
func (n *Node) graft(p *peer) bool {
	if n.configs.KnownVersion() == 0 && len(n.comparing) > 0 {
		return true
	}
	versions, version, more := p.takeMissing(time.Now().Add(-n.cfg.GraftDelay / 2))
	known := n.configs.KnownVersion()
	pull := &Pull{Graft: true, Version: known, Configure: version > known}
	for i := range versions {
		if n.table.Lacks(&versions[i]) {
			pull.Servers = append(pull.Servers, versions[i].Server)
		}
	}
	if len(pull.Servers) > 0 || pull.Configure {
		p.setLazy(false)
		p.reply(pull)
	}
	return more
}

// askAgain pulls the known version again while a part of it could not be read
// from the platform: the peer may have heard it whole.
func (n *Node) askAgain(p *peer) {
	if faulty, from := n.configs.FaultyDigests(); len(faulty) > 0 {
		p.reply(&Pull{Configure: true, Version: from})
	}
}

// flush sends the configuration that the peer lacks and the pending news. It
// reports whether there was any.
func (n *Node) flush(p *peer) (bool, error) {
	messages := n.configuration(p)
	news, replies := p.take()
	messages = append(messages, replies...)
	messages = append(messages, news...)
	for _, m := range messages {
		if err := p.link.Send(m); err != nil {
			return false, err
		}
		if _, ok := m.(*Done); ok {
			n.endService(p)
		}
	}
	return len(messages) > 0, nil
}

// configuration returns the message that tells the peer of new versions: the
// changes when pulled or on an eager stream within the failure domain, else only
// the number. Each failure domain has a reader of its own, so the changes are
// there before a peer elsewhere pulls them. A whole
// table is sent only when pulled; a comparison does that.
func (n *Node) configuration(p *peer) []Message {
	known := n.configs.KnownVersion()
	from, pulled, eager := p.lacks()
	if from >= known {
		return nil
	}
	if pulled || (eager && n.near(p)) {
		u := n.configs.UpdateSince(from)
		if u != nil && (pulled || u.Base == nil) {
			p.sent(u.FinalVersion())
			return []Message{&Configuration{Update: u}}
		}
	}
	if p.tell(known) {
		return []Message{&Heartbeat{Version: known}}
	}
	return nil
}

// near reports whether the peer is in this daemon's failure domain.
func (n *Node) near(p *peer) bool {
	r, known := n.table.Get(p.id)
	return known && r.Domain == n.domain
}
