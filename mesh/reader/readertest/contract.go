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
	// waitLimit bounds the wait for a lease to lapse.
	waitLimit = 20 * time.Second
)

// Run tests leases against their contract. Each call of start returns the
// leases as two daemons see them; nobody holds any.
func Run(t *testing.T, start func(t *testing.T) (a, b reader.Leases)) {
	ctx := context.Background()
	t.Run("one daemon holds a lease and renews it", func(t *testing.T) {
		a, b := start(t)
		for range 3 {
			expect(t, a.Acquire(ctx, reader.Claim{Name: "l", Holder: "a", TTL: longTTL}), nil)
			expect(t, b.Acquire(ctx, reader.Claim{Name: "l", Holder: "b", TTL: longTTL}), reader.ErrHeld)
		}
		expect(t, b.Acquire(ctx, reader.Claim{Name: "other", Holder: "b", TTL: longTTL}), nil)
	})
	t.Run("a released lease is free", func(t *testing.T) {
		a, b := start(t)
		expect(t, a.Acquire(ctx, reader.Claim{Name: "l", Holder: "a", TTL: longTTL}), nil)
		expect(t, b.Release(ctx, "l", "b"), reader.ErrHeld)
		expect(t, a.Release(ctx, "l", "a"), nil)
		expect(t, b.Acquire(ctx, reader.Claim{Name: "l", Holder: "b", TTL: longTTL}), nil)
		expect(t, a.Acquire(ctx, reader.Claim{Name: "l", Holder: "a", TTL: longTTL}), reader.ErrHeld)
	})
	t.Run("the lease of a holder that is gone need not lapse", func(t *testing.T) {
		a, b := start(t)
		expect(t, a.Acquire(ctx, reader.Claim{Name: "l", Holder: "a", TTL: longTTL}), nil)
		gone := func(holder member.ServerID) bool { return holder == "a" }
		expect(t, b.Acquire(ctx, reader.Claim{Name: "l", Holder: "b", TTL: longTTL, HolderGone: gone}), nil)
		expect(t, a.Acquire(ctx, reader.Claim{Name: "l", Holder: "a", TTL: longTTL}), reader.ErrHeld)
	})
	t.Run("a holder that paused loses the lapsed lease and learns it", func(t *testing.T) {
		a, b := start(t)
		expect(t, a.Acquire(ctx, reader.Claim{Name: "l", Holder: "a", TTL: shortTTL}), nil)
		takeOver(t, b, "b")
		expect(t, a.Acquire(ctx, reader.Claim{Name: "l", Holder: "a", TTL: longTTL}), reader.ErrHeld)
		expect(t, a.Release(ctx, "l", "a"), reader.ErrHeld)
		expect(t, b.Acquire(ctx, reader.Claim{Name: "l", Holder: "b", TTL: longTTL}), nil)
	})
}

func expect(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Fatalf("got error %v, want %v", got, want)
	}
}

// takeOver tries until the lease has lapsed.
func takeOver(t *testing.T, l reader.Leases, holder member.ServerID) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(shortTTL / 4) {
		err := l.Acquire(context.Background(), reader.Claim{Name: "l", Holder: holder, TTL: longTTL})
		if err == nil {
			return
		}
		expect(t, err, reader.ErrHeld)
	}
	t.Fatal("the lease did not lapse")
}
