package fairqueue

import (
	"container/heap"
	"time"
)

// flow returns the state of an organisation.
func (q *Queue) flow(organisation string, weight int, now time.Time) *flow {
	f, ok := q.flows[organisation]
	if !ok {
		q.forgetIdle(now)
		f = &flow{organisation: organisation, heapIndex: -1}
		q.flows[organisation] = f
	}
	f.weight = float64(max(1, weight))
	f.used = now
	return f
}

// raise lifts an organisation that starts to wait to the present virtual time.
func (q *Queue) raise(f *flow) { f.virtual = max(f.virtual, q.virtual) }

// charge adds service to an organisation.
func (q *Queue) charge(f *flow, cost float64) {
	f.virtual = max(0, f.virtual+cost/f.weight)
}

// fix restores the order after a change of an organisation's virtual time.
func (q *Queue) fix(f *flow) {
	if f.heapIndex >= 0 {
		heap.Fix(&q.active, f.heapIndex)
	}
}

// settle puts an organisation in its place after one of its requests has gone.
func (q *Queue) settle(f *flow) {
	if len(f.items) > 0 {
		q.fix(f)
		return
	}
	if f.heapIndex >= 0 {
		heap.Remove(&q.active, f.heapIndex)
	}
}

// idleLife is how long the attained service of an idle organisation is kept.
const idleLife = time.Minute

// idleFlows is how many organisations are kept before a first clean-up.
const idleFlows = 64

// forgetIdle removes organisations that wait nowhere and would be raised if they
// came back, or whose service is long past.
func (q *Queue) forgetIdle(now time.Time) {
	if len(q.flows) < q.forgetAt {
		return
	}
	for name, f := range q.flows {
		if len(f.items) > 0 {
			continue
		}
		if f.virtual <= q.virtual || now.Sub(f.used) > idleLife {
			delete(q.flows, name)
		}
	}
	q.forgetAt = 2*len(q.flows) + idleFlows
}

// flowHeap orders organisations by virtual time, then by arrival.
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
