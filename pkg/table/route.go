package table

import (
	"strings"
	"time"
)

// Route sends the calls of a host below a path prefix to services.
type Route struct {
	// Name identifies the route in logs.
	Name string `json:"name"`
	// Host is the name that callers send in the Host header.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string `json:"path_prefix"`
	// Backends are the services that share the route's calls by weight.
	Backends []Backend `json:"backends"`
	// Idempotent is true when a call may run more than once.
	Idempotent bool `json:"idempotent"`
	// Streamed is true when the answer is a series of events.
	Streamed bool `json:"streamed"`
	// Timeout is the longest time that a caller is kept waiting, 0 for none.
	Timeout time.Duration `json:"timeout"`
	// LatencyObjective is the time within which an answer is on time. For a stream it
	// is the time to its first event.
	LatencyObjective time.Duration `json:"objective"`
	// PauseObjective is the longest pause between two events of a stream that is
	// on time, 0 for none.
	PauseObjective time.Duration `json:"pause_objective"`
	// Priority ranks the calls; 0 goes first.
	Priority int `json:"priority"`
	// MaxAttempts is how many upstreams one call may be sent to.
	MaxAttempts int `json:"max_attempts"`
	// Anonymous is true when calls need no key.
	Anonymous bool `json:"anonymous"`
	// Regions are the regions in which calls may run; empty means all.
	Regions []string `json:"regions,omitempty"`
}

// Backend is one of the services behind a route.
type Backend struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Backend returns the service of a call. draw is a random number from 0 to below
// 1. It returns "" for a route without services.
func (r *Route) Backend(draw float64) string {
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

// routes finds routes by host and path.
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

// find returns the route with the longest prefix that begins the path, or nil.
func (m routes) find(host, path string) *Route {
	prefixes := m[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}
