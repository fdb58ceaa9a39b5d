package configwatch

import "time"

// Config holds the settings of a Watcher.
type Config struct {
	// WatchTimeout is how long one call waits for a change. A source that no
	// longer responds is detected after WatchTimeout plus CallTimeout.
	WatchTimeout time.Duration
	// ConfirmInterval takes the place of WatchTimeout at one reader of the fleet,
	// whose answers tell all daemons that their configuration is current.
	ConfirmInterval time.Duration
	// CheckAge is the age of the latest confirmation at which a daemon that is not
	// a reader asks the source itself. With CheckSpread, a call and gossip it must
	// stay below the time within which a change has to be in force, and above
	// ConfirmInterval and gossip.
	CheckAge time.Duration
	// CheckStep delays the check of each daemon behind that of the daemons before
	// it in the order of readers, up to CheckSpread, so that the confirmation that
	// the first ones receive saves the others theirs.
	CheckStep, CheckSpread time.Duration
	// VerifyAge is the age of the verification of the configuration at which a daemon
	// asks the source itself while there are client accounts; 0 means never. The calls of
	// readers that wait for a change end after it, too.
	VerifyAge time.Duration
	// CheckWait is how long the call of a check waits for a change.
	CheckWait time.Duration
	// CallTimeout bounds a call, in addition to the time that it waits for a
	// change.
	CallTimeout time.Duration
	// RetryBase and RetryMax are the initial and the longest delay of the
	// jittered exponential backoff after failed calls.
	RetryBase, RetryMax time.Duration
	// RetryDomainSize is the number of daemons in a failure domain above which
	// failed checks are repeated less often, so that the calls of a whole domain
	// to a source that does not respond stay the same.
	RetryDomainSize int
	// ProbeInterval is the mean time between the pings of a daemon that cannot
	// reach the source while others of its failure domain can.
	ProbeInterval time.Duration
	// FirstReaders is the mean number of daemons of a failure domain that read the
	// source as soon as they start. The others wait for JoinWait at most to hear
	// of one that reads for them.
	FirstReaders int
	JoinWait     time.Duration
	// MinReadInterval is the shortest time between two reads of the source.
	MinReadInterval time.Duration
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		WatchTimeout: 4 * time.Second, ConfirmInterval: 600 * time.Millisecond,
		CheckAge: time.Second, CheckStep: 50 * time.Millisecond, CheckSpread: 200 * time.Millisecond,
		CheckWait: 10 * time.Millisecond, CallTimeout: time.Second,
		RetryBase: 100 * time.Millisecond, RetryMax: time.Second, RetryDomainSize: 50,
		ProbeInterval: 2 * time.Second, MinReadInterval: 300 * time.Millisecond,
		FirstReaders: 4, JoinWait: 400 * time.Millisecond,
	}
}
