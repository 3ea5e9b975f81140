package dispatch

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/fairqueue"
	"github.com/acaciaglade/acaciaglade/pkg/recent"
)

// lanes hold what waits for a service. Requests that can still be answered on time go
// before those that can't: after a stall, or under more load than the service bears,
// the queue would else make every request late. Within a lane organisations are served
// by their shares.
type lanes struct {
	prompt, late *fairqueue.Queue
	// lateTaken counts what was lately taken from the late lane.
	lateTaken recent.Counter
}

func newLanes() lanes {
	return lanes{prompt: fairqueue.New(), late: fairqueue.New(), lateTaken: recent.New(windowLength)}
}

// Len returns the number of waiting requests.
func (l *lanes) Len() int { return l.prompt.Len() + l.late.Len() }

// next returns the first request that may go, nil when there is none.
func (l *lanes) next(may func(*fairqueue.Item) fairqueue.Eligibility) *fairqueue.Item {
	if it := l.prompt.Next(may); it != nil {
		return it
	}
	return l.late.Next(may)
}

// take removes a request that is sent. Its organisation is charged in both lanes.
func (l *lanes) take(it *fairqueue.Item, now time.Time) {
	from, other := l.prompt, l.late
	if l.late.Has(it.ID) {
		from, other = l.late, l.prompt
		l.lateTaken.Add(now)
	}
	from.Dequeue(it, now)
	if !it.Priority {
		other.Charge(it.Organisation, it.Weight, it.Cost, now)
	}
}

// charge corrects an organisation's share.
func (l *lanes) charge(organisation string, weight int, cost float64, now time.Time) {
	l.prompt.Charge(organisation, weight, cost, now)
	l.late.Charge(organisation, weight, cost, now)
}

func (l *lanes) remove(id string) bool { return l.prompt.Remove(id) || l.late.Remove(id) }

// expire removes and returns the requests that have waited too long.
func (l *lanes) expire(now time.Time) []*fairqueue.Item {
	return append(l.prompt.Expire(now), l.late.Expire(now)...)
}

// removeAll removes and returns all requests.
func (l *lanes) removeAll() []*fairqueue.Item {
	return append(l.prompt.RemoveAll(), l.late.RemoveAll()...)
}

// demote moves the requests that can't be on time any more to the late lane, and
// returns those that it has no room for.
func (l *lanes) demote(late func(id string) bool, longest time.Duration, now time.Time) []*fairqueue.Item {
	var refused []*fairqueue.Item
	for _, it := range l.prompt.RemoveIf(func(it *fairqueue.Item) bool { return !it.Priority && late(it.ID) }) {
		if l.late.Len() >= l.lateRoom(longest, now) {
			refused = append(refused, it)
			continue
		}
		l.late.Enqueue(it, now)
	}
	return refused
}

// leastLate is how many requests may wait in the late lane although none has been
// taken from it lately.
const leastLate = 2

// lateRoom is how many requests the late lane lets through within a time, as it did
// lately.
func (l *lanes) lateRoom(longest time.Duration, now time.Time) int {
	rate := float64(l.lateTaken.Count(now)) / windowLength.Seconds()
	return leastLate + int(rate*longest.Seconds())
}
