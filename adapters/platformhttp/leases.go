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

// MaxLeaseTTL bounds the time that a stored lease may claim.
const MaxLeaseTTL = time.Minute

// Leases keeps leases in the platform. A lease lapses by the clock of the
// daemon that wants it: after it saw the object unchanged for the lease's time.
type Leases struct {
	Client *Client

	mu   sync.Mutex
	seen map[string]sighting
}

// sighting is the last known version of a lease and when it was first seen.
type sighting struct {
	version uint64
	at      time.Time
	own     bool
}

type leaseJSON struct {
	Holder string `json:"holder"`
	TTL    string `json:"ttl"`
}

// NewLeases returns leases kept through a client.
func NewLeases(c *Client) *Leases { return &Leases{Client: c, seen: map[string]sighting{}} }

// Acquire takes or renews a lease, or returns reader.ErrHeld. A renewal is one
// call as long as nobody else wrote the lease.
func (l *Leases) Acquire(ctx context.Context, c reader.Claim) error {
	if s := l.sighting(c.Name); s.own {
		err := l.write(ctx, &c, s.version)
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

// write stores the claimed lease if its version is still the expected one.
func (l *Leases) write(ctx context.Context, c *reader.Claim, expect uint64) error {
	value := leaseJSON{Holder: string(c.Holder), TTL: c.TTL.String()}
	version, err := l.Client.Put(ctx, leasePrefix+c.Name, value, expect)
	if errors.Is(err, manifest.ErrConflict) {
		l.forget(c.Name)
		return reader.ErrHeld
	}
	if err == nil {
		l.note(c.Name, sighting{version: version, own: true})
	}
	return err
}

// heldByOther reports whether another daemon holds the lease.
func (l *Leases) heldByOther(c *reader.Claim, o *Object) bool {
	var have leaseJSON
	if json.Unmarshal(o.Value, &have) != nil || !c.BlockedBy(member.ServerID(have.Holder)) {
		return false
	}
	ttl, err := time.ParseDuration(have.TTL)
	if err != nil {
		return false
	}
	s := l.sighting(c.Name)
	if s.version != o.Version {
		l.note(c.Name, sighting{version: o.Version, at: time.Now()})
		return true
	}
	return time.Since(s.at) < min(ttl, MaxLeaseTTL)
}

func (l *Leases) sighting(name string) sighting {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen[name]
}

func (l *Leases) note(name string, s sighting) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen[name] = s
}

func (l *Leases) forget(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.seen, name)
}

// Release gives up a lease that holder has.
func (l *Leases) Release(ctx context.Context, name string, holder member.ServerID) error {
	o, err := l.Client.Get(ctx, leasePrefix+name)
	if err != nil {
		return err
	}
	var have leaseJSON
	if err := json.Unmarshal(o.Value, &have); err != nil || have.Holder != string(holder) {
		return reader.ErrHeld
	}
	l.forget(name)
	_, err = l.Client.Put(ctx, leasePrefix+name, leaseJSON{}, o.Version)
	return err
}

func isNotFound(err error) bool { return errors.Is(err, manifest.ErrNotFound) }
