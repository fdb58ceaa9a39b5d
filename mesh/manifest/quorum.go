package manifest

// sourceQuorum delays the first version that a starting daemon puts in force
// until enough sources have reported their versions. Without it a single
// lagging source could take the daemon back below the version that it had
// before the restart.
type sourceQuorum struct {
	required int
	reported map[string]bool
	newest   Version
}

// reached reports whether enough sources have reported and the newest reported
// version is known. A nil quorum is always reached.
func (q *sourceQuorum) reached(known Version) bool {
	return q == nil || (len(q.reported) >= q.required && known >= q.newest)
}

// RequireQuorum keeps the store from putting a version in force until the given
// number of sources have reported their versions and the newest of these is
// known, or until SkipQuorum is called.
func (s *Store) RequireQuorum(sources int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quorum = &sourceQuorum{required: sources, reported: map[string]bool{}}
}

// ObserveVersion records the version that a source reports.
func (s *Store) ObserveVersion(source string, v Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.quorum == nil {
		return
	}
	s.quorum.reported[source] = true
	s.quorum.newest = max(s.quorum.newest, v)
	s.activate()
}

// SkipQuorum puts the newest valid version in force without waiting for more
// sources.
func (s *Store) SkipQuorum() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.quorum == nil {
		return
	}
	s.quorum = nil
	s.activate()
}

// activate puts the newest valid version in force once the quorum is reached.
func (s *Store) activate() {
	if s.newestValid.version <= s.inForce.Load().version || !s.quorum.reached(s.known.Version) {
		return
	}
	s.quorum = nil
	s.inForce.Store(s.newestValid)
	s.notify()
}

// notify wakes everyone who waits for a change.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
