package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store. Revision is that of its last change.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"created_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storeEvent struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// storeState is the part of the store that a copy holds.
type storeState struct {
	Revision uint64
	Objects  map[string]map[string]object
	History  []storeEvent
}

func (s storeState) clone() storeState {
	c := storeState{Revision: s.Revision, Objects: map[string]map[string]object{}, History: slices.Clone(s.History)}
	for kind, objects := range s.Objects {
		c.Objects[kind] = maps.Clone(objects)
	}
	return c
}

// store stands in for the platform's metadata store (PROTOCOL, "The platform's metadata
// store"), with the header Store-Era of letter 8.
type store struct {
	server *http.Server
	ln     net.Listener
	record *record

	mu      sync.Mutex
	state   storeState
	era     int
	down    bool
	changed chan struct{}
}

func newStore(rec *record) *store {
	s := &store{record: rec, state: storeState{Revision: 1, Objects: map[string]map[string]object{}}, era: 1, changed: make(chan struct{})}
	s.ln = listen()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(s.ln) }()
	return s
}

func (s *store) address() string { return s.ln.Addr().String() }

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put creates or replaces the spec of an object, as the operator does, and returns its
// revision. The answer to the operator is the confirmation.
func (s *store) put(kind, name string, spec any) uint64 {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.state.Objects[kind][name]
	o.Metadata.Name, o.Spec = name, text
	return s.save(kind, o).Metadata.Revision
}

func (s *store) save(kind string, o object) object {
	s.state.Revision++
	o.Metadata.Revision = s.state.Revision
	if o.Metadata.CreatedRev == 0 {
		o.Metadata.CreatedRev = s.state.Revision
	}
	if s.state.Objects[kind] == nil {
		s.state.Objects[kind] = map[string]object{}
	}
	s.state.Objects[kind][o.Metadata.Name] = o
	s.state.History = append(s.state.History, storeEvent{Object: o, kind: kind})
	s.wake()
	return o
}

// copyNow returns a copy of the store.
func (s *store) copyNow() storeState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.clone()
}

func (s *store) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Revision
}

// setDown makes the store reset all calls, or answer them again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// restore brings the store back from a copy. What the operator wrote since is written
// again, in the order in which it was written; what the system wrote since is gone.
func (s *store) restore(from storeState, isOperators func(kind string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.state.History[len(from.History):]
	s.state = from.clone()
	s.era++
	for _, e := range lost {
		if !isOperators(e.kind) || e.Deleted {
			continue
		}
		o := s.state.Objects[e.kind][e.Object.Metadata.Name]
		if string(o.Spec) == string(e.Object.Spec) {
			// The system had written the status.
			continue
		}
		o.Metadata.Name, o.Spec = e.Object.Metadata.Name, e.Object.Spec
		s.save(e.kind, o)
	}
	s.down = false
	s.wake()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	status, body := s.respond(r)
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	down = s.down
	s.mu.Unlock()
	if down || status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) respond(r *http.Request) (int, any) {
	path, found := strings.CutPrefix(r.URL.Path, wire["objects"])
	kind, name, _ := strings.Cut(path, "/")
	if !found || kind == "" {
		return http.StatusNotFound, nil
	}
	if after := r.URL.Query().Get("watch"); after != "" {
		return s.watch(r, kind, after)
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.state.Objects[kind][name]
	condition, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	switch r.Method {
	case http.MethodGet:
		if name == "" {
			return http.StatusOK, s.list(kind, r.URL.Query().Get("after"))
		}
		if !exists {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, o
	case http.MethodDelete:
		if !exists {
			return http.StatusNotFound, nil
		}
		if condition != 0 && condition != o.Metadata.Revision {
			return http.StatusConflict, o
		}
		s.state.Revision++
		o.Metadata.Revision = s.state.Revision
		delete(s.state.Objects[kind], name)
		s.state.History = append(s.state.History, storeEvent{Object: o, Deleted: true, kind: kind})
		s.wake()
		return http.StatusOK, o
	}
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return http.StatusBadRequest, nil
	}
	if r.Method == http.MethodPost {
		if o, exists := s.state.Objects[kind][in.Metadata.Name]; exists {
			return http.StatusConflict, o
		}
		in.Metadata = metadata{Name: in.Metadata.Name}
		s.record.printf("store: created %s/%s at revision %d", kind, in.Metadata.Name, s.state.Revision+1)
		return http.StatusOK, s.save(kind, in)
	}
	if !exists {
		return http.StatusNotFound, nil
	}
	if condition == 0 {
		condition = in.Metadata.Revision
	}
	if condition != 0 && condition != o.Metadata.Revision {
		return http.StatusConflict, o
	}
	before := o
	if isStatus {
		o.Status = in.Status
	} else {
		o.Spec = in.Spec
	}
	if string(before.Spec) == string(o.Spec) && string(before.Status) == string(o.Status) {
		return http.StatusOK, o
	}
	s.record.printf("store: replaced %s/%s at revision %d", kind, name, s.state.Revision+1)
	return http.StatusOK, s.save(kind, o)
}

const storePage = 500

func (s *store) list(kind, after string) any {
	var names []string
	for name := range s.state.Objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []object{}
	for _, name := range names[:min(len(names), storePage)] {
		items = append(items, s.state.Objects[kind][name])
	}
	return map[string]any{"items": items, wire["more"]: len(names) > storePage, wire["at"]: s.state.Revision}
}

// watch answers a watch: with 410 if the store does not have the revision, otherwise with
// the events after it as soon as there is one.
func (s *store) watch(r *http.Request, kind, text string) (int, any) {
	after, err := strconv.ParseUint(text, 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get(wire["wait"]))
	if err != nil || err2 != nil || wait < 0 || wait > 30_000 {
		return http.StatusBadRequest, nil
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for expired := false; ; {
		s.mu.Lock()
		if s.down || s.era != era {
			s.mu.Unlock()
			return 0, nil
		}
		if after > s.state.Revision {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []storeEvent{}
		for _, e := range s.state.History {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		at, changed := s.state.Revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			return http.StatusOK, map[string]any{"events": events, wire["at"]: at}
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return 0, nil
		}
	}
}
