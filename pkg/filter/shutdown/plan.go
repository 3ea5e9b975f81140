package shutdown

import "time"

// Shares of the grace period, which begins with the stop signal and ends when the process is
// killed.
const (
	// redirectShare is the share after which no connections are accepted, unused ones are
	// closed, and an estimate of the time that a response takes is no longer enough to accept
	// a request. Load balancers need about two seconds to direct callers to other entries;
	// few requests arrive later, and each wrong estimate costs a response.
	redirectShare = 0.37
	// endShare is the share after which the requests that still run are ended.
	endShare = 0.92
	// exitShare is the share after which the process ends. The time after endShare is for
	// writing the last responses.
	exitShare = 0.95
)

// Plan holds the times of a planned stop.
type Plan struct {
	// RedirectedAt is when callers have been directed to other entries. The process ends from
	// then on as soon as no request runs.
	RedirectedAt time.Time
	// EndAt is when the requests that still run are ended.
	EndAt time.Time
	// ExitAt is when the process ends at the latest.
	ExitAt time.Time
}

// NewPlan returns the plan of a stop that began at a time.
func NewPlan(begun time.Time, grace time.Duration) Plan {
	after := func(share float64) time.Time { return begun.Add(time.Duration(share * float64(grace))) }
	return Plan{RedirectedAt: after(redirectShare), EndAt: after(endShare), ExitAt: after(exitShare)}
}

// Arrival is what is known of a request that arrives.
type Arrival struct {
	// Deadline is when its caller stops waiting or its route ends it.
	Deadline time.Time
	// Repeatable is true if the work may run more than once.
	Repeatable bool
	// Estimate is how long responses to such requests take. Estimated is false if too few
	// are known.
	Estimate  Estimate
	Estimated bool
}

// longestMargin is the factor by which the slowest response may be exceeded.
const longestMargin = 1.5

// Accepts reports whether a request that arrives at a time is accepted. It is if its caller
// will have stopped waiting before it would be ended. Otherwise its response has to be complete
// by then if it takes as long as nearly all did lately, for work that can't be repeated also if
// it takes longer than any.
func (p Plan) Accepts(a Arrival, now time.Time) bool {
	if !a.Deadline.After(p.EndAt) {
		return true
	}
	if !a.Estimated || !now.Before(p.RedirectedAt) {
		return false
	}
	left := p.EndAt.Sub(now)
	if a.Repeatable {
		return a.Estimate.Usual <= left
	}
	return longestMargin*a.Estimate.Longest.Seconds() <= left.Seconds()
}
