package platformhttp

import (
	"testing"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
)

func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		`{}`, `[]`, `null`, `{"version": 1}`, `{"version": -1}`, `{"version": 18446744073709551615}`,
		`{"version": 1, "changes": [{"version": 1, "edit_id": "e", "at": "2026-01-01T00:00:00Z", "updated": [{"service": "a"}]}]}`,
		`{"version": 2, "base_version": 1, "base_digest": "00", "changes": [{"version": 2}]}`,
		`{"changes": [{"at": "yesterday"}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		h, rev, err := decodeHead(&Object{Key: headKey, Version: 7, Value: data}, nil, false)
		if rev != 7 {
			t.Errorf("revision %d, want 7", rev)
		}
		if err != nil {
			return
		}
		if h.Check() != nil {
			t.Errorf("accepted a head that fails its check: %v", h.Check())
		}
		store := manifest.NewStore()
		_, err = store.ApplyUpdate(&manifest.Update{Changes: h.Changes})
		if err != nil && store.KnownVersion() != 0 {
			t.Errorf("update partially applied: %v", err)
		}
	})
}

func FuzzBody(f *testing.F) {
	for _, seed := range []string{
		`{}`, `[]`, `null`, `{"name": "a"}`, `{"name": "a", "classes": [{"latency": "1s", "timeout": "1s", "notice": "0s"}]}`,
		`{"name": "a", "classes": [{"latency": "1e9h"}]}`, `{"name": "a", "classes": [{"success": 1e999}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := serviceFromJSON(data)
		if err != nil {
			return
		}
		s.Validate()
		if _, err := decodeBody(&Object{Value: data}, s.Digest()); err != nil {
			t.Errorf("body refused under its own digest: %v", err)
		}
		if _, err := decodeBody(&Object{Value: data}, target.NewHasher().Digest()); err == nil {
			t.Error("body accepted under another digest")
		}
	})
}

func FuzzTable(f *testing.F) {
	for _, seed := range []string{`{}`, `[]`, `{"version": 1, "refs": [{"service": "a"}]}`, `{"refs": [{}, {}]}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		ref := manifest.TableRef{Digest: (&manifest.Table{}).Digest()}
		got, err := decodeTable(&Object{Value: data}, ref)
		if err == nil && (got.Check() != nil || got.Digest() != ref.Digest) {
			t.Error("table accepted under another digest")
		}
	})
}
