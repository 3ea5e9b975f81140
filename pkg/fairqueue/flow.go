package fairqueue

import (
	"container/heap"
	"time"
)

// flow returns the flow of an organisation and creates it if necessary.
func (q *Queue) flow(organisation string, weight int, now time.Time) *flow {
	f, ok := q.flows[organisation]
	if !ok {
		q.pruneIdle(now)
		f = &flow{organisation: organisation, heapIndex: -1}
		q.flows[organisation] = f
	}
	f.weight = float64(max(1, weight))
	f.lastUsed = now
	return f
}

// raiseVirtualTime raises an organisation that starts to wait to the queue's virtual time.
func (q *Queue) raiseVirtualTime(f *flow) { f.virtualTime = max(f.virtualTime, q.virtualTime) }

// charge adds the cost of service to an organisation's virtual time.
func (q *Queue) charge(f *flow, cost float64) {
	f.virtualTime = max(0, f.virtualTime+cost/f.weight)
}

// fixHeap restores the heap order after a change of an organisation's virtual time.
func (q *Queue) fixHeap(f *flow) {
	if f.heapIndex >= 0 {
		heap.Fix(&q.active, f.heapIndex)
	}
}

// updateHeap moves or removes an organisation after one of its requests was removed.
func (q *Queue) updateHeap(f *flow) {
	if len(f.items) > 0 {
		q.fixHeap(f)
		return
	}
	if f.heapIndex >= 0 {
		heap.Remove(&q.active, f.heapIndex)
	}
}

// idleRetention is how long the received service of an idle organisation is kept.
const idleRetention = time.Minute

// minPruneFlows is how many organisations are kept before idle ones are first pruned.
const minPruneFlows = 64

// pruneIdle removes organisations without waiting requests whose virtual time would be
// raised anyway when they next wait, or whose latest service is too long ago.
func (q *Queue) pruneIdle(now time.Time) {
	if len(q.flows) < q.pruneAt {
		return
	}
	for name, f := range q.flows {
		if len(f.items) > 0 {
			continue
		}
		if f.virtualTime <= q.virtualTime || now.Sub(f.lastUsed) > idleRetention {
			delete(q.flows, name)
		}
	}
	q.pruneAt = 2*len(q.flows) + minPruneFlows
}

// flowHeap orders organisations by virtual time, then by the order of activation.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].virtualTime != h[j].virtualTime {
		return h[i].virtualTime < h[j].virtualTime
	}
	return h[i].activation < h[j].activation
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
