// Package fairqueue orders waiting requests by organisation. Priority
// organisations go first, in order of arrival. The others are served by start-time
// fair queueing on cost: each organisation has a virtual time that advances by
// cost divided by weight, and the organisation with the least virtual time is
// next. An organisation that was idle starts at the virtual time of the queue,
// so it neither hoards credit nor carries a debt. The package is pure.
package fairqueue

import (
	"container/heap"
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
	// Deadline is when the item expires.
	Deadline time.Time

	flow *flow
}

// Queue holds waiting requests.
type Queue struct {
	flows    map[string]*flow
	active   flowHeap
	priority []*Item
	virtual  float64
	arrivals uint64
	items    map[string]*Item
}

// flow is the waiting requests of one organisation.
type flow struct {
	organisation string
	weight       float64
	virtual      float64
	items        []*Item
	arrival      uint64
	heapIndex    int
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{flows: make(map[string]*flow), items: make(map[string]*Item)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Waiting returns the number of waiting requests of an organisation.
func (q *Queue) Waiting(organisation string) int {
	if f, ok := q.flows[organisation]; ok {
		return len(f.items)
	}
	n := 0
	for _, it := range q.priority {
		if it.Organisation == organisation {
			n++
		}
	}
	return n
}

// Push adds a request at the end of its organisation's line.
func (q *Queue) Push(it *Item) {
	q.items[it.ID] = it
	if it.Priority {
		q.priority = append(q.priority, it)
		return
	}
	f := q.flowOf(it)
	f.items = append(f.items, it)
	it.flow = f
	if len(f.items) == 1 {
		q.arrivals++
		f.arrival = q.arrivals
		f.virtual = max(f.virtual, q.virtual)
		heap.Push(&q.active, f)
	}
}

// Pop removes and returns the next request, or nil.
func (q *Queue) Pop() *Item {
	if len(q.priority) > 0 {
		it := q.priority[0]
		q.priority = q.priority[1:]
		delete(q.items, it.ID)
		return it
	}
	if len(q.active) == 0 {
		return nil
	}
	f := q.active[0]
	it := f.items[0]
	f.items = f.items[1:]
	delete(q.items, it.ID)
	q.virtual = f.virtual
	f.virtual += it.Cost / f.weight
	q.settle(f)
	return it
}

// Remove takes a waiting request out. It reports whether it was waiting.
func (q *Queue) Remove(id string) bool {
	it, ok := q.items[id]
	if !ok {
		return false
	}
	delete(q.items, id)
	if it.Priority {
		q.priority = without(q.priority, it)
		return true
	}
	it.flow.items = without(it.flow.items, it)
	q.settle(it.flow)
	return true
}

// Attain corrects the virtual time of an organisation by the difference between
// the real and the expected cost of a request that has ended.
func (q *Queue) Attain(organisation string, weight int, difference float64) {
	f, ok := q.flows[organisation]
	if !ok {
		return
	}
	f.virtual += difference / float64(max(1, weight))
	if len(f.items) > 0 {
		heap.Fix(&q.active, f.heapIndex)
	}
}

// Expire removes and returns the requests whose deadline has passed.
func (q *Queue) Expire(now time.Time) []*Item {
	var expired []*Item
	for _, it := range q.items {
		if !now.Before(it.Deadline) {
			expired = append(expired, it)
		}
	}
	for _, it := range expired {
		q.Remove(it.ID)
	}
	return expired
}

func (q *Queue) flowOf(it *Item) *flow {
	f, ok := q.flows[it.Organisation]
	if !ok {
		f = &flow{organisation: it.Organisation}
		q.flows[it.Organisation] = f
	}
	f.weight = float64(max(1, it.Weight))
	return f
}

// settle puts a flow in its place after its first item has changed, and forgets
// it once it is idle and its virtual time has been reached by the queue.
func (q *Queue) settle(f *flow) {
	if len(f.items) > 0 {
		heap.Fix(&q.active, f.heapIndex)
		return
	}
	if f.heapIndex >= 0 && f.heapIndex < len(q.active) && q.active[f.heapIndex] == f {
		heap.Remove(&q.active, f.heapIndex)
	}
	q.forgetIdle()
}

// forgetIdle removes idle flows that the queue's virtual time has passed.
func (q *Queue) forgetIdle() {
	if len(q.flows) <= 2*len(q.active)+idleFlows {
		return
	}
	for name, f := range q.flows {
		if len(f.items) == 0 && f.virtual <= q.virtual {
			delete(q.flows, name)
		}
	}
}

// idleFlows is how many idle flows are kept before a clean-up is tried.
const idleFlows = 64

func without(items []*Item, it *Item) []*Item {
	for i := range items {
		if items[i] == it {
			return append(items[:i:i], items[i+1:]...)
		}
	}
	return items
}

// flowHeap orders flows by virtual time, then by arrival.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].virtual != h[j].virtual {
		return h[i].virtual < h[j].virtual
	}
	return h[i].arrival < h[j].arrival
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	*h = (*h)[:last]
	f.heapIndex = -1
	return f
}

var _ heap.Interface = (*flowHeap)(nil)
