// Package fairqueue orders waiting requests by organisation. Priority
// organisations go first, in order of arrival. The others are served by
// start-time fair queueing on cost: each organisation has a virtual time that
// advances by cost divided by weight, and the organisation with the least goes
// next. Service given through other entries is charged too, so the virtual time
// of an organisation is the same at all entries but for the lag of messages.
//
// An organisation that starts to wait is raised to the virtual time at which
// requests start now, so it hoards no credit while idle. Work that starts at
// once moves that time on, so using idle capacity leaves no debt. The package is
// pure.
package fairqueue

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Item is a waiting request.
type Item struct {
	ID           string
	Organisation string
	Weight       int
	Priority     bool
	// Cost is the expected cost in tokens.
	Cost float64
	// StartTag is the organisation's virtual time when the item was taken.
	StartTag float64
	// Deadline is when the item expires.
	Deadline time.Time
	// Prefix is the hash of the prompt's leading blocks, 0 when unknown.
	Prefix uint64

	flow  *flow
	since time.Time
	// number is the place in the order of arrival.
	number uint64
}

// Queue holds waiting requests.
type Queue struct {
	flows    map[string]*flow
	active   flowHeap
	priority []*Item
	arrivals uint64
	items    map[string]*Item
	// pushed is how many requests have come.
	pushed   uint64
	cost     float64
	virtual  float64
	forgetAt int
	pace     pace
}

// flow is the waiting requests of one organisation, with its attained service.
type flow struct {
	organisation string
	weight       float64
	virtual      float64
	used         time.Time
	items        []*Item
	cost         float64
	// taken is the cost that was taken so far, drain how fast.
	taken     float64
	drain     pace
	arrival   uint64
	heapIndex int
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{flows: make(map[string]*flow), items: make(map[string]*Item), forgetAt: idleFlows}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Has reports whether a request waits.
func (q *Queue) Has(id string) bool { return q.items[id] != nil }

// TotalCost returns the expected cost of all waiting requests in tokens.
func (q *Queue) TotalCost() float64 { return q.cost }

// WaitingCount returns the number of waiting requests of an organisation.
func (q *Queue) WaitingCount(organisation string) int {
	n := 0
	if f, ok := q.flows[organisation]; ok {
		n = len(f.items)
	}
	for _, it := range q.priority {
		if it.Organisation == organisation {
			n++
		}
	}
	return n
}

// Enqueue adds a request at the end of its organisation's line.
func (q *Queue) Enqueue(it *Item, now time.Time) {
	q.items[it.ID] = it
	q.cost += it.Cost
	q.pushed++
	it.number = q.pushed
	if it.Priority {
		q.priority = append(q.priority, it)
		return
	}
	f := q.flow(it.Organisation, it.Weight, now)
	it.flow, it.since = f, now
	f.cost += it.Cost
	if len(f.items) == 0 {
		q.raise(f)
		q.arrivals++
		f.arrival = q.arrivals
		f.drain = pace{}
		f.items = append(f.items, it)
		heap.Push(&q.active, f)
		return
	}
	f.items = append(f.items, it)
}

// Eligibility says whether a request may go.
type Eligibility int

// Verdicts on a request.
const (
	// Eligible means that the request goes.
	Eligible Eligibility = iota
	// SkipOrganisation means that requests of other organisations may still go.
	SkipOrganisation
	// StopScan means that no later request may go either.
	StopScan
)

// Next returns the first request that may go, or nil. Only the oldest request of
// each organisation is asked for.
func (q *Queue) Next(may func(*Item) Eligibility) *Item {
	if len(q.priority) > 0 {
		if v := may(q.priority[0]); v != SkipOrganisation {
			return chosen(q.priority[0], v)
		}
	}
	var passed []*flow
	defer func() {
		for _, f := range passed {
			heap.Push(&q.active, f)
		}
	}()
	for len(q.active) > 0 {
		it := q.active[0].items[0]
		if v := may(it); v != SkipOrganisation {
			return chosen(it, v)
		}
		passed = append(passed, heap.Pop(&q.active).(*flow))
	}
	return nil
}

func chosen(it *Item, v Eligibility) *Item {
	if v == Eligible {
		return it
	}
	return nil
}

// Dequeue removes a request that is sent, sets its StartTag, and charges its
// organisation.
func (q *Queue) Dequeue(it *Item, now time.Time) {
	if !it.Priority {
		it.StartTag = it.flow.virtual
		q.charge(it.flow, it.Cost)
		it.flow.taken += it.Cost
		it.flow.drain.observe(it.flow.taken, now)
	}
	q.Remove(it.ID)
}

// Remove takes a waiting request out. It reports whether it was waiting.
func (q *Queue) Remove(id string) bool {
	it, ok := q.items[id]
	if !ok {
		return false
	}
	delete(q.items, id)
	q.cost -= it.Cost
	if it.Priority {
		q.priority = without(q.priority, it)
		return true
	}
	it.flow.cost -= it.Cost
	it.flow.items = without(it.flow.items, it)
	q.settle(it.flow)
	return true
}

// Charge adds service that an organisation was given through another entry, or
// the difference between the real and the expected cost of a request.
func (q *Queue) Charge(organisation string, weight int, cost float64, now time.Time) {
	f := q.flow(organisation, weight, now)
	q.charge(f, cost)
	q.fix(f)
}

// Expire removes and returns the requests whose deadline has passed.
func (q *Queue) Expire(now time.Time) []*Item {
	return q.RemoveIf(func(it *Item) bool { return !now.Before(it.Deadline) })
}

// RemoveAll removes and returns all requests.
func (q *Queue) RemoveAll() []*Item {
	return q.RemoveIf(func(*Item) bool { return true })
}

// RemoveIf removes and returns the requests for which goes reports true, in the order
// in which they came.
func (q *Queue) RemoveIf(goes func(it *Item) bool) []*Item {
	var removed []*Item
	for _, it := range q.items {
		if goes(it) {
			removed = append(removed, it)
		}
	}
	slices.SortFunc(removed, func(a, b *Item) int { return cmp.Compare(a.number, b.number) })
	for _, it := range removed {
		q.Remove(it.ID)
	}
	return removed
}

func without(items []*Item, it *Item) []*Item {
	for i := range items {
		if items[i] == it {
			return append(items[:i:i], items[i+1:]...)
		}
	}
	return items
}
