package lockstep

import (
	"sync"
	"time"
)

// silence remembers which agents did not answer. It is safe for concurrent use.
type silence struct {
	mu    sync.Mutex
	since map[int]time.Time
}

// silentFor is how long an agent that did not answer is not asked again.
const silentFor = time.Second

// mark records that the agent of a rank did not answer.
func (s *silence) mark(rank int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since == nil {
		s.since = make(map[int]time.Time)
	}
	s.since[rank] = now
}

// clear forgets all of them.
func (s *silence) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.since)
}

// is reports whether the agent of a rank is not to be asked now.
func (s *silence) is(rank int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.since[rank]
	return ok && now.Sub(at) < silentFor
}
