// Package decisionlog stores the latest decisions of a process about requests, so that
// operators can see what was decided about a request, at which host and for which reason.
// Its memory is bounded: once the log is full, a new decision replaces the oldest.
package decisionlog

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Decision is one decision about a request.
type Decision struct {
	RequestID string    `json:"request_id"`
	At        time.Time `json:"at"`
	// Host is the name of the host that decided.
	Host string `json:"where"`
	// Action is what was decided, Reason why.
	Action string `json:"what"`
	Reason string `json:"why,omitempty"`
	// Upstream is the upstream that the decision is about, if any.
	Upstream string `json:"upstream,omitempty"`
}

// String formats the decision for a log line.
func (d *Decision) String() string {
	return strings.TrimSpace(d.Upstream + " " + d.Action + ": " + d.Reason)
}

// Log is a bounded ring of decisions. It is safe for concurrent use.
type Log struct {
	host string

	mu   sync.Mutex
	ring []Decision
	next int
}

// New returns an empty log of a host. The log holds at most size decisions.
func New(host string, size int) *Log {
	return &Log{host: host, ring: make([]Decision, 0, size)}
}

// Add records a decision.
func (l *Log) Add(d Decision) {
	d.Host = l.host
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, d)
		return
	}
	l.ring[l.next] = d
	l.next = (l.next + 1) % len(l.ring)
}

// ForRequest returns the stored decisions about a request, oldest first.
func (l *Log) ForRequest(requestID string) []Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []Decision{}
	for i := range l.ring {
		d := l.ring[(l.next+i)%len(l.ring)]
		if d.RequestID == requestID {
			out = append(out, d)
		}
	}
	return out
}

// Merge returns the decisions of several hosts, ordered by time.
func Merge(perHost ...[]Decision) []Decision {
	all := slices.Concat(perHost...)
	slices.SortStableFunc(all, func(a, b Decision) int { return a.At.Compare(b.At) })
	return all
}
