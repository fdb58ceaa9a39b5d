package manifest

import (
	"fmt"
	"slices"

	"fescuehoist.example/mesh/target"
)

// Body is the content of a service, or of a group of client accounts, as peers exchange
// it. Fault is set instead when the platform's object is missing or unreadable; peers pass it
// on so that every daemon refuses the version for the same reason. Patch is set
// instead of Service when the receiver has the content that the patch applies
// to.
type Body struct {
	Digest   target.Digest
	Service  *target.Service
	Accounts *target.AccountGroup
	Patch    *target.Patch
	Fault    string
}

// content is a body with the validation problems of its service and the index of its
// classes, which are computed once. Those of accounts depend on the accounts of all groups.
type content struct {
	body     Body
	problems []target.Problem
	// index is nil if the body has no service.
	index *target.Index
}

// resolvePatch returns a body with its patch applied to the content that the
// patch names. It returns ErrUnpatchable if that content is not stored or does
// not fit the patch.
func resolvePatch(b *Body, contents map[target.Digest]*content) (*Body, error) {
	if b.Patch == nil {
		return b, nil
	}
	from := contents[b.Patch.From]
	if from == nil || from.body.Service == nil {
		return nil, fmt.Errorf("%w: base content %s is not stored", ErrUnpatchable, b.Patch.From)
	}
	s, err := b.Patch.Apply(from.body.Service)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnpatchable, err)
	}
	return &Body{Digest: b.Digest, Service: s}, nil
}

// newContent validates a body. It returns ErrIncomplete if the digest of the
// service is not the digest of the body.
func newContent(b *Body) (*content, error) {
	if b.Fault != "" {
		return &content{body: Body{Digest: b.Digest, Fault: b.Fault}}, nil
	}
	if b.Accounts != nil && b.Accounts.Digest() == b.Digest {
		return &content{body: *b}, nil
	}
	if b.Service == nil || b.Service.Digest() != b.Digest {
		return nil, fmt.Errorf("%w: the content of body %s is missing or has another digest", ErrIncomplete, b.Digest)
	}
	problems := target.WithoutOperatorOnly(b.Service.Validate())
	return &content{body: *b, problems: problems, index: target.NewIndex(b.Service, problems)}, nil
}

// name returns the name of the service or account group, or "" for a fault.
func (b *Body) name() string {
	switch {
	case b.Service != nil:
		return b.Service.Name
	case b.Accounts != nil:
		return b.Accounts.Name
	}
	return ""
}

// problemsFor returns the problems of the content as the configuration of the service or
// account group, and whether they concern single classes only.
func (c *content) problemsFor(name string) (problems []target.Problem, ofClasses bool) {
	if c.body.Fault != "" {
		return []target.Problem{{Service: name, Text: c.body.Fault}}, false
	}
	if found := c.body.name(); found != name {
		noun := "service"
		if c.body.Accounts != nil {
			noun = "account group"
		}
		return []target.Problem{{Service: name, Text: fmt.Sprintf("its body names %s %.80q", noun, found)}}, false
	}
	return c.problems, !slices.ContainsFunc(c.problems, func(p target.Problem) bool { return p.Position == 0 })
}

// maxObsoleteClasses bounds the number of classes in contents that are kept
// although the known version no longer refers to them. They serve as bases of
// patches for lagging peers.
const maxObsoleteClasses = 8192

// replacedRefs returns, for each change, the references that it replaces. The
// first change applies to the table before. Services that a change adds have no
// replaced reference.
func replacedRefs(before *Table, changes []Change) [][]Ref {
	replaced := make([][]Ref, len(changes))
	current := map[string]target.Digest{}
	for i := range changes {
		for _, r := range changes[i].Updated {
			d, found := current[r.Service]
			if !found {
				d, found = before.Lookup(r.Service)
			}
			if found {
				replaced[i] = append(replaced[i], Ref{Service: r.Service, Digest: d})
			}
			current[r.Service] = r.Digest
		}
	}
	return replaced
}

// droppedRefs returns the references of one table that are not in a later one.
func droppedRefs(from, to *Table) []Ref {
	var refs []Ref
	for _, r := range from.Refs {
		if d, ok := to.Lookup(r.Service); !ok || d != r.Digest {
			refs = append(refs, r)
		}
	}
	return refs
}

// addContents stores the added contents and evicts the oldest obsolete ones
// beyond maxObsoleteClasses.
func (s *Store) addContents(added map[target.Digest]*content) {
	for d, c := range added {
		s.contents[d] = c
	}
	evicted, classes := len(s.obsolete), 0
	for ; evicted > 0; evicted-- {
		if classes += s.classesOf(s.obsolete[evicted-1].Digest); classes > maxObsoleteClasses {
			break
		}
	}
	for _, r := range s.obsolete[:evicted] {
		if d, ok := s.known.Lookup(r.Service); !ok || d != r.Digest {
			delete(s.contents, r.Digest)
		}
	}
	s.obsolete = slices.Delete(s.obsolete, 0, evicted)
}

// classesOf returns the number of classes in a content, at least 1.
func (s *Store) classesOf(d target.Digest) int {
	c := s.contents[d]
	if c == nil || c.body.Service == nil {
		return 1
	}
	return max(len(c.body.Service.Classes), 1)
}
