// Package ceiling enforces the ceiling of an organisation, its rate limit in tokens
// a second over all entries. It divides the ceiling among the entries as rates, which
// they enforce by token buckets. Each entry has a base rate, the ceiling divided by
// the number of entries. The organisation's home entry moves rate between the entries
// that can reach it, by leases: an entry that needs less than its base rate commits
// to a lower one until its lease expires, and the home grants only such committed
// rate to other entries, for no longer. An entry without a lease uses its base rate.
// The rates therefore never sum to more than the ceiling, under any partition of the
// network and also when there is more than one home. The package does no I/O and
// reads no clock; callers pass the time.
package ceiling

import (
	"time"
)

// LeaseDuration is the longest time for which a rate is granted.
const LeaseDuration = 2 * time.Second

// minLease is the shortest lease that is granted.
const minLease = LeaseDuration / 2

// LeaseRequest is an entry's request for a lease of a rate.
type LeaseRequest struct {
	Organisation string `json:"organisation"`
	Entry        string `json:"entry"`
	// Home is the incarnation of the home that granted the entry's lease, and
	// LeaseID the lease's number there. Both are empty at the base rate.
	Home    string `json:"home,omitempty"`
	LeaseID uint64 `json:"grant,omitempty"`
	// Sequence numbers the entry's requests.
	Sequence uint64 `json:"number"`
	// Held is the entry's current rate, Demand the rate that it needs, in tokens
	// a second.
	Held   float64 `json:"held"`
	Demand float64 `json:"want"`
}

// Grant is the response to a LeaseRequest.
type Grant struct {
	Organisation string `json:"organisation"`
	Home         string `json:"home"`
	LeaseID      uint64 `json:"number"`
	// Sequence is the number of the request.
	Sequence uint64 `json:"ask"`
	// Rate is the granted rate in tokens a second, Duration the time for which it
	// is granted.
	Rate     float64       `json:"part"`
	Duration time.Duration `json:"for"`
}

// Allocator allocates one organisation's ceiling at its home.
type Allocator struct {
	incarnation string
	entries     map[string]*allocation
	lastLeaseID uint64
}

// allocation is the home's record of one entry.
type allocation struct {
	// sequence and demand are those of the entry's latest request.
	sequence uint64
	demand   float64
	// held is the rate that the entry confirmed, heldUntil the end of its lease, or
	// zero at the base rate.
	held      float64
	heldUntil time.Time
	// offered is the rate of the last grant, which the entry has not confirmed.
	offered        float64
	offeredUntil   time.Time
	offeredLeaseID uint64
}

// NewAllocator returns an allocator without leases. The incarnation is new at each
// start of the process.
func NewAllocator(incarnation string) *Allocator {
	return &Allocator{incarnation: incarnation, entries: make(map[string]*allocation)}
}

// Idle reports whether all leases of the allocator have expired.
func (a *Allocator) Idle(now time.Time) bool {
	a.removeExpired(now)
	return len(a.entries) == 0
}

// Grant grants a lease. entries is the number of entries that share the ceiling.
// It reports false when the request must not be answered, because it is out of
// order or the entry still holds another home's lease.
func (a *Allocator) Grant(r LeaseRequest, ceiling float64, entries int, now time.Time) (Grant, bool) {
	a.removeExpired(now)
	if r.Home != "" && r.Home != a.incarnation {
		return Grant{}, false
	}
	base := ceiling / float64(max(1, entries))
	e, ok := a.entries[r.Entry]
	if !ok {
		e = &allocation{held: base}
		a.entries[r.Entry] = e
	}
	if r.Sequence <= e.sequence {
		return Grant{}, false
	}
	e.confirm(r)
	rate, until := a.offer(e, ceiling, base, entries, now)
	a.lastLeaseID++
	e.offeredLeaseID, e.offered, e.offeredUntil = a.lastLeaseID, rate, until
	return Grant{
		Organisation: r.Organisation, Home: a.incarnation, LeaseID: a.lastLeaseID, Sequence: r.Sequence,
		Rate: rate, Duration: until.Sub(now),
	}, true
}

// confirm records the entry's current rate from its request.
func (e *allocation) confirm(r LeaseRequest) {
	e.sequence, e.demand, e.held = r.Sequence, r.Demand, r.Held
	if r.LeaseID != 0 && r.LeaseID == e.offeredLeaseID {
		e.heldUntil = e.offeredUntil
	}
	if r.LeaseID == 0 {
		e.heldUntil = time.Time{}
	}
}

// offer returns the rate that can be granted to an entry, and until when. The rate
// is the share of the ceiling that is proportional to the entry's demand, or the base
// rate if there is no demand, unless the rates that other entries may use leave less.
func (a *Allocator) offer(to *allocation, ceiling, base float64, entries int, now time.Time) (float64, time.Time) {
	until := now.Add(LeaseDuration)
	free := ceiling - base*float64(max(0, entries-len(a.entries)))
	total := to.demand
	for _, e := range a.entries {
		if e == to {
			continue
		}
		total += e.demand
		maxRate := e.maxRate(base, now)
		if maxRate < base && e.heldUntil.Before(until) {
			until = e.heldUntil
		}
		free -= maxRate
	}
	fair := to.demand / max(total, 1e-9) * ceiling
	if total <= 0 {
		fair = base
	}
	rate := max(0, min(fair, free))
	if rate <= base {
		// Grants to other entries may rely on the commitment to a lower rate for
		// the duration of a lease.
		until = now.Add(LeaseDuration)
	}
	return rate, until
}

// maxRate returns the highest rate that an entry may use during the next minLease.
func (e *allocation) maxRate(base float64, now time.Time) float64 {
	rate := max(e.held, e.offered)
	if e.heldUntil.Sub(now) < minLease {
		return max(rate, base)
	}
	return rate
}

// removeExpired removes entries whose leases have expired; they are back at their
// base rate.
func (a *Allocator) removeExpired(now time.Time) {
	for name, e := range a.entries {
		if now.After(e.heldUntil) && now.After(e.offeredUntil) {
			delete(a.entries, name)
		}
	}
}
