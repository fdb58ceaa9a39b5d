package platformhttp_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuehoist.example/adapters/platformhttp"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/manifest/manifesttest"
	"fescuehoist.example/mesh/target"
	"fescuehoist.example/standin/platform"
)

// TestEditorConcurrentEditsEachBecomeOneVersion publishes edits of several
// operators concurrently, each retried after a conflict. Every edit must become
// exactly one version.
func TestEditorConcurrentEditsEachBecomeOneVersion(t *testing.T) {
	const operators, edits = 5, 6
	for name, faults := range map[string]platform.Faults{
		"no fault":           {},
		"all responses lost": {DropResponses: true, Writes: "config/head"},
		"all writes late":    {WriteDelay: 2 * time.Millisecond, Writes: "config/head"},
	} {
		t.Run(name, func(t *testing.T) {
			p, client := startPlatform(t)
			p.SetFaults(faults)
			var g errgroup.Group
			for o := range operators {
				editor := manifest.NewEditor(&platformhttp.Repository{Client: client()})
				editor.Attempts, editor.Delay = 100, time.Millisecond
				g.Go(func() error {
					for i := range edits {
						s := manifesttest.Service(fmt.Sprintf("service-%d", o), time.Duration(i+1)*time.Second)
						edit := &manifest.Edit{ID: fmt.Sprintf("%d-%d", o, i), Update: []*target.Service{s}}
						_, err := editor.Publish(t.Context(), edit)
						for errors.Is(err, manifest.ErrConflict) {
							_, err = editor.Publish(t.Context(), edit)
						}
						if err != nil {
							return err
						}
					}
					return nil
				})
			}
			if err := g.Wait(); err != nil {
				t.Fatal(err)
			}
			head, table, _, err := manifest.NewEditor(&platformhttp.Repository{Client: client()}).Current(t.Context())
			if err != nil || head.Version != operators*edits || len(table.Refs) != operators {
				t.Fatalf("version %d with %d services, error %v, want version %d with %d services", head.Version, len(table.Refs), err, operators*edits, operators)
			}
			seen := map[string]int{}
			for i := range head.Changes {
				seen[head.Changes[i].EditID]++
			}
			if len(seen) != operators*edits {
				t.Errorf("%d of %d edits in the history: %v", len(seen), operators*edits, seen)
			}
		})
	}
}
