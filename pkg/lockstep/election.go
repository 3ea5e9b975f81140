package lockstep

import "time"

// CoordinatorCandidates is how many of the lowest ranks may coordinate. The coordinator
// queries them in every poll.
const CoordinatorCandidates = 4

// Timeouts after which a candidate takes over.
const (
	// electionTimeout is how long a candidate waits for a query from a lower rank. It
	// spans a few of the coordinator's queries.
	electionTimeout = 300 * time.Millisecond
	// electionStagger is added for each lower rank, so that candidates take over one
	// after the other.
	electionStagger = 100 * time.Millisecond
)

// election decides whether this agent coordinates. It does no I/O and reads no clock.
type election struct {
	rank      int
	startedAt time.Time
	lastQuery map[int]time.Time
}

func newElection(rank int, now time.Time) *election {
	return &election{rank: rank, startedAt: now, lastQuery: make(map[int]time.Time)}
}

// recordQuery records a query from the coordinator at another rank.
func (e *election) recordQuery(rank int, now time.Time) { e.lastQuery[rank] = now }

// isCoordinator reports whether this agent coordinates now.
func (e *election) isCoordinator(now time.Time) bool {
	if e.rank == 0 {
		return true
	}
	if e.rank >= CoordinatorCandidates {
		return false
	}
	timeout := electionTimeout + time.Duration(e.rank)*electionStagger
	last := e.startedAt
	for rank, at := range e.lastQuery {
		if rank < e.rank && at.After(last) {
			last = at
		}
	}
	return now.Sub(last) > timeout
}
