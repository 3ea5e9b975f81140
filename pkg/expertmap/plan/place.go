package plan

import (
	"cmp"
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// placementAttempts is the number of different replica counts that PlaceLayer tries.
const placementAttempts = 8

// PlaceLayer computes a placement of a layer from scratch, regardless of the cost of
// moving experts. Filling every slot can force small experts onto the rank of a large one,
// so it also tries to leave some slots empty.
func PlaceLayer(work, speeds []float64, size expertmap.Size) expertmap.Layer {
	spare := size.Ranks*size.Slots - size.Experts
	var best *layerState
	for i := range placementAttempts {
		state := placeReplicas(work, speeds, size, spare-i*spare/(2*placementAttempts))
		if best == nil || state.skew() < best.skew() {
			best = state
		}
	}
	best.refine()
	return best.layer()
}

// placeReplicas gives extra replicas to the experts with the most work per replica. It
// then places replicas in descending order of work, each on the rank that would finish
// first. A replica for which no rank without the expert has a free slot is left out.
func placeReplicas(work, speeds []float64, size expertmap.Size, extra int) *layerState {
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
		replicaWork := work[e] / float64(replicas[e])
		for range replicas[e] {
			if r := leastLoaded(layer, loads, speeds, e, replicaWork, size.Slots); r != none {
				layer[r] = append(layer[r], e)
				loads[r] += replicaWork
			}
		}
	}
	return newLayerState(layer, work, speeds, size.Slots)
}

// refine applies moves until none has enough gain.
func (s *layerState) refine() {
	for range maxMoves {
		m, ok := s.bestMove()
		if !ok {
			return
		}
		s.apply(m)
	}
}

// countReplicas gives extra replicas one by one to the expert with the most work per
// replica.
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

// leastLoaded returns the rank that would finish first with another replica, among the
// ranks with a free slot that don't hold the expert. It returns none if there is none.
func leastLoaded(layer expertmap.Layer, loads, speeds []float64, expert int, replicaWork float64, slots int) int {
	best := none
	for r := range layer {
		if len(layer[r]) >= slots || slices.Contains(layer[r], expert) {
			continue
		}
		if best == none || (loads[r]+replicaWork)/speeds[r] < (loads[best]+replicaWork)/speeds[best] {
			best = r
		}
	}
	return best
}
