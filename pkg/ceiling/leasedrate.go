package ceiling

import "time"

// LeasedRate is an entry's rate of one limit: its base rate, or the rate that it has leased.
type LeasedRate struct {
	base  float64
	lease lease
	// sequence is that of the latest lease request, requestedAt when it was made.
	sequence    uint64
	requestedAt time.Time
	// demanded is the cost that was demanded since demandedSince, in tokens.
	demanded      float64
	demandedSince time.Time
	// demand is the reported demand in tokens a second. At each lease request it falls
	// by half at most.
	demand float64
}

// lease is a rate granted by a home.
type lease struct {
	home  string
	id    uint64
	rate  float64
	until time.Time
}

// NewLeasedRate returns a rate without a lease.
func NewLeasedRate(base float64, now time.Time) LeasedRate {
	return LeasedRate{base: base, demandedSince: now}
}

// DropLease returns to the base rate, because the limit that was shared has changed. Grants
// for earlier requests are ignored.
func (b *LeasedRate) DropLease() {
	b.lease = lease{}
	b.sequence++
}

// RecordDemand adds to the cost that the next lease request reports.
func (b *LeasedRate) RecordDemand(cost float64) { b.demanded += cost }

// SetBase sets the base rate.
func (b *LeasedRate) SetBase(base float64) { b.base = base }

// Base returns the base rate.
func (b *LeasedRate) Base() float64 { return b.base }

// Rate returns the current rate in tokens a second.
func (b *LeasedRate) Rate(now time.Time) float64 {
	if b.lease.id != 0 && now.Before(b.lease.until) {
		return b.lease.rate
	}
	return b.base
}

// NextRequest returns the next lease request. A home other than the one whose lease
// is held grants nothing until that lease has expired.
func (b *LeasedRate) NextRequest(organisation, entry string, now time.Time) LeaseRequest {
	b.sequence++
	b.requestedAt = now
	if elapsed := now.Sub(b.demandedSince).Seconds(); elapsed > 0 {
		b.demand = max(b.demanded/elapsed, b.demand/2)
		b.demanded, b.demandedSince = 0, now
	}
	r := LeaseRequest{Organisation: organisation, Entry: entry, Sequence: b.sequence, Held: b.Rate(now), Demand: b.demand}
	if b.lease.id != 0 && now.Before(b.lease.until) {
		r.Home, r.LeaseID = b.lease.home, b.lease.id
	}
	return r
}

// LeaseHome returns the home whose lease is held, or "".
func (b *LeasedRate) LeaseHome(now time.Time) string {
	if b.lease.id != 0 && now.Before(b.lease.until) {
		return b.lease.home
	}
	return ""
}

// ApplyGrant replaces the lease by a granted one, unless the grant is for an
// earlier request. The lease of a rate above the base rate starts when the request
// was sent, the lease of a lower one when the grant arrives. The home counts from a
// time between the two, so that it never allocates rate that is still in use.
func (b *LeasedRate) ApplyGrant(g Grant, now time.Time) {
	if g.Sequence != b.sequence {
		return
	}
	from := now
	if g.Rate > b.base {
		from = b.requestedAt
	}
	b.lease = lease{home: g.Home, id: g.LeaseID, rate: g.Rate, until: from.Add(g.Duration)}
}
