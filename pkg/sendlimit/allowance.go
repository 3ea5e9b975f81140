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
	// idleTime is the time without demand after which an entry counts as idle.
	idleTime = time.Second
	// burstTime is the time over which requests that were not sent accumulate beyond one.
	burstTime = 100 * time.Millisecond
	// An entry that wants to confirm a limit demands maxConfirmDemand requests per second, and
	// at most confirmShare of the limit. The rest is for requests that wait.
	maxConfirmDemand = 0.3
	confirmShare     = 0.1
)

// allowance is this entry's part of one limit. It grows at the leased rate.
type allowance struct {
	ceiling.LeasedRate
	// level is the number of requests that may be sent now, below zero after more were sent.
	level float64
	// advancedAt is when the level was last advanced.
	advancedAt time.Time
	// wantedUntil is until when requests are expected that want the upstream.
	wantedUntil time.Time
	// confirming is true while a single request is wanted, to confirm the limit.
	confirming bool
}

func newAllowance(base float64, now time.Time) *allowance {
	return &allowance{LeasedRate: ceiling.NewLeasedRate(base, now), level: 1, advancedAt: now}
}

// isIdle reports whether no request has wanted the upstream for idleTime.
func (a *allowance) isIdle(now time.Time) bool { return now.Sub(a.wantedUntil) > idleTime }

// want records that requests want the upstream until a time. After a time without demand, an
// entry that has saved more than saved has its level drawn at random, so that entries that
// become busy together don't send together.
func (a *allowance) want(until time.Time, saved float64, random *rand.Rand, now time.Time) {
	if a.isIdle(now) {
		a.level = min(a.level, max(saved, random.Float64()))
		a.advancedAt = now
	}
	if until.After(a.wantedUntil) {
		a.wantedUntil = until
	}
}

// advance lets the allowance grow up to now: to saved, or to a whole request while one is
// wanted. limit is the number of requests per second that the upstream takes from all
// entries. A time before that of the last call changes nothing: a tick may be processed after
// events that came later.
func (a *allowance) advance(limit, saved float64, now time.Time) {
	gap := now.Sub(a.advancedAt)
	if gap <= 0 {
		return
	}
	a.advancedAt = now
	rate := a.Rate(now)
	full, demand := saved, 0.0
	switch {
	case !now.After(a.wantedUntil):
		full, demand = max(1, rate*burstTime.Seconds()), limit
	case a.confirming:
		full, demand = 1, min(maxConfirmDemand, confirmShare*limit)
	}
	if gap > maxTickGap || a.level >= full {
		return
	}
	a.level = min(full, a.level+rate*gap.Seconds())
	a.RecordDemand(demand * gap.Seconds())
}

// allows reports whether a request may be sent now.
func (a *allowance) allows() bool { return a.level >= 1 }

// spend records that a request is sent.
func (a *allowance) spend() { a.level-- }
