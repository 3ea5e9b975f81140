// Package platformstore simulates the platform's store: objects by kind and name with
// one revision counter, paged lists, watches by long polling, and conditional writes.
// It can refuse calls, drop responses, lose them on connections that stay open, delay writes,
// drop its history and come back from a copy.
package platformstore

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of objects on a page of a list.
const pageSize = 20

// maxWait is the longest wait of a watch.
const maxWait = 30 * time.Second

// Faults are the current faults of the store.
type Faults struct {
	// Down refuses every call with 503 before it takes effect.
	Down bool
	// DropResponses carries writes out and closes their connections without a response.
	DropResponses bool
	// LoseAnswers loses the answers that are due. Their connections stay open, and nothing
	// more arrives on them.
	LoseAnswers bool
	// WriteDelay closes the connections of writes without a response, and carries the
	// writes out after this time.
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

// Object is a stored object.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// change is a change of one object in the history.
type change struct {
	kind     string
	revision uint64
	removed  bool
	object   Object
}

// Store simulates the platform's store. It is an http.Handler and safe for concurrent
// use.
type Store struct {
	mu sync.Mutex
	// era is the number of the store's history. It rises at each restore.
	era      uint64
	revision uint64
	kinds    map[string]map[string]Object
	history  []change
	// droppedRevision is the revision up to which the history was dropped.
	droppedRevision uint64
	// changed is closed at each change.
	changed chan struct{}
	faults  Faults
	calls   int
}

// New returns an empty store.
func New() *Store {
	return &Store{era: 1, revision: 1, kinds: make(map[string]map[string]Object), changed: make(chan struct{})}
}

// SetFaults replaces the current faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// DropHistory drops the history. Watches from earlier revisions then end with the status
// 410, and their callers have to list again.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedRevision = nil, s.revision
	s.notifyWatches()
}

// Copy is a copy of a store's objects.
type Copy struct {
	revision uint64
	kinds    map[string]map[string]Object
}

// Copy returns a copy of the objects.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{revision: s.revision, kinds: cloneKinds(s.kinds)}
}

func cloneKinds(kinds map[string]map[string]Object) map[string]map[string]Object {
	out := make(map[string]map[string]Object, len(kinds))
	for kind, objects := range kinds {
		out[kind] = maps.Clone(objects)
	}
	return out
}

// Restore replaces the objects by those of a copy. The changes since the copy are lost, and
// their revisions are given out again. Waiting watches are cut off.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.kinds = c.revision, cloneKinds(c.kinds)
	s.history = slices.DeleteFunc(s.history, func(h change) bool { return h.revision > c.revision })
	s.droppedRevision = min(s.droppedRevision, c.revision)
	s.notifyWatches()
}

// Names returns the names of the objects of a kind, in order.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.kinds[kind]))
}

// Calls returns the number of HTTP calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an object directly, without faults, as the platform itself does.
func (s *Store) Put(kind, name string, spec any) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.PutRaw(kind, name, raw)
	return nil
}

// PutRaw writes an object whose spec may be anything, as another writer may leave it.
func (s *Store) PutRaw(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, Object{Metadata: Metadata{Name: name}, Spec: spec})
}

// Remove removes an object directly, without faults, as the platform itself does.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// write stores an object and returns it with its new revision. If spec and status are
// unchanged, it stores nothing and returns the old object. The caller holds the lock.
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
	s.notifyWatches()
	return o
}

// remove removes an object if it exists. The caller holds the lock.
func (s *Store) remove(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	s.history = append(s.history, change{kind: kind, revision: s.revision, removed: true, object: o})
	s.notifyWatches()
}

// notifyWatches wakes the watches. The caller holds the lock.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// losingWriter is a response that is lost if the store loses answers when it is due.
type losingWriter struct {
	http.ResponseWriter
	store   *Store
	request *http.Request
}

// WriteHeader implements http.ResponseWriter.
func (w *losingWriter) WriteHeader(status int) {
	w.store.mu.Lock()
	lost := w.store.faults.LoseAnswers
	w.store.mu.Unlock()
	if lost {
		<-w.request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.ResponseWriter.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w = &losingWriter{ResponseWriter: w, store: s, request: r}
	s.mu.Lock()
	s.calls++
	faults := s.faults
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
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
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveGet(w, kind, name)
	default:
		s.serveWrite(w, r, &writeCall{kind: kind, name: name, statusOnly: status}, faults)
	}
}

// serveList responds with the page of objects whose names follow the parameter since-rev,
// the last name of the previous page.
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
	more := len(names) > pageSize
	items := []Object{}
	for _, name := range names[:min(pageSize, len(names))] {
		items = append(items, s.kinds[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	writePage(w, items, more, revision)
}

func (s *Store) serveGet(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.kinds[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeObject(w, http.StatusOK, &o)
}

// event is a change in the response to a watch.
type event struct {
	Removed bool
	Object  Object
}

// serveWatch responds with the changes of a kind after a revision. It waits for a change
// if there is none.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(min(maxWait, time.Duration(wait)*time.Millisecond))
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		if s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if from < s.droppedRevision || from > revision {
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
			writeEvents(w, events, revision)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			writeEvents(w, events, revision)
			return
		}
	}
}

// writeCall is a call that writes or deletes an object.
type writeCall struct {
	kind, name string
	// statusOnly is true for a write of the status alone.
	statusOnly bool
	method     string
	object     Object
	// revision is the revision that the object must have, 0 for any.
	revision uint64
}

// serveWrite carries a write out, immediately or after WriteDelay, and responds unless a
// fault prevents it.
func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request, c *writeCall, faults Faults) {
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
	writeObject(w, status, &o)
}

// execute carries a write out if its condition holds, and returns the HTTP status and the
// object of the response.
func (s *Store) execute(c *writeCall) (int, Object) {
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
	if c.statusOnly {
		next.Status = c.object.Status
	} else {
		next.Spec, next.Metadata.Finalizers = c.object.Spec, c.object.Metadata.Finalizers
	}
	return http.StatusOK, s.write(c.kind, next)
}
