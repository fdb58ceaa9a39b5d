package spread

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/wait"
)

// maxRecordsPerMessage keeps a message well below the transport's limit.
const maxRecordsPerMessage = 512

// errSelf says that a seed address turned out to be this daemon's own.
var errSelf = errors.New("the peer is this daemon")

// peer is one open stream.
type peer struct {
	id   member.ServerID
	link Link

	mu      sync.Mutex
	pending map[member.ServerID]member.Record
	replies []Message
	// version is the highest version that the peer is known to have.
	version manifest.Version
	// offered is the version last sent to the peer.
	offered manifest.Version
	wake    chan struct{}
}

func newPeer(link Link) *peer {
	return &peer{link: link, pending: map[member.ServerID]member.Record{}, wake: make(chan struct{}, 1)}
}

// Serve runs one stream, dialled or accepted, until it fails or ctx ends.
func (n *Node) Serve(ctx context.Context, link Link) error {
	return n.serve(ctx, link, func(member.ServerID) {})
}

// serve greets the peer, reports its name to met, and exchanges messages.
func (n *Node) serve(ctx context.Context, link Link, met func(member.ServerID)) error {
	defer link.Close()
	p := newPeer(link)
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	silence := time.AfterFunc(n.cfg.SilenceLimit, link.Close)
	defer silence.Stop()
	if err := n.greet(p); err != nil {
		return err
	}
	met(p.id)
	n.add(p)
	defer n.remove(p)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer link.Close()
		return n.sendLoop(ctx, p)
	})
	g.Go(func() error {
		defer link.Close()
		return n.receiveLoop(p, silence)
	})
	return g.Wait()
}

func (n *Node) greet(p *peer) error {
	if err := p.link.Send(&Hello{From: n.self, Version: n.log.Known()}); err != nil {
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
	if hello.From == n.self {
		return errSelf
	}
	p.id, p.version = hello.From, hello.Version
	n.log.Heard(string(hello.From), hello.Version)
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
	case *Hello:
		p.restart(m.Version)
	case *Records:
		n.publish(n.table.Merge(m.Records), p)
	case *Configuration:
		return n.configure(p, m.Update)
	case *Hashes:
		n.compare(p, m)
	default:
		return fmt.Errorf("unexpected message %T", m)
	}
	return nil
}

// configure takes a version from a peer. After a gap the peer is told again
// which version this daemon has, so that it sends the changes from there.
func (n *Node) configure(p *peer, u *manifest.Update) error {
	p.know(u.Target())
	_, err := n.log.Receive(u)
	if errors.Is(err, manifest.ErrGap) || errors.Is(err, manifest.ErrIncomplete) {
		p.reply(&Hello{From: n.self, Version: n.log.Known()})
		return nil
	}
	if errors.Is(err, manifest.ErrForked) {
		n.out.Infof("configuration of peer %s not taken up: %v", p.id, err)
		return nil
	}
	return err
}

// compare sends the records of every bucket whose hash differs.
func (n *Node) compare(p *peer, m *Hashes) {
	own := n.table.Hashes()
	differ := false
	for b := range own {
		if own[b] == m.Hashes[b] {
			continue
		}
		differ = true
		p.enqueue(n.table.Bucket(b))
	}
	if differ && !m.Reply {
		p.reply(&Hashes{Hashes: own, Reply: true})
	}
}

// sendLoop sends heartbeats, and news as it comes.
func (n *Node) sendLoop(ctx context.Context, p *peer) error {
	heartbeat := time.NewTicker(n.cfg.HeartbeatInterval)
	defer heartbeat.Stop()
	exchange := time.NewTicker(n.cfg.ExchangeInterval)
	defer exchange.Stop()
	if err := p.link.Send(&Hashes{Hashes: n.table.Hashes()}); err != nil {
		return err
	}
	for {
		changed := n.log.Changed()
		if err := n.flush(p); err != nil {
			return err
		}
		var m Message
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			continue
		case <-p.wake:
			if err := wait.For(ctx, n.cfg.BatchDelay); err != nil {
				return err
			}
			continue
		case <-heartbeat.C:
			m = &Heartbeat{Version: n.log.Known()}
		case <-exchange.C:
			n.askAgain(p)
			m = &Hashes{Hashes: n.table.Hashes()}
		}
		if err := p.link.Send(m); err != nil {
			return err
		}
	}
}

// askAgain asks the peer for the known version again while a part of it could
// not be read from the platform: the peer may have heard it whole.
func (n *Node) askAgain(p *peer) {
	if faulty, from := n.log.Faulty(); len(faulty) > 0 {
		p.reply(&Hello{From: n.self, Version: from})
	}
}

// flush sends the configuration that the peer lacks and the pending records.
func (n *Node) flush(p *peer) error {
	if u := n.log.Since(p.lacks()); u != nil {
		p.sent(u.Target())
		if err := p.link.Send(&Configuration{Update: u}); err != nil {
			return err
		}
	}
	records, replies := p.take()
	for _, m := range replies {
		if err := p.link.Send(m); err != nil {
			return err
		}
	}
	for len(records) > 0 {
		k := min(len(records), maxRecordsPerMessage)
		if err := p.link.Send(&Records{Records: records[:k]}); err != nil {
			return err
		}
		records = records[k:]
	}
	return nil
}

func (p *peer) enqueue(records []member.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range records {
		p.pending[records[i].Server] = records[i]
	}
	p.signal()
}

func (p *peer) reply(m Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replies = append(p.replies, m)
	p.signal()
}

// know notes that the peer has a version.
func (p *peer) know(v manifest.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version = max(p.version, v)
}

// sent notes that a version was sent; it counts as known unless the peer says
// otherwise.
func (p *peer) sent(v manifest.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offered = max(p.offered, v)
}

// restart notes that the peer is at a version and lacks all after it.
func (p *peer) restart(v manifest.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version, p.offered = v, 0
	p.signal()
}

// lacks returns the version after which the peer lacks changes.
func (p *peer) lacks() manifest.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.version, p.offered)
}

func (p *peer) take() ([]member.Record, []Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	replies := p.replies
	p.replies = nil
	if len(p.pending) == 0 {
		return nil, replies
	}
	records := make([]member.Record, 0, len(p.pending))
	for _, r := range p.pending {
		records = append(records, r)
	}
	clear(p.pending)
	return records, replies
}

func (p *peer) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}
