// Package virtual simulates the decisions of a deployment in virtual time:
// entries with their schedulers, agents with their admission gates, and model
// engines whose step time depends on the batch and on whether they are warm.
// Messages take time and reports lag. All randomness comes from one seed, so a
// run repeats exactly.
//
// SharesConfig, OverloadConfig, PriorityConfig, ColdConfig and PrefixConfig describe
// the runs.
package virtual

import (
	"container/heap"
	"time"
)

// event is a function that runs at a time. Events of the same time run in the
// order in which they were scheduled.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// loop is a discrete-event loop with a virtual clock.
type loop struct {
	now          time.Time
	events       eventHeap
	lastSequence uint64
}

// newLoop returns a loop that starts at a fixed time.
func newLoop() *loop { return &loop{now: time.Unix(1_000_000, 0)} }

// after schedules a function to run once, d from now.
func (l *loop) after(d time.Duration, run func()) {
	l.lastSequence++
	heap.Push(&l.events, event{at: l.now.Add(d), sequence: l.lastSequence, run: run})
}

// every schedules a function to run at an interval, for the first time after d.
func (l *loop) every(d, interval time.Duration, run func()) {
	l.after(d, func() {
		run()
		l.every(interval, interval, run)
	})
}

// runUntil runs all events before end and sets the clock to end.
func (l *loop) runUntil(end time.Time) {
	for len(l.events) > 0 && l.events[0].at.Before(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}

// jump advances the clock by d without running events: all of them are postponed
// by d.
func (l *loop) jump(d time.Duration) {
	l.now = l.now.Add(d)
	for i := range l.events {
		l.events[i].at = l.events[i].at.Add(d)
	}
}

// eventHeap orders events by time, then by sequence number.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

var _ heap.Interface = (*eventHeap)(nil)
