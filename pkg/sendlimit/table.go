package sendlimit

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of a table.
const (
	// unlistedTime is how long the limit of an upstream is kept that the platform no longer
	// lists. Upstreams are missing for seconds while the store is away.
	unlistedTime = 30 * time.Second
	// maxRecords limits the records of upstreams that the platform doesn't list.
	maxRecords = 10_000
)

// Table holds an entry's knowledge of the limits of all upstreams. It is not safe for
// concurrent use.
type Table struct {
	entry   string
	records map[Key]*record
}

// New returns an entry's table without limits.
func New(entry string) *Table { return &Table{entry: entry, records: make(map[Key]*record)} }

// Observe records a response that this entry has received. It reports whether the limit has
// changed.
func (t *Table) Observe(n *Notice) bool {
	r, ok := t.records[n.Key]
	if !ok {
		if !n.Limited || len(t.records) >= maxRecords {
			return false
		}
		r = &record{service: n.Service}
		t.records[n.Key] = r
	}
	if !r.isNewer(n.Limited, n.SentAt, n.ReceivedAt) {
		return false
	}
	return r.apply(n.Limited, n.Rate, t.entry, n.ReceivedAt, n.SentAt, n.ReceivedAt)
}

// SetListed applies the platform's list of upstreams. Limits of upstreams that have been
// missing for unlistedTime are removed.
func (t *Table) SetListed(listed map[Key]bool, now time.Time) {
	for key, r := range t.records {
		switch {
		case listed[key]:
			r.unlistedAt = time.Time{}
		case r.unlistedAt.IsZero():
			r.unlistedAt = now
		case now.Sub(r.unlistedAt) > unlistedTime:
			delete(t.records, key)
		}
	}
}

// IsLimited reports whether an upstream has named a limit that applies.
func (t *Table) IsLimited(key Key) bool {
	r, ok := t.records[key]
	return ok && r.limited
}

// Limit is a limit as operators see it.
type Limit struct {
	Key
	Service string `json:"service"`
	// Rate is the limit in requests per second over all entries.
	Rate float64 `json:"rate"`
	// SinceSeconds is the time since the upstream first named a limit, ConfirmedSeconds the
	// time since its latest response that is known to have named it.
	SinceSeconds     float64 `json:"since_seconds"`
	ConfirmedSeconds float64 `json:"confirmed_seconds"`
	// ReceivedBy is the entry that received the response with the current rate.
	ReceivedBy string `json:"received_by"`
}

// Limits returns the limits that apply, ordered by service and upstream.
func (t *Table) Limits(now time.Time) []Limit {
	list := []Limit{}
	for key, r := range t.records {
		if r.limited {
			list = append(list, Limit{
				Key: key, Service: r.service, Rate: r.rate, SinceSeconds: now.Sub(r.since).Seconds(),
				ConfirmedSeconds: now.Sub(r.receivedAt).Seconds(), ReceivedBy: r.entry,
			})
		}
	}
	slices.SortFunc(list, func(a, b Limit) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}
