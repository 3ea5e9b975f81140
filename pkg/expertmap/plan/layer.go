package plan

import (
	"cmp"
	"math"
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// layerState is one layer's placement while it is searched.
type layerState struct {
	slots   int
	work    []float64 // by expert
	speed   []float64 // by rank
	mean    float64   // time of a rank under a perfect split
	held    [][]int   // experts by rank
	holders [][]int   // ranks by expert
	load    []float64 // work by rank
	scale   []float64 // by rank: its time over the mean is its load times this
}

// newLayerState copies a layer and computes its loads.
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
	s.mean = total / capacity
	s.scale = make([]float64, len(layer))
	for r := range s.scale {
		s.scale[r] = 1 / (speed[r] * max(s.mean, math.SmallestNonzeroFloat32))
	}
	return s
}

// part returns the work that each replica of an expert has when it has n.
func (s *layerState) part(expert, n int) float64 { return s.work[expert] / float64(n) }

// replicas returns how many ranks hold an expert.
func (s *layerState) replicas(expert int) int { return len(s.holders[expert]) }

func (s *layerState) holds(rank, expert int) bool { return slices.Contains(s.held[rank], expert) }

// slowest returns the n ranks that take longest, the slowest first.
func (s *layerState) slowest(n int) []int {
	ranks := make([]int, len(s.load))
	for r := range ranks {
		ranks[r] = r
	}
	slices.SortStableFunc(ranks, func(a, b int) int {
		return cmp.Compare(s.load[b]*s.scale[b], s.load[a]*s.scale[a])
	})
	return ranks[:min(n, len(ranks))]
}

// skew returns the time of the slowest rank over that of a perfect split.
func (s *layerState) skew() float64 {
	if s.mean == 0 {
		return 1
	}
	worst := 0.0
	for r := range s.load {
		worst = max(worst, s.load[r]*s.scale[r])
	}
	return worst
}

// penalty grows steeply with a rank's time, so that a lower sum means a lower
// maximum, and progress shows while several ranks are equally slow.
func (s *layerState) penalty(rank int, load float64) float64 {
	x := load * s.scale[rank]
	x2 := x * x
	x4 := x2 * x2
	x8 := x4 * x4
	return x8 * x8
}

// add makes a rank hold an expert.
func (s *layerState) add(rank, expert int) {
	n := s.replicas(expert)
	for _, h := range s.holders[expert] {
		s.load[h] += s.part(expert, n+1) - s.part(expert, n)
	}
	s.load[rank] += s.part(expert, n+1)
	s.holders[expert] = append(s.holders[expert], rank)
	s.held[rank] = append(s.held[rank], expert)
}

// drop makes a rank hold an expert no more. The expert must have another holder,
// or get one before the search goes on.
func (s *layerState) drop(rank, expert int) {
	n := s.replicas(expert)
	s.load[rank] -= s.part(expert, n)
	s.holders[expert] = without(s.holders[expert], rank)
	s.held[rank] = without(s.held[rank], expert)
	for _, h := range s.holders[expert] {
		s.load[h] += s.part(expert, n-1) - s.part(expert, n)
	}
}

func without(list []int, value int) []int {
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
