package admission

import "time"

// steadyClock is a clock that never goes back, whatever happens to the host's
// wall clock. It follows a step forward. After a step back it runs on from
// where it was, so that work which was past its deadline stays past it.
type steadyClock struct {
	reading time.Time
	wall    time.Time
}

// at returns the time for a reading of the host's clock. Between two readings
// the monotonic clock counts, if they have one.
func (c *steadyClock) at(reading time.Time) time.Time {
	steady := c.wall.Add(max(0, reading.Sub(c.reading)))
	wall := reading.Round(0)
	if !c.wall.IsZero() && wall.Before(steady) {
		wall = steady
	}
	c.reading, c.wall = reading, wall
	return wall
}
