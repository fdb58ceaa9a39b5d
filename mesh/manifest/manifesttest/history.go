package manifesttest

import (
	"fmt"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/target"
)

// History is a sequence of versions with their tables and bodies.
type History struct {
	// Tables holds the table of each version, from version 0 on.
	Tables  []*manifest.Table
	Changes []manifest.Change
	Bodies  map[target.Digest]manifest.Body
	// editPrefix is the prefix of the edit IDs; it distinguishes them from those
	// of other histories.
	editPrefix string
}

// NewHistory returns a history at version 0 whose edit IDs start with
// editPrefix.
func NewHistory(editPrefix string) *History {
	return &History{Tables: []*manifest.Table{{}}, Bodies: map[target.Digest]manifest.Body{}, editPrefix: editPrefix}
}

// Service returns a valid service whose content depends on latency.
func Service(name string, latency time.Duration) *target.Service {
	return &target.Service{Name: name, Classes: []target.Class{{
		Name: "lookup", Method: "GET", Path: "/", Rank: 1, Latency: latency, Success: 0.99, Timeout: time.Minute, Idempotent: true,
	}}}
}

// Edit adds a version in which the services have new content.
func (h *History) Edit(services ...*target.Service) {
	var bodies []manifest.Body
	for _, s := range services {
		bodies = append(bodies, manifest.Body{Digest: s.Digest(), Service: s})
	}
	h.EditBodies(services, bodies)
}

// EditBodies adds a version in which the services have the given bodies, which
// may be invalid.
func (h *History) EditBodies(services []*target.Service, bodies []manifest.Body) {
	c := h.nextChange()
	for i, s := range services {
		c.Updated = append(c.Updated, manifest.Ref{Service: s.Name, Digest: bodies[i].Digest})
		h.Bodies[bodies[i].Digest] = bodies[i]
	}
	h.addVersion(c)
}

// Remove adds a version without the service.
func (h *History) Remove(service string) {
	c := h.nextChange()
	c.Removed = []string{service}
	h.addVersion(c)
}

// nextChange returns an empty change to the next version.
func (h *History) nextChange() *manifest.Change {
	v := h.Version() + 1
	return &manifest.Change{Version: v, EditID: fmt.Sprintf("%s-%d", h.editPrefix, v), Author: "test", At: time.Unix(1, 0).UTC()}
}

// addVersion adds the version that results from the change.
func (h *History) addVersion(c *manifest.Change) {
	next, err := h.Tables[h.Version()].Apply(c)
	if err != nil {
		panic(err)
	}
	c.Table = next.Digest()
	h.Tables = append(h.Tables, next)
	h.Changes = append(h.Changes, *c)
}

// Version returns the newest version.
func (h *History) Version() manifest.Version { return manifest.Version(len(h.Changes)) }

// Delta returns the update from one version to a later one, without a base
// table.
func (h *History) Delta(from, to manifest.Version) *manifest.Update {
	u := &manifest.Update{Changes: h.Changes[from:to]}
	for i := range u.Changes {
		u.Bodies = append(u.Bodies, h.bodies(u.Changes[i].Updated)...)
	}
	return u
}

// DeltaWithBase returns the update that has the table of version base and leads
// to a later version.
func (h *History) DeltaWithBase(base, to manifest.Version) *manifest.Update {
	u := h.Delta(base, to)
	u.Base = h.Tables[base]
	u.Bodies = append(u.Bodies, h.bodies(u.Base.Refs)...)
	return u
}

// Head returns the head of a version with the table of version base.
func (h *History) Head(base, to manifest.Version) *manifest.Head {
	head := &manifest.Head{Version: to, Changes: h.Changes[base:to]}
	if base > 0 {
		head.Base = manifest.TableRef{Version: base, Digest: h.Tables[base].Digest()}
	}
	return head
}

func (h *History) bodies(refs []manifest.Ref) []manifest.Body {
	var bodies []manifest.Body
	for _, ref := range refs {
		bodies = append(bodies, h.Bodies[ref.Digest])
	}
	return bodies
}

// StoreHistory stores all tables of a history, and all bodies without a fault,
// in the repository.
func (r *Repository) StoreHistory(h *History) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range h.Tables {
		r.tables[t.Digest()] = t
	}
	for d, b := range h.Bodies {
		if b.Service != nil {
			r.bodies[d] = b.Service
		}
	}
}
