package manifest_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/manifest/manifesttest"
	"fescuehoist.example/mesh/target"
)

func newEdit(id string, services ...*target.Service) *manifest.Edit {
	return &manifest.Edit{ID: id, Author: "test", Update: services}
}

// publishRival publishes another edit directly, without the commit interceptor.
func publishRival(t *testing.T, r *manifesttest.Repository) {
	r.InterceptCommit(nil)
	if _, err := manifest.NewEditor(r).Publish(context.Background(), newEdit("rival", manifesttest.Service("rival", time.Second))); err != nil {
		t.Error(err)
	}
}

func TestPublishResolvesOutcomeAfterFault(t *testing.T) {
	outcomeUnknown := func(err error) error { return fmt.Errorf("%w: response lost", manifest.ErrOutcomeUnknown) }
	for _, c := range []struct {
		name string
		// intercept delivers the update of the head.
		intercept func(t *testing.T, r *manifesttest.Repository, write func() error) error
		want      error
		// version and rival are the versions that the edit and the rival edit
		// have at the end; 0 means that the edit was not accepted.
		version, rival manifest.Version
	}{
		{name: "response lost after write", version: 2, intercept: func(_ *testing.T, _ *manifesttest.Repository, write func() error) error {
			return outcomeUnknown(write())
		}},
		{name: "write lost", version: 2, intercept: func(_ *testing.T, r *manifesttest.Repository, _ func() error) error {
			r.InterceptCommit(nil)
			return outcomeUnknown(nil)
		}},
		{name: "write delayed until after head is read", version: 2, intercept: func(_ *testing.T, r *manifesttest.Repository, write func() error) error {
			r.InterceptCommit(nil)
			time.AfterFunc(manifest.DefaultDelay/2, func() { _ = write() })
			return outcomeUnknown(nil)
		}},
		{name: "write delayed until after retry", version: 2, intercept: func(_ *testing.T, r *manifesttest.Repository, write func() error) error {
			r.InterceptCommit(nil)
			time.AfterFunc(time.Minute, func() { _ = write() })
			return outcomeUnknown(nil)
		}},
		{name: "write delayed until after rival edit", want: manifest.ErrConflict, rival: 2, intercept: func(t *testing.T, r *manifesttest.Repository, write func() error) error {
			publishRival(t, r)
			time.AfterFunc(time.Minute, func() { _ = write() })
			return outcomeUnknown(nil)
		}},
		{name: "response lost before rival edit", version: 2, rival: 3, intercept: func(t *testing.T, r *manifesttest.Repository, write func() error) error {
			err := outcomeUnknown(write())
			publishRival(t, r)
			return err
		}},
		{name: "rival edit first", want: manifest.ErrConflict, rival: 2, intercept: func(t *testing.T, r *manifesttest.Repository, write func() error) error {
			publishRival(t, r)
			return write()
		}},
		{name: "platform unavailable after write", want: manifest.ErrOutcomeUnknown, version: 2, intercept: func(_ *testing.T, r *manifesttest.Repository, write func() error) error {
			err := outcomeUnknown(write())
			r.SetUnavailable(true)
			return err
		}},
		{name: "platform recovers before last attempt", version: 2, intercept: func(_ *testing.T, r *manifesttest.Repository, _ func() error) error {
			r.InterceptCommit(nil)
			r.SetUnavailable(true)
			time.AfterFunc(3*manifest.DefaultDelay, func() { r.SetUnavailable(false) })
			return outcomeUnknown(nil)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			manifesttest.RunInBubble(t, func(t *testing.T) {
				r := manifesttest.NewRepository()
				e := manifest.NewEditor(r)
				if _, err := e.Publish(t.Context(), newEdit("first", manifesttest.Service("lookup", time.Second))); err != nil {
					t.Fatal(err)
				}
				r.InterceptCommit(func(write func() error) error { return c.intercept(t, r, write) })
				change, err := e.Publish(t.Context(), newEdit("edit", manifesttest.Service("lookup", 2*time.Second)))
				if !errors.Is(err, c.want) || (err == nil && (change == nil || change.Version != c.version)) {
					t.Errorf("change %v, error %v; want version %d, error %v", change, err, c.version, c.want)
				}
				time.Sleep(2 * time.Minute)
				r.SetUnavailable(false)
				expectEdits(t, r, map[string]manifest.Version{"first": 1, "edit": c.version, "rival": c.rival})
			})
		})
	}
}

// expectEdits fails the test if the edits in the repository do not have the
// wanted versions. 0 means that the edit must not be there.
func expectEdits(t *testing.T, r *manifesttest.Repository, want map[string]manifest.Version) {
	t.Helper()
	head, _, _, err := manifest.NewEditor(r).Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]manifest.Version{}
	for i := range head.Changes {
		got[head.Changes[i].EditID] = head.Changes[i].Version
	}
	for id, v := range want {
		if got[id] != v {
			t.Errorf("edit %s has version %d, want %d", id, got[id], v)
		}
	}
}

func TestPublishConflictListsInterveningChanges(t *testing.T) {
	r := manifesttest.NewRepository()
	e := manifest.NewEditor(r)
	for i := range 3 {
		if _, err := e.Publish(t.Context(), newEdit(fmt.Sprint(i), manifesttest.Service("lookup", time.Duration(i+1)*time.Second))); err != nil {
			t.Fatal(err)
		}
	}
	late := newEdit("late", manifesttest.Service("archive", time.Second))
	late.Expect = 1
	_, err := e.Publish(t.Context(), late)
	var conflict *manifest.ConflictError
	if !errors.As(err, &conflict) || conflict.Expected != 1 || conflict.Found != 3 || len(conflict.Changes) != 2 {
		t.Errorf("error %+v; want a ConflictError from version 1 to 3 with 2 changes", err)
	}
	repeated, err := e.Publish(t.Context(), newEdit("1", manifesttest.Service("lookup", 9*time.Second)))
	if err != nil || repeated == nil || repeated.Version != 2 {
		t.Errorf("repeated edit: change %v, error %v; want version 2", repeated, err)
	}
}

func TestPublishRejectsInvalidEdit(t *testing.T) {
	bad := manifesttest.Service("lookup", time.Second)
	bad.Classes[0].Rank = 99
	valid := manifesttest.Service("archive", time.Second)
	for name, e := range map[string]*manifest.Edit{
		"invalid target":              newEdit("e", valid, bad),
		"service listed twice":        newEdit("e", valid, valid),
		"service updated and removed": {ID: "e", Update: []*target.Service{valid}, Remove: []string{"archive"}},
		"empty edit id":               newEdit("", valid),
	} {
		r := manifesttest.NewRepository()
		_, err := manifest.NewEditor(r).Publish(t.Context(), e)
		var invalid *manifest.InvalidError
		if !errors.As(err, &invalid) {
			t.Errorf("%s: error %v, want an InvalidError", name, err)
		}
		expectEdits(t, r, map[string]manifest.Version{"e": 0})
	}
}

func TestPublishKeepsHeadWithinLimits(t *testing.T) {
	r := manifesttest.NewRepository()
	e := manifest.NewEditor(r)
	for i := range 200 {
		services := []*target.Service{manifesttest.Service(fmt.Sprintf("s%d", i%7), time.Duration(i+1)*time.Millisecond)}
		if i%50 == 20 {
			for j := range 700 {
				services = append(services, manifesttest.Service(fmt.Sprintf("many%d", j), time.Duration(i+1)*time.Millisecond))
			}
		}
		change, err := e.Publish(t.Context(), newEdit(fmt.Sprint(i), services...))
		if err != nil {
			t.Fatal(err)
		}
		head, table, _, err := e.Current(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		refs := 0
		for j := range head.Changes {
			refs += len(head.Changes[j].Updated)
		}
		if head.Check() != nil || refs > manifest.MaxHeadRefs || table.Digest() != change.Table {
			t.Fatalf("head %d: Check returned %v, %d services touched; want a valid head within MaxHeadRefs and the table digest of the change", head.Version, head.Check(), refs)
		}
	}
}
