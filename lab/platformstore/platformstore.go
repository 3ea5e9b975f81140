// Package platformstore is a stand-in for the store of the platform that the fleet
// runs on: objects by kind and name with one counter of revisions, pages, watches
// that wait, and conditional writes. It can refuse, lose answers, carry out writes
// late and forget its history.
package platformstore

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is how many objects one page of a list holds.
const pageItems = 20

// mostWait is the longest wait of a watch.
const mostWait = 30 * time.Second

// Faults is what goes wrong now.
type Faults struct {
	// Down answers every call with 503, before it takes effect.
	Down bool
	// DropResponses carries writes out and cuts their connection.
	DropResponses bool
	// WriteDelay carries writes out after a time, after their connection was cut.
	WriteDelay time.Duration
	// Delay delays every call.
	Delay time.Duration
}

// Metadata is the metadata of an object.
type Metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Finalizers []string `json:"finalizers,omitempty"`
}

// Object is one stored object.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// change is one entry of the history.
type change struct {
	kind     string
	revision uint64
	removed  bool
	object   Object
}

// Store is the stand-in. It is an http.Handler, safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]Object
	history  []change
	// forgotten is the revision up to which the history is gone.
	forgotten uint64
	changed   chan struct{}
	faults    Faults
	calls     int
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, kinds: make(map[string]map[string]Object), changed: make(chan struct{})}
}

// SetFaults replaces what goes wrong.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// DropHistory drops the history.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgotten = nil, s.revision
	s.notify()
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an object as the platform itself, without faults.
func (s *Store) Put(kind, name string, spec any) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, Object{Metadata: Metadata{Name: name}, Spec: raw})
	return nil
}

// Remove removes an object as the platform itself, without faults.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// write stores an object, if it changes anything. The caller holds the lock.
func (s *Store) write(kind string, o Object) Object {
	objects := s.kinds[kind]
	if objects == nil {
		objects = make(map[string]Object)
		s.kinds[kind] = objects
	}
	if old, ok := objects[o.Metadata.Name]; ok && string(old.Spec) == string(o.Spec) && string(old.Status) == string(o.Status) {
		return old
	}
	s.revision++
	o.Metadata.Revision = s.revision
	objects[o.Metadata.Name] = o
	s.history = append(s.history, change{kind: kind, revision: s.revision, object: o})
	s.notify()
	return o
}

func (s *Store) remove(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	s.history = append(s.history, change{kind: kind, revision: s.revision, removed: true, object: o})
	s.notify()
}

// notify wakes watches. The caller holds the lock.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(faults.Delay)
	path, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, status := strings.CutSuffix(name, "/status")
	switch {
	case faults.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.change(w, r, &call{kind: kind, name: name, status: status}, faults)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller has gone when this fails.
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("since-rev")
	s.mu.Lock()
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageItems
	items := []Object{}
	for _, name := range names[:min(pageItems, len(names))] {
		items = append(items, s.kinds[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "as-of": revision})
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.kinds[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

// event is one change as a watch tells it.
type event struct {
	Removed bool   `json:"removed"`
	Object  Object `json:"object"`
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(min(mostWait, time.Duration(wait)*time.Millisecond))
	for {
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		if from < s.forgotten {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []event{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > from {
				events = append(events, event{Removed: c.removed, Object: c.object})
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "as-of": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "as-of": revision})
			return
		}
	}
}

// call is one write.
type call struct {
	kind, name string
	// status is true for a write of the status alone.
	status bool
	method string
	object Object
	// revision is the condition of the write, 0 for none.
	revision uint64
}

// change carries a write out, now or late, and answers it or not.
func (s *Store) change(w http.ResponseWriter, r *http.Request, c *call, faults Faults) {
	c.method = r.Method
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&c.object); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	c.revision = c.object.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		c.revision, _ = strconv.ParseUint(q, 10, 64)
	}
	if faults.WriteDelay > 0 {
		time.AfterFunc(faults.WriteDelay, func() { s.execute(c) })
		panic(http.ErrAbortHandler)
	}
	status, o := s.execute(c)
	if faults.DropResponses {
		panic(http.ErrAbortHandler)
	}
	answer(w, status, o)
}

// execute carries a write out if its condition holds.
func (s *Store) execute(c *call) (int, Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.method == http.MethodPost {
		c.name = c.object.Metadata.Name
	}
	old, ok := s.kinds[c.kind][c.name]
	switch {
	case c.method == http.MethodPost && ok, c.revision > 0 && c.revision != old.Metadata.Revision:
		return http.StatusConflict, old
	case c.method != http.MethodPost && !ok:
		return http.StatusNotFound, Object{}
	case c.method == http.MethodDelete:
		s.remove(c.kind, c.name)
		return http.StatusOK, old
	}
	next := old
	next.Metadata.Name = c.name
	if c.status {
		next.Status = c.object.Status
	} else {
		next.Spec, next.Metadata.Finalizers = c.object.Spec, c.object.Metadata.Finalizers
	}
	return http.StatusOK, s.write(c.kind, next)
}
