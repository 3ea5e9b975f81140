package ceiling

import "time"

// Bucket is a token bucket that limits an entry to its rate of one organisation's
// ceiling. Its size is the current rate times the burst duration.
type Bucket struct {
	base  float64
	lease lease
	// sequence is that of the latest lease request, requestedAt when it was made.
	sequence    uint64
	requestedAt time.Time
	// demanded is the cost of all requests since demandedSince, in tokens.
	demanded      float64
	demandedSince time.Time
	// demand is the reported demand in tokens a second. At each lease request it falls
	// by half at most.
	demand float64
	// level is the number of tokens in the bucket at levelAt, negative in debt.
	level    float64
	levelAt  time.Time
	lastUsed time.Time
}

// lease is a rate granted by a home.
type lease struct {
	home  string
	id    uint64
	rate  float64
	until time.Time
}

// NewBucket returns a full bucket at its base rate.
func NewBucket(base float64, burst time.Duration, now time.Time) *Bucket {
	return &Bucket{base: base, level: base * burst.Seconds(), levelAt: now, demandedSince: now, lastUsed: now}
}

// SetBase sets the base rate.
func (b *Bucket) SetBase(base float64) { b.base = base }

// Rate returns the current rate in tokens a second.
func (b *Bucket) Rate(now time.Time) float64 {
	if b.lease.id != 0 && now.Before(b.lease.until) {
		return b.lease.rate
	}
	return b.base
}

// NextRequest returns the next lease request. A home other than the one whose lease
// is held grants nothing until that lease has expired.
func (b *Bucket) NextRequest(organisation, entry string, now time.Time) LeaseRequest {
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
func (b *Bucket) LeaseHome(now time.Time) string {
	if b.lease.id != 0 && now.Before(b.lease.until) {
		return b.lease.home
	}
	return ""
}

// ApplyGrant replaces the lease by a granted one, unless the grant is for an
// earlier request. The lease of a rate above the base rate starts when the request
// was sent, the lease of a lower one when the grant arrives. The home counts from a
// time between the two, so that it never allocates rate that is still in use.
func (b *Bucket) ApplyGrant(g Grant, now time.Time) {
	if g.Sequence != b.sequence {
		return
	}
	from := now
	if g.Rate > b.base {
		from = b.requestedAt
	}
	b.lease = lease{home: g.Home, id: g.LeaseID, rate: g.Rate, until: from.Add(g.Duration)}
}

// Spend takes the cost of a request from the bucket. If the level is too low, it
// returns false and the time until it is high enough. A request that costs more
// than the bucket holds needs a full bucket and leaves its level negative.
func (b *Bucket) Spend(cost float64, burst time.Duration, now time.Time) (time.Duration, bool) {
	b.demanded += cost
	b.lastUsed = now
	rate := b.Rate(now)
	full := rate * burst.Seconds()
	b.level = min(full, b.level+rate*now.Sub(b.levelAt).Seconds())
	b.levelAt = now
	need := min(cost, full)
	if b.level < need || rate <= 0 {
		return b.wait(need-b.level, rate), false
	}
	b.level -= cost
	return 0, true
}

// maxWait is the longest wait that is reported to a caller.
const maxWait = time.Minute

func (b *Bucket) wait(missing, rate float64) time.Duration {
	if rate <= 0 {
		return LeaseDuration
	}
	return min(maxWait, time.Duration(missing/rate*float64(time.Second)))
}

// idleTimeout is how long an unused bucket is kept.
const idleTimeout = 30 * time.Second

// Idle reports whether the bucket can be removed: it has no lease, has not been
// used for idleTimeout and was not in debt, so that it would be full again.
func (b *Bucket) Idle(now time.Time) bool {
	return now.Sub(b.lastUsed) > idleTimeout && b.level >= 0 && b.LeaseHome(now) == ""
}
