package manifest

import (
	"slices"

	"fescuehoist.example/mesh/target"
)

// UpdateSince returns the update that brings a peer from version v to the known one,
// or nil if the peer is not behind.
func (l *Store) UpdateSince(v Version) *Update {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v >= l.known.Version {
		return nil
	}
	first := slices.IndexFunc(l.changes, func(c Change) bool { return c.Predecessor() == v })
	if first >= 0 {
		return l.delta(first)
	}
	return &Update{Base: l.known, Bodies: l.bodiesOf(l.known.Refs)}
}

// delta returns the changes from the first one on, with the bodies to which they
// lead as patches of those that the peer has.
func (l *Store) delta(first int) *Update {
	u := &Update{Changes: slices.Clone(l.changes[first:])}
	had := map[string]target.Digest{}
	for _, refs := range l.replaced[first:] {
		for _, r := range refs {
			if _, known := had[r.Service]; !known {
				had[r.Service] = r.Digest
			}
		}
	}
	var refs []Ref
	for i := range u.Changes {
		for _, r := range u.Changes[i].Updated {
			if d, ok := l.known.Lookup(r.Service); ok && d == r.Digest {
				refs = append(refs, r)
			}
		}
	}
	u.Bodies = l.bodiesOf(refs)
	for i := range u.Bodies {
		if s := u.Bodies[i].Service; s != nil {
			l.patch(&u.Bodies[i], had[s.Name])
		}
	}
	return u
}

// patch turns a body into a patch of an older one if that is shorter.
func (l *Store) patch(b *Body, from target.Digest) {
	old := l.contents[from]
	if old == nil || old.body.Service == nil {
		return
	}
	p, carried := target.NewPatch(from, old.body.Service, b.Service)
	if carried+len(p.Pieces) < len(b.Service.Classes) {
		b.Service, b.Patch = nil, p
	}
}

func (l *Store) bodiesOf(refs []Ref) []Body {
	seen := make(map[target.Digest]bool, len(refs))
	bodies := make([]Body, 0, len(refs))
	for _, ref := range refs {
		c := l.contents[ref.Digest]
		if c == nil || seen[ref.Digest] {
			continue
		}
		seen[ref.Digest] = true
		bodies = append(bodies, c.body)
	}
	return bodies
}
