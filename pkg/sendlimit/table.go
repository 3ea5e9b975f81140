package sendlimit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/ceiling"
)

// Bounds of a table.
const (
	// unlistedTime is how long the limit of an upstream is kept that the platform no longer
	// lists. Upstreams are missing for seconds while the store is away.
	unlistedTime = 30 * time.Second
	// endedTime is how long the end of a limit is kept, so that a late report of the limit is
	// recognised as older.
	endedTime = 30 * time.Second
	// maxRecords limits the records of upstreams that the platform doesn't list.
	maxRecords = 10_000
	// confirmInterval is the time after which the home of a limit sends a request to the
	// upstream even if others have room: only responses tell that the limit has ended. Other
	// entries do so after otherConfirmInterval, in case the home can't reach the upstream.
	confirmInterval      = 2 * time.Second
	otherConfirmInterval = 30 * time.Second
	// minRate is the lowest rate in requests per second over all entries. Less, also a limit
	// of 0, would leave the end of a limit unnoticed.
	minRate = 0.1
	// waitingTime is how long a request that waits wants an upstream. The dispatcher looks
	// for upstreams again each 20 ms.
	waitingTime = 100 * time.Millisecond
	// maxSaved is the number of requests that all entries together may have saved for an
	// upstream while it wasn't wanted.
	maxSaved = 4.0
)

// Table holds an entry's knowledge of the limits of all upstreams, and this entry's part of
// each. It is not safe for concurrent use.
type Table struct {
	entry   string
	random  *rand.Rand
	records map[Key]*record
	// entries is the number of entries that share the limits, 0 while it is unknown.
	entries int
}

// New returns an entry's table without limits.
func New(entry string, seed uint64) *Table {
	return &Table{entry: entry, random: rand.New(rand.NewPCG(seed, 1)), records: make(map[Key]*record)}
}

// IsEmpty reports whether no limit is known.
func (t *Table) IsEmpty() bool { return len(t.records) == 0 }

// add adds a record. This entry's part is 0 while the number of entries is unknown.
func (t *Table) add(key Key, service string, now time.Time) *record {
	r := &record{service: service, allowance: newAllowance(0, now)}
	t.records[key] = r
	return r
}

// Observe records a response that this entry has received. It reports whether the limit has
// changed.
func (t *Table) Observe(n *Notice) bool {
	r, ok := t.records[n.Key]
	if !ok {
		if !n.Limited || len(t.records) >= maxRecords {
			return false
		}
		r = t.add(n.Key, n.Service, n.ReceivedAt)
	}
	if !r.isNewer(n.Limited, n.SentAt, n.ReceivedAt) {
		return false
	}
	changed := r.apply(n.Limited, n.Rate, t.entry, n.ReceivedAt, n.SentAt, n.ReceivedAt)
	t.setBase(r)
	return changed
}

// SetEntryCount sets the number of entries that share the limits. 0 is ignored: the list of
// hosts is empty only while it is unknown.
func (t *Table) SetEntryCount(n int) {
	if n == 0 || n == t.entries {
		return
	}
	t.entries = n
	for _, r := range t.records {
		t.setBase(r)
	}
}

// setBase sets this entry's part of a limit as long as it has leased no other one.
func (t *Table) setBase(r *record) {
	if t.entries > 0 {
		r.allowance.SetBase(r.effectiveRate() / float64(t.entries))
	}
}

// saved returns the part of a request that an idle entry may save for an upstream.
func (t *Table) saved() float64 { return min(1, maxSaved/float64(max(1, t.entries))) }

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

// limited returns the record of an upstream that names a limit, or nil.
func (t *Table) limited(key Key) *record {
	if r, ok := t.records[key]; ok && r.limited {
		return r
	}
	return nil
}

// IsLimited reports whether an upstream names a limit.
func (t *Table) IsLimited(key Key) bool { return t.limited(key) != nil }

// isUnconfirmed reports whether no response has named the limit for so long that this entry
// should send a request to find out. It sends no second one while the response to the first may
// still arrive. A limit far below one request per second is left to requests that need it.
func (t *Table) isUnconfirmed(r *record, now time.Time) bool {
	n := max(1, t.entries)
	interval, perSecond := confirmInterval, r.effectiveRate()
	if !r.isHome {
		interval, perSecond = otherConfirmInterval, perSecond/float64(2*n)
	}
	interval = max(interval, time.Duration(float64(time.Second)/perSecond))
	// The other entries don't know of each other's requests, so each has an interval of its own.
	interval += interval * time.Duration(r.place) / time.Duration(n)
	latest := r.receivedAt
	if r.spentAt.After(latest) {
		latest = r.spentAt
	}
	return now.Sub(latest) > interval
}

// MustConfirm reports whether a request should be sent to a limited upstream, even if others
// have room, to find out whether the limit still applies, and may be sent.
func (t *Table) MustConfirm(key Key, now time.Time) bool {
	r := t.limited(key)
	return r != nil && t.isUnconfirmed(r, now) && r.allowance.allows()
}

// Allows reports whether this entry may send a request to a limited upstream that a waiting
// request wants.
func (t *Table) Allows(key Key, now time.Time) bool {
	r := t.limited(key)
	if r == nil {
		return true
	}
	r.allowance.want(now.Add(waitingTime), t.saved(), t.random, now)
	r.allowance.advance(r.effectiveRate(), t.saved(), now)
	return r.allowance.allows()
}

// Expect records that a refused caller may return until a time, and lets the allowance grow
// for it.
func (t *Table) Expect(key Key, until, now time.Time) {
	if r := t.limited(key); r != nil {
		r.allowance.want(until, t.saved(), t.random, now)
	}
}

// Spend records that a request is sent to an upstream.
func (t *Table) Spend(key Key, now time.Time) {
	if r := t.limited(key); r != nil {
		r.spentAt = now
		r.allowance.spend()
	}
}

// Rate returns the requests per second that this entry can expect to send to a limited
// upstream, and how many it may send at once. An entry that has lent its part gets it back
// once requests want the upstream.
func (t *Table) Rate(key Key, now time.Time) (perSecond, available float64) {
	r := t.limited(key)
	if r == nil {
		return 0, 0
	}
	return max(r.allowance.Rate(now), r.allowance.Base()), max(0, r.allowance.level)
}

// Tick lets the allowances grow. It is called many times a second.
func (t *Table) Tick(now time.Time) {
	for _, r := range t.records {
		if !r.limited {
			continue
		}
		r.allowance.confirming = t.isUnconfirmed(r, now)
		r.allowance.advance(r.effectiveRate(), t.saved(), now)
	}
}

// leaseName returns the name under which entries lease a limit. Names of organisations have
// no slash.
func (k Key) leaseName() string { return "upstream/" + k.Upstream + "/" + k.Incarnation }

// LeaseRequests returns the lease requests to send now, by home, and removes the records of
// limits that have ended some time ago.
func (t *Table) LeaseRequests(entries []string, now time.Time) ceiling.Batches {
	t.SetEntryCount(len(entries))
	batches := make(ceiling.Batches)
	for key, r := range t.records {
		if !r.limited {
			if now.Sub(r.receivedAt) > endedTime {
				delete(t.records, key)
			}
			continue
		}
		t.setBase(r)
		r.place = ceiling.HomeOrder(key.leaseName(), t.entry, entries)
		r.isHome = ceiling.HomeEntry(key.leaseName(), entries) == t.entry
		// The request reports the demand up to now.
		r.allowance.advance(r.effectiveRate(), t.saved(), now)
		batches.Add(ceiling.BatchItem{LeaseRequest: r.allowance.NextRequest(key.leaseName(), t.entry, now), Ceiling: r.effectiveRate()}, entries)
	}
	return batches
}

// ApplyGrants applies a home's grants.
func (t *Table) ApplyGrants(response ceiling.BatchResponse, now time.Time) {
	if len(response.Grants) == 0 || len(t.records) == 0 {
		return
	}
	byName := make(map[string]*record, len(t.records))
	for key, r := range t.records {
		byName[key.leaseName()] = r
	}
	for _, g := range response.Grants {
		if r, ok := byName[g.Organisation]; ok {
			r.allowance.ApplyGrant(g, now)
		}
	}
}

// Limit is a limit as operators see it.
type Limit struct {
	Key
	Service string `json:"service"`
	// Rate is the limit in requests per second over all entries, OwnRate the part of it that
	// this entry may send now.
	Rate    float64 `json:"rate"`
	OwnRate float64 `json:"own_rate"`
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
				Key: key, Service: r.service, Rate: r.rate, OwnRate: r.allowance.Rate(now), SinceSeconds: now.Sub(r.since).Seconds(),
				ConfirmedSeconds: now.Sub(r.receivedAt).Seconds(), ReceivedBy: r.entry,
			})
		}
	}
	slices.SortFunc(list, func(a, b Limit) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}
