package member

import (
	"slices"
	"strings"
)

// View is an immutable picture of all records, grouped by service.
type View struct {
	services map[string][]*Record
	all      []*Record
}

// Service returns the records of a service, sorted by server.
func (v *View) Service(name string) []*Record { return v.services[name] }

// All returns every record, sorted by server.
func (v *View) All() []*Record { return v.all }

// View returns the current picture; it is built again only after a change.
func (t *Table) View() *View {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stale {
		t.view.Store(t.build())
		t.stale = false
	}
	return t.view.Load()
}

func (t *Table) build() *View {
	v := &View{services: map[string][]*Record{}, all: make([]*Record, 0, len(t.records))}
	for _, e := range t.records {
		v.all = append(v.all, e.record)
	}
	slices.SortFunc(v.all, func(a, b *Record) int { return strings.Compare(string(a.Server), string(b.Server)) })
	for _, r := range v.all {
		if r.Service != "" {
			v.services[r.Service] = append(v.services[r.Service], r)
		}
	}
	return v
}
