package manifest_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
)

// site returns a virtual host with many routes, one of which has the timeout.
func site(timeout time.Duration) []target.Service {
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

// adopted returns a log that has taken up versions in turn.
func adopted(t *testing.T, versions ...manifest.Version) *manifest.Store {
	t.Helper()
	l := manifest.NewStore()
	for _, v := range versions {
		if _, err := l.ApplyFull(v, site(time.Duration(v)*time.Minute)); err != nil {
			t.Fatal(err)
		}
	}
	return l
}

func TestAPeerThatIsBehindGetsOnlyWhatChanged(t *testing.T) {
	ahead := adopted(t, 3, 5, 9, 12)
	for _, v := range []manifest.Version{3, 5, 9} {
		behind := adopted(t, v)
		u := ahead.UpdateSince(v)
		if len(u.Bodies) != 1 || u.Bodies[0].Patch == nil {
			t.Fatalf("after version %d: bodies %+v", v, u.Bodies)
		}
		if _, err := behind.ApplyUpdate(u); err != nil {
			t.Fatal(err)
		}
		if got := behind.Snapshot().Service("site.example").Classes[50].Timeout; got != 12*time.Minute {
			t.Errorf("after version %d: timeout %s", v, got)
		}
	}
}

func TestAPeerWithoutTheOldContentGetsItWhole(t *testing.T) {
	ahead, behind := adopted(t, 3, 5), adopted(t, 3)
	u := ahead.UpdateSince(3)
	u.Bodies[0].Patch.From = target.NewHasher().Digest()
	if _, err := behind.ApplyUpdate(u); !errors.Is(err, manifest.ErrUnpatchable) {
		t.Fatalf("got %v", err)
	}
	if _, err := behind.ApplyUpdate(ahead.UpdateSince(0)); err != nil || behind.KnownVersion() != 5 {
		t.Errorf("version %d, %v", behind.KnownVersion(), err)
	}
}

func TestOldContentsAreDropped(t *testing.T) {
	l := manifest.NewStore()
	for v := range manifest.Version(300) {
		if _, err := l.ApplyFull(v+1, site(time.Duration(v+1)*time.Minute)); err != nil {
			t.Fatal(err)
		}
	}
	if u := l.UpdateSince(1); u.Bodies[0].Patch != nil {
		t.Error("the content of the first version is still kept")
	}
	if u := l.UpdateSince(299); u.Bodies[0].Patch == nil {
		t.Error("the content of the last version but one is gone")
	}
}
