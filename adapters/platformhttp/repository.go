package platformhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
)

// Keys and key prefixes of the configuration objects.
const (
	headKey     = "config/head"
	bodyPrefix  = "config/body/"
	tablePrefix = "config/table/"
)

// Repository implements manifest.Repository on the platform's object API.
type Repository struct{ Client *Client }

type headJSON struct {
	Version     uint64       `json:"version"`
	BaseVersion uint64       `json:"base_version"`
	BaseDigest  string       `json:"base_digest"`
	Changes     []changeJSON `json:"changes"`
}

type changeJSON struct {
	Version uint64    `json:"version"`
	EditID  string    `json:"edit_id"`
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
	Updated []refJSON `json:"updated,omitempty"`
	Removed []string  `json:"removed,omitempty"`
	Table   string    `json:"table"`
}

type refJSON struct {
	Service string `json:"service"`
	Digest  string `json:"digest"`
}

type tableJSON struct {
	Version uint64    `json:"version"`
	Refs    []refJSON `json:"refs"`
}

type serviceJSON struct {
	Name    string      `json:"name"`
	Classes []classJSON `json:"classes"`
}

type classJSON struct {
	Name       string  `json:"name"`
	Method     string  `json:"method,omitempty"`
	Path       string  `json:"path"`
	Rank       int     `json:"rank"`
	Latency    string  `json:"latency"`
	Success    float64 `json:"success"`
	Keep       float64 `json:"keep"`
	Timeout    string  `json:"timeout"`
	Idempotent bool    `json:"idempotent"`
	Internal   bool    `json:"internal"`
	Notice     string  `json:"notice"`
}

// Head reads the head. A missing head is returned as version 0 without an error.
func (r *Repository) Head(ctx context.Context) (*manifest.Head, manifest.Revision, error) {
	o, err := r.Client.Get(ctx, headKey)
	return decodeHead(o, err, true)
}

// WaitHead waits for a head whose revision is above after, or returns
// manifest.ErrUnchanged.
func (r *Repository) WaitHead(ctx context.Context, after manifest.Revision) (*manifest.Head, manifest.Revision, error) {
	o, err := r.Client.Watch(ctx, headKey, uint64(after))
	return decodeHead(o, err, false)
}

// CommitHead replaces the head if its revision is still expect. It returns
// manifest.ErrConflict or manifest.ErrOutcomeUnknown.
func (r *Repository) CommitHead(ctx context.Context, h *manifest.Head, expect manifest.Revision) error {
	out := headJSON{Version: uint64(h.Version), BaseVersion: uint64(h.Base.Version), BaseDigest: string(h.Base.Digest)}
	for i := range h.Changes {
		c := &h.Changes[i]
		out.Changes = append(out.Changes, changeJSON{
			Version: uint64(c.Version), EditID: c.EditID, Author: c.Author, At: c.At,
			Updated: refsToJSON(c.Updated), Removed: c.Removed, Table: string(c.Table),
		})
	}
	_, err := r.Client.Put(ctx, headKey, out, uint64(expect))
	return err
}

// Body reads the service stored under a digest, or returns a
// manifest.MalformedError if the content has another digest.
func (r *Repository) Body(ctx context.Context, d target.Digest) (*target.Service, error) {
	o, err := r.Client.Get(ctx, bodyPrefix+string(d))
	if err != nil {
		return nil, err
	}
	return decodeBody(o, d)
}

// PutBody stores a service under its digest.
func (r *Repository) PutBody(ctx context.Context, s *target.Service) error {
	d := s.Digest()
	return r.putContent(ctx, bodyPrefix+string(d), serviceToJSON(s), func(o *Object) error {
		_, err := decodeBody(o, d)
		return err
	})
}

func decodeBody(o *Object, d target.Digest) (*target.Service, error) {
	s, err := serviceFromJSON(o.Value)
	if err != nil {
		return nil, malformed(o.Key, err)
	}
	if s.Digest() != d {
		return nil, malformed(o.Key, fmt.Errorf("content has digest %s", s.Digest()))
	}
	return s, nil
}

// Table reads a base table, or returns a manifest.MalformedError if the content
// does not match ref.
func (r *Repository) Table(ctx context.Context, ref manifest.TableRef) (*manifest.Table, error) {
	o, err := r.Client.Get(ctx, tablePrefix+string(ref.Digest))
	if err != nil {
		return nil, err
	}
	return decodeTable(o, ref)
}

// PutTable stores a base table under its digest.
func (r *Repository) PutTable(ctx context.Context, t *manifest.Table) (manifest.TableRef, error) {
	ref := manifest.TableRef{Version: t.Version, Digest: t.Digest()}
	out := tableJSON{Version: uint64(t.Version), Refs: refsToJSON(t.Refs)}
	err := r.putContent(ctx, tablePrefix+string(ref.Digest), out, func(o *Object) error {
		_, err := decodeTable(o, ref)
		return err
	})
	return ref, err
}

func decodeTable(o *Object, ref manifest.TableRef) (*manifest.Table, error) {
	var in tableJSON
	if err := json.Unmarshal(o.Value, &in); err != nil {
		return nil, malformed(o.Key, err)
	}
	t := &manifest.Table{Version: manifest.Version(in.Version), Refs: refsFromJSON(in.Refs)}
	if err := t.Check(); err != nil {
		return nil, malformed(o.Key, err)
	}
	if t.Digest() != ref.Digest || t.Version != ref.Version {
		return nil, malformed(o.Key, fmt.Errorf("content is version %d with digest %s", t.Version, t.Digest()))
	}
	return t, nil
}

// putContent stores content under a key derived from its digest. An existing
// object is left alone if it passes check and is replaced otherwise. If the
// response to the write was lost, reading the object shows whether the write
// took effect.
func (r *Repository) putContent(ctx context.Context, key string, value any, check func(*Object) error) error {
	_, err := r.Client.Put(ctx, key, value, 0)
	if !errors.Is(err, manifest.ErrConflict) && !errors.Is(err, manifest.ErrOutcomeUnknown) {
		return err
	}
	o, readErr := r.Client.Get(ctx, key)
	if readErr != nil {
		return errors.Join(err, readErr)
	}
	if check(o) == nil {
		return nil
	}
	_, err = r.Client.Put(ctx, key, value, o.Version)
	return err
}

func malformed(key string, err error) error { return &manifest.MalformedError{Object: key, Err: err} }

// decodeHead returns the head and its revision. The revision is also returned
// with a manifest.MalformedError, so that the caller can wait for the next one.
func decodeHead(o *Object, err error, missingIsZero bool) (*manifest.Head, manifest.Revision, error) {
	if missingIsZero && isNotFound(err) {
		return &manifest.Head{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var in headJSON
	if err := json.Unmarshal(o.Value, &in); err != nil {
		return nil, manifest.Revision(o.Version), malformed(headKey, err)
	}
	h := &manifest.Head{
		Version: manifest.Version(in.Version),
		Base:    manifest.TableRef{Version: manifest.Version(in.BaseVersion), Digest: target.Digest(in.BaseDigest)},
	}
	for _, c := range in.Changes {
		h.Changes = append(h.Changes, manifest.Change{
			Version: manifest.Version(c.Version), EditID: c.EditID, Author: c.Author, At: c.At,
			Updated: refsFromJSON(c.Updated), Removed: c.Removed, Table: target.Digest(c.Table),
		})
	}
	if err := h.Check(); err != nil {
		return nil, manifest.Revision(o.Version), malformed(headKey, err)
	}
	return h, manifest.Revision(o.Version), nil
}

func refsToJSON(refs []manifest.Ref) []refJSON {
	out := make([]refJSON, len(refs))
	for i, r := range refs {
		out[i] = refJSON{Service: r.Service, Digest: string(r.Digest)}
	}
	return out
}

func refsFromJSON(in []refJSON) []manifest.Ref {
	refs := make([]manifest.Ref, len(in))
	for i, r := range in {
		refs[i] = manifest.Ref{Service: r.Service, Digest: target.Digest(r.Digest)}
	}
	return refs
}

func serviceToJSON(s *target.Service) serviceJSON {
	out := serviceJSON{Name: s.Name}
	for i := range s.Classes {
		out.Classes = append(out.Classes, targetToJSON(&s.Classes[i]))
	}
	return out
}

func targetToJSON(c *target.Class) classJSON {
	return classJSON{
		Name: c.Name, Method: c.Method, Path: c.Path, Rank: c.Rank,
		Latency: c.Latency.String(), Success: c.Success, Keep: c.GuaranteedShare, Timeout: c.Timeout.String(),
		Idempotent: c.Idempotent, Internal: c.Internal, Notice: c.Notice.String(),
	}
}

func serviceFromJSON(raw []byte) (*target.Service, error) {
	var in serviceJSON
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, err
	}
	s := &target.Service{Name: in.Name}
	for i := range in.Classes {
		class, err := targetFromJSON(&in.Classes[i])
		if err != nil {
			return nil, err
		}
		s.Classes = append(s.Classes, class)
	}
	return s, nil
}

func targetFromJSON(c *classJSON) (target.Class, error) {
	class := target.Class{
		Name: c.Name, Method: c.Method, Path: c.Path, Rank: c.Rank, Success: c.Success, GuaranteedShare: c.Keep,
		Idempotent: c.Idempotent, Internal: c.Internal,
	}
	for _, f := range []struct {
		name, text string
		dst        *time.Duration
	}{{"latency", c.Latency, &class.Latency}, {"timeout", c.Timeout, &class.Timeout}, {"notice", c.Notice, &class.Notice}} {
		d, err := time.ParseDuration(f.text)
		if err != nil {
			return class, fmt.Errorf("class %s: %s: %w", c.Name, f.name, err)
		}
		*f.dst = d
	}
	return class, nil
}
