// Package selection chooses the upstream of a request among those that have room
// for it, or else a short line in which it may wait. It is pure and draws from a
// seeded source.
package selection

import (
	"math/rand/v2"
	"time"
)

// Policy chooses one of several candidates.
type Policy interface {
	// Choose returns the index of a candidate, or -1 when none can take work.
	Choose(candidates []Candidate, w Request, now time.Time) int
	// HasCapacity reports whether any candidate can take any work.
	HasCapacity(candidates []Candidate, now time.Time) bool
	// HasServing reports whether any candidate takes work at all, be it full now.
	HasServing(candidates []Candidate, now time.Time) bool
}

// TwoChoices is a Policy that takes the less loaded of two random candidates.
// Priority work takes the least loaded of all.
type TwoChoices struct {
	// Limits bound the use of candidates.
	Limits
	// Rand is the source of the choices.
	Rand *rand.Rand
}

// Choose implements Policy.
func (p *TwoChoices) Choose(candidates []Candidate, w Request, now time.Time) int {
	eligible := p.Limits.Eligible(candidates, w, now)
	if len(eligible) == 0 {
		return -1
	}
	if w.Priority {
		return leastLoaded(candidates, eligible, w, p.Rand)
	}
	a := eligible[p.Rand.IntN(len(eligible))]
	b := eligible[p.Rand.IntN(len(eligible))]
	if candidates[b].Load(w) < candidates[a].Load(w) {
		return b
	}
	return a
}

// leastLoaded returns the least loaded of the eligible candidates, a random one
// of those that are equal.
func leastLoaded(candidates []Candidate, eligible []int, w Request, r *rand.Rand) int {
	best, equal := eligible[0], 1
	for _, i := range eligible[1:] {
		switch load, least := candidates[i].Load(w), candidates[best].Load(w); {
		case load < least:
			best, equal = i, 1
		case load == least:
			equal++
			if r.IntN(equal) == 0 {
				best = i
			}
		}
	}
	return best
}

var _ Policy = (*TwoChoices)(nil)
