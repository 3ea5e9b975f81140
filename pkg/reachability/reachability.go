// Package reachability detects that an entry is cut off from all upstreams, as opposed to
// single failing upstreams. An entry that is cut off reports that it is not ready, so that
// callers use other entries. The package does no I/O and reads no clock: callers pass
// events and the time.
package reachability

import "time"

// Conditions for a cut-off.
const (
	// minFailedUpstreams is how many different upstreams must have been unreachable since
	// the last response.
	minFailedUpstreams = 2
	// minSilence is the shortest time without a response of any upstream.
	minSilence = 300 * time.Millisecond
)

// Detector records responses and connection failures of upstreams.
type Detector struct {
	lastResponseAt time.Time
	// failed holds the upstreams that were unreachable since the last response, with the
	// time of their latest failure.
	failed map[string]time.Time
	// cutOffSince is zero while the entry is not cut off.
	cutOffSince time.Time
}

// New returns the detector of an entry that is not cut off.
func New() *Detector { return &Detector{failed: make(map[string]time.Time)} }

// RecordResponse records a response of any upstream.
func (d *Detector) RecordResponse(now time.Time) {
	d.lastResponseAt = now
	d.cutOffSince = time.Time{}
	if len(d.failed) > 0 {
		clear(d.failed)
	}
}

// RecordFailure records that an upstream was unreachable.
func (d *Detector) RecordFailure(upstream string, now time.Time) {
	d.failed[upstream] = now
	if d.cutOffSince.IsZero() && len(d.failed) >= minFailedUpstreams && now.Sub(d.lastResponseAt) >= minSilence {
		d.cutOffSince = now
	}
}

// CutOffSince returns since when the entry is cut off, and whether it is.
func (d *Detector) CutOffSince() (time.Time, bool) { return d.cutOffSince, !d.cutOffSince.IsZero() }

// IsSuspected reports whether a cut-off is possible, so that upstreams should be probed.
func (d *Detector) IsSuspected() bool { return len(d.failed) > 0 }
