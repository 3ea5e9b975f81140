package lockstep

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// maxCachedMaps is how many maps an agent caches. It leaves space for the current map,
// the map that is being prepared, and the maps that voided other orders in between.
const maxCachedMaps = 6

// mapCache caches the latest maps that an agent has received, encoded, so that an order
// can contain the hash of a map instead of the map: a map takes several kilobytes for
// each rank, and the links of ranks are slow. It is safe for concurrent use.
type mapCache struct {
	mu   sync.Mutex
	list []packedMap
}

type packedMap struct {
	hash    uint64
	version expertmap.Version
	packed  []byte
}

// add caches an encoded map, evicts the oldest maps beyond maxCachedMaps, and returns the
// map's hash.
func (m *mapCache) add(version expertmap.Version, packed []byte) uint64 {
	hash := xxhash.Sum64(packed)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = slices.DeleteFunc(m.list, func(p packedMap) bool { return p.hash == hash && p.version == version })
	m.list = append(m.list, packedMap{hash: hash, version: version, packed: packed})
	m.list = m.list[max(0, len(m.list)-maxCachedMaps):]
	return hash
}

// byHash returns the encoded map with a hash, or nil if it is not cached.
func (m *mapCache) byHash(hash uint64) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.list {
		if p.hash == hash {
			return p.packed
		}
	}
	return nil
}

// byVersion returns the map of a version, or nil if it is not cached or can't be decoded.
func (m *mapCache) byVersion(v expertmap.Version) *expertmap.Map {
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

// packLayers encodes layers with the experts of each rank sorted, so that equal maps have
// equal bytes and the same hash.
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
