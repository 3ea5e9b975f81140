package tablesync

import "slices"

// maxNeighbours is the most entries that one entry asks for news.
const maxNeighbours = 5

// Neighbours returns the entries that one entry asks for news of the table. Up
// to maxNeighbours others are all asked. Of more, those at distances 1, 4, 16,
// 64 and 256 in the ring of names are asked, so that news reaches each of 1,024
// entries over at most 15 others.
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
	var chosen []string
	for distance := 1; distance < len(ring) && len(chosen) < maxNeighbours; distance *= 4 {
		chosen = append(chosen, ring[(at+distance)%len(ring)])
	}
	return chosen
}
