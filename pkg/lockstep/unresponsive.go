package lockstep

import (
	"sync"
	"time"
)

// unresponsiveAgents records which agents did not respond. It is safe for concurrent use.
type unresponsiveAgents struct {
	mu       sync.Mutex
	markedAt map[int]time.Time
}

// unresponsiveFor is how long an agent that did not respond is not called again.
const unresponsiveFor = time.Second

// add records that the agent of a rank did not respond.
func (u *unresponsiveAgents) add(rank int, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.markedAt == nil {
		u.markedAt = make(map[int]time.Time)
	}
	u.markedAt[rank] = now
}

// clear removes all agents.
func (u *unresponsiveAgents) clear() {
	u.mu.Lock()
	defer u.mu.Unlock()
	clear(u.markedAt)
}

// contains reports whether the agent of a rank did not respond within the last
// unresponsiveFor.
func (u *unresponsiveAgents) contains(rank int, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, ok := u.markedAt[rank]
	return ok && now.Sub(at) < unresponsiveFor
}
