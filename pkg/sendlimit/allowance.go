package sendlimit

import (
	"math/rand/v2"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/ceiling"
)

// Times of an allowance.
const (
	// maxTickGap is the longest time between two calls of advance for which the allowance
	// grows. A longer one means that the process stood still.
	maxTickGap = 250 * time.Millisecond
	// idleTime is the time without demand after which entries may not use what they have
	// saved, because all of them would do so at once.
	idleTime = time.Second
	// burstTime is the time over which requests that were not sent accumulate beyond one.
	burstTime = 100 * time.Millisecond
)

// allowance is this entry's part of one limit. It grows at the leased rate while requests
// want the upstream, and not while the entry has no use for it.
type allowance struct {
	ceiling.LeasedRate
	// level is the number of requests that may be sent now, below zero after more were sent.
	level float64
	// advancedAt is when the level was last advanced.
	advancedAt time.Time
	// wantedUntil is until when requests are expected that want the upstream.
	wantedUntil time.Time
}

func newAllowance(base float64, now time.Time) *allowance {
	return &allowance{LeasedRate: ceiling.NewLeasedRate(base, now), level: 1, advancedAt: now}
}

// isIdle reports whether no request has wanted the upstream for idleTime.
func (a *allowance) isIdle(now time.Time) bool { return now.Sub(a.wantedUntil) > idleTime }

// want records that requests want the upstream until a time. After a time without demand the
// level is drawn at random, so that entries that become busy together don't send together.
func (a *allowance) want(until time.Time, random *rand.Rand, now time.Time) {
	if a.isIdle(now) {
		a.level = min(a.level, random.Float64())
		a.advancedAt = now
	}
	if until.After(a.wantedUntil) {
		a.wantedUntil = until
	}
}

// advance lets the allowance grow up to now, while it is wanted. limit is the number of
// requests per second that the upstream takes from all entries.
func (a *allowance) advance(limit float64, now time.Time) {
	gap := now.Sub(a.advancedAt)
	a.advancedAt = now
	rate := a.Rate(now)
	full := max(1, rate*burstTime.Seconds())
	if gap > maxTickGap || now.After(a.wantedUntil) || a.level >= full {
		return
	}
	a.level = min(full, a.level+rate*gap.Seconds())
	a.RecordDemand(limit * gap.Seconds())
}

// allows reports whether a request may be sent now.
func (a *allowance) allows() bool { return a.level >= 1 }

// spend records that a request is sent.
func (a *allowance) spend() { a.level-- }
