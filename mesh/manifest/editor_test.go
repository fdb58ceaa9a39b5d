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

func edit(id string, services ...*target.Service) *manifest.Edit {
	return &manifest.Edit{ID: id, Author: "test", Update: services}
}

// rival commits another edit past the network that the editor uses.
func rival(t *testing.T, r *manifesttest.Repository) {
	r.InterceptCommit(nil)
	if _, err := manifest.NewEditor(r).Publish(context.Background(), edit("rival", manifesttest.Service("rival", time.Second))); err != nil {
		t.Error(err)
	}
}

func TestOutcomeOfAnEditThatMeetsAFault(t *testing.T) {
	lost := func(err error) error { return fmt.Errorf("%w: the answer was lost", manifest.ErrOutcomeUnknown) }
	for _, c := range []struct {
		name string
		// network carries the update of the head.
		network func(t *testing.T, r *manifesttest.Repository, write func() error) error
		want    error
		// versions are those that the edit and its rival may have in the end;
		// 0 means that it must not be there.
		version, rival manifest.Version
	}{
		{name: "answer lost after the write", version: 2, network: func(_ *testing.T, _ *manifesttest.Repository, write func() error) error {
			return lost(write())
		}},
		{name: "write lost", version: 2, network: func(_ *testing.T, r *manifesttest.Repository, _ func() error) error {
			r.InterceptCommit(nil)
			return lost(nil)
		}},
		{name: "write lands after the head was read", version: 2, network: func(_ *testing.T, r *manifesttest.Repository, write func() error) error {
			r.InterceptCommit(nil)
			time.AfterFunc(manifest.DefaultDelay/2, func() { _ = write() })
			return lost(nil)
		}},
		{name: "write lands after it was repeated", version: 2, network: func(_ *testing.T, r *manifesttest.Repository, write func() error) error {
			r.InterceptCommit(nil)
			time.AfterFunc(time.Minute, func() { _ = write() })
			return lost(nil)
		}},
		{name: "write lands after a rival's", want: manifest.ErrConflict, rival: 2, network: func(t *testing.T, r *manifesttest.Repository, write func() error) error {
			rival(t, r)
			time.AfterFunc(time.Minute, func() { _ = write() })
			return lost(nil)
		}},
		{name: "answer lost, then a rival's write", version: 2, rival: 3, network: func(t *testing.T, r *manifesttest.Repository, write func() error) error {
			err := lost(write())
			rival(t, r)
			return err
		}},
		{name: "rival first", want: manifest.ErrConflict, rival: 2, network: func(t *testing.T, r *manifesttest.Repository, write func() error) error {
			rival(t, r)
			return write()
		}},
		{name: "platform away after the write", want: manifest.ErrOutcomeUnknown, version: 2, network: func(_ *testing.T, r *manifesttest.Repository, write func() error) error {
			err := lost(write())
			r.SetUnavailable(true)
			return err
		}},
		{name: "platform back before the editor gives up", version: 2, network: func(_ *testing.T, r *manifesttest.Repository, _ func() error) error {
			r.InterceptCommit(nil)
			r.SetUnavailable(true)
			time.AfterFunc(3*manifest.DefaultDelay, func() { r.SetUnavailable(false) })
			return lost(nil)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			manifesttest.RunInBubble(t, func(t *testing.T) {
				r := manifesttest.NewRepository()
				e := manifest.NewEditor(r)
				if _, err := e.Publish(t.Context(), edit("first", manifesttest.Service("lookup", time.Second))); err != nil {
					t.Fatal(err)
				}
				r.InterceptCommit(func(write func() error) error { return c.network(t, r, write) })
				change, err := e.Publish(t.Context(), edit("edit", manifesttest.Service("lookup", 2*time.Second)))
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

// expectEdits compares the edits in the repository with the wanted versions.
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
			t.Errorf("edit %s has version %d in the end, want %d", id, got[id], v)
		}
	}
}

func TestRacingEditShowsTheChangesBetween(t *testing.T) {
	r := manifesttest.NewRepository()
	e := manifest.NewEditor(r)
	for i := range 3 {
		if _, err := e.Publish(t.Context(), edit(fmt.Sprint(i), manifesttest.Service("lookup", time.Duration(i+1)*time.Second))); err != nil {
			t.Fatal(err)
		}
	}
	late := edit("late", manifesttest.Service("archive", time.Second))
	late.Expect = 1
	_, err := e.Publish(t.Context(), late)
	var conflict *manifest.ConflictError
	if !errors.As(err, &conflict) || conflict.Expected != 1 || conflict.Found != 3 || len(conflict.Changes) != 2 {
		t.Errorf("error %+v", err)
	}
	again, err := e.Publish(t.Context(), edit("1", manifesttest.Service("lookup", 9*time.Second)))
	if err != nil || again == nil || again.Version != 2 {
		t.Errorf("the repeated edit got %v, error %v", again, err)
	}
}

func TestEditThatDaemonsWouldRefuseIsNotPublished(t *testing.T) {
	bad := manifesttest.Service("lookup", time.Second)
	bad.Classes[0].Rank = 99
	good := manifesttest.Service("archive", time.Second)
	for name, e := range map[string]*manifest.Edit{
		"invalid target":      edit("e", good, bad),
		"service twice":       edit("e", good, good),
		"changed and removed": {ID: "e", Update: []*target.Service{good}, Remove: []string{"archive"}},
		"no id":               edit("", good),
	} {
		r := manifesttest.NewRepository()
		_, err := manifest.NewEditor(r).Publish(t.Context(), e)
		var invalid *manifest.InvalidError
		if !errors.As(err, &invalid) {
			t.Errorf("%s: error %v", name, err)
		}
		expectEdits(t, r, map[string]manifest.Version{"e": 0})
	}
}

func TestHeadStaysWithinItsLimits(t *testing.T) {
	r := manifesttest.NewRepository()
	e := manifest.NewEditor(r)
	for i := range 200 {
		services := []*target.Service{manifesttest.Service(fmt.Sprintf("s%d", i%7), time.Duration(i+1)*time.Millisecond)}
		if i%50 == 20 {
			for j := range 700 {
				services = append(services, manifesttest.Service(fmt.Sprintf("many%d", j), time.Duration(i+1)*time.Millisecond))
			}
		}
		change, err := e.Publish(t.Context(), edit(fmt.Sprint(i), services...))
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
			t.Fatalf("head %d: %v, %d services touched", head.Version, head.Check(), refs)
		}
	}
}
