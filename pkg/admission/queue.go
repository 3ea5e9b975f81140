package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// queue holds the admitted attempts that wait for capacity: priority work first, then
// by virtual time, then in order of arrival.
type queue []queuedAttempt

type queuedAttempt struct {
	id          string
	priority    bool
	virtualTime float64
	deadline    time.Time
}

func compareQueued(a, b queuedAttempt) int {
	if a.priority != b.priority {
		if a.priority {
			return -1
		}
		return 1
	}
	if a.priority {
		return 0
	}
	return cmp.Compare(a.virtualTime, b.virtualTime)
}

// insert inserts an attempt in order.
func (q *queue) insert(a *api.AttemptRequest) {
	queued := queuedAttempt{id: a.RequestID, priority: a.Priority, virtualTime: a.VirtualTime, deadline: time.UnixMilli(a.DeadlineUnixMilli)}
	i := len(*q)
	for i > 0 && compareQueued(queued, (*q)[i-1]) < 0 {
		i--
	}
	*q = slices.Insert(*q, i, queued)
}

// remove removes an attempt. It reports whether the attempt was queued.
func (q *queue) remove(id string) bool {
	i := slices.IndexFunc(*q, func(queued queuedAttempt) bool { return queued.id == id })
	if i < 0 {
		return false
	}
	*q = slices.Delete(*q, i, i+1)
	return true
}

// QueueResult lists the attempts that have left the queue.
type QueueResult struct {
	// Start lists the requests that have acquired capacity.
	Start []string
	// Refuse lists the requests that will not run here.
	Refuse []RefusedAttempt
}

// RefusedAttempt is an attempt that left the queue without having run.
type RefusedAttempt struct {
	RequestID string
	Reason    problem.Reason
}

// ProcessQueue assigns free capacity to queued attempts, and refuses those past
// their deadline. A closed gate refuses all of them.
func (g *Gate) ProcessQueue(now time.Time) QueueResult {
	var result QueueResult
	reason, closed := g.closedReason()
	now = g.clock.at(now)
	g.queue = slices.DeleteFunc(g.queue, func(queued queuedAttempt) bool {
		switch {
		case closed:
			result.Refuse = append(result.Refuse, RefusedAttempt{queued.id, reason})
		case !now.Before(queued.deadline):
			result.Refuse = append(result.Refuse, RefusedAttempt{queued.id, problem.ReasonDeadlineExceeded})
		default:
			return false
		}
		return true
	})
	for len(g.queue) > 0 && g.hasCapacity(g.queue[0].priority) {
		next := g.queue[0]
		g.queue = slices.Delete(g.queue, 0, 1)
		g.acquire(next.virtualTime, next.priority)
		result.Start = append(result.Start, next.id)
	}
	return result
}

// RemoveQueued removes an attempt from the queue. It reports false if the attempt
// is not queued, because it has acquired capacity or was refused.
func (g *Gate) RemoveQueued(id string) bool { return g.queue.remove(id) }

// hasCapacity reports whether one more attempt may run.
func (g *Gate) hasCapacity(priority bool) bool {
	if priority {
		return g.running < g.limiter.Limit()
	}
	return g.running < g.limiter.Limit()-g.reserved()
}

// reserved returns the part of the limit that only priority work may use. It is
// below the limit, so that at least one request of other work may always run.
func (g *Gate) reserved() int {
	return max(0, min(g.cfg.Reserved, g.limiter.Limit()-1))
}

// acquire counts an attempt as running, and advances the virtual time.
func (g *Gate) acquire(virtual float64, priority bool) {
	g.running++
	if !priority {
		g.virtualTime = max(g.virtualTime, virtual)
	}
}
