package manifest_test

import (
	"errors"
	"testing"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/manifest/manifesttest"
)

func TestRecoverPublishesAboveKnownVersion(t *testing.T) {
	known := manifesttest.NewHistory("known")
	for i := range 5 {
		known.Edit(manifesttest.Service("lookup", time.Duration(i+1)*time.Second))
	}
	for name, corrupt := range map[string]func(r *manifesttest.Repository){
		"head at older version": func(r *manifesttest.Repository) { r.SetHead(known.Head(0, 2), nil) },
		"head missing":          func(r *manifesttest.Repository) { r.SetHead(&manifest.Head{}, nil) },
		"head undecodable": func(r *manifesttest.Repository) {
			r.SetHead(&manifest.Head{}, &manifest.MalformedError{Object: "head", Err: errors.New("no JSON")})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := manifesttest.NewRepository()
			r.StoreHistory(known)
			corrupt(r)
			e := manifest.NewEditor(r)
			wanted := newEdit("recovery", manifesttest.Service("archive", time.Second), manifesttest.Service("lookup", 9*time.Second))
			change, err := e.Recover(t.Context(), wanted, known.Version())
			if err != nil || change.Version <= known.Version() {
				t.Fatalf("Recover: change %v, error %v; want a version above the known one", change, err)
			}
			head, table, _, err := e.Current(t.Context())
			if err != nil || len(table.Refs) != 2 || head.Base.Version <= known.Version() {
				t.Fatalf("head %v, table %v, error %v; want 2 services and a base above the known version", head, table, err)
			}
			if _, err := e.Publish(t.Context(), newEdit("next", manifesttest.Service("lookup", time.Second))); err != nil {
				t.Error(err)
			}
			var invalid *manifest.InvalidError
			if _, err := e.Recover(t.Context(), wanted, known.Version()); !errors.As(err, &invalid) {
				t.Errorf("second Recover above an outdated version: error %v, want an InvalidError", err)
			}
		})
	}
}
