package platformhttp

import (
	"context"
	"encoding/json"
	"time"

	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/stop"
)

// stopsKey is the key of the list of planned stops.
const stopsKey = "stops"

type stopJSON struct {
	ID      string            `json:"id"`
	Author  string            `json:"author"`
	Servers []member.ServerID `json:"servers,omitempty"`
	Domain  string            `json:"domain,omitempty"`
	From    time.Time         `json:"from"`
	Until   time.Time         `json:"until"`
}

// Stops reads the list of planned stops. A missing object is an empty list with
// revision 0.
func (s *StatusStore) Stops(ctx context.Context) (*stop.List, error) {
	o, err := s.Client.Get(ctx, stopsKey)
	if isNotFound(err) {
		return &stop.List{}, nil
	}
	if err != nil {
		return nil, err
	}
	var in []stopJSON
	if err := json.Unmarshal(o.Value, &in); err != nil {
		return nil, &manifest.MalformedError{Object: stopsKey, Err: err}
	}
	list := &stop.List{Revision: o.Version}
	for _, item := range in {
		list.Stops = append(list.Stops, stop.Stop(item))
	}
	return list, nil
}

// SaveStops replaces the list if its revision is still l.Revision.
func (s *StatusStore) SaveStops(ctx context.Context, l *stop.List) error {
	out := make([]stopJSON, len(l.Stops))
	for i := range l.Stops {
		out[i] = stopJSON(l.Stops[i])
	}
	_, err := s.Client.Put(ctx, stopsKey, out, l.Revision)
	return err
}
