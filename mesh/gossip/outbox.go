package gossip

import (
	"sync"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
)

// Limits that keep a message well below the transport's limit.
const (
	maxRecordsPerMessage  = 4096
	maxVersionsPerMessage = 4096
)

// peer is one open stream and what waits to be sent on it.
type peer struct {
	id   member.ServerID
	link Link

	mu sync.Mutex
	// lazy says that the peer gets only versions of news.
	lazy bool
	// whole and versions hold news to send.
	whole    map[member.ServerID]member.Record
	versions map[member.ServerID]member.Version
	replies  []Message
	// missing holds versions that the peer has and this daemon lacks, wanted
	// such a version of the configuration and wantedAt when it was heard of.
	missing  map[member.ServerID]sighting
	wanted   manifest.Version
	wantedAt time.Time
	// version is the highest version that the peer is known to have, offered
	// the one last sent and told the one last named to it.
	version, offered, told manifest.Version
	// pulled says that the peer asked for configuration.
	pulled bool
	// due says that a comparison should start soon.
	due bool
	// comparing and serving say which end of a comparison this daemon is.
	comparing, serving bool
	stuck              *time.Timer

	wake, heard chan struct{}
	// ended tells when the next comparison is due after one ended.
	ended chan time.Duration
}

// sighting is a version that the peer named, and when.
type sighting struct {
	version member.Version
	at      time.Time
}

func newPeer(link Link) *peer {
	return &peer{
		link:     link,
		whole:    map[member.ServerID]member.Record{},
		versions: map[member.ServerID]member.Version{},
		missing:  map[member.ServerID]sighting{},
		wake:     make(chan struct{}, 1),
		heard:    make(chan struct{}, 1),
		ended:    make(chan time.Duration, 1),
	}
}

// announce takes news for the peer. Suspicions always go whole, so that the
// accused hears of them soon.
func (p *peer) announce(records []member.Record) {
	if len(records) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range records {
		r := &records[i]
		if p.lazy && r.Health != member.Suspected {
			p.versions[r.Server] = r.Version()
			continue
		}
		p.whole[r.Server] = *r
	}
	signal(p.wake)
}

// learn drops pending news that the peer has sent itself.
func (p *peer) learn(records []member.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range records {
		got := records[i].Version()
		if have, ok := p.whole[got.Server]; ok {
			if v := have.Version(); got.Covers(&v) {
				delete(p.whole, got.Server)
			}
		}
		if v, ok := p.versions[got.Server]; ok && got.Covers(&v) {
			delete(p.versions, got.Server)
		}
	}
}

func (p *peer) reply(messages ...Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replies = append(p.replies, messages...)
	signal(p.wake)
}

// setLazy chooses how news goes to the peer and returns how it went before.
func (p *peer) setLazy(lazy bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.lazy
	p.lazy = lazy
	return before
}

// hear notes versions that the peer has and this daemon lacks. With configured
// set, the configuration that the peer is known to have is one of them.
func (p *peer) hear(lacking []member.Version, configured bool) {
	if len(lacking) == 0 && !configured {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, v := range lacking {
		p.missing[v.Server] = sighting{version: v, at: now}
	}
	if configured && p.wanted == 0 {
		p.wanted, p.wantedAt = p.version, now
	}
	signal(p.heard)
}

// takeMissing returns the versions heard of before a time, of records and of
// the configuration, and whether younger ones are left.
func (p *peer) takeMissing(before time.Time) (versions []member.Version, wanted manifest.Version, more bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.missing {
		if s.at.Before(before) {
			versions = append(versions, s.version)
			delete(p.missing, id)
		}
	}
	if p.wanted > 0 && p.wantedAt.Before(before) {
		wanted, p.wanted = p.wanted, 0
	}
	return versions, wanted, len(p.missing) > 0 || p.wanted > 0
}

// know notes that the peer has a version.
func (p *peer) know(v manifest.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version = max(p.version, v)
}

// sent notes that a version was sent; it counts as known unless the peer pulls
// again.
func (p *peer) sent(v manifest.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offered = max(p.offered, v)
	p.pulled = false
}

// tell notes that a version was named; it reports whether that is new.
func (p *peer) tell(v manifest.Version) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.told >= v {
		return false
	}
	p.told = v
	return true
}

// restart notes that the peer is at a version and pulls all after it.
func (p *peer) restart(v manifest.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version, p.offered, p.pulled = v, 0, true
	signal(p.wake)
}

// lacks returns the version after which the peer lacks changes, whether it
// pulled them, and whether the stream is eager.
func (p *peer) lacks() (from manifest.Version, pulled, eager bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.version, p.offered), p.pulled, !p.lazy
}

// take returns and clears the messages that wait.
func (p *peer) take() (news, replies []Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	records := make([]member.Record, 0, len(p.whole))
	for _, r := range p.whole {
		records = append(records, r)
	}
	versions := make([]member.Version, 0, len(p.versions))
	for _, v := range p.versions {
		versions = append(versions, v)
	}
	clear(p.whole)
	clear(p.versions)
	replies = p.replies
	p.replies = nil
	news = recordMessages(records, false)
	for len(versions) > 0 {
		k := min(len(versions), maxVersionsPerMessage)
		news = append(news, &Have{Versions: versions[:k]})
		versions = versions[k:]
	}
	return news, replies
}

func recordMessages(records []member.Record, compared bool) []Message {
	var messages []Message
	for len(records) > 0 {
		k := min(len(records), maxRecordsPerMessage)
		messages = append(messages, &Records{Records: records[:k], FromAntiEntropy: compared})
		records = records[k:]
	}
	return messages
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
