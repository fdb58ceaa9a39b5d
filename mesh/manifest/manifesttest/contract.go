package manifesttest

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fescuehoist.example/mesh/manifest"
)

// TestRepository tests a repository against its contract. Each call of start returns an
// empty repository.
func TestRepository(t *testing.T, start func(t *testing.T) manifest.Repository) {
	for _, c := range []struct {
		name string
		test func(t *testing.T, r manifest.Repository)
	}{
		{"an absent head is version 0", absentHead},
		{"a head is read as it was committed", headRoundTrip},
		{"a commit on another revision is a conflict", conflictingCommit},
		{"a watch returns what is new", watchNew},
		{"a watch waits for a commit", watchWaits},
		{"a watch ends with its context", watchEnds},
		{"content is read as it was stored", contentRoundTrip},
		{"content may be stored again", storeAgain},
		{"absent content is not found", absentContent},
	} {
		t.Run(c.name, func(t *testing.T) { c.test(t, start(t)) })
	}
}

func history() *History {
	h := NewHistory("contract")
	h.Edit(Service("archive", time.Second), Service("lookup", time.Second))
	h.Edit(Service("lookup", 2*time.Second))
	return h
}

func commit(t *testing.T, r manifest.Repository, h *manifest.Head, expect manifest.Revision) manifest.Revision {
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

func absentHead(t *testing.T, r manifest.Repository) {
	head, rev, err := r.Head(context.Background())
	if err != nil || head.Version != 0 || rev != 0 {
		t.Fatalf("got version %v, revision %d, error %v", head, rev, err)
	}
}

func headRoundTrip(t *testing.T, r manifest.Repository) {
	want := history().Head(0, 2)
	commit(t, r, want, 0)
	got, rev, err := r.Head(context.Background())
	if err != nil || rev == 0 {
		t.Fatalf("revision %d, error %v", rev, err)
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

func conflictingCommit(t *testing.T, r manifest.Repository) {
	h := history()
	rev := commit(t, r, h.Head(0, 1), 0)
	for _, expect := range []manifest.Revision{0, rev + 1} {
		if err := r.CommitHead(context.Background(), h.Head(0, 2), expect); !errors.Is(err, manifest.ErrConflict) {
			t.Errorf("expecting revision %d: error %v", expect, err)
		}
	}
	if head, _, err := r.Head(context.Background()); err != nil || head.Version != 1 {
		t.Errorf("version %v after the conflicts, error %v", head, err)
	}
}

func watchNew(t *testing.T, r manifest.Repository) {
	commit(t, r, history().Head(0, 2), 0)
	head, rev, err := r.WaitHead(context.Background(), 0)
	if err != nil || head.Version != 2 || rev == 0 {
		t.Errorf("got %v at revision %d, error %v", head, rev, err)
	}
}

func watchWaits(t *testing.T, r manifest.Repository) {
	h := history()
	rev := commit(t, r, h.Head(0, 1), 0)
	got := make(chan manifest.Version, 1)
	go func() {
		head, _, err := r.WaitHead(context.Background(), rev)
		if err != nil {
			t.Error(err)
			head = &manifest.Head{}
		}
		got <- head.Version
	}()
	commit(t, r, h.Head(0, 2), rev)
	if v := <-got; v != 2 {
		t.Errorf("the watch returned version %d", v)
	}
}

func watchEnds(t *testing.T, r manifest.Repository) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if _, _, err := r.WaitHead(ctx, 0); err == nil {
		t.Error("the watch returned without an error")
	}
}

func contentRoundTrip(t *testing.T, r manifest.Repository) {
	ctx, s, table := context.Background(), Service("lookup", time.Second), history().Tables[2]
	if err := r.PutBody(ctx, s); err != nil {
		t.Fatal(err)
	}
	ref, err := r.PutTable(ctx, table)
	if err != nil || ref.Version != 2 || ref.Digest != table.Digest() {
		t.Fatalf("reference %v, error %v", ref, err)
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

func storeAgain(t *testing.T, r manifest.Repository) {
	for range 2 {
		if err := r.PutBody(context.Background(), Service("lookup", time.Second)); err != nil {
			t.Error(err)
		}
		if _, err := r.PutTable(context.Background(), history().Tables[1]); err != nil {
			t.Error(err)
		}
	}
}

func absentContent(t *testing.T, r manifest.Repository) {
	if _, err := r.Body(context.Background(), Service("lookup", time.Second).Digest()); !errors.Is(err, manifest.ErrNotFound) {
		t.Errorf("body: %v", err)
	}
	ref := manifest.TableRef{Version: 1, Digest: history().Tables[1].Digest()}
	if _, err := r.Table(context.Background(), ref); !errors.Is(err, manifest.ErrNotFound) {
		t.Errorf("table: %v", err)
	}
}
