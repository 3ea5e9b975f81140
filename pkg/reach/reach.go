// Package reach tells an entry that is cut off from all upstreams from one whose
// upstreams fail. An entry that is cut off says that it is not ready, so that
// callers go to others. The package is pure.
package reach

import "time"

// Bounds of the verdict.
const (
	// leastFailed is how many different upstreams must be out of reach.
	leastFailed = 2
	// quiet is how long no upstream must have shown a sign of life.
	quiet = 300 * time.Millisecond
)

// Watch keeps which upstreams could be reached.
type Watch struct {
	heardAt time.Time
	failed  map[string]time.Time
	since   time.Time
}

// New returns a watch of an entry that is not cut off.
func New() *Watch { return &Watch{failed: make(map[string]time.Time)} }

// Heard records a sign of life of any upstream.
func (w *Watch) Heard(now time.Time) {
	w.heardAt = now
	w.since = time.Time{}
	if len(w.failed) > 0 {
		clear(w.failed)
	}
}

// Failed records that an upstream could not be reached.
func (w *Watch) Failed(upstream string, now time.Time) {
	w.failed[upstream] = now
	if w.since.IsZero() && len(w.failed) >= leastFailed && now.Sub(w.heardAt) >= quiet {
		w.since = now
	}
}

// CutOff reports whether the entry is cut off, and since when.
func (w *Watch) CutOff() (time.Time, bool) { return w.since, !w.since.IsZero() }

// Doubtful reports whether an upstream should be tried to tell.
func (w *Watch) Doubtful() bool { return len(w.failed) > 0 }
