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
	Choose(candidates []Candidate, w Work, now time.Time) int
}

// TwoChoices is a Policy that takes the less loaded of two random candidates.
type TwoChoices struct {
	// Limits bound the use of candidates.
	Limits Limits
	// Rand is the source of the choices.
	Rand *rand.Rand
}

// Choose implements Policy.
func (p *TwoChoices) Choose(candidates []Candidate, w Work, now time.Time) int {
	eligible := p.Limits.Eligible(candidates, w, now)
	if len(eligible) == 0 {
		return -1
	}
	a := eligible[p.Rand.IntN(len(eligible))]
	b := eligible[p.Rand.IntN(len(eligible))]
	if candidates[b].Load() < candidates[a].Load() {
		return b
	}
	return a
}

var _ Policy = (*TwoChoices)(nil)
