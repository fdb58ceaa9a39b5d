package readertest

import (
	"context"
	"errors"
	"testing"
	"time"

	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/reader"
)

const (
	longTTL  = time.Hour
	shortTTL = 20 * time.Millisecond
	// expiryTimeout bounds the wait for a lease to expire.
	expiryTimeout = 20 * time.Second
)

// Run tests an implementation of reader.Leases against its contract. Each call of
// start returns two clients, one per daemon, of the same leases; none is held.
func Run(t *testing.T, start func(t *testing.T) (a, b reader.Leases)) {
	ctx := context.Background()
	t.Run("only the holder can renew a lease", func(t *testing.T) {
		a, b := start(t)
		for range 3 {
			expectError(t, a.Acquire(ctx, reader.Claim{Name: "l", Holder: "a", TTL: longTTL}), nil)
			expectError(t, b.Acquire(ctx, reader.Claim{Name: "l", Holder: "b", TTL: longTTL}), reader.ErrHeld)
		}
		expectError(t, b.Acquire(ctx, reader.Claim{Name: "other", Holder: "b", TTL: longTTL}), nil)
	})
	t.Run("a released lease can be acquired", func(t *testing.T) {
		a, b := start(t)
		expectError(t, a.Acquire(ctx, reader.Claim{Name: "l", Holder: "a", TTL: longTTL}), nil)
		expectError(t, b.Release(ctx, "l", "b"), reader.ErrHeld)
		expectError(t, a.Release(ctx, "l", "a"), nil)
		expectError(t, b.Acquire(ctx, reader.Claim{Name: "l", Holder: "b", TTL: longTTL}), nil)
		expectError(t, a.Acquire(ctx, reader.Claim{Name: "l", Holder: "a", TTL: longTTL}), reader.ErrHeld)
	})
	t.Run("the lease of a terminated holder is taken over before it expires", func(t *testing.T) {
		a, b := start(t)
		expectError(t, a.Acquire(ctx, reader.Claim{Name: "l", Holder: "a", TTL: longTTL}), nil)
		gone := func(holder member.ServerID) bool { return holder == "a" }
		expectError(t, b.Acquire(ctx, reader.Claim{Name: "l", Holder: "b", TTL: longTTL, HolderGone: gone}), nil)
		expectError(t, a.Acquire(ctx, reader.Claim{Name: "l", Holder: "a", TTL: longTTL}), reader.ErrHeld)
	})
	t.Run("a paused holder gets ErrHeld after its lease expired", func(t *testing.T) {
		a, b := start(t)
		expectError(t, a.Acquire(ctx, reader.Claim{Name: "l", Holder: "a", TTL: shortTTL}), nil)
		acquireExpired(t, b, "b")
		expectError(t, a.Acquire(ctx, reader.Claim{Name: "l", Holder: "a", TTL: longTTL}), reader.ErrHeld)
		expectError(t, a.Release(ctx, "l", "a"), reader.ErrHeld)
		expectError(t, b.Acquire(ctx, reader.Claim{Name: "l", Holder: "b", TTL: longTTL}), nil)
	})
}

func expectError(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Fatalf("got error %v, want %v", got, want)
	}
}

// acquireExpired retries until it acquires the lease, after that of the other holder
// has expired.
func acquireExpired(t *testing.T, l reader.Leases, holder member.ServerID) {
	t.Helper()
	for end := time.Now().Add(expiryTimeout); time.Now().Before(end); time.Sleep(shortTTL / 4) {
		err := l.Acquire(context.Background(), reader.Claim{Name: "l", Holder: holder, TTL: longTTL})
		if err == nil {
			return
		}
		expectError(t, err, reader.ErrHeld)
	}
	t.Fatal("lease did not expire within expiryTimeout")
}
