// Package storeview bounds the age of what a process knows of the platform's store.
//
// A process follows a kind of object by watch calls that wait for a change. The answer to
// such a call can be lost while the connection stays open, and the connection can go silent
// without a reset. Neither shows before the call times out, so the wait time of the calls
// bounds how old a view can become without notice. Only an answer proves what is known, as
// of the time at which its call was sent.
//
// The package does no I/O and reads no clock: callers pass answers and the time. The bounds
// of all views are listed in docs/design/store-views.md.
package storeview

import (
	"maps"
	"slices"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/clock"
)

// Limits of the wait time of a watch.
const (
	// minWait keeps a very short bound from turning the watch into a busy loop.
	minWait = 200 * time.Millisecond
	// retryMargin covers the pauses between calls and the time to apply changes.
	retryMargin = 300 * time.Millisecond
	// recheckWait is the wait time of a call that only has to prove the view again.
	recheckWait = time.Millisecond
)

// waitTime returns how long a watch call may wait for a change so that one lost answer never
// makes the view older than its bound. slack is how long a call may take beyond its wait time.
//
// The view is oldest if the answer to the second of two calls is lost: it is then proved by the
// sending of the first. The call after them is answered at once.
func waitTime(bound, slack time.Duration) time.Duration {
	return max(minWait, (bound-slack-retryMargin)/2)
}

// State is the state of the view of one kind.
type State struct {
	Kind string
	// Age is the time since the view was last proved, since the process started if it never was.
	Age time.Duration
	// Bound is the age up to which the view is relied on, 0 for no bound.
	Bound time.Duration
}

// IsCurrent reports whether the view is within its bound.
func (s State) IsCurrent() bool { return s.Bound == 0 || s.Age <= s.Bound }

// Views holds the ages of all views of a process. It is not safe for concurrent use.
type Views struct {
	started  clock.BootTime
	provenAt map[string]clock.BootTime
	bounds   map[string]func() time.Duration
}

// New returns the views of a process that started at a time.
func New(started clock.BootTime) *Views {
	return &Views{started: started, provenAt: make(map[string]clock.BootTime), bounds: make(map[string]func() time.Duration)}
}

// SetBound sets the bound of a kind, which may change while the process runs.
func (v *Views) SetBound(kind string, bound func() time.Duration) { v.bounds[kind] = bound }

// bound returns the bound of a kind, 0 for none.
func (v *Views) bound(kind string) time.Duration {
	if bound, ok := v.bounds[kind]; ok {
		return bound()
	}
	return 0
}

// WaitTime returns how long the next watch call of a kind may wait for a change, at most limit.
// slack is how long a call may take beyond its wait time. The call is due before the view
// passes its bound, and at once if it has.
func (v *Views) WaitTime(kind string, slack, limit time.Duration, now clock.BootTime) time.Duration {
	state := v.State(kind, now)
	if state.Bound == 0 {
		return limit
	}
	left := max(recheckWait, state.Bound-state.Age-slack-retryMargin)
	return min(limit, waitTime(state.Bound, slack), left)
}

// Prove records an answer to a call that was sent at a time. Answers may arrive in any order.
func (v *Views) Prove(kind string, sentAt clock.BootTime) {
	v.provenAt[kind] = max(v.provenAt[kind], sentAt)
}

// State returns the state of the view of a kind.
func (v *Views) State(kind string, now clock.BootTime) State {
	proven, ok := v.provenAt[kind]
	if !ok {
		proven = v.started
	}
	return State{Kind: kind, Age: time.Duration(now - proven), Bound: v.bound(kind)}
}

// States returns the states of all views that have been proved or have a bound, by kind.
func (v *Views) States(now clock.BootTime) []State {
	kinds := make(map[string]bool, len(v.bounds)+len(v.provenAt))
	for kind := range v.bounds {
		kinds[kind] = true
	}
	for kind := range v.provenAt {
		kinds[kind] = true
	}
	var out []State
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		out = append(out, v.State(kind, now))
	}
	return out
}
