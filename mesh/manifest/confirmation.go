package manifest

import (
	"time"

	"fescuehoist.example/mesh/revision"
)

// Confirmation is a statement of the source that it has no later configuration
// than the known one. It spreads from the daemons that call the source to all
// others, so that each of them can tell how old its knowledge is.
type Confirmation struct {
	// Number is higher than those of all confirmations that its daemon had seen.
	// It identifies copies that arrive late or on several streams.
	Number uint64
	// Revision is the revision of the source from which a watch continues.
	Revision revision.Revision
	// At is when the source was known to be in that state.
	At time.Time
}

// Confirmation returns the latest confirmation; its Number is 0 if there is none.
func (s *Store) Confirmation() Confirmation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmation
}

// Confirmed returns a channel that is closed at the next confirmation.
func (s *Store) Confirmed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// ConfirmFromSource records that this daemon received a confirmation from the
// source.
func (s *Store) ConfirmFromSource(r revision.Revision, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirm(Confirmation{Number: s.confirmation.Number + 1, Revision: r, At: at})
}

// ConfirmFromPeer records a confirmation from a peer that knows a version. It is
// ignored if it is not a new one, or while this daemon lacks that version.
func (s *Store) ConfirmFromPeer(version Version, c Confirmation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Number <= s.confirmation.Number || version > s.known.Version {
		return
	}
	s.confirm(c)
}

// confirm merges a confirmation with a new number into the recorded one. A source of an
// earlier epoch confirms nothing: it is a state that the source has left.
func (s *Store) confirm(c Confirmation) {
	s.confirmation.Number = c.Number
	if c.Revision.Epoch >= s.confirmation.Revision.Epoch {
		s.confirmation.Revision = revision.Latest(s.confirmation.Revision, c.Revision)
		if c.At.After(s.confirmation.At) {
			s.confirmation.At = c.At
		}
	}
	close(s.confirmed)
	s.confirmed = make(chan struct{})
}
