// Package decisionlog keeps the latest decisions of a process about requests,
// so that for one request it can be told what was decided, where and why. Its
// memory is bounded: a new decision takes the place of the oldest.
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
	// Host is the host that decided.
	Host string `json:"where"`
	// Action is the decision, Reason its reason.
	Action string `json:"what"`
	Reason string `json:"why,omitempty"`
	// Upstream is the upstream that the decision is about, if any.
	Upstream string `json:"upstream,omitempty"`
}

// String returns the decision as one short text.
func (d *Decision) String() string {
	return strings.TrimSpace(d.Upstream + " " + d.Action + ": " + d.Reason)
}

// Log is a bounded ring of decisions. It is safe for concurrent use.
type Log struct {
	where string

	mu   sync.Mutex
	ring []Decision
	next int
}

// New returns an empty log of a host that keeps the latest size decisions.
func New(where string, size int) *Log {
	return &Log{where: where, ring: make([]Decision, 0, size)}
}

// Add records a decision.
func (l *Log) Add(d Decision) {
	d.Host = l.where
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, d)
		return
	}
	l.ring[l.next] = d
	l.next = (l.next + 1) % len(l.ring)
}

// ForRequest returns the decisions about a request that are still held, oldest first.
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

// Merge returns the decisions of several hosts in the order of time.
func Merge(parts ...[]Decision) []Decision {
	all := slices.Concat(parts...)
	slices.SortStableFunc(all, func(a, b Decision) int { return a.At.Compare(b.At) })
	return all
}
