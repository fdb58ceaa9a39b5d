package gossip

import (
	"maps"
	"slices"
	"sync"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
)

// Limits that keep each message well below the size limit of the transport.
const (
	maxRecordsPerMessage  = 4096
	maxVersionsPerMessage = 4096
)

// peer is one open stream and the messages queued for it.
type peer struct {
	id   member.ServerID
	link Link
	// acceptsAdvisories is false for a daemon of an earlier release.
	acceptsAdvisories bool
	// domain is the peer's failure domain, empty if it did not name one.
	domain string
	// adviceInterval is the minimum time between two lists of versions.
	adviceInterval time.Duration

	mu sync.Mutex
	// lazy means that the peer is sent only the versions of updates.
	lazy bool
	// records and versions hold the updates to send.
	records  map[member.ServerID]member.Record
	versions map[member.ServerID]member.Version
	// versionsDue is when queued versions are sent; it is zero while there are none.
	versionsDue time.Time
	// replies holds all other messages, which are sent before the updates.
	replies []Message
	// missing holds the versions of records that the peer has and this daemon
	// does not; missingConfig is such a version of the configuration (0 if none)
	// and missingConfigAt when it was received.
	missing         map[member.ServerID]advertisement
	missingConfig   manifest.Version
	missingConfigAt time.Time
	// knownVersion is the highest configuration version that the peer is known
	// to have, sentVersion the one whose content was last sent to it and
	// advertisedVersion the one last sent to it as a number.
	knownVersion, sentVersion, advertisedVersion manifest.Version
	// confirmation is the highest number of a confirmation that the peer has or
	// was sent.
	confirmation uint64
	// configPulled means that the peer pulled configuration.
	configPulled bool
	// antiEntropyDue means that an anti-entropy exchange should start.
	antiEntropyDue bool
	// initiating and responding say on which end of anti-entropy exchanges this
	// daemon is. antiEntropyTimer closes the link when an exchange that it
	// started times out.
	initiating, responding bool
	antiEntropyTimer       *time.Timer

	// wake is signaled when messages are queued, missingAdded when missing
	// versions are added.
	wake, missingAdded chan struct{}
	// antiEntropyDone carries the delay before the next exchange after one ended.
	antiEntropyDone chan time.Duration
}

// advertisement is a version that the peer sent, and when it was received.
type advertisement struct {
	version member.Version
	at      time.Time
}

func newPeer(link Link) *peer {
	return &peer{
		link:            link,
		records:         map[member.ServerID]member.Record{},
		versions:        map[member.ServerID]member.Version{},
		missing:         map[member.ServerID]advertisement{},
		wake:            make(chan struct{}, 1),
		missingAdded:    make(chan struct{}, 1),
		antiEntropyDone: make(chan time.Duration, 1),
	}
}

// enqueueRecords queues updates for the peer. Suspicions are sent in full even
// on a lazy stream, so that the suspected server can refute them promptly.
func (p *peer) enqueueRecords(records []member.Record) {
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
		p.records[r.Server] = *r
	}
	p.scheduleVersions()
	if len(p.records) > 0 {
		signal(p.wake)
	}
}

// scheduleVersions sets when the queued versions are sent. It must be called with p.mu
// held.
func (p *peer) scheduleVersions() {
	if len(p.versions) == 0 || !p.versionsDue.IsZero() {
		return
	}
	p.versionsDue = time.Now().Add(p.adviceInterval)
	if p.adviceInterval == 0 {
		signal(p.wake)
		return
	}
	time.AfterFunc(p.adviceInterval, func() { signal(p.wake) })
}

// dropReceived drops queued updates that the peer has sent itself.
func (p *peer) dropReceived(records []member.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range records {
		received := records[i].Version()
		if queued, ok := p.records[received.Server]; ok {
			if v := queued.Version(); received.Covers(&v) {
				delete(p.records, received.Server)
			}
		}
		if v, ok := p.versions[received.Server]; ok && received.Covers(&v) {
			delete(p.versions, received.Server)
		}
	}
}

// enqueue queues messages that are sent before any updates.
func (p *peer) enqueue(messages ...Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replies = append(p.replies, messages...)
	signal(p.wake)
}

// setLazy sets whether the peer is sent only versions and returns the previous
// setting.
func (p *peer) setLazy(lazy bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.lazy
	p.lazy = lazy
	return previous
}

// addMissing records versions that the peer has and this daemon does not. With
// config set, the configuration version that the peer is known to have is one of
// them.
func (p *peer) addMissing(versions []member.Version, config bool) {
	if len(versions) == 0 && !config {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, v := range versions {
		p.missing[v.Server] = advertisement{version: v, at: now}
	}
	if config && p.missingConfig == 0 {
		p.missingConfig, p.missingConfigAt = p.knownVersion, now
	}
	signal(p.missingAdded)
}

// takeMissing removes and returns the versions of records, and that of the configuration,
// that were received before the given times, and whether later ones remain.
func (p *peer) takeMissing(before, configBefore time.Time) (versions []member.Version, config manifest.Version, more bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, a := range p.missing {
		if a.at.Before(before) {
			versions = append(versions, a.version)
			delete(p.missing, id)
		}
	}
	if p.missingConfig > 0 && p.missingConfigAt.Before(configBefore) {
		config, p.missingConfig = p.missingConfig, 0
	}
	return versions, config, len(p.missing) > 0 || p.missingConfig > 0
}

// observeVersion records that the peer has a configuration version.
func (p *peer) observeVersion(v manifest.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.knownVersion = max(p.knownVersion, v)
}

// markSent records that the content of a version was sent. The peer is assumed
// to have it unless it pulls again.
func (p *peer) markSent(v manifest.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentVersion = max(p.sentVersion, v)
	p.configPulled = false
}

// markAdvertised records that a version number is sent to the peer; it reports
// whether the number is higher than those sent before.
func (p *peer) markAdvertised(v manifest.Version) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.advertisedVersion >= v {
		return false
	}
	p.advertisedVersion = v
	return true
}

// resetVersion records that the peer is at a version and pulls all later ones.
func (p *peer) resetVersion(v manifest.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.knownVersion, p.sentVersion, p.configPulled = v, 0, true
	signal(p.wake)
}

// configState returns the version that the peer has or was sent, whether it
// pulled later ones, and whether the stream is eager.
func (p *peer) configState() (from manifest.Version, pulled, eager bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.knownVersion, p.sentVersion), p.configPulled, !p.lazy
}

// takePending removes and returns the queued messages.
func (p *peer) takePending() (updates, replies []Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	records := make([]member.Record, 0, len(p.records))
	for _, r := range p.records {
		records = append(records, r)
	}
	versions := p.takeVersions()
	clear(p.records)
	replies = p.replies
	p.replies = nil
	updates = recordMessages(records, false)
	for len(versions) > 0 {
		k := min(len(versions), maxVersionsPerMessage)
		updates = append(updates, &Have{Versions: versions[:k]})
		versions = versions[k:]
	}
	return updates, replies
}

// takeVersions removes and returns the queued versions once they are due. It must be called
// with p.mu held.
func (p *peer) takeVersions() []member.Version {
	if time.Now().Before(p.versionsDue) {
		return nil
	}
	p.versionsDue = time.Time{}
	versions := slices.Collect(maps.Values(p.versions))
	clear(p.versions)
	return versions
}

func recordMessages(records []member.Record, fromAntiEntropy bool) []Message {
	var messages []Message
	for len(records) > 0 {
		k := min(len(records), maxRecordsPerMessage)
		messages = append(messages, &Records{Records: records[:k], FromAntiEntropy: fromAntiEntropy})
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
