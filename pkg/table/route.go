package table

import (
	"strings"
	"time"
)

// Route sends the requests for a host and path prefix to services.
type Route struct {
	// Name identifies the route in logs.
	Name string `json:"name"`
	// Host is the name that callers send in the Host header.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string `json:"path_prefix"`
	// Backends are the services among which the route's requests are distributed by
	// weight.
	Backends []Backend `json:"backends"`
	// Idempotent is true when a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// Streamed is true when the response is a stream of events.
	Streamed bool `json:"streamed"`
	// Timeout is the longest time that a caller waits for the response, 0 for no limit.
	Timeout time.Duration `json:"timeout"`
	// LatencyObjective is the time limit for a response to count as on time. For a
	// stream it applies to the first event.
	LatencyObjective time.Duration `json:"objective"`
	// PauseObjective is the longest pause between two events of a stream that counts
	// as on time, 0 for no limit.
	PauseObjective time.Duration `json:"pause_objective"`
	// Priority is the priority of the requests at engines: 0 is served first.
	Priority int `json:"priority"`
	// MaxAttempts is the number of upstreams to which one request may be sent.
	MaxAttempts int `json:"max_attempts"`
	// Anonymous is true when requests need no key.
	Anonymous bool `json:"anonymous"`
	// Regions are the regions in which requests may run; empty means all.
	Regions []string `json:"regions,omitempty"`
}

// Backend is one of the services behind a route.
type Backend struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// SelectBackend selects the service of a request by weight. draw is a random number in
// [0, 1). It returns "" for a route without services.
func (r *Route) SelectBackend(draw float64) string {
	total := 0
	for _, b := range r.Backends {
		total += max(0, b.Weight)
	}
	left := draw * float64(total)
	for _, b := range r.Backends {
		left -= float64(max(0, b.Weight))
		if left < 0 {
			return b.Service
		}
	}
	if len(r.Backends) > 0 {
		return r.Backends[0].Service
	}
	return ""
}

// routes holds routes by host, in lower case, and path prefix.
type routes map[string]map[string]*Route

func newRoutes(list []Route) routes {
	m := make(routes)
	for i := range list {
		r := &list[i]
		host := strings.ToLower(r.Host)
		if m[host] == nil {
			m[host] = make(map[string]*Route)
		}
		m[host][r.PathPrefix] = r
	}
	return m
}

// find returns the route with the longest prefix of the path, or nil.
func (m routes) find(host, path string) *Route {
	prefixes := m[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}
