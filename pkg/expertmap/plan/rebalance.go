package plan

import (
	"cmp"
	"math"
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// RebalanceLimits limits one change of a map by Rebalance, for engines that copy only a
// few new experts at a time.
type RebalanceLimits struct {
	// MaxNewPerLayer is the maximum number of experts of one layer that a rank copies.
	MaxNewPerLayer int
	// MaxCopiesPerRank is the maximum number of experts that a rank copies over all
	// layers. Ranks copy in parallel, so this limits the duration of a change.
	MaxCopiesPerRank int
	// TargetSkew is the skew up to which a layer is not changed.
	TargetSkew float64
	// MinGain is the minimum reduction of a layer's skew by a copy or removal of a
	// replica. It has no effect unless it is negative, since a change that does not
	// raise the skew is always kept; see keepsSkew.
	MinGain float64
	// MinMeanGain is the minimum reduction of the mean skew of all layers by a change.
	MinMeanGain float64
}

// Rebalance returns a map with a lower skew and the number of changes, which are copies
// and removals of single replicas. In each layer it repeatedly makes the best change to
// the experts of the slowest rank. It returns nil when no change is worthwhile.
//
// Unlike Planner, it does not weigh costs over a horizon. It is meant for engines whose
// popular experts change within seconds and which copy an expert in a fraction of a
// second.
func Rebalance(current *expertmap.Map, shares [][]float64, speeds []float64, size expertmap.Size, limits RebalanceLimits) (*expertmap.Map, int) {
	out := &expertmap.Map{Layers: slices.Clone(current.Layers)}
	copies := make([]int, size.Ranks)
	total := 0
	for _, l := range layersBySkew(current, shares, speeds, size) {
		s := &rebalancer{layerState: l.layerState, limits: limits, copies: copies, newInLayer: make([]int, size.Ranks)}
		n := s.run()
		if n > 0 {
			out.Layers[l.index] = s.layer()
			total += n
		}
	}
	if total == 0 || Skew(current, shares, speeds, size)-Skew(out, shares, speeds, size) < limits.MinMeanGain {
		return nil, 0
	}
	return out, total
}

// indexedLayer is the state of a layer with its index in the map.
type indexedLayer struct {
	*layerState
	index      int
	skewBefore float64
}

// layersBySkew returns the states of the layers in descending order of their skew.
func layersBySkew(current *expertmap.Map, shares [][]float64, speeds []float64, size expertmap.Size) []indexedLayer {
	layers := make([]indexedLayer, len(shares))
	for l := range shares {
		state := newLayerState(current.Layers[l], shares[l], speeds, size.Slots)
		layers[l] = indexedLayer{layerState: state, index: l, skewBefore: state.skew()}
	}
	slices.SortStableFunc(layers, func(a, b indexedLayer) int { return cmp.Compare(b.skewBefore, a.skewBefore) })
	return layers
}

// Skew returns the mean skew of the layers: the time of the slowest rank relative to a
// perfectly balanced split.
func Skew(m *expertmap.Map, shares [][]float64, speeds []float64, size expertmap.Size) float64 {
	sum := 0.0
	for l := range shares {
		sum += newLayerState(m.Layers[l], shares[l], speeds, size.Slots).skew()
	}
	return sum / float64(len(shares))
}

// rebalancer changes one layer.
type rebalancer struct {
	*layerState
	limits RebalanceLimits
	// copies counts the copies of each rank over all layers, newInLayer in this layer.
	copies     []int
	newInLayer []int
}

// replicaChange adds a replica of an expert to a rank and evicts another one. Either may
// be none.
type replicaChange struct {
	rank, expert, evicted int
	gain                  float64
}

// run changes replicas until no change is worthwhile and returns the number of changes.
func (s *rebalancer) run() int {
	n := 0
	for range maxMoves {
		if s.skew() <= s.limits.TargetSkew {
			break
		}
		before := s.skew()
		c, ok := s.bestChange()
		if !ok {
			break
		}
		s.applyChange(c)
		if s.skew() > before-s.limits.MinGain && !s.keepsSkew(before) {
			s.revertChange(c)
			break
		}
		n++
	}
	return n
}

// keepsSkew reports whether the skew is at most that before a change. Such a change can
// still allow further ones to reduce the skew, when several ranks are equally slow.
func (s *rebalancer) keepsSkew(before float64) bool { return s.skew() <= before }

func (s *rebalancer) applyChange(c replicaChange) {
	if c.evicted != none {
		s.drop(c.rank, c.evicted)
	}
	if c.expert != none {
		s.add(c.rank, c.expert)
		s.copies[c.rank]++
		s.newInLayer[c.rank]++
	}
}

func (s *rebalancer) revertChange(c replicaChange) {
	if c.expert != none {
		s.drop(c.rank, c.expert)
		s.copies[c.rank]--
		s.newInLayer[c.rank]--
	}
	if c.evicted != none {
		s.add(c.rank, c.evicted)
	}
}

// bestChange returns the change that reduces the penalty most: another replica of an
// expert of the slowest rank, or the removal of a replica from that rank.
func (s *rebalancer) bestChange() (replicaChange, bool) {
	best := replicaChange{}
	slow := s.slowest(1)[0]
	for _, e := range s.held[slow] {
		if s.replicas(e) > 1 {
			if gain := s.replaceGain(slow, none, e); gain > best.gain {
				best = replicaChange{rank: slow, expert: none, evicted: e, gain: gain}
			}
		}
		for r := range s.held {
			if r == slow || s.holds(r, e) || s.newInLayer[r] >= s.limits.MaxNewPerLayer || s.copies[r] >= s.limits.MaxCopiesPerRank {
				continue
			}
			evicted, ok := s.expertToEvict(r, e)
			if !ok {
				continue
			}
			gain := s.replaceGain(r, e, evicted) / (1 + copyPenalty*float64(s.copies[r]))
			if gain > best.gain {
				best = replicaChange{rank: r, expert: e, evicted: evicted, gain: gain}
			}
		}
	}
	return best, best.gain > 0
}

// copyPenalty makes ranks with copies less attractive, so that copies are spread over
// the ranks.
const copyPenalty = 0.25

// expertToEvict returns the expert that a rank evicts to add another one: none while it
// has a free slot, and otherwise the replica whose removal adds the least work to each of
// its other holders.
func (s *rebalancer) expertToEvict(rank, expert int) (int, bool) {
	if len(s.held[rank]) < s.slots {
		return none, true
	}
	best, minIncrease := none, math.Inf(1)
	for _, e := range s.held[rank] {
		if e == expert || s.replicas(e) < 2 {
			continue
		}
		if increase := s.replicaWork(e, s.replicas(e)-1) - s.replicaWork(e, s.replicas(e)); increase < minIncrease {
			best, minIncrease = e, increase
		}
	}
	return best, best != none
}
