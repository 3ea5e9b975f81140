package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Metadata is the metadata of a stored object.
type Metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is an object of the platform's store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// event is one change, as a watch reports it.
type event struct {
	Removed bool   `json:"removed"`
	Object  Object `json:"object"`
}

type change struct {
	event
	kind     string
	revision uint64
}

// pageSize is the number of objects on a page of a list.
const pageSize = 500

// Store is a sound platform store: objects by kind and name, one revision counter, linearizable
// answers, lists in pages, watches by long polling.
type Store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]Object
	history  []change
	// changed is closed at each change, and replaced.
	changed chan struct{}
}

func newStore() *Store {
	return &Store{revision: 1, kinds: make(map[string]map[string]Object), changed: make(chan struct{})}
}

// put writes the spec of an object for the platform itself.
func (s *Store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Spec = name, raw
	s.write(kind, o)
}

// remove removes an object for the platform itself.
func (s *Store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

// write stores an object. One that changes nothing raises no revision. The caller holds the lock.
func (s *Store) write(kind string, o Object) Object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]Object)
	}
	old, ok := s.kinds[kind][o.Metadata.Name]
	if ok && string(old.Spec) == string(o.Spec) && string(old.Status) == string(o.Status) {
		return old
	}
	s.revision++
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	o.Metadata.Revision = s.revision
	s.kinds[kind][o.Metadata.Name] = o
	s.record(change{event{false, o}, kind, s.revision})
	return o
}

func (s *Store) drop(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	s.record(change{event{true, o}, kind, s.revision})
}

func (s *Store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	kind, name, _ := strings.Cut(path, "/")
	name, statusOnly := strings.CutSuffix(name, "/status")
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Get("watch") != "":
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, found := s.kinds[kind][name]
		s.mu.Unlock()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, o)
	default:
		s.serveWrite(w, r, kind, name, statusOnly)
	}
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("since-rev")
	s.mu.Lock()
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []Object{}
	for _, name := range names[:min(pageSize, len(names))] {
		items = append(items, s.kinds[kind][name])
	}
	out := map[string]any{"items": items, "more": len(names) > pageSize, "as-of": s.revision}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		events := []event{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > from {
				events = append(events, c.event)
			}
		}
		s.mu.Unlock()
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			case <-timeout:
				done = true
			}
		}
		if done {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as-of": revision})
			return
		}
	}
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string, statusOnly bool) {
	var in Object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	condition := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		condition, _ = strconv.ParseUint(q, 10, 64)
	}
	s.mu.Lock()
	old, found := s.kinds[kind][name]
	status, out := http.StatusOK, old
	switch {
	case r.Method == http.MethodPost && found, found && condition > 0 && condition != old.Metadata.Revision:
		status = http.StatusConflict
	case r.Method != http.MethodPost && !found:
		status = http.StatusNotFound
	case r.Method == http.MethodDelete:
		s.drop(kind, name)
	default:
		next := old
		next.Metadata.Name = name
		if statusOnly {
			next.Status = in.Status
		} else {
			next.Spec, next.Metadata.Finalizers = in.Spec, in.Metadata.Finalizers
		}
		out = s.write(kind, next)
	}
	s.mu.Unlock()
	writeJSON(w, status, out)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Writing fails only if the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}
