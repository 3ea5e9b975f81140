package plan

import (
	"cmp"
	"math"
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// RebalanceLimits limit one change of a map on engines that bring few new experts at a
// time.
type RebalanceLimits struct {
	// MaxNewPerLayer is how many experts of one layer a rank may copy.
	MaxNewPerLayer int
	// MaxCopiesPerRank is how many experts a rank may copy over all layers. Ranks copy at
	// the same time, so this bounds how long a change takes.
	MaxCopiesPerRank int
	// TargetSkew is the skew below which a layer is left alone.
	TargetSkew float64
	// MinGain is by how much a copy must lower the skew of its layer.
	MinGain float64
	// MinMeanGain is by how much a change must lower the mean skew of all layers.
	MinMeanGain float64
}

// Rebalance returns a map that lowers the skew of each layer by copying the experts
// with the most work to the ranks with the least. It returns nil when no copy is
// worth it.
//
// Unlike Planner it weighs no horizon: it is meant for engines on which the
// popular experts change within seconds, and which copy an expert in a fraction
// of one.
func Rebalance(current *expertmap.Map, shares [][]float64, speeds []float64, size expertmap.Size, b RebalanceLimits) (*expertmap.Map, int) {
	out := &expertmap.Map{Layers: slices.Clone(current.Layers)}
	copies := make([]int, size.Ranks)
	total := 0
	for _, l := range bySkew(current, shares, speeds, size) {
		s := &spreader{layerState: l.layerState, bounds: b, copies: copies, fresh: make([]int, size.Ranks)}
		n := s.run()
		if n > 0 {
			out.Layers[l.index] = s.layer()
			total += n
		}
	}
	if total == 0 || Skew(current, shares, speeds, size)-Skew(out, shares, speeds, size) < b.MinMeanGain {
		return nil, 0
	}
	return out, total
}

// indexedLayer is the state of a layer and its place in the map.
type indexedLayer struct {
	*layerState
	index  int
	before float64
}

// bySkew returns the states of the layers, the one with the most skew first.
func bySkew(current *expertmap.Map, shares [][]float64, speeds []float64, size expertmap.Size) []indexedLayer {
	layers := make([]indexedLayer, len(shares))
	for l := range shares {
		state := newLayerState(current.Layers[l], shares[l], speeds, size.Slots)
		layers[l] = indexedLayer{layerState: state, index: l, before: state.skew()}
	}
	slices.SortStableFunc(layers, func(a, b indexedLayer) int { return cmp.Compare(b.before, a.before) })
	return layers
}

// Skew returns the mean over the layers of the slowest rank's time over that of a
// perfect split.
func Skew(m *expertmap.Map, shares [][]float64, speeds []float64, size expertmap.Size) float64 {
	sum := 0.0
	for l := range shares {
		sum += newLayerState(m.Layers[l], shares[l], speeds, size.Slots).skew()
	}
	return sum / float64(len(shares))
}

// spreader changes one layer.
type spreader struct {
	*layerState
	bounds RebalanceLimits
	// copies counts what each rank copies over all layers, fresh in this one.
	copies []int
	fresh  []int
}

// placement is one more replica of an expert at a rank, in the place of another one.
// Either may be none.
type placement struct {
	rank, expert, victim int
	gain                 float64
}

// run makes placements until none is worth its copy, and returns how many there
// were.
func (s *spreader) run() int {
	n := 0
	for range maxMoves {
		if s.skew() <= s.bounds.TargetSkew {
			break
		}
		before := s.skew()
		p, ok := s.bestPlacement()
		if !ok {
			break
		}
		s.place(p)
		if s.skew() > before-s.bounds.MinGain && !s.helps(before) {
			s.revert(p)
			break
		}
		n++
	}
	return n
}

// helps reports whether a placement that did not lower the skew by itself opens
// the way: several ranks can be equally slow.
func (s *spreader) helps(before float64) bool { return s.skew() <= before }

func (s *spreader) place(p placement) {
	if p.victim != none {
		s.drop(p.rank, p.victim)
	}
	if p.expert != none {
		s.add(p.rank, p.expert)
		s.copies[p.rank]++
		s.fresh[p.rank]++
	}
}

func (s *spreader) revert(p placement) {
	if p.expert != none {
		s.drop(p.rank, p.expert)
		s.copies[p.rank]--
		s.fresh[p.rank]--
	}
	if p.victim != none {
		s.add(p.rank, p.victim)
	}
}

// bestPlacement relieves the slowest rank of the expert whose further replica, or
// whose removal from that rank, lowers the penalty most.
func (s *spreader) bestPlacement() (placement, bool) {
	best := placement{}
	slow := s.slowest(1)[0]
	for _, e := range s.held[slow] {
		if s.replicas(e) > 1 {
			if gain := s.replaceGain(slow, none, e); gain > best.gain {
				best = placement{rank: slow, expert: none, victim: e, gain: gain}
			}
		}
		for r := range s.held {
			if r == slow || s.holds(r, e) || s.fresh[r] >= s.bounds.MaxNewPerLayer || s.copies[r] >= s.bounds.MaxCopiesPerRank {
				continue
			}
			victim, ok := s.victim(r, e)
			if !ok {
				continue
			}
			gain := s.replaceGain(r, e, victim) / (1 + copyWeight*float64(s.copies[r]))
			if gain > best.gain {
				best = placement{rank: r, expert: e, victim: victim, gain: gain}
			}
		}
	}
	return best, best.gain > 0
}

// copyWeight makes a rank that copies already less attractive, so that copies
// spread over the ranks.
const copyWeight = 0.25

// victim returns the expert that a rank gives up for another one: none while it
// has a free slot, or else the replica whose work the other holders take over
// most easily.
func (s *spreader) victim(rank, expert int) (int, bool) {
	if len(s.held[rank]) < s.slots {
		return none, true
	}
	best, least := none, math.Inf(1)
	for _, e := range s.held[rank] {
		if e == expert || s.replicas(e) < 2 {
			continue
		}
		if part := s.part(e, s.replicas(e)-1) - s.part(e, s.replicas(e)); part < least {
			best, least = e, part
		}
	}
	return best, best != none
}
