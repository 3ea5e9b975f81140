package storehistory

import "time"

// Tracker knows the newest era of a store that a process has seen. It is not safe for
// concurrent use.
type Tracker struct {
	era   uint64
	known bool
	since time.Time
}

// Verdict is what an answer's era shows.
type Verdict int

// Verdicts on answers.
const (
	// Current means that the answer is of the newest era.
	Current Verdict = iota
	// Outdated means that the answer is of an earlier era, or states none although others do.
	Outdated
	// Restored means that the answer is the first one of a newer era.
	Restored
)

// Observe records the era that an answer states. A store that never states one has a single
// history.
func (t *Tracker) Observe(era uint64, stated bool, now time.Time) Verdict {
	switch {
	case !stated && !t.known:
		return Current
	case !stated || t.known && era < t.era:
		return Outdated
	case t.known && era == t.era:
		return Current
	}
	first := !t.known
	t.era, t.known, t.since = era, true, now
	if first {
		return Current
	}
	return Restored
}

// Era returns the newest era, 0 while none was stated.
func (t *Tracker) Era() uint64 { return t.era }

// Since returns when the newest era was first seen, the zero time while none was stated.
func (t *Tracker) Since() time.Time { return t.since }
