package plan

import (
	"math"
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// alignTolerance is the maximum relative difference of the speeds of two ranks that
// exchange their experts.
const alignTolerance = 0.05

// Align renumbers the ranks of a new placement so that they keep as many of their current
// experts as possible. Only ranks of about the same speed are exchanged.
func Align(from, to expertmap.Layer, speeds []float64) expertmap.Layer {
	type pair struct{ rank, newRank, shared int }
	var pairs []pair
	for rank := range from {
		for newRank := range to {
			if math.Abs(speeds[rank]-speeds[newRank]) <= alignTolerance*speeds[rank] {
				pairs = append(pairs, pair{rank, newRank, countShared(from[rank], to[newRank])})
			}
		}
	}
	slices.SortStableFunc(pairs, func(a, b pair) int { return b.shared - a.shared })
	out := make(expertmap.Layer, len(to))
	done := make([]bool, len(to))
	used := make([]bool, len(to))
	for _, p := range pairs {
		if !done[p.rank] && !used[p.newRank] {
			out[p.rank] = to[p.newRank]
			done[p.rank], used[p.newRank] = true, true
		}
	}
	return out
}

// countShared returns the number of experts that two ranks have in common.
func countShared(a, b []int) int {
	n := 0
	for _, e := range a {
		if slices.Contains(b, e) {
			n++
		}
	}
	return n
}
