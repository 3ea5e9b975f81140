package plan

import (
	"cmp"
	"math"
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// layerState is the placement of one layer during a search.
type layerState struct {
	slots        int
	work         []float64 // by expert
	speed        []float64 // by rank
	balancedTime float64   // time of each rank if the work were perfectly balanced
	held         [][]int   // experts by rank
	holders      [][]int   // ranks by expert
	load         []float64 // work by rank
	timeScale    []float64 // by rank: load times timeScale is time over balancedTime
}

// newLayerState copies a layer's placement and computes the load of each rank.
func newLayerState(layer expertmap.Layer, work, speed []float64, slots int) *layerState {
	s := &layerState{
		slots: slots, work: work, speed: speed,
		held: make([][]int, len(layer)), holders: make([][]int, len(work)),
		load: layer.Loads(work),
	}
	total, capacity := 0.0, 0.0
	for r, experts := range layer {
		s.held[r] = slices.Clone(experts)
		capacity += speed[r]
		for _, e := range experts {
			s.holders[e] = append(s.holders[e], r)
		}
	}
	for _, w := range work {
		total += w
	}
	s.balancedTime = total / capacity
	s.timeScale = make([]float64, len(layer))
	for r := range s.timeScale {
		s.timeScale[r] = 1 / (speed[r] * max(s.balancedTime, math.SmallestNonzeroFloat32))
	}
	return s
}

// replicaWork returns the work of each replica of an expert that has n replicas.
func (s *layerState) replicaWork(expert, n int) float64 { return s.work[expert] / float64(n) }

// replicas returns the number of replicas of an expert.
func (s *layerState) replicas(expert int) int { return len(s.holders[expert]) }

func (s *layerState) holds(rank, expert int) bool { return slices.Contains(s.held[rank], expert) }

// slowest returns the n slowest ranks in descending order of their time.
func (s *layerState) slowest(n int) []int {
	ranks := make([]int, len(s.load))
	for r := range ranks {
		ranks[r] = r
	}
	slices.SortStableFunc(ranks, func(a, b int) int {
		return cmp.Compare(s.load[b]*s.timeScale[b], s.load[a]*s.timeScale[a])
	})
	return ranks[:min(n, len(ranks))]
}

// skew returns the time of the slowest rank relative to a perfectly balanced split.
func (s *layerState) skew() float64 {
	if s.balancedTime == 0 {
		return 1
	}
	worst := 0.0
	for r := range s.load {
		worst = max(worst, s.load[r]*s.timeScale[r])
	}
	return worst
}

// penalty grows steeply with a rank's time, so that lowering the sum lowers the maximum
// and progress is visible even while several ranks are equally slow.
func (s *layerState) penalty(rank int, load float64) float64 {
	x := load * s.timeScale[rank]
	x2 := x * x
	x4 := x2 * x2
	x8 := x4 * x4
	return x8 * x8
}

// add adds a replica of an expert to a rank.
func (s *layerState) add(rank, expert int) {
	n := s.replicas(expert)
	for _, h := range s.holders[expert] {
		s.load[h] += s.replicaWork(expert, n+1) - s.replicaWork(expert, n)
	}
	s.load[rank] += s.replicaWork(expert, n+1)
	s.holders[expert] = append(s.holders[expert], rank)
	s.held[rank] = append(s.held[rank], expert)
}

// drop removes an expert's replica from a rank. The expert must have another replica, or
// get one before the search continues.
func (s *layerState) drop(rank, expert int) {
	n := s.replicas(expert)
	s.load[rank] -= s.replicaWork(expert, n)
	s.holders[expert] = removeValue(s.holders[expert], rank)
	s.held[rank] = removeValue(s.held[rank], expert)
	for _, h := range s.holders[expert] {
		s.load[h] += s.replicaWork(expert, n-1) - s.replicaWork(expert, n)
	}
}

func removeValue(list []int, value int) []int {
	i := slices.Index(list, value)
	return slices.Delete(list, i, i+1)
}

// layer returns a copy of the placement.
func (s *layerState) layer() expertmap.Layer {
	l := make(expertmap.Layer, len(s.held))
	for r := range s.held {
		l[r] = slices.Sorted(slices.Values(s.held[r]))
	}
	return l
}
