package tablesync

import "slices"

// maxNeighbours is the highest number of entries from which one entry requests
// updates.
const maxNeighbours = 5

// Neighbours returns the entries from which one entry requests updates of the table.
// Up to maxNeighbours other entries, these are all of them. Otherwise they are those
// at distances 1, 4, 16, 64 and 256 in the ring of sorted names, so that an update
// reaches each of 1,024 entries over at most 15 hops.
func Neighbours(self string, names []string) []string {
	ring := slices.Clone(names)
	if !slices.Contains(ring, self) {
		ring = append(ring, self)
	}
	slices.Sort(ring)
	ring = slices.Compact(ring)
	at := slices.Index(ring, self)
	if len(ring)-1 <= maxNeighbours {
		return slices.Delete(ring, at, at+1)
	}
	var neighbours []string
	for distance := 1; distance < len(ring) && len(neighbours) < maxNeighbours; distance *= 4 {
		neighbours = append(neighbours, ring[(at+distance)%len(ring)])
	}
	return neighbours
}
