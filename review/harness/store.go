package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time that the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// maxValue is the maximum size of a value in bytes.
const maxValue = 1 << 20

// maxPage is the maximum number of objects in one page of a list.
const maxPage = 500

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"created_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// Store is a stand-in for the platform's object store. It keeps its whole
// history and answers every call.
type Store struct {
	Address string
	server  *http.Server

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
}

// NewStore starts a store.
func NewStore() (*Store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: ln.Addr().String(), revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put creates or replaces an object, as the operator does.
func (s *Store) Put(kind, name string, text []byte) error {
	if len(text) > maxValue {
		return fmt.Errorf("value of %d bytes, want at most %d", len(text), maxValue)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, object{Spec: text})
	return nil
}

func (s *Store) put(kind, name string, o object) object {
	s.revision++
	old, exists := s.objects[kind][name]
	o.Metadata.Name, o.Metadata.Revision, o.Metadata.CreatedRev = name, s.revision, s.revision
	if exists {
		o.Metadata.CreatedRev, o.Status = old.Metadata.CreatedRev, old.Status
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.record(event{Object: o, kind: kind})
	return o
}

func (s *Store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	status, body := s.respond(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) respond(r *http.Request) (int, any) {
	path, found := strings.CutPrefix(r.URL.Path, names.ObjectsPath)
	kind, name, _ := strings.Cut(path, "/")
	if !found || kind == "" {
		return http.StatusNotFound, nil
	}
	if after := r.URL.Query().Get("watch"); after != "" {
		return s.watch(r, kind, after)
	}
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			return http.StatusBadRequest, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		if o, exists := s.objects[kind][in.Metadata.Name]; exists {
			return http.StatusConflict, o
		}
		return http.StatusOK, s.put(kind, in.Metadata.Name, in)
	}
	if name == "" {
		return http.StatusOK, s.list(kind, r.URL.Query().Get("after"))
	}
	o, exists := s.objects[kind][name]
	if !exists {
		return http.StatusNotFound, nil
	}
	expected := in.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	if r.Method != http.MethodGet && expected != 0 && expected != o.Metadata.Revision {
		return http.StatusConflict, o
	}
	switch r.Method {
	case http.MethodPut:
		if string(in.Spec) != string(o.Spec) {
			o = s.put(kind, name, in)
		}
	case http.MethodDelete:
		s.revision++
		o.Metadata.Revision = s.revision
		delete(s.objects[kind], name)
		s.record(event{Object: o, Deleted: true, kind: kind})
	}
	return http.StatusOK, o
}

func (s *Store) list(kind, after string) any {
	var found []string
	for name := range s.objects[kind] {
		if name > after {
			found = append(found, name)
		}
	}
	slices.Sort(found)
	items := []object{}
	for _, name := range found[:min(len(found), maxPage)] {
		items = append(items, s.objects[kind][name])
	}
	return map[string]any{"items": items, names.More: len(found) > maxPage, names.At: s.revision}
}

// watch returns the changes of a kind after a revision as soon as there are any.
func (s *Store) watch(r *http.Request, kind, text string) (int, any) {
	after, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get(names.Wait))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, names.At: revision}
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, map[string]any{"events": events, names.At: revision}
		case <-r.Context().Done():
			return http.StatusOK, nil
		}
	}
}
