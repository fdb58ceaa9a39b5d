package gossip

import "time"

// Config sets how a daemon keeps in touch with its peers.
type Config struct {
	// Mesh names the mesh. Daemons of other meshes are refused as peers: an
	// address that was this mesh's may be given to another one's host.
	Mesh string
	// NearPeers is the number of streams kept within the failure domain. The
	// first NearSuccessors of them follow the daemon on a ring in hash order,
	// so that each daemon is observed by as many; the rest are random.
	NearPeers, NearSuccessors int
	// FarPeers is the number of streams kept to random daemons of other
	// failure domains.
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
	// RejoinInterval is the mean time between attempts to reach a failed
	// server or a seed, in a fleet of up to RejoinFleet live daemons. It grows
	// with the fleet, so that the fleet's attempts per second stay the same.
	RejoinInterval time.Duration
	// RejoinFleet is the number of daemons from which RejoinInterval grows.
	RejoinFleet int
	// BatchDelay is the least time between two batches of news on a stream.
	BatchDelay time.Duration
	// GraftDelay is how long a daemon that heard of news on one stream waits
	// for the content on another before it asks for it.
	GraftDelay time.Duration
	// ExchangeInterval is the mean time between comparisons of all records
	// with one peer.
	ExchangeInterval time.Duration
	// ExchangeTimeout closes a stream whose comparison does not end.
	ExchangeTimeout time.Duration
	// MaxServed is the number of comparisons that a daemon answers at once.
	MaxServed int
	// BusyDelay is the mean delay after a peer was too busy to compare.
	BusyDelay time.Duration
	// Retention is how long records of servers that are gone are kept.
	Retention time.Duration
	// Flood sends news on every stream, without a tree. For comparison.
	Flood bool
}

// DefaultConfig returns the settings for a fleet of any size.
func DefaultConfig() Config {
	return Config{
		NearPeers:         3,
		NearSuccessors:    2,
		FarPeers:          2,
		HeartbeatInterval: time.Second,
		SilenceLimit:      3 * time.Second,
		SuspectLimit:      6 * time.Second,
		DialTimeout:       time.Second,
		RedialBase:        100 * time.Millisecond,
		RedialMax:         5 * time.Second,
		RejoinInterval:    2 * time.Second,
		RejoinFleet:       100,
		BatchDelay:        20 * time.Millisecond,
		GraftDelay:        100 * time.Millisecond,
		ExchangeInterval:  30 * time.Second,
		ExchangeTimeout:   30 * time.Second,
		MaxServed:         2,
		BusyDelay:         200 * time.Millisecond,
		Retention:         3 * time.Hour,
	}
}
