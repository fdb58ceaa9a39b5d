// Package plan generates a schedule of faults and planned operations from a seed.
package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of an event.
type Kind string

// Kinds of events: first those of one host, then those of several hosts, of the
// store and of the configuration.
const (
	Kill          Kind = "kill"
	Terminate     Kind = "terminate"
	Pause         Kind = "pause"
	Reload        Kind = "reload"
	DelayPeers    Kind = "delay-peers"
	CutTo         Kind = "cut-to"
	CutFrom       Kind = "cut-from"
	CutBoth       Kind = "cut-both"
	SilencePeers  Kind = "silence-peers"
	ResetPeers    Kind = "reset-peers"
	CutStore      Kind = "cut-store"
	SlowBackend   Kind = "slow-backend"
	FailBackend   Kind = "fail-backend"
	RefuseBackend Kind = "refuse-backend"
	CrashBackend  Kind = "crash-backend"
	DrainBackend  Kind = "drain-backend"
	ResetBackend  Kind = "reset-backend"
	HerdKill      Kind = "herd-kill"
	Roll          Kind = "roll"
	StoreBusy     Kind = "store-busy"
	StoreReset    Kind = "store-reset"
	StoreSilent   Kind = "store-silent"
	StoreLost     Kind = "store-lost"
	StoreForgets  Kind = "store-forgets"
	Change        Kind = "change"
	ChangeStorm   Kind = "change-storm"
)

// Kinds of planned operations that have their own random sequence.
const (
	ReplaceKey     Kind = "replace-key"
	LowerAllowance Kind = "lower-allowance"
	Rollout        Kind = "rollout"
	BadRollout     Kind = "bad-rollout"
	// StoreCopy brings the store back from a copy that was made at the event's time.
	StoreCopy Kind = "store-copy"
)

var kinds = []Kind{
	Kill, Terminate, Pause, Reload, DelayPeers, CutTo, CutFrom, CutBoth, SilencePeers, ResetPeers, CutStore,
	SlowBackend, FailBackend, RefuseBackend, CrashBackend, DrainBackend, ResetBackend, HerdKill, Roll,
	StoreBusy, StoreReset, StoreSilent, StoreLost, StoreForgets, Change, ChangeStorm,
}

// Event is one fault or planned operation.
type Event struct {
	At   time.Duration
	Kind Kind
	// Hosts are the indices of the affected hosts.
	Hosts  []int
	Length time.Duration
}

// String returns the event as it appears in logs.
func (e Event) String() string {
	return fmt.Sprintf("%s %s hosts %v for %s", e.At.Round(time.Millisecond), e.Kind, e.Hosts, e.Length.Round(time.Millisecond))
}

const (
	// leadTime is the time before the first event, during which the fleet serves
	// requests without faults.
	leadTime = time.Second
	// meanGap is the mean time between two bursts of events.
	meanGap = 900 * time.Millisecond
	// burstShare is the share of bursts that have more than one event, of the
	// same or of different kinds, and maxBurstSize the largest number of events.
	// Event i of a burst starts at most i*maxBurstGap after event 0.
	burstShare   = 0.4
	maxBurstSize = 4
	maxBurstGap  = 400 * time.Millisecond
	// minEventLength and maxEventLength are the limits of an event's length.
	minEventLength = 200 * time.Millisecond
	maxEventLength = 4 * time.Second
	// minHerdShare is the smallest share of the hosts that a herd kill affects.
	minHerdShare = 0.5
	// meanKeyGap is the mean time between two replacements of an API key. Most
	// runs then hold several keys revoked longer ago than the bound of 5 s.
	meanKeyGap = 1500 * time.Millisecond
	// maxLowerTime is the latest time at which the allowance is lowered. It is
	// early because the lower one is binding only 10 s later.
	maxLowerTime = 2 * time.Second
	// rolloutShare is the share of the runs of at least minRolloutLength that have
	// a rollout, which is ordered at rolloutAt with rolloutLimit as its time
	// limit. Half of them are of a bad release.
	rolloutShare     = 0.6
	minRolloutLength = 18 * time.Second
	rolloutAt        = 3 * time.Second
	rolloutLimit     = 9 * time.Second
	// copyShare is the share of the runs in which the store comes back from older
	// copies, one or several times.
	copyShare   = 0.6
	meanCopyGap = 5 * time.Second
)

// Generate returns the events of a schedule, ordered by time. Bursts begin early
// enough for their first event to end before length.
func Generate(seed uint64, hosts int, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, uint64(hosts)))
	var events []Event
	for at := leadTime; at < length-maxEventLength; at += time.Duration(rng.ExpFloat64() * float64(meanGap)) {
		n := 1
		if rng.Float64() < burstShare {
			n += 1 + rng.IntN(maxBurstSize-1)
		}
		kind := kinds[rng.IntN(len(kinds))]
		for i := range n {
			if rng.IntN(2) == 0 {
				kind = kinds[rng.IntN(len(kinds))]
			}
			e := Event{At: at + time.Duration(i)*time.Duration(rng.Float64()*float64(maxBurstGap)), Kind: kind}
			e.Length = minEventLength + time.Duration(rng.Float64()*float64(maxEventLength-minEventLength))
			e.Hosts = pickHosts(rng, kind, hosts)
			events = append(events, e)
		}
	}
	events = append(events, operations(seed, hosts, length)...)
	events = append(events, storeCopies(seed, hosts, length)...)
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	return events
}

// operations returns the changes of client accounts and the rollout, if the run
// has one. They have a random sequence of their own, so that the faults of a seed do not
// depend on them.
func operations(seed uint64, hosts int, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, ^uint64(hosts)))
	events := []Event{{At: leadTime + time.Duration(rng.Float64()*float64(maxLowerTime-leadTime)), Kind: LowerAllowance, Hosts: pickHosts(rng, LowerAllowance, hosts)}}
	for at := leadTime; at < length-maxEventLength; at += time.Duration(rng.ExpFloat64() * float64(meanKeyGap)) {
		events = append(events, Event{At: at, Kind: ReplaceKey, Hosts: pickHosts(rng, ReplaceKey, hosts)})
	}
	if length >= minRolloutLength && rng.Float64() < rolloutShare {
		kind := []Kind{Rollout, BadRollout}[rng.IntN(2)]
		events = append(events, Event{At: rolloutAt, Kind: kind, Hosts: pickHosts(rng, kind, hosts), Length: rolloutLimit})
	}
	return events
}

// storeCopies returns the returns of the store from older copies, which have a random
// sequence of their own. The copies are up to maxEventLength old.
func storeCopies(seed uint64, hosts int, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(^seed, uint64(hosts)))
	if rng.Float64() >= copyShare {
		return nil
	}
	var events []Event
	for at := time.Duration(rng.Float64() * float64(length/2)); at < length-maxEventLength; at += time.Duration(rng.ExpFloat64() * float64(meanCopyGap)) {
		e := Event{At: at, Kind: StoreCopy, Hosts: pickHosts(rng, StoreCopy, hosts)}
		e.Length = minEventLength + time.Duration(rng.Float64()*float64(maxEventLength-minEventLength))
		events = append(events, e)
	}
	return events
}

// pickHosts picks the random hosts that an event of kind k affects.
func pickHosts(rng *rand.Rand, k Kind, hosts int) []int {
	shuffled := rng.Perm(hosts)
	switch k {
	case HerdKill:
		least := int(minHerdShare * float64(hosts))
		return shuffled[:least+rng.IntN(hosts-least+1)]
	case Roll:
		return shuffled[:1+rng.IntN(hosts)]
	}
	return shuffled[:1]
}
