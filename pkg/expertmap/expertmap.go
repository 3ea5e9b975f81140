// Package expertmap defines expert maps, which assign the experts of each layer
// of a mixture-of-experts model to the ranks of a group. A group is a set of engine
// processes, numbered by rank, that run one copy of the model together. An expert may
// have replicas on several ranks, which share its work evenly.
package expertmap

import (
	"slices"

	"github.com/pkg/errors"
)

// Version identifies a map of a group. Newer maps have higher versions. 0 means no map,
// except as the current version of a rank in package holdswitch: there it is the map
// with which the group is formed.
type Version uint64

// Size gives the dimensions of a model and of the group that runs it.
type Size struct {
	// Ranks is the number of ranks of the group.
	Ranks int `json:"ranks"`
	// Layers is the number of layers with experts.
	Layers int `json:"layers"`
	// Experts is the number of experts in each layer.
	Experts int `json:"experts"`
	// Slots is the maximum number of experts of one layer on one rank.
	Slots int `json:"slots"`
}

// Layer is the placement of one layer: the experts that each rank holds.
type Layer [][]int

// Map is one version of a group's expert map.
type Map struct {
	Version Version `json:"version"`
	Layers  []Layer `json:"layers"`
}

// Errors for invalid sizes and maps. Each message includes a remedy.
var (
	ErrInvalidSize    = errors.New("invalid size; set ranks, layers, experts and slots to at least 1, and ranks times slots to at least the number of experts")
	ErrSizeMismatch   = errors.New("the map's number of ranks or layers differs from the group's; plan it for the group's size")
	ErrInvalidSlots   = errors.New("a rank holds more experts than it has slots, a duplicate or an unknown expert; plan the map again")
	ErrUnplacedExpert = errors.New("an expert has no replica on any rank; plan the map again")
)

// Check returns ErrInvalidSize unless every dimension is at least 1 and the group
// has a slot for every expert.
func (s Size) Check() error {
	if s.Ranks < 1 || s.Layers < 1 || s.Experts < 1 || s.Slots < 1 || s.Ranks*s.Slots < s.Experts {
		return ErrInvalidSize
	}
	return nil
}

// Check returns an error unless the map is valid for a size: the dimensions match,
// every rank holds distinct experts within its slots, and every expert has a replica.
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
	placed := make([]bool, size.Experts)
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
			placed[e] = true
		}
	}
	for _, ok := range placed {
		if !ok {
			return ErrUnplacedExpert
		}
	}
	return nil
}

// Contiguous returns a map that assigns a contiguous block of each layer's experts
// to each rank, without replicas. It is the initial map of groups that switch by package
// mapswitch.
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

// WithVersion returns a map with the same layers and another version.
func (m *Map) WithVersion(v Version) *Map { return &Map{Version: v, Layers: m.Layers} }

// ReplicaCounts returns the number of replicas of each expert.
func (l Layer) ReplicaCounts(experts int) []int {
	count := make([]int, experts)
	for _, held := range l {
		for _, e := range held {
			count[e]++
		}
	}
	return count
}

// Loads returns the work of each rank, with the work of each expert split evenly
// between its replicas.
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

// AddedPerRank returns the number of experts that each rank must load to change from
// one placement of a layer to another.
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

// RoundRobin returns a map that assigns the experts of each layer to the ranks in
// round-robin order, without replicas. It is the initial map of groups that switch by
// package holdswitch.
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
