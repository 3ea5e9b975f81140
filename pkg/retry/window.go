package retry

import "time"

// Window bounds the retries at a service in any span of a length: a part of the
// requests for it in that span, and some more. Entries that share a bound each
// hold their part of it, so they need not hear each other.
type Window struct {
	// ratio is how many retries each request earns, slack returns how many are
	// allowed beside those.
	ratio  float64
	slack  func(now time.Time) float64
	length time.Duration

	requests events
	retries  events
}

// NewWindow returns a window without any event. slack is asked at each retry.
func NewWindow(ratio float64, slack func(now time.Time) float64, length time.Duration) *Window {
	return &Window{ratio: ratio, slack: slack, length: length}
}

// Earn records a request.
func (w *Window) Earn(now time.Time) { w.requests.add(now) }

// Spend takes one retry. It reports false when none is left.
func (w *Window) Spend(now time.Time) bool {
	since := now.Add(-w.length)
	allowed := w.ratio*float64(w.requests.since(since)) + w.slack(now)
	if float64(w.retries.since(since)+1) > allowed {
		return false
	}
	w.retries.add(now)
	return true
}

// events counts events by the time of each.
type events struct{ at []time.Time }

func (e *events) add(now time.Time) { e.at = append(e.at, now) }

// since returns how many events came after a time, and forgets the others.
func (e *events) since(t time.Time) int {
	i := 0
	for i < len(e.at) && !e.at[i].After(t) {
		i++
	}
	e.at = e.at[i:]
	return len(e.at)
}
