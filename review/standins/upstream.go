package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"time"
)

// upstream stands in for a replica of a service.
type upstream struct {
	d       *deployment
	id      string
	service string
	zone    string
	address string
	slots   int
	born    int64
	// extra holds further fields of the entry in the store.
	extra  map[string]any
	handle func(u *upstream, w http.ResponseWriter, r *http.Request)
	srv    *http.Server
}

// startUpstream starts a replica at a free loopback port and registers it.
func (d *deployment) startUpstream(id, service, zone string, slots int, handle func(*upstream, http.ResponseWriter, *http.Request)) (*upstream, error) {
	return d.startUpstreamAt(d.subnet+"2", id, service, zone, slots, handle)
}

// startUpstreamAt starts a replica at a free port of an address.
func (d *deployment) startUpstreamAt(ip, id, service, zone string, slots int, handle func(*upstream, http.ResponseWriter, *http.Request)) (*upstream, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	u := &upstream{d: d, id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, born: time.Now().UnixMilli(), handle: handle}
	u.srv = &http.Server{Handler: u}
	go func() { _ = u.srv.Serve(l) }()
	d.upstreams[id] = u
	u.register("ready", u.born)
	return u, nil
}

// register writes the replica's entry in the store.
func (u *upstream) register(state string, born int64) time.Time {
	entry := map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots, "state": state, "cold-left-ms": 0, "seq": 1, "born": born,
	}
	maps.Copy(entry, u.extra)
	return u.d.store.put("servers", u.id, entry)
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if r.URL.Path == "/health" {
		w.Header().Set("X-Replica-Id", u.id)
		return
	}
	if expected := r.Header.Get("X-Expect-Replica"); expected != "" && expected != u.id {
		w.Header().Set("X-Replica-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Replica-Seal", u.id+"."+id)
	if id != "" {
		u.d.recordRun(u.id, id)
	}
	u.handle(u, w, r)
}

// writeEvent writes one event of a stream.
func writeEvent(w http.ResponseWriter, n int, text string) error {
	raw, _ := json.Marshal(text)
	_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, raw)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	return err
}

// recordRun notes that a replica runs a request.
func (d *deployment) recordRun(replica, id string) {
	d.record.line("replica %s runs %s", replica, id)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[id]++
}

// wasRun reports whether a replica has run a request.
func (d *deployment) wasRun(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[id] > 0
}
