// Package expertmap holds the types of expert maps: which experts of each layer
// each rank of a group holds. An expert may be held by several ranks, which
// then share its work evenly.
package expertmap

import (
	"slices"

	"github.com/pkg/errors"
)

// Version orders the maps of a group. 0 means no map.
type Version uint64

// Size is the shape of a model on a group.
type Size struct {
	// Ranks is the number of ranks of the group.
	Ranks int `json:"ranks"`
	// Layers is the number of layers with experts.
	Layers int `json:"layers"`
	// Experts is the number of experts in each layer.
	Experts int `json:"experts"`
	// Slots is the number of experts of a layer that one rank can hold.
	Slots int `json:"slots"`
}

// Layer lists the experts of one layer by the rank that holds them.
type Layer [][]int

// Map is one version of a group's expert map.
type Map struct {
	Version Version `json:"version"`
	Layers  []Layer `json:"layers"`
}

// Errors of a map or size that can't be used. Their messages name the remedy.
var (
	ErrInvalidSize    = errors.New("ranks, layers, experts and slots don't fit; give each at least 1, and at least as many slots over all ranks as experts")
	ErrSizeMismatch   = errors.New("the map names another number of ranks; plan it for the group's size")
	ErrInvalidSlots   = errors.New("a rank holds more experts than it has slots, or one twice; plan the map again")
	ErrUnplacedExpert = errors.New("an expert is held by no rank; plan the map again")
)

// Check returns an error unless a model of the size fits its group.
func (s Size) Check() error {
	if s.Ranks < 1 || s.Layers < 1 || s.Experts < 1 || s.Slots < 1 || s.Ranks*s.Slots < s.Experts {
		return ErrInvalidSize
	}
	return nil
}

// Check returns an error unless the map serves a model of the size.
func (m *Map) Check(size Size) error {
	if len(m.Layers) != size.Layers {
		return ErrSizeMismatch
	}
	for _, layer := range m.Layers {
		if err := layer.check(size); err != nil {
			return err
		}
	}
	return nil
}

func (l Layer) check(size Size) error {
	if len(l) != size.Ranks {
		return ErrSizeMismatch
	}
	held := make([]bool, size.Experts)
	for _, experts := range l {
		if len(experts) > size.Slots {
			return ErrInvalidSlots
		}
		seen := make(map[int]bool, len(experts))
		for _, e := range experts {
			if e < 0 || e >= size.Experts || seen[e] {
				return ErrInvalidSlots
			}
			seen[e] = true
			held[e] = true
		}
	}
	for _, ok := range held {
		if !ok {
			return ErrUnplacedExpert
		}
	}
	return nil
}

// Contiguous returns the map that deals the experts of each layer to the ranks in
// turn, without replicas. It is the fixed map that plans start from.
func Contiguous(size Size) *Map {
	m := &Map{Layers: make([]Layer, size.Layers)}
	for i := range m.Layers {
		m.Layers[i] = make(Layer, size.Ranks)
		for e := range size.Experts {
			r := e * size.Ranks / size.Experts
			m.Layers[i][r] = append(m.Layers[i][r], e)
		}
	}
	return m
}

// WithVersion returns the same map under another version.
func (m *Map) WithVersion(v Version) *Map { return &Map{Version: v, Layers: m.Layers} }

// ReplicaCounts returns how many ranks hold each expert.
func (l Layer) ReplicaCounts(experts int) []int {
	count := make([]int, experts)
	for _, held := range l {
		for _, e := range held {
			count[e]++
		}
	}
	return count
}

// Loads returns the work of each rank when each expert's work is split evenly
// over its replicas.
func (l Layer) Loads(work []float64) []float64 {
	replicas := l.ReplicaCounts(len(work))
	loads := make([]float64, len(l))
	for r, held := range l {
		for _, e := range held {
			loads[r] += work[e] / float64(replicas[e])
		}
	}
	return loads
}

// AddedPerRank returns how many experts each rank must load to change from one layer
// to another.
func AddedPerRank(from, to Layer) []int {
	added := make([]int, len(to))
	for r, held := range to {
		for _, e := range held {
			if r >= len(from) || !slices.Contains(from[r], e) {
				added[r]++
			}
		}
	}
	return added
}

// RoundRobin returns the map that deals the experts of each layer one by one to the
// ranks in turn, without replicas.
func RoundRobin(size Size) *Map {
	m := &Map{Layers: make([]Layer, size.Layers)}
	for i := range m.Layers {
		m.Layers[i] = make(Layer, size.Ranks)
		for e := range size.Experts {
			r := e % size.Ranks
			m.Layers[i][r] = append(m.Layers[i][r], e)
		}
	}
	return m
}
