// Package recent counts the events within a sliding window. It does no I/O and reads no
// clock: callers pass the time. It holds no more than the events of one window.
package recent

import "time"

// Counter counts the events within a sliding window.
type Counter struct {
	window time.Duration
	times  []time.Time
}

// New returns a counter without events.
func New(window time.Duration) Counter { return Counter{window: window} }

// Add records an event.
func (c *Counter) Add(now time.Time) {
	c.evict(now)
	c.times = append(c.times, now)
}

// Count returns the number of events within the window.
func (c *Counter) Count(now time.Time) int {
	c.evict(now)
	return len(c.times)
}

// Last returns the time of the latest event that is still held, or the zero time if there
// is none. It may be older than the window.
func (c *Counter) Last() time.Time {
	if len(c.times) == 0 {
		return time.Time{}
	}
	return c.times[len(c.times)-1]
}

func (c *Counter) evict(now time.Time) {
	i := 0
	for i < len(c.times) && now.Sub(c.times[i]) >= c.window {
		i++
	}
	c.times = c.times[i:]
}
