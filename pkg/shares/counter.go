// Package shares lets entries and agents agree on the service that each
// organisation has attained at a service's upstreams. An agent counts the cost
// of all work that it admitted, by organisation and entry. An entry asks each
// agent for the rows that changed since its last answer, and gets the cost that
// came through other entries.
//
// Counters are cumulative and carry the agent's incarnation, so lost, repeated
// and reordered messages do no harm. Only organisations with recent work have a
// row. The package is pure.
package shares

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// Limits of the rows.
const (
	// MaxRows is the most rows in one message.
	MaxRows = 64
	// idle is how long a row without work is kept.
	idle = 30 * time.Second
	// sweepInterval is the time between two removals of idle rows.
	sweepInterval = time.Second
)

// Counter counts the work that one agent admitted.
type Counter struct {
	rows      map[string]*row
	sequence  uint64
	nextSweep time.Time
}

// row is the work of one organisation.
type row struct {
	organisation string
	weight       int
	generation   uint64
	changed      uint64
	total        float64
	byEntry      map[string]float64
	used         time.Time
}

// NewCounter returns an empty counter.
func NewCounter() *Counter { return &Counter{rows: make(map[string]*row)} }

// Len returns the number of rows held.
func (c *Counter) Len() int { return len(c.rows) }

// Add counts the cost of admitted work, or a correction of it.
func (c *Counter) Add(organisation, entry string, weight int, cost float64, now time.Time) {
	if organisation == "" || cost == 0 {
		return
	}
	r := c.row(organisation, weight, now)
	r.total += cost
	r.byEntry[entry] += cost
	r.used = now
	c.sequence++
	r.changed = c.sequence
}

// Report returns the rows of other entries' work that an entry doesn't have
// yet. Rows that don't fit are left for its next question.
func (c *Counter) Report(entry string, seen uint64, now time.Time) *api.ShareReport {
	c.sweep(now)
	var changed []*row
	for _, r := range c.rows {
		if r.changed > seen {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *row) int { return cmp.Compare(a.changed, b.changed) })
	answer := &api.ShareReport{Sequence: c.sequence}
	if len(changed) > MaxRows {
		changed = changed[:MaxRows]
		answer.Sequence = changed[MaxRows-1].changed
		answer.More = true
	}
	for _, r := range changed {
		answer.Rows = append(answer.Rows, r.tell(entry))
	}
	return answer
}

// tell returns what an entry is told of a row.
func (r *row) tell(entry string) api.ShareRow {
	return api.ShareRow{
		Organisation: r.organisation,
		Weight:       r.weight,
		Generation:   r.generation,
		Cost:         r.total - r.byEntry[entry],
	}
}

func (c *Counter) row(organisation string, weight int, now time.Time) *row {
	r, ok := c.rows[organisation]
	if !ok {
		c.sequence++
		r = &row{
			organisation: organisation,
			generation:   c.sequence,
			byEntry:      make(map[string]float64),
			used:         now,
		}
		c.rows[organisation] = r
	}
	r.weight = weight
	return r
}

// sweep removes idle rows.
func (c *Counter) sweep(now time.Time) {
	if now.Before(c.nextSweep) {
		return
	}
	c.nextSweep = now.Add(sweepInterval)
	for name, r := range c.rows {
		if now.Sub(r.used) > idle {
			delete(c.rows, name)
		}
	}
}
