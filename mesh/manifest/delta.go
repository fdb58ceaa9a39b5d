package manifest

import (
	"slices"

	"fescuehoist.example/mesh/target"
)

// UpdateSince returns the update that takes a peer from version v to the known
// version, or nil if the peer is not behind. The update has the whole table as
// its base if v is older than the recorded changes.
func (s *Store) UpdateSince(v Version) *Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v >= s.known.Version {
		return nil
	}
	first := slices.IndexFunc(s.changes, func(c Change) bool { return c.Predecessor() == v })
	if first >= 0 {
		return s.updateFrom(first)
	}
	return &Update{Base: s.known, Bodies: s.bodiesOf(s.known.Refs)}
}

// updateFrom returns the changes from index first on and the bodies that they
// refer to. A body is sent as a patch of the peer's previous content where that
// is shorter.
func (s *Store) updateFrom(first int) *Update {
	u := &Update{Changes: slices.Clone(s.changes[first:])}
	oldDigests := map[string]target.Digest{}
	for _, refs := range s.replaced[first:] {
		for _, r := range refs {
			if _, found := oldDigests[r.Service]; !found {
				oldDigests[r.Service] = r.Digest
			}
		}
	}
	var refs []Ref
	for i := range u.Changes {
		for _, r := range u.Changes[i].Updated {
			if d, ok := s.known.Lookup(r.Service); ok && d == r.Digest {
				refs = append(refs, r)
			}
		}
	}
	u.Bodies = s.bodiesOf(refs)
	for i := range u.Bodies {
		if service := u.Bodies[i].Service; service != nil {
			s.patchBody(&u.Bodies[i], oldDigests[service.Name])
		}
	}
	return u
}

// patchBody replaces the body's service by a patch of the content with digest
// from, if that content is stored and the patch is shorter.
func (s *Store) patchBody(b *Body, from target.Digest) {
	old := s.contents[from]
	if old == nil || old.body.Service == nil {
		return
	}
	p, included := target.NewPatch(from, old.body.Service, b.Service)
	if included+len(p.Pieces) < len(b.Service.Classes) {
		b.Service, b.Patch = nil, p
	}
}

// bodiesOf returns the stored bodies of the references, each once.
func (s *Store) bodiesOf(refs []Ref) []Body {
	seen := make(map[target.Digest]bool, len(refs))
	bodies := make([]Body, 0, len(refs))
	for _, ref := range refs {
		c := s.contents[ref.Digest]
		if c == nil || seen[ref.Digest] {
			continue
		}
		seen[ref.Digest] = true
		bodies = append(bodies, c.body)
	}
	return bodies
}
