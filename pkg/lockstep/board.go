package lockstep

import "time"

// PathGroupLoad is the path at which a coordinator tells entries how its ranks do.
const PathGroupLoad = "/v1/group/board"

// GroupLoad is what a coordinator knows of its ranks.
type GroupLoad struct {
	Group string `json:"group"`
	Epoch uint64 `json:"epoch"`
	// AgeMillis is how old the board is.
	AgeMillis int64 `json:"age_ms"`
	// Running and Waiting are each rank's requests, -1 for a rank that is not known
	// or was not heard of for long.
	Running []int `json:"running"`
	Waiting []int `json:"waiting"`
	// Slowdown is above 1 for a rank that is slow.
	Slowdown []float64 `json:"pace"`
}

// boardLife is how old a rank's reading on a board may be. A request takes about
// as long.
const boardLife = time.Second

// GroupLoad returns what this agent knows of the ranks, nil when it does not
// coordinate.
func (a *Agent) GroupLoad(now time.Time) *GroupLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.board == nil {
		return nil
	}
	b := *a.board
	b.AgeMillis = now.Sub(a.boardAt).Milliseconds()
	return &b
}

// publish puts what ranks told since they were asked on the board.
func (a *Agent) publish(r *round, asked time.Time) {
	var b *GroupLoad
	if r != nil {
		b = r.board(asked)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.board, a.boardAt = b, asked
}

func (r *round) board(now time.Time) *GroupLoad {
	b := &GroupLoad{Group: r.place.Group, Epoch: r.place.Epoch}
	for rank, reading := range r.readings {
		running, waiting := reading.Running, reading.Waiting
		if now.Sub(r.readAt[rank]) > boardLife {
			running, waiting = -1, -1
		}
		b.Running = append(b.Running, running)
		b.Waiting = append(b.Waiting, waiting)
		b.Slowdown = append(b.Slowdown, reading.Slowdown)
	}
	return b
}
