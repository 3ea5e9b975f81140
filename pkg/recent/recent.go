// Package recent counts events of the last span of time. It is pure, and holds no
// more than the events of that span.
package recent

import "time"

// Counter are the events of the last span.
type Counter struct {
	span time.Duration
	at   []time.Time
}

// New returns a count without events.
func New(span time.Duration) Counter { return Counter{span: span} }

// Add records an event.
func (e *Counter) Add(now time.Time) {
	e.forget(now)
	e.at = append(e.at, now)
}

// Count returns how many events there were within the span.
func (e *Counter) Count(now time.Time) int {
	e.forget(now)
	return len(e.at)
}

// Last returns the latest event that is still held, the zero time when there is none.
// It may be older than the span.
func (e *Counter) Last() time.Time {
	if len(e.at) == 0 {
		return time.Time{}
	}
	return e.at[len(e.at)-1]
}

func (e *Counter) forget(now time.Time) {
	i := 0
	for i < len(e.at) && now.Sub(e.at[i]) >= e.span {
		i++
	}
	e.at = e.at[i:]
}
