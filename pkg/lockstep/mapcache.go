package lockstep

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// keptMaps is how many maps an agent remembers: the one in use, the one that is being
// prepared, and those that voided others meanwhile.
const keptMaps = 6

// mapCache remembers the latest maps that an agent was sent, packed, so that an order
// can name one instead of carrying it: a map takes some kilobytes for each rank, and the
// links of ranks are slow. It is safe for concurrent use.
type mapCache struct {
	mu   sync.Mutex
	list []packedMap
}

type packedMap struct {
	hash    uint64
	version expertmap.Version
	packed  []byte
}

// keep remembers a packed map and returns its hash.
func (m *mapCache) keep(version expertmap.Version, packed []byte) uint64 {
	hash := xxhash.Sum64(packed)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = slices.DeleteFunc(m.list, func(p packedMap) bool { return p.hash == hash && p.version == version })
	m.list = append(m.list, packedMap{hash: hash, version: version, packed: packed})
	m.list = m.list[max(0, len(m.list)-keptMaps):]
	return hash
}

// get returns the map with a hash, nil when it is not remembered.
func (m *mapCache) get(hash uint64) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.list {
		if p.hash == hash {
			return p.packed
		}
	}
	return nil
}

// version returns the map of a version, nil when it is not remembered or can't be read.
func (m *mapCache) version(v expertmap.Version) *expertmap.Map {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.list {
		if p.version != v {
			continue
		}
		out := &expertmap.Map{Version: v}
		if unpack(p.packed, &out.Layers) == nil {
			return out
		}
	}
	return nil
}

// packLayers packs layers so that the same map always gives the same bytes, in
// whatever order its experts are listed.
func packLayers(layers []expertmap.Layer) ([]byte, error) {
	sorted := make([]expertmap.Layer, len(layers))
	for l, layer := range layers {
		sorted[l] = make(expertmap.Layer, len(layer))
		for rank, experts := range layer {
			sorted[l][rank] = slices.Sorted(slices.Values(experts))
		}
	}
	return pack(sorted)
}
