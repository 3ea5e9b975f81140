package plan

import (
	"math"
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// alignTolerance is the part by which the speeds of two ranks may differ when
// they exchange what they hold.
const alignTolerance = 0.05

// Align renumbers the ranks of a new layer so that they hold as many of their
// old experts as possible. Only ranks of about the same speed are exchanged.
func Align(from, to expertmap.Layer, speeds []float64) expertmap.Layer {
	type pair struct{ rank, row, same int }
	var pairs []pair
	for rank := range from {
		for row := range to {
			if math.Abs(speeds[rank]-speeds[row]) <= alignTolerance*speeds[rank] {
				pairs = append(pairs, pair{rank, row, common(from[rank], to[row])})
			}
		}
	}
	slices.SortStableFunc(pairs, func(a, b pair) int { return b.same - a.same })
	out := make(expertmap.Layer, len(to))
	done := make([]bool, len(to))
	used := make([]bool, len(to))
	for _, p := range pairs {
		if !done[p.rank] && !used[p.row] {
			out[p.rank] = to[p.row]
			done[p.rank], used[p.row] = true, true
		}
	}
	return out
}

// common counts the experts that two ranks share.
func common(a, b []int) int {
	n := 0
	for _, e := range a {
		if slices.Contains(b, e) {
			n++
		}
	}
	return n
}
