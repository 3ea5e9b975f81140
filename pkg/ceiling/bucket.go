package ceiling

import "time"

// Bucket is a token bucket that limits an entry to its rate of one organisation's
// ceiling. Its size is the current rate times the burst duration.
type Bucket struct {
	LeasedRate
	// level is the number of tokens in the bucket at levelAt, negative in debt.
	level    float64
	levelAt  time.Time
	lastUsed time.Time
}

// NewBucket returns a full bucket at its base rate.
func NewBucket(base float64, burst time.Duration, now time.Time) *Bucket {
	return &Bucket{LeasedRate: NewLeasedRate(base, now), level: base * burst.Seconds(), levelAt: now, lastUsed: now}
}

// Spend takes the cost of a request from the bucket. If the level is too low, it
// returns false and the time until it is high enough. A request that costs more
// than the bucket holds needs a full bucket and leaves its level negative.
func (b *Bucket) Spend(cost float64, burst time.Duration, now time.Time) (time.Duration, bool) {
	b.RecordDemand(cost)
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
