// Package selection selects the upstream of a request: one that has free capacity,
// or else one with an agent queue in which the request may wait. It does no I/O and
// reads no clock: callers pass the time. Random choices are drawn from a seeded source.
package selection

import (
	"math/rand/v2"
	"time"
)

// Policy selects one of several candidates.
type Policy interface {
	// Choose returns the index of a candidate, or -1 if none is eligible.
	Choose(candidates []Candidate, r Request, now time.Time) int
	// HasCapacity reports whether any candidate can take a request now, at once or
	// in its agent's queue.
	HasCapacity(candidates []Candidate, now time.Time) bool
	// HasUsable reports whether any candidate is usable, even if it is full now.
	HasUsable(candidates []Candidate, now time.Time) bool
}

// TwoChoices is a Policy that selects the less loaded of two random candidates (power
// of two choices), and for priority work the least loaded of all.
type TwoChoices struct {
	// Limits limit the use of candidates.
	Limits
	// Rand is the source of random choices.
	Rand *rand.Rand
}

// Choose implements Policy.
func (p *TwoChoices) Choose(candidates []Candidate, r Request, now time.Time) int {
	eligible := p.Limits.Eligible(candidates, r, now)
	if len(eligible) == 0 {
		return -1
	}
	if r.Priority {
		return leastLoaded(candidates, eligible, r, p.Rand)
	}
	a := eligible[p.Rand.IntN(len(eligible))]
	b := eligible[p.Rand.IntN(len(eligible))]
	if candidates[b].Load(r) < candidates[a].Load(r) {
		return b
	}
	return a
}

// leastLoaded returns the index of the least loaded eligible candidate, a random one
// if several are equally loaded.
func leastLoaded(candidates []Candidate, eligible []int, r Request, random *rand.Rand) int {
	best, equal := eligible[0], 1
	for _, i := range eligible[1:] {
		switch load, least := candidates[i].Load(r), candidates[best].Load(r); {
		case load < least:
			best, equal = i, 1
		case load == least:
			equal++
			if random.IntN(equal) == 0 {
				best = i
			}
		}
	}
	return best
}

var _ Policy = (*TwoChoices)(nil)
