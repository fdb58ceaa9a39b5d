package manifest_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/manifest/manifesttest"
	"fescuehoist.example/mesh/revision"
)

var at19 = revision.Revision{Number: 19}

func TestConfirmationThatReturnsFromPeersIsIgnored(t *testing.T) {
	store := manifest.NewStore()
	at := time.Now()
	store.ConfirmFromSource(at19, at)
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
	c := manifest.Confirmation{Number: 3, Revision: at19, At: time.Now()}
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
	store.ConfirmFromSource(at19, at)
	store.ConfirmFromPeer(0, manifest.Confirmation{Number: 9, Revision: revision.Revision{Number: 17}, At: at.Add(-time.Second)})
	want := manifest.Confirmation{Number: 9, Revision: at19, At: at}
	if diff := cmp.Diff(want, store.Confirmation()); diff != "" {
		t.Errorf("after an older confirmation with a higher number (-want +got):\n%s", diff)
	}
	store.ConfirmFromSource(revision.Revision{Number: 20}, at.Add(time.Second))
	if got := store.Confirmation().Number; got != 10 {
		t.Errorf("next confirmation has number %d, want 10", got)
	}
}

// Guards against watches that go on from a revision which the source has given out again,
// and against a confirmation by a source that has come back from an older copy since.
func TestConfirmationOfLaterEpochReplacesHigherRevision(t *testing.T) {
	store := manifest.NewStore()
	at := time.Now()
	store.ConfirmFromSource(revision.Revision{Epoch: 1, Number: 90}, at)
	later := manifest.Confirmation{Number: 4, Revision: revision.Revision{Epoch: 2, Number: 20}, At: at.Add(time.Second)}
	store.ConfirmFromPeer(0, later)
	if diff := cmp.Diff(later, store.Confirmation()); diff != "" {
		t.Errorf("after a confirmation of a later epoch (-want +got):\n%s", diff)
	}
	store.ConfirmFromPeer(0, manifest.Confirmation{Number: 7, Revision: revision.Revision{Epoch: 1, Number: 95}, At: at.Add(time.Minute)})
	later.Number = 7
	if diff := cmp.Diff(later, store.Confirmation()); diff != "" {
		t.Errorf("after a confirmation of an earlier epoch (-want +got):\n%s", diff)
	}
}
