package platformhttp

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/reader"
)

const leasePrefix = "lease/"

// MaxLeaseTTL bounds the TTL that is accepted from a stored lease.
const MaxLeaseTTL = time.Minute

// Leases stores leases in the platform. A lease expires by the clock of the
// daemon that tries to acquire it: once it has seen the object unchanged for the
// lease's TTL.
type Leases struct {
	Client *Client

	mu       sync.Mutex
	observed map[string]observation
}

// observation is the last known version of a lease object.
type observation struct {
	version   uint64
	firstSeen time.Time // zero if ownWrite
	ownWrite  bool      // this client wrote the version
}

type leaseJSON struct {
	Holder string `json:"holder"`
	TTL    string `json:"ttl"`
}

// NewLeases returns leases stored through c.
func NewLeases(c *Client) *Leases { return &Leases{Client: c, observed: map[string]observation{}} }

// Acquire acquires or renews a lease, or returns reader.ErrHeld. A renewal is a
// single call unless another client wrote the lease in the meantime.
func (l *Leases) Acquire(ctx context.Context, c reader.Claim) error {
	if last := l.lastObservation(c.Name); last.ownWrite {
		err := l.write(ctx, &c, last.version)
		if !errors.Is(err, reader.ErrHeld) {
			return err
		}
	}
	o, err := l.Client.Get(ctx, leasePrefix+c.Name)
	if isNotFound(err) {
		return l.write(ctx, &c, 0)
	}
	if err != nil {
		return err
	}
	if l.heldByOther(&c, o) {
		return reader.ErrHeld
	}
	return l.write(ctx, &c, o.Version)
}

// write stores the claimed lease if the object's version is still expect, or
// returns reader.ErrHeld.
func (l *Leases) write(ctx context.Context, c *reader.Claim, expect uint64) error {
	value := leaseJSON{Holder: string(c.Holder), TTL: c.TTL.String()}
	version, err := l.Client.Put(ctx, leasePrefix+c.Name, value, expect)
	if errors.Is(err, manifest.ErrConflict) {
		l.dropObservation(c.Name)
		return reader.ErrHeld
	}
	if err == nil {
		l.record(c.Name, observation{version: version, ownWrite: true})
	}
	return err
}

// heldByOther reports whether another daemon holds the lease, and records the
// version of o if it was not seen before. A lease that cannot be decoded counts
// as free.
func (l *Leases) heldByOther(c *reader.Claim, o *Object) bool {
	var stored leaseJSON
	if json.Unmarshal(o.Value, &stored) != nil || !c.BlockedBy(member.ServerID(stored.Holder)) {
		return false
	}
	ttl, err := time.ParseDuration(stored.TTL)
	if err != nil {
		return false
	}
	last := l.lastObservation(c.Name)
	if last.version != o.Version {
		l.record(c.Name, observation{version: o.Version, firstSeen: time.Now()})
		return true
	}
	return time.Since(last.firstSeen) < min(ttl, MaxLeaseTTL)
}

func (l *Leases) lastObservation(name string) observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.observed[name]
}

func (l *Leases) record(name string, o observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observed[name] = o
}

func (l *Leases) dropObservation(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.observed, name)
}

// Release releases a lease, or returns reader.ErrHeld if holder does not hold it.
func (l *Leases) Release(ctx context.Context, name string, holder member.ServerID) error {
	o, err := l.Client.Get(ctx, leasePrefix+name)
	if err != nil {
		return err
	}
	var stored leaseJSON
	if err := json.Unmarshal(o.Value, &stored); err != nil || stored.Holder != string(holder) {
		return reader.ErrHeld
	}
	l.dropObservation(name)
	_, err = l.Client.Put(ctx, leasePrefix+name, leaseJSON{}, o.Version)
	return err
}

func isNotFound(err error) bool { return errors.Is(err, manifest.ErrNotFound) }
