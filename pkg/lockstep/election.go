package lockstep

import "time"

// CoordinatorCandidates is how many of the lowest ranks may coordinate. They hear the
// coordinator every poll.
const CoordinatorCandidates = 4

// Silences after which a rank takes over.
const (
	// patience is the silence of the ranks before, some polls long.
	patience = 300 * time.Millisecond
	// stagger is added for each rank before, so that one starts alone.
	stagger = 100 * time.Millisecond
)

// election decides whether this agent coordinates. It is pure.
type election struct {
	rank  int
	since time.Time
	heard map[int]time.Time
}

func newElection(rank int, now time.Time) *election {
	return &election{rank: rank, since: now, heard: make(map[int]time.Time)}
}

// hear records a question of another coordinator.
func (e *election) hear(rank int, now time.Time) { e.heard[rank] = now }

// coordinates reports whether this agent coordinates now.
func (e *election) coordinates(now time.Time) bool {
	if e.rank == 0 {
		return true
	}
	if e.rank >= CoordinatorCandidates {
		return false
	}
	quiet := patience + time.Duration(e.rank)*stagger
	last := e.since
	for rank, at := range e.heard {
		if rank < e.rank && at.After(last) {
			last = at
		}
	}
	return now.Sub(last) > quiet
}
