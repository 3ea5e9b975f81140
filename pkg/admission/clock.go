package admission

import "time"

// steadyClock is a clock that never goes back, even if the host's wall clock does.
// It follows a step forward. After a step back it continues from its latest time,
// so that work which was past its deadline stays past it.
type steadyClock struct {
	lastReading time.Time
	lastTime    time.Time
}

// at returns the steady time for a reading of the host's clock. It uses the
// monotonic clock between two readings if both have one.
func (c *steadyClock) at(reading time.Time) time.Time {
	steady := c.lastTime.Add(max(0, reading.Sub(c.lastReading)))
	wall := reading.Round(0)
	if !c.lastTime.IsZero() && wall.Before(steady) {
		wall = steady
	}
	c.lastReading, c.lastTime = reading, wall
	return wall
}
