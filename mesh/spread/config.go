package spread

import "time"

// Config sets how a daemon keeps in touch with its peers.
type Config struct {
	// NearPeers is the number of streams kept within the failure domain.
	NearPeers int
	// FarPeers is the number of streams kept to other failure domains.
	FarPeers int
	// HeartbeatInterval is the time between heartbeats on a stream.
	HeartbeatInterval time.Duration
	// SilenceLimit is how long a stream may be silent before it is closed.
	SilenceLimit time.Duration
	// SuspectLimit is how long a single accuser waits, without a second one
	// or a refutation, before it declares a server failed.
	SuspectLimit time.Duration
	// DialTimeout bounds the opening of a stream.
	DialTimeout time.Duration
	// RedialBase and RedialMax bound the jittered exponential delay between
	// attempts to reach a peer.
	RedialBase, RedialMax time.Duration
	// BatchDelay is how long news waits for more news.
	BatchDelay time.Duration
	// ExchangeInterval is the time between comparisons of all records.
	ExchangeInterval time.Duration
	// Retention is how long records of servers that are gone are kept.
	Retention time.Duration
}

// DefaultConfig returns the settings for a fleet of any size.
func DefaultConfig() Config {
	return Config{
		NearPeers:         3,
		FarPeers:          2,
		HeartbeatInterval: time.Second,
		SilenceLimit:      3 * time.Second,
		SuspectLimit:      6 * time.Second,
		DialTimeout:       time.Second,
		RedialBase:        100 * time.Millisecond,
		RedialMax:         5 * time.Second,
		BatchDelay:        20 * time.Millisecond,
		ExchangeInterval:  10 * time.Second,
		Retention:         3 * time.Hour,
	}
}
