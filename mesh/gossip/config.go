package gossip

import "time"

// Config sets how a daemon maintains streams to its peers and gossips on them.
type Config struct {
	// Mesh names the mesh. Daemons of other meshes are refused as peers, because
	// an address of this mesh can be reassigned to a host of another mesh.
	Mesh string
	// NearPeers is the number of streams kept within the failure domain. The
	// first NearSuccessors of them go to the daemon's successors on a ring in
	// hash order, so that each daemon is monitored by NearSuccessors others;
	// the rest are random.
	NearPeers, NearSuccessors int
	// FarPeers is the number of streams kept to random daemons of other failure
	// domains.
	FarPeers int
	// HeartbeatInterval is the time between heartbeats on a stream.
	HeartbeatInterval time.Duration
	// IdleTimeout is the time without a message after which a stream is closed.
	IdleTimeout time.Duration
	// SuspicionTimeout is how long a single daemon suspects a server, without a
	// second suspecting daemon or a refutation, before it declares it failed.
	SuspicionTimeout time.Duration
	// DialTimeout bounds the opening of a stream.
	DialTimeout time.Duration
	// RedialBase and RedialMax bound the jittered exponential delay between
	// attempts to dial a peer.
	RedialBase, RedialMax time.Duration
	// RejoinInterval is the mean time between attempts to dial a failed server
	// or a seed, in a fleet of up to RejoinFleetSize live daemons. It grows in
	// proportion to larger fleets, so that the fleet's attempts per second stay
	// constant.
	RejoinInterval time.Duration
	// RejoinFleetSize is the number of live daemons above which RejoinInterval
	// grows.
	RejoinFleetSize int
	// BatchInterval is the minimum time between two batches of updates on a
	// stream.
	BatchInterval time.Duration
	// FarAdviceInterval is the minimum time between two lists of record versions on a lazy
	// stream to another failure domain. Most records reach the peer over other streams
	// meanwhile, and their versions are then not sent.
	FarAdviceInterval time.Duration
	// FarConfigDelay is how long a daemon without any configuration waits for one from its
	// own failure domain before it pulls the whole from another.
	FarConfigDelay time.Duration
	// GraftDelay is how long a daemon that received a version on one stream
	// waits for the content on another before it pulls it.
	GraftDelay time.Duration
	// AntiEntropyInterval is the mean time between anti-entropy exchanges with
	// one peer, which cover all records.
	AntiEntropyInterval time.Duration
	// AntiEntropyTimeout is the time after which a stream whose anti-entropy
	// exchange has not ended is closed.
	AntiEntropyTimeout time.Duration
	// MaxAntiEntropyResponses is the number of anti-entropy exchanges that a
	// daemon answers at once.
	MaxAntiEntropyResponses int
	// BusyRetryDelay is the mean delay before anti-entropy is retried with a
	// peer that was busy.
	BusyRetryDelay time.Duration
	// Retention is how long records of servers that left or failed are kept.
	Retention time.Duration
	// Flood sends full updates on every stream, without a Plumtree tree, as a
	// baseline for comparison.
	Flood bool
}

// DefaultConfig returns the default settings, which suit a fleet of any size.
func DefaultConfig() Config {
	return Config{
		NearPeers:               3,
		NearSuccessors:          2,
		FarPeers:                2,
		HeartbeatInterval:       time.Second,
		IdleTimeout:             3 * time.Second,
		SuspicionTimeout:        6 * time.Second,
		DialTimeout:             time.Second,
		RedialBase:              100 * time.Millisecond,
		RedialMax:               5 * time.Second,
		RejoinInterval:          2 * time.Second,
		RejoinFleetSize:         100,
		BatchInterval:           20 * time.Millisecond,
		FarAdviceInterval:       250 * time.Millisecond,
		FarConfigDelay:          time.Second,
		GraftDelay:              100 * time.Millisecond,
		AntiEntropyInterval:     30 * time.Second,
		AntiEntropyTimeout:      30 * time.Second,
		MaxAntiEntropyResponses: 2,
		BusyRetryDelay:          200 * time.Millisecond,
		Retention:               3 * time.Hour,
	}
}
