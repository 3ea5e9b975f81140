// Package reachability tells an entry that is cut off from all upstreams from one whose
// upstreams fail. An entry that is cut off says that it is not ready, so that
// callers go to others. The package is pure.
package reachability

import "time"

// Bounds of the verdict.
const (
	// leastFailed is how many different upstreams must be out of reach.
	leastFailed = 2
	// quiet is how long no upstream must have shown a sign of life.
	quiet = 300 * time.Millisecond
)

// Detector keeps which upstreams could be reached.
type Detector struct {
	heardAt time.Time
	failed  map[string]time.Time
	since   time.Time
}

// New returns a watch of an entry that is not cut off.
func New() *Detector { return &Detector{failed: make(map[string]time.Time)} }

// RecordResponse records a sign of life of any upstream.
func (w *Detector) RecordResponse(now time.Time) {
	w.heardAt = now
	w.since = time.Time{}
	if len(w.failed) > 0 {
		clear(w.failed)
	}
}

// RecordFailure records that an upstream could not be reached.
func (w *Detector) RecordFailure(upstream string, now time.Time) {
	w.failed[upstream] = now
	if w.since.IsZero() && len(w.failed) >= leastFailed && now.Sub(w.heardAt) >= quiet {
		w.since = now
	}
}

// CutOffSince reports whether the entry is cut off, and since when.
func (w *Detector) CutOffSince() (time.Time, bool) { return w.since, !w.since.IsZero() }

// IsSuspected reports whether an upstream should be tried to tell.
func (w *Detector) IsSuspected() bool { return len(w.failed) > 0 }
