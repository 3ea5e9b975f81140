// Package shares reports to each entry the work of each organisation that other entries
// have sent to the upstreams of a service, so that the entry's fair queue charges the
// organisation for it too. The cost of an organisation's work, in tokens, is its
// attained service. An agent counts the cost of all work that it admitted, by
// organisation and entry. An entry requests from each agent the rows that changed since
// the agent's last report; their cost leaves out the entry's own work.
//
// Counters are cumulative and carry the agent's incarnation, so that lost, repeated
// and reordered messages have no effect on the result. Only organisations with
// recent work have a row. The package does no I/O and reads no clock: callers pass the
// time.
package shares

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// Limits of the rows.
const (
	// MaxRows is the highest number of rows in one report.
	MaxRows = 64
	// idleTimeout is how long a row without work is kept.
	idleTimeout = 30 * time.Second
	// sweepInterval is the time between two removals of idle rows.
	sweepInterval = time.Second
)

// Counter counts the work that one agent admitted.
type Counter struct {
	rows map[string]*row
	// sequence counts the creations and changes of rows.
	sequence  uint64
	nextSweep time.Time
}

// row counts the work of one organisation.
type row struct {
	organisation string
	weight       int
	// generation is new when the row is created, so that an entry can tell its cost
	// from that of a removed row of the same organisation.
	generation uint64
	// changedAt is the counter's sequence at the last change.
	changedAt uint64
	// total and byEntry are cumulative costs in tokens, byEntry those of the work that
	// each entry sent.
	total    float64
	byEntry  map[string]float64
	lastUsed time.Time
}

// NewCounter returns an empty counter.
func NewCounter() *Counter { return &Counter{rows: make(map[string]*row)} }

// Len returns the number of rows.
func (c *Counter) Len() int { return len(c.rows) }

// Add counts the cost of admitted work, or a correction of it.
func (c *Counter) Add(organisation, entry string, weight int, cost float64, now time.Time) {
	if organisation == "" || cost == 0 {
		return
	}
	r := c.row(organisation, weight, now)
	r.total += cost
	r.byEntry[entry] += cost
	r.lastUsed = now
	c.sequence++
	r.changedAt = c.sequence
}

// Report returns the rows that changed after the sequence cursor, up to which an entry
// has received them. Rows beyond MaxRows are left for its next request.
func (c *Counter) Report(entry string, cursor uint64, now time.Time) *api.ShareReport {
	c.sweep(now)
	var changed []*row
	for _, r := range c.rows {
		if r.changedAt > cursor {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *row) int { return cmp.Compare(a.changedAt, b.changedAt) })
	report := &api.ShareReport{Sequence: c.sequence}
	if len(changed) > MaxRows {
		changed = changed[:MaxRows]
		report.Sequence = changed[MaxRows-1].changedAt
		report.More = true
	}
	for _, r := range changed {
		report.Rows = append(report.Rows, r.reportFor(entry))
	}
	return report
}

// reportFor returns the row for an entry, without the cost of the entry's own work.
func (r *row) reportFor(entry string) api.ShareRow {
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
			lastUsed:     now,
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
		if now.Sub(r.lastUsed) > idleTimeout {
			delete(c.rows, name)
		}
	}
}
