package member

import (
	"maps"
	"slices"
	"strings"
)

// rebuildFraction sets when a view is rebuilt instead of patched: when more than
// one in rebuildFraction of the records changed.
const rebuildFraction = 16

// View is an immutable snapshot of all records, grouped by service.
type View struct {
	services map[string][]*Record
	all      []*Record
}

// Service returns the records of a service, sorted by server.
func (v *View) Service(name string) []*Record { return v.services[name] }

// All returns every record, sorted by server.
func (v *View) All() []*Record { return v.all }

// View returns the current view. After a change it shares the services that did
// not change with the previous view.
func (t *Table) View() *View {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch n := len(t.dirty); {
	case n == 0:
		return t.view
	case n > t.count/rebuildFraction:
		t.view = t.build()
	default:
		t.view = t.patch()
	}
	clear(t.dirty)
	return t.view
}

func (t *Table) build() *View {
	v := &View{services: map[string][]*Record{}, all: make([]*Record, 0, t.count)}
	for i := range t.buckets {
		for _, e := range t.buckets[i].entries {
			v.all = append(v.all, e.record)
		}
	}
	slices.SortFunc(v.all, func(a, b *Record) int { return strings.Compare(string(a.Server), string(b.Server)) })
	for _, r := range v.all {
		if r.Service != "" {
			v.services[r.Service] = append(v.services[r.Service], r)
		}
	}
	return v
}

// patch returns a copy of the view with the dirty records replaced.
func (t *Table) patch() *View {
	v := &View{services: maps.Clone(t.view.services), all: slices.Clone(t.view.all)}
	for id := range t.dirty {
		if i, ok := search(v.all, id); ok {
			v.remove(v.all[i])
			v.all = slices.Delete(v.all, i, i+1)
		}
		if e := t.find(id); e != nil {
			i, _ := search(v.all, id)
			v.all = slices.Insert(v.all, i, e.record)
			v.add(e.record)
		}
	}
	return v
}

func (v *View) add(r *Record) {
	if r.Service == "" {
		return
	}
	records := slices.Clone(v.services[r.Service])
	i, _ := search(records, r.Server)
	v.services[r.Service] = slices.Insert(records, i, r)
}

func (v *View) remove(r *Record) {
	if r.Service == "" {
		return
	}
	records := slices.Clone(v.services[r.Service])
	if i, ok := search(records, r.Server); ok {
		records = slices.Delete(records, i, i+1)
	}
	if len(records) == 0 {
		delete(v.services, r.Service)
		return
	}
	v.services[r.Service] = records
}

func search(records []*Record, id ServerID) (int, bool) {
	return slices.BinarySearchFunc(records, id, func(r *Record, id ServerID) int {
		return strings.Compare(string(r.Server), string(id))
	})
}
