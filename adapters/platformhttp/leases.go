package platformhttp

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/reader"
)

const leasePrefix = "lease/"

// Leases keeps leases in the platform. A lease lapses by the clock of the
// daemon that wants it: after it saw the object unchanged for the lease's time.
type Leases struct {
	Client *Client
	seen   map[string]sighting
}

// sighting is when a holder's version of a lease was first seen.
type sighting struct {
	version uint64
	at      time.Time
}

type leaseJSON struct {
	Holder string `json:"holder"`
	TTL    string `json:"ttl"`
}

// NewLeases returns leases kept through a client.
func NewLeases(c *Client) *Leases { return &Leases{Client: c, seen: map[string]sighting{}} }

// Acquire takes or renews a lease, or returns reader.ErrHeld.
func (l *Leases) Acquire(ctx context.Context, name string, holder member.ServerID, ttl time.Duration) error {
	o, err := l.Client.Get(ctx, leasePrefix+name)
	if err != nil && !isNotFound(err) {
		return err
	}
	var version uint64
	if err == nil {
		version = o.Version
		if l.heldByOther(name, o, holder) {
			return reader.ErrHeld
		}
	}
	_, err = l.Client.Put(ctx, leasePrefix+name, leaseJSON{Holder: string(holder), TTL: ttl.String()}, version)
	if errors.Is(err, manifest.ErrConflict) {
		return reader.ErrHeld
	}
	return err
}

// heldByOther reports whether another daemon holds the lease.
func (l *Leases) heldByOther(name string, o *Object, holder member.ServerID) bool {
	var have leaseJSON
	if json.Unmarshal(o.Value, &have) != nil || have.Holder == "" || have.Holder == string(holder) {
		return false
	}
	ttl, err := time.ParseDuration(have.TTL)
	if err != nil {
		return false
	}
	if s := l.seen[name]; s.version != o.Version {
		l.seen[name] = sighting{version: o.Version, at: time.Now()}
		return true
	}
	return time.Since(l.seen[name].at) < ttl
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
	_, err = l.Client.Put(ctx, leasePrefix+name, leaseJSON{}, o.Version)
	return err
}

func isNotFound(err error) bool { return errors.Is(err, manifest.ErrNotFound) }
