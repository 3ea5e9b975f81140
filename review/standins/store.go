package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata is the metadata of a stored object.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is a stored object.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// storeEvent is a change of one object.
type storeEvent struct {
	kind     string
	revision uint64
	Removed  bool
	Object   object
}

// store stands in for the platform's store: objects by kind and name, paged lists, watches by
// long polling and conditional writes.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []storeEvent
	// changed is closed, and replaced, at each change.
	changed chan struct{}
}

// port is the store as one machine reaches it.
type port struct {
	*store
	address string

	mu sync.Mutex
	// silent is true while the store leaves the machine without answers. A channel on which an
	// answer was lost returns nothing further.
	silent bool
}

const (
	pageSize       = 500
	maxWatchMillis = 30_000
)

// newStore returns an empty store.
func newStore() *store {
	return &store{revision: 1, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
}

// open opens a free loopback port of the store for one machine.
func (s *store) open() (*port, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &port{store: s, address: l.Addr().String()}
	go func() { _ = http.Serve(l, p) }()
	return p, nil
}

// setSilent starts or ends a silence towards the machine.
func (p *port) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
}

func (p *port) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

// ServeHTTP implements http.Handler. An answer that is due during a silence is lost, and the
// channel stays open without a further answer until the machine closes it.
func (p *port) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := httptest.NewRecorder()
	p.store.ServeHTTP(out, r)
	if p.isSilent() {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(out.Code)
	_, _ = w.Write(out.Body.Bytes())
}

// put writes an object as the platform or the operator does. It returns when it is stored.
func (s *store) put(kind, name string, spec any) time.Time {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Metadata: metadata{Name: name}, Spec: raw})
	return time.Now()
}

// putRaw writes an object whose spec may be no JSON, as another writer may leave it.
func (s *store) putRaw(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Metadata: metadata{Name: name}, Spec: spec})
}

// remove removes an object as the platform or the operator does.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
	return time.Now()
}

// write stores an object. The caller holds the lock.
func (s *store) write(kind string, o object) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	old, ok := s.kinds[kind][o.Metadata.Name]
	if ok && string(old.Spec) == string(o.Spec) && string(old.Status) == string(o.Status) {
		return old
	}
	s.revision++
	o.Metadata.Revision, o.Metadata.Created = s.revision, s.revision
	if ok {
		o.Metadata.Created = old.Metadata.Created
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.record(storeEvent{kind: kind, revision: s.revision, Object: o})
	return o
}

// delete removes an object. The caller holds the lock.
func (s *store) delete(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	s.record(storeEvent{kind: kind, revision: s.revision, Removed: true, Object: o})
}

// record appends an event and wakes the watches. The caller holds the lock.
func (s *store) record(e storeEvent) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, statusOnly := strings.CutSuffix(name, "/status")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name == "" && q.Get("watch") != "":
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, kind, q.Get("since-rev"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.kinds[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		respond(w, http.StatusOK, o.encode())
	default:
		s.serveWrite(w, r, kind, name, statusOnly)
	}
}

func respond(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// encode returns an object in its wire format. The spec is written as it is: another writer may
// have left bytes that are no JSON.
func (o *object) encode() []byte {
	meta, _ := json.Marshal(o.Metadata)
	out := append([]byte(`{"metadata":`), meta...)
	if o.Spec != nil {
		out = append(append(out, `,"spec":`...), o.Spec...)
	}
	if o.Status != nil {
		out = append(append(out, `,"status":`...), o.Status...)
	}
	return append(out, '}')
}

// encodeEvents returns the answer to a watch.
func encodeEvents(events []storeEvent, revision uint64) []byte {
	var list [][]byte
	for i := range events {
		list = append(list, fmt.Appendf(nil, `{"removed":%t,"object":%s}`, events[i].Removed, events[i].Object.encode()))
	}
	return fmt.Appendf(nil, `{"events":[%s],"as-of":%d}`, bytes.Join(list, []byte(",")), revision)
}

func (s *store) serveList(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var items [][]byte
	for _, name := range names[:min(pageSize, len(names))] {
		o := s.kinds[kind][name]
		items = append(items, o.encode())
	}
	revision := s.revision
	s.mu.Unlock()
	respond(w, http.StatusOK, fmt.Appendf(nil, `{"items":[%s],"more":%t,"as-of":%d}`, bytes.Join(items, []byte(",")), len(names) > pageSize, revision))
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(min(maxWatchMillis, wait)) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		events := []storeEvent{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > from {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			respond(w, http.StatusOK, encodeEvents(events, revision))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			respond(w, http.StatusOK, encodeEvents(events, revision))
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string, statusOnly bool) {
	var in object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	revision := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		revision, _ = strconv.ParseUint(q, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && ok, revision > 0 && ok && revision != old.Metadata.Revision:
		respond(w, http.StatusConflict, old.encode())
	case r.Method != http.MethodPost && !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		respond(w, http.StatusOK, old.encode())
	case statusOnly:
		old.Status = in.Status
		o := s.write(kind, old)
		respond(w, http.StatusOK, o.encode())
	default:
		old.Metadata.Name, old.Metadata.Finalizers, old.Spec = name, in.Metadata.Finalizers, in.Spec
		o := s.write(kind, old)
		respond(w, http.StatusOK, o.encode())
	}
}
