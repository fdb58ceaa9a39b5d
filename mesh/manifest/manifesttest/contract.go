package manifesttest

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fescuehoist.example/mesh/manifest"
)

// TestRepository tests a repository against the contract of
// manifest.Repository. Each call of newRepository returns an empty repository.
func TestRepository(t *testing.T, newRepository func(t *testing.T) manifest.Repository) {
	for _, c := range []struct {
		name string
		test func(t *testing.T, r manifest.Repository)
	}{
		{"missing head has version 0", testMissingHead},
		{"head round trip", testHeadRoundTrip},
		{"commit with wrong revision conflicts", testConflictingCommit},
		{"watch returns newer head", testWatchReturnsNewerHead},
		{"watch waits for commit", testWatchWaitsForCommit},
		{"watch ends with context", testWatchEndsWithContext},
		{"content round trip", testContentRoundTrip},
		{"content stored twice", testContentStoredTwice},
		{"missing content is not found", testMissingContent},
	} {
		t.Run(c.name, func(t *testing.T) { c.test(t, newRepository(t)) })
	}
}

func newHistory() *History {
	h := NewHistory("contract")
	h.Edit(Service("archive", time.Second), Service("lookup", time.Second))
	h.Edit(Service("lookup", 2*time.Second))
	return h
}

func commitHead(t *testing.T, r manifest.Repository, h *manifest.Head, expect manifest.Revision) manifest.Revision {
	t.Helper()
	if err := r.CommitHead(context.Background(), h, expect); err != nil {
		t.Fatal(err)
	}
	_, rev, err := r.Head(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return rev
}

func testMissingHead(t *testing.T, r manifest.Repository) {
	head, rev, err := r.Head(context.Background())
	if err != nil || head.Version != 0 || rev != 0 {
		t.Fatalf("head %v, revision %d, error %v; want version 0 at revision 0", head, rev, err)
	}
}

func testHeadRoundTrip(t *testing.T, r manifest.Repository) {
	want := newHistory().Head(0, 2)
	commitHead(t, r, want, 0)
	got, rev, err := r.Head(context.Background())
	if err != nil || rev == 0 {
		t.Fatalf("Head: revision %d, error %v; want a revision above 0", rev, err)
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

func testConflictingCommit(t *testing.T, r manifest.Repository) {
	h := newHistory()
	rev := commitHead(t, r, h.Head(0, 1), 0)
	for _, expect := range []manifest.Revision{0, rev + 1} {
		if err := r.CommitHead(context.Background(), h.Head(0, 2), expect); !errors.Is(err, manifest.ErrConflict) {
			t.Errorf("CommitHead with revision %d: error %v, want ErrConflict", expect, err)
		}
	}
	if head, _, err := r.Head(context.Background()); err != nil || head.Version != 1 {
		t.Errorf("head %v after the conflicts, error %v; want version 1", head, err)
	}
}

func testWatchReturnsNewerHead(t *testing.T, r manifest.Repository) {
	commitHead(t, r, newHistory().Head(0, 2), 0)
	head, rev, err := r.WaitHead(context.Background(), 0)
	if err != nil || head.Version != 2 || rev == 0 {
		t.Errorf("head %v at revision %d, error %v; want version 2", head, rev, err)
	}
}

func testWatchWaitsForCommit(t *testing.T, r manifest.Repository) {
	h := newHistory()
	rev := commitHead(t, r, h.Head(0, 1), 0)
	got := make(chan manifest.Version, 1)
	go func() {
		head, _, err := r.WaitHead(context.Background(), rev)
		if err != nil {
			t.Error(err)
			head = &manifest.Head{}
		}
		got <- head.Version
	}()
	commitHead(t, r, h.Head(0, 2), rev)
	if v := <-got; v != 2 {
		t.Errorf("watch returned version %d, want 2", v)
	}
}

func testWatchEndsWithContext(t *testing.T, r manifest.Repository) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if _, _, err := r.WaitHead(ctx, 0); err == nil {
		t.Error("watch returned no error after its context ended")
	}
}

func testContentRoundTrip(t *testing.T, r manifest.Repository) {
	ctx, s, table := context.Background(), Service("lookup", time.Second), newHistory().Tables[2]
	if err := r.PutBody(ctx, s); err != nil {
		t.Fatal(err)
	}
	ref, err := r.PutTable(ctx, table)
	if err != nil || ref.Version != 2 || ref.Digest != table.Digest() {
		t.Fatalf("PutTable: reference %v, error %v; want version 2 and the digest of the table", ref, err)
	}
	gotService, err := r.Body(ctx, s.Digest())
	if d := cmp.Diff(s, gotService); err != nil || d != "" {
		t.Error(err, d)
	}
	gotTable, err := r.Table(ctx, ref)
	if d := cmp.Diff(table, gotTable); err != nil || d != "" {
		t.Error(err, d)
	}
}

func testContentStoredTwice(t *testing.T, r manifest.Repository) {
	for range 2 {
		if err := r.PutBody(context.Background(), Service("lookup", time.Second)); err != nil {
			t.Error(err)
		}
		if _, err := r.PutTable(context.Background(), newHistory().Tables[1]); err != nil {
			t.Error(err)
		}
	}
}

func testMissingContent(t *testing.T, r manifest.Repository) {
	if _, err := r.Body(context.Background(), Service("lookup", time.Second).Digest()); !errors.Is(err, manifest.ErrNotFound) {
		t.Errorf("Body: error %v, want ErrNotFound", err)
	}
	ref := manifest.TableRef{Version: 1, Digest: newHistory().Tables[1].Digest()}
	if _, err := r.Table(context.Background(), ref); !errors.Is(err, manifest.ErrNotFound) {
		t.Errorf("Table: error %v, want ErrNotFound", err)
	}
}
