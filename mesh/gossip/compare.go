package gossip

import (
	"time"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/wait"
)

// maxComparedNews is the number of records of one message up to which a
// comparison's result is spread as news; beyond it the other peers compare too.
const maxComparedNews = 64

// startComparison opens a comparison; the caller has taken the token.
func (n *Node) startComparison(p *peer) error {
	p.mu.Lock()
	p.comparing = true
	p.stuck = time.AfterFunc(n.cfg.ExchangeTimeout, p.link.Close)
	p.mu.Unlock()
	return p.link.Send(&Root{Hash: n.table.Root(), Version: n.configs.KnownVersion()})
}

// endComparison gives the token back and says when the next one is due.
func (n *Node) endComparison(p *peer, busy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.comparing {
		return
	}
	p.comparing = false
	p.stuck.Stop()
	<-n.comparing
	delay := wait.Jitter(n.cfg.ExchangeInterval)
	if busy {
		delay = wait.Jitter(n.cfg.BusyDelay)
	}
	select {
	case p.ended <- delay:
	default:
	}
}

// answerRoot answers a comparison that the peer started.
func (n *Node) answerRoot(p *peer, m *Root) {
	same := m.Hash == n.table.Root()
	update := n.configs.UpdateSince(m.Version)
	if same && update == nil {
		p.reply(&Done{})
		return
	}
	if !n.startService(p) {
		p.reply(&Done{Busy: true})
		return
	}
	if update != nil {
		p.sent(update.FinalVersion())
		p.reply(&Configuration{Update: update})
	}
	if same {
		p.reply(&Done{})
		return
	}
	p.reply(&Hashes{Hashes: n.table.Hashes()})
}

// answerBuckets sends what the peer lacks and pulls what this daemon lacks.
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
		p.reply(pull)
	}
	p.reply(&Done{})
}

func (n *Node) sendRecords(p *peer, records []member.Record, compared bool) {
	p.reply(recordMessages(records, compared)...)
}

// reconcile merges what a comparison brought.
func (n *Node) reconcile(p *peer, records []member.Record) {
	news := n.table.Reconcile(records, n.cfg.SuspectLimit)
	p.announce(differing(news, records))
	if len(news) <= maxComparedNews {
		n.publish(news, p)
		return
	}
	n.compareSoon(p)
}

func (n *Node) startService(p *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.serving {
		return true
	}
	select {
	case n.serving <- struct{}{}:
		p.serving = true
	default:
	}
	return p.serving
}

func (n *Node) endService(p *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.serving {
		p.serving = false
		<-n.serving
	}
}

// release gives back what a closed stream held.
func (n *Node) release(p *peer) {
	n.endComparison(p, false)
	n.endService(p)
}

// compareSoon makes the stream's next comparison due.
func (p *peer) compareSoon() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.due = true
	signal(p.wake)
}

func (p *peer) takeDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := p.due
	p.due = false
	return due
}
