// Package selection chooses the upstream of a request by the least load of two
// random candidates that have room. It is pure and draws from a seeded source.
package selection

import (
	"math/rand/v2"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// Candidate is an entry's view of one upstream.
type Candidate struct {
	// Report is the newest report of the upstream's agent.
	Report api.Report
	// ReceivedAt is when the report arrived.
	ReceivedAt time.Time
	// InFlight is how many attempts this entry has running there.
	InFlight int
	// SinceReport is how many of them were sent after the report arrived.
	SinceReport int
	// Out is true when the table takes the upstream or its failure domain out.
	Out bool
	// AvoidUntil is until when the upstream is passed over after a failure.
	AvoidUntil time.Time
	// Suspect is true from a failed attempt until the next report, so that an
	// upstream that can't be reached is not chosen on the strength of an old
	// report.
	Suspect bool
}

// Policy chooses one of several candidates.
type Policy interface {
	// Choose returns the index of a candidate, or -1 when none can take work.
	Choose(candidates []Candidate, now time.Time) int
}

// TwoChoices is a Policy that takes the less loaded of two random candidates.
type TwoChoices struct {
	// MaxAge is the age beyond which a report is not used.
	MaxAge time.Duration
	// Rand is the source of the choices.
	Rand *rand.Rand
}

// Choose implements Policy.
func (p *TwoChoices) Choose(candidates []Candidate, now time.Time) int {
	usable := make([]int, 0, len(candidates))
	for i := range candidates {
		if candidates[i].usable(now, p.MaxAge) {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return -1
	}
	a := usable[p.Rand.IntN(len(usable))]
	b := usable[p.Rand.IntN(len(usable))]
	if candidates[b].load() < candidates[a].load() {
		return b
	}
	return a
}

// usable reports whether the candidate can take one more attempt.
func (c *Candidate) usable(now time.Time, maxAge time.Duration) bool {
	r := &c.Report
	if c.Out || r.Leaving || !r.Ready || c.Suspect || now.Before(c.AvoidUntil) {
		return false
	}
	if now.Sub(c.ReceivedAt) > maxAge {
		return false
	}
	return c.occupied() < r.Limit
}

// occupied estimates how many attempts the upstream runs.
func (c *Candidate) occupied() int {
	return max(c.Report.Running+c.SinceReport, c.InFlight)
}

// load is the occupied fraction of the limit, weighted by the upstream's skew.
func (c *Candidate) load() float64 {
	skew := max(1, c.Report.Skew)
	return float64(c.occupied()) * skew / float64(max(1, c.Report.Limit))
}

var _ Policy = (*TwoChoices)(nil)
