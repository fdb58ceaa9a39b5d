package manifest_test

import (
	"errors"
	"testing"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/manifest/manifesttest"
)

func TestRecoverPutsAWholeConfigurationAboveWhatDaemonsKnow(t *testing.T) {
	known := manifesttest.NewHistory("known")
	for i := range 5 {
		known.Edit(manifesttest.Service("lookup", time.Duration(i+1)*time.Second))
	}
	for name, spoil := range map[string]func(r *manifesttest.Repository){
		"head went back": func(r *manifesttest.Repository) { r.SetHead(known.Head(0, 2), nil) },
		"head is gone":   func(r *manifesttest.Repository) { r.SetHead(&manifest.Head{}, nil) },
		"head cannot be read": func(r *manifesttest.Repository) {
			r.SetHead(&manifest.Head{}, &manifest.MalformedError{Object: "head", Err: errors.New("no JSON")})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := manifesttest.NewRepository()
			r.StoreHistory(known)
			spoil(r)
			e := manifest.NewEditor(r)
			wanted := edit("recovery", manifesttest.Service("archive", time.Second), manifesttest.Service("lookup", 9*time.Second))
			change, err := e.Recover(t.Context(), wanted, known.Version())
			if err != nil || change.Version <= known.Version() {
				t.Fatalf("change %v, error %v", change, err)
			}
			head, table, _, err := e.Current(t.Context())
			if err != nil || len(table.Refs) != 2 || head.Base.Version <= known.Version() {
				t.Fatalf("head %v with table %v, error %v", head, table, err)
			}
			if _, err := e.Publish(t.Context(), edit("next", manifesttest.Service("lookup", time.Second))); err != nil {
				t.Error(err)
			}
			var invalid *manifest.InvalidError
			if _, err := e.Recover(t.Context(), wanted, known.Version()); !errors.As(err, &invalid) {
				t.Errorf("a second recovery below the newest version: %v", err)
			}
		})
	}
}
