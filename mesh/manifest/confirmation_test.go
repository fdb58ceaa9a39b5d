package manifest_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/manifest/manifesttest"
)

func TestConfirmationThatReturnsFromPeersIsIgnored(t *testing.T) {
	store := manifest.NewStore()
	at := time.Now()
	store.ConfirmFromSource(19, at)
	first := store.Confirmation()
	echo := first
	echo.At = at.Add(time.Second)
	store.ConfirmFromPeer(0, echo)
	if diff := cmp.Diff(first, store.Confirmation()); diff != "" {
		t.Errorf("a confirmation with a known number changed the record (-want +got):\n%s", diff)
	}
}

func TestConfirmationOfUnknownVersionIsIgnored(t *testing.T) {
	history := manifesttest.NewHistory("edit")
	history.Edit(manifesttest.Service("lookup", time.Second))
	store := manifest.NewStore()
	c := manifest.Confirmation{Number: 3, Revision: 19, At: time.Now()}
	store.ConfirmFromPeer(1, c)
	if got := store.Confirmation().Number; got != 0 {
		t.Fatalf("accepted confirmation %d of a version that the store lacks, want none", got)
	}
	if _, err := store.ApplyUpdate(history.Delta(0, 1)); err != nil {
		t.Fatal(err)
	}
	store.ConfirmFromPeer(1, c)
	if diff := cmp.Diff(c, store.Confirmation()); diff != "" {
		t.Errorf("confirmation of the known version (-want +got):\n%s", diff)
	}
}

func TestConfirmationTimeNeverGoesBack(t *testing.T) {
	store := manifest.NewStore()
	at := time.Now()
	store.ConfirmFromSource(19, at)
	store.ConfirmFromPeer(0, manifest.Confirmation{Number: 9, Revision: 17, At: at.Add(-time.Second)})
	want := manifest.Confirmation{Number: 9, Revision: 19, At: at}
	if diff := cmp.Diff(want, store.Confirmation()); diff != "" {
		t.Errorf("after an older confirmation with a higher number (-want +got):\n%s", diff)
	}
	store.ConfirmFromSource(20, at.Add(time.Second))
	if got := store.Confirmation().Number; got != 10 {
		t.Errorf("next confirmation has number %d, want 10", got)
	}
}
