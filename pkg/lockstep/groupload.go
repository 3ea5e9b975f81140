package lockstep

import "time"

// PathGroupLoad is the path at which a coordinator reports the load of its group to
// entries.
const PathGroupLoad = "/v1/group/board"

// GroupLoad is the load of a group's ranks as its coordinator reports it.
type GroupLoad struct {
	Group string `json:"group"`
	Epoch uint64 `json:"epoch"`
	// AgeMillis is the time since the ranks were polled.
	AgeMillis int64 `json:"age_ms"`
	// Running and Waiting count each rank's requests. They are -1 for a rank whose status
	// is unknown or too old.
	Running []int `json:"running"`
	Waiting []int `json:"waiting"`
	// Slowdown is the factor by which each rank takes longer than a healthy one, above 1
	// for a slow rank.
	Slowdown []float64 `json:"pace"`
}

// maxStatusAge is the age beyond which a rank's status is not published. It is about
// the duration of a request.
const maxStatusAge = time.Second

// GroupLoad returns the latest published load of the group, or nil if this agent does
// not coordinate.
func (a *Agent) GroupLoad(now time.Time) *GroupLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.groupLoad == nil {
		return nil
	}
	load := *a.groupLoad
	load.AgeMillis = now.Sub(a.groupLoadAt).Milliseconds()
	return &load
}

// publishGroupLoad publishes the load of the group from the replies to the poll at
// polledAt. If c is nil, it withdraws the published load.
func (a *Agent) publishGroupLoad(c *coordination, polledAt time.Time) {
	var load *GroupLoad
	if c != nil {
		load = c.groupLoad(polledAt)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.groupLoad, a.groupLoadAt = load, polledAt
}

func (c *coordination) groupLoad(now time.Time) *GroupLoad {
	load := &GroupLoad{Group: c.membership.Group, Epoch: c.membership.Epoch}
	for rank, status := range c.statuses {
		running, waiting := status.Running, status.Waiting
		if now.Sub(c.statusAt[rank]) > maxStatusAge {
			running, waiting = -1, -1
		}
		load.Running = append(load.Running, running)
		load.Waiting = append(load.Waiting, waiting)
		load.Slowdown = append(load.Slowdown, status.Slowdown)
	}
	return load
}
