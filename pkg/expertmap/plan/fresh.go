package plan

import (
	"cmp"
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// freshTries is how many numbers of replicas PlaceLayer tries.
const freshTries = 8

// PlaceLayer plans a layer from nothing and ignores what moving costs. Using every
// slot can force small experts beside a large one, so it also tries to leave
// some slots empty.
func PlaceLayer(work, speeds []float64, size expertmap.Size) expertmap.Layer {
	spare := size.Ranks*size.Slots - size.Experts
	var best *layerState
	for i := range freshTries {
		state := place(work, speeds, size, spare-i*spare/(2*freshTries))
		if best == nil || state.skew() < best.skew() {
			best = state
		}
	}
	best.refine()
	return best.layer()
}

// place gives extra replicas to the experts with the most work for each, and
// places the largest part first on the rank that is done first.
func place(work, speeds []float64, size expertmap.Size, extra int) *layerState {
	replicas := countReplicas(work, size, extra)
	order := make([]int, size.Experts)
	for e := range order {
		order[e] = e
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(work[b]/float64(replicas[b]), work[a]/float64(replicas[a]))
	})
	layer := make(expertmap.Layer, size.Ranks)
	loads := make([]float64, size.Ranks)
	for _, e := range order {
		part := work[e] / float64(replicas[e])
		for range replicas[e] {
			if r := leastLoaded(layer, loads, speeds, e, part, size.Slots); r != none {
				layer[r] = append(layer[r], e)
				loads[r] += part
			}
		}
	}
	return newLayerState(layer, work, speeds, size.Slots)
}

// refine makes moves until none gains.
func (s *layerState) refine() {
	for range maxMoves {
		m, ok := s.best()
		if !ok {
			return
		}
		s.apply(m)
	}
}

// countReplicas gives extra replicas one by one to the expert with the most work
// for each replica.
func countReplicas(work []float64, size expertmap.Size, extra int) []int {
	replicas := make([]int, size.Experts)
	for e := range replicas {
		replicas[e] = 1
	}
	for range extra {
		most := none
		for e := range replicas {
			if replicas[e] < size.Ranks && (most == none || work[e]/float64(replicas[e]) > work[most]/float64(replicas[most])) {
				most = e
			}
		}
		if most == none {
			break
		}
		replicas[most]++
	}
	return replicas
}

// leastLoaded returns the rank with a free slot that is done first with one more
// part of an expert that it does not hold.
func leastLoaded(layer expertmap.Layer, loads, speeds []float64, expert int, part float64, slots int) int {
	best := none
	for r := range layer {
		if len(layer[r]) >= slots || slices.Contains(layer[r], expert) {
			continue
		}
		if best == none || (loads[r]+part)/speeds[r] < (loads[best]+part)/speeds[best] {
			best = r
		}
	}
	return best
}
