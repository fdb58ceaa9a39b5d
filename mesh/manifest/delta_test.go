package manifest_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
)

// newSite returns a virtual host with 100 routes, one of which has the given
// timeout.
func newSite(timeout time.Duration) []target.Service {
	s := target.Service{Name: "site.example"}
	for i := range 100 {
		s.Classes = append(s.Classes, target.Class{
			Name: fmt.Sprint("r-", i), Path: fmt.Sprintf("/%d/", i), Rank: 1, Latency: time.Second, Success: 0.99,
			Timeout: time.Minute, Idempotent: true,
		})
	}
	s.Classes[50].Timeout = timeout
	return []target.Service{s}
}

// newStore returns a store to which the versions have been applied in order.
func newStore(t *testing.T, versions ...manifest.Version) *manifest.Store {
	t.Helper()
	store := manifest.NewStore()
	for _, v := range versions {
		if _, err := store.ApplyFull(v, newSite(time.Duration(v)*time.Minute), nil, nil); err != nil {
			t.Fatal(err)
		}
	}
	return store
}

func TestUpdateSinceSendsPatchToLaggingPeer(t *testing.T) {
	ahead := newStore(t, 3, 5, 9, 12)
	for _, v := range []manifest.Version{3, 5, 9} {
		behind := newStore(t, v)
		u := ahead.UpdateSince(v)
		if len(u.Bodies) != 1 || u.Bodies[0].Patch == nil {
			t.Fatalf("update since version %d has bodies %+v, want one patch", v, u.Bodies)
		}
		if _, err := behind.ApplyUpdate(u); err != nil {
			t.Fatal(err)
		}
		if got := behind.Snapshot().Service("site.example").Classes[50].Timeout; got != 12*time.Minute {
			t.Errorf("after the update since version %d: timeout %s, want 12m0s", v, got)
		}
	}
}

func TestApplyUpdateRejectsPatchWithoutBase(t *testing.T) {
	ahead, behind := newStore(t, 3, 5), newStore(t, 3)
	u := ahead.UpdateSince(3)
	u.Bodies[0].Patch.From = target.NewHasher().Digest()
	if _, err := behind.ApplyUpdate(u); !errors.Is(err, manifest.ErrUnpatchable) {
		t.Fatalf("error %v, want ErrUnpatchable", err)
	}
	if _, err := behind.ApplyUpdate(ahead.UpdateSince(0)); err != nil || behind.KnownVersion() != 5 {
		t.Errorf("known version %d, error %v; want version 5", behind.KnownVersion(), err)
	}
}

func TestStoreEvictsOldContents(t *testing.T) {
	store := manifest.NewStore()
	for v := range manifest.Version(300) {
		if _, err := store.ApplyFull(v+1, newSite(time.Duration(v+1)*time.Minute), nil, nil); err != nil {
			t.Fatal(err)
		}
	}
	if u := store.UpdateSince(1); u.Bodies[0].Patch != nil {
		t.Error("content of version 1 is still stored")
	}
	if u := store.UpdateSince(299); u.Bodies[0].Patch == nil {
		t.Error("content of version 299 is no longer stored")
	}
}
