package manifest

import (
	"time"

	"fescuehoist.example/mesh/target"
)

// Clock returns the time since some fixed moment. It counts the time for which the host is
// suspended, which package time does not.
type Clock func() time.Duration

// monotonicClock returns the clock of package time.
func monotonicClock() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// Verification states that the source had no later version than the known one at a time
// of this daemon's clock. Unlike a Confirmation, which allows for the time that a message
// usually takes, it is never younger than stated: its time is that at which the source, or a
// daemon with a verification of its own, was asked.
type Verification struct {
	known bool
	at    time.Duration
	// accounts is the newest valid directory of client accounts at that time.
	accounts *target.Accounts
}

// SetClock sets the clock of verifications. It must be called before the first one.
func (s *Store) SetClock(c Clock) { s.clock = c }

// Now returns the time of the clock of verifications.
func (s *Store) Now() time.Duration { return s.clock() }

// Verify records that at a time of the clock the source had no later version than v. It is
// ignored while this daemon does not know that version.
func (s *Store) Verify(v Version, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v > s.known.Version || (s.verification.known && at <= s.verification.at) {
		return
	}
	if s.verification.accounts != s.newestValid.accounts {
		s.replacedVerification = s.verification
	}
	s.verification = Verification{known: true, at: at, accounts: s.newestValid.accounts}
}

// AccountsAge returns the age of the latest verification that covers a directory of client
// accounts, and false if there is none. A verification covers the newest directory, and the
// one that was the newest at its time: a key that an older directory holds may have been
// revoked before.
func (s *Store) AccountsAge(accounts *target.Accounts) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.verification
	if accounts != s.newestValid.accounts && accounts != v.accounts {
		v = s.replacedVerification
		if accounts != v.accounts {
			return 0, false
		}
	}
	return s.clock() - v.at, v.known
}

// VerificationAge returns the known version and the age of its latest verification, and
// false if there is none.
func (s *Store) VerificationAge() (Version, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.verification.known {
		return s.known.Version, 0, false
	}
	return s.known.Version, s.clock() - s.verification.at, true
}
