package manifest

// join holds back the first version that a starting daemon puts in force until
// enough sources have said which version they have, so that a source that lags
// behind does not take the daemon below the version that it had before.
type join struct {
	sources int
	heard   map[string]bool
	newest  Version
}

func (j *join) done(known Version) bool {
	return j == nil || (len(j.heard) >= j.sources && known >= j.newest)
}

// RequireQuorum puts nothing in force until the given number of sources have been heard
// from and the newest version among theirs is known, or until Release.
func (l *Store) RequireQuorum(sources int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.join = &join{sources: sources, heard: map[string]bool{}}
}

// ObserveVersion notes which version a source has.
func (l *Store) ObserveVersion(source string, v Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.join == nil {
		return
	}
	l.join.heard[source] = true
	l.join.newest = max(l.join.newest, v)
	l.publish()
}

// SkipQuorum puts the known version in force without hearing from more sources.
func (l *Store) SkipQuorum() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.join == nil {
		return
	}
	l.join = nil
	l.publish()
}

// publish puts the newest good version in force once the daemon has joined.
func (l *Store) publish() {
	if l.good.version <= l.inForce.Load().version || !l.join.done(l.known.Version) {
		return
	}
	l.join = nil
	l.inForce.Store(l.good)
	l.signal()
}

// signal wakes those who wait for a change.
func (l *Store) signal() {
	close(l.changed)
	l.changed = make(chan struct{})
}
