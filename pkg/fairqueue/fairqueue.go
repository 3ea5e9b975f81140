// Package fairqueue orders waiting requests by organisation. Priority
// organisations go first, in order of arrival. The others are served by
// start-time fair queueing on cost: each organisation has a virtual time that
// advances by cost divided by weight, and the organisation with the lowest virtual
// time goes next. Service through other entries is charged too, so an
// organisation's virtual time is the same at all entries, apart from message delay.
//
// When an organisation starts to wait, its virtual time is raised to that at which
// requests currently start, so that it accumulates no credit while idle. Requests
// that start at once advance this time, so that using idle capacity leaves no debt.
// The package does no I/O and reads no clock: callers pass the time.
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
	// StartTag is the organisation's virtual time when the item was dequeued.
	StartTag float64
	// Deadline is when the item expires.
	Deadline time.Time
	// Prefix is the hash of the prompt's leading blocks, 0 when unknown.
	Prefix uint64

	// flow and waitingSince are set only without Priority.
	flow         *flow
	waitingSince time.Time
	// sequence is the position in the order of arrival.
	sequence uint64
}

// Queue holds the waiting requests of all organisations.
type Queue struct {
	flows map[string]*flow
	// active holds the flows with waiting requests.
	active   flowHeap
	priority []*Item
	// activations counts how often a flow became active.
	activations uint64
	items       map[string]*Item
	// enqueued is the number of requests enqueued so far.
	enqueued  uint64
	totalCost float64
	// virtualTime is the largest start tag of a request that has started, rate the rate
	// at which it grows.
	virtualTime float64
	// pruneAt is the number of flows from which on idle ones are removed.
	pruneAt int
	rate    rateEstimator
}

// flow holds the waiting requests of one organisation and the service it has received.
type flow struct {
	organisation string
	weight       float64
	virtualTime  float64
	lastUsed     time.Time
	items        []*Item
	// cost is the expected cost of the waiting requests.
	cost float64
	// dequeuedCost is the cost dequeued so far, drainRate the rate at which it grows.
	dequeuedCost float64
	drainRate    rateEstimator
	// activation is the value of Queue.activations when the flow last became active.
	activation uint64
	// heapIndex is the index in Queue.active, -1 while no request waits.
	heapIndex int
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{flows: make(map[string]*flow), items: make(map[string]*Item), pruneAt: minPruneFlows}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Has reports whether a request is waiting.
func (q *Queue) Has(id string) bool { return q.items[id] != nil }

// TotalCost returns the expected cost of all waiting requests in tokens.
func (q *Queue) TotalCost() float64 { return q.totalCost }

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

// Enqueue adds a request at the end of its organisation's queue.
func (q *Queue) Enqueue(it *Item, now time.Time) {
	q.items[it.ID] = it
	q.totalCost += it.Cost
	q.enqueued++
	it.sequence = q.enqueued
	if it.Priority {
		q.priority = append(q.priority, it)
		return
	}
	f := q.flow(it.Organisation, it.Weight, now)
	it.flow, it.waitingSince = f, now
	f.cost += it.Cost
	if len(f.items) == 0 {
		q.raiseVirtualTime(f)
		q.activations++
		f.activation = q.activations
		f.drainRate = rateEstimator{}
		f.items = append(f.items, it)
		heap.Push(&q.active, f)
		return
	}
	f.items = append(f.items, it)
}

// Eligibility states whether a request may be dispatched.
type Eligibility int

// Eligibility of a request.
const (
	// Eligible means that the request may be dispatched.
	Eligible Eligibility = iota
	// SkipOrganisation means that the request can't be dispatched, but those of other
	// organisations may be.
	SkipOrganisation
	// StopScan means that neither this nor any later request can be dispatched.
	StopScan
)

// Next returns the first eligible request, or nil. Only the oldest priority request and
// the oldest request of each other organisation are considered.
func (q *Queue) Next(eligibility func(*Item) Eligibility) *Item {
	if len(q.priority) > 0 {
		if e := eligibility(q.priority[0]); e != SkipOrganisation {
			return itemIfEligible(q.priority[0], e)
		}
	}
	var skipped []*flow
	defer func() {
		for _, f := range skipped {
			heap.Push(&q.active, f)
		}
	}()
	for len(q.active) > 0 {
		it := q.active[0].items[0]
		if e := eligibility(it); e != SkipOrganisation {
			return itemIfEligible(it, e)
		}
		skipped = append(skipped, heap.Pop(&q.active).(*flow))
	}
	return nil
}

func itemIfEligible(it *Item, e Eligibility) *Item {
	if e == Eligible {
		return it
	}
	return nil
}

// Dequeue removes a request that is dispatched, sets its StartTag and charges its
// organisation.
func (q *Queue) Dequeue(it *Item, now time.Time) {
	if !it.Priority {
		it.StartTag = it.flow.virtualTime
		q.charge(it.flow, it.Cost)
		it.flow.dequeuedCost += it.Cost
		it.flow.drainRate.observe(it.flow.dequeuedCost, now)
	}
	q.Remove(it.ID)
}

// Remove removes a waiting request and reports whether it was waiting.
func (q *Queue) Remove(id string) bool {
	it, ok := q.items[id]
	if !ok {
		return false
	}
	delete(q.items, id)
	q.totalCost -= it.Cost
	if it.Priority {
		q.priority = without(q.priority, it)
		return true
	}
	it.flow.cost -= it.Cost
	it.flow.items = without(it.flow.items, it)
	q.updateHeap(it.flow)
	return true
}

// Charge adds service that an organisation received through another entry, or
// the difference between the actual and the expected cost of a request.
func (q *Queue) Charge(organisation string, weight int, cost float64, now time.Time) {
	f := q.flow(organisation, weight, now)
	q.charge(f, cost)
	q.fixHeap(f)
}

// Expire removes and returns the requests whose deadline has passed.
func (q *Queue) Expire(now time.Time) []*Item {
	return q.RemoveIf(func(it *Item) bool { return !now.Before(it.Deadline) })
}

// RemoveAll removes and returns all requests.
func (q *Queue) RemoveAll() []*Item {
	return q.RemoveIf(func(*Item) bool { return true })
}

// RemoveIf removes and returns the matching requests in the order of their arrival.
func (q *Queue) RemoveIf(match func(it *Item) bool) []*Item {
	var removed []*Item
	for _, it := range q.items {
		if match(it) {
			removed = append(removed, it)
		}
	}
	slices.SortFunc(removed, func(a, b *Item) int { return cmp.Compare(a.sequence, b.sequence) })
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
