package dispatch

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/fairqueue"
	"github.com/acaciaglade/acaciaglade/pkg/recent"
)

// queues holds the waiting requests of a service. Requests that can still be on time are
// dispatched before those that can't: otherwise, after a stall or under more load than the
// service sustains, the backlog would make every request late. Within a queue,
// organisations are served by their shares.
type queues struct {
	onTime, late *fairqueue.Queue
	// lateDispatched counts the requests recently dispatched from the late queue.
	lateDispatched recent.Counter
}

func newQueues() queues {
	return queues{onTime: fairqueue.New(), late: fairqueue.New(), lateDispatched: recent.New(sendWindow)}
}

// Len returns the number of waiting requests.
func (q *queues) Len() int { return q.onTime.Len() + q.late.Len() }

// next returns the first eligible request, or nil.
func (q *queues) next(eligible func(*fairqueue.Item) fairqueue.Eligibility) *fairqueue.Item {
	if it := q.onTime.Next(eligible); it != nil {
		return it
	}
	return q.late.Next(eligible)
}

// dequeue removes a dispatched request and charges its organisation in both queues.
func (q *queues) dequeue(it *fairqueue.Item, now time.Time) {
	fromQueue, otherQueue := q.onTime, q.late
	if q.late.Has(it.ID) {
		fromQueue, otherQueue = q.late, q.onTime
		q.lateDispatched.Add(now)
	}
	fromQueue.Dequeue(it, now)
	if !it.Priority {
		otherQueue.Charge(it.Organisation, it.Weight, it.Cost, now)
	}
}

// charge adds a cost to an organisation's share in both queues.
func (q *queues) charge(organisation string, weight int, cost float64, now time.Time) {
	q.onTime.Charge(organisation, weight, cost, now)
	q.late.Charge(organisation, weight, cost, now)
}

func (q *queues) remove(id string) bool { return q.onTime.Remove(id) || q.late.Remove(id) }

// expire removes and returns the requests that have waited too long.
func (q *queues) expire(now time.Time) []*fairqueue.Item {
	return append(q.onTime.Expire(now), q.late.Expire(now)...)
}

// removeAll removes and returns all requests.
func (q *queues) removeAll() []*fairqueue.Item {
	return append(q.onTime.RemoveAll(), q.late.RemoveAll()...)
}

// removeIf removes and returns the requests that match.
func (q *queues) removeIf(match func(id string) bool) []*fairqueue.Item {
	matchItem := func(it *fairqueue.Item) bool { return match(it.ID) }
	return append(q.onTime.RemoveIf(matchItem), q.late.RemoveIf(matchItem)...)
}

// demote moves the requests that can't be on time any more to the late queue. It removes
// and returns those that exceed its capacity.
func (q *queues) demote(isLate func(id string) bool, maxQueueTime time.Duration, now time.Time) []*fairqueue.Item {
	var refused []*fairqueue.Item
	for _, it := range q.onTime.RemoveIf(func(it *fairqueue.Item) bool { return !it.Priority && isLate(it.ID) }) {
		if q.late.Len() >= q.lateCapacity(maxQueueTime, now) {
			refused = append(refused, it)
			continue
		}
		q.late.Enqueue(it, now)
	}
	return refused
}

// minLateCapacity is how many requests may wait in the late queue if none was recently
// dispatched from it.
const minLateCapacity = 2

// lateCapacity returns how many requests the late queue may hold so that all are
// dispatched within maxQueueTime at its recent rate.
func (q *queues) lateCapacity(maxQueueTime time.Duration, now time.Time) int {
	rate := float64(q.lateDispatched.Count(now)) / sendWindow.Seconds()
	return minLateCapacity + int(rate*maxQueueTime.Seconds())
}
