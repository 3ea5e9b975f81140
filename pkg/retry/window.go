package retry

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/recent"
)

// WindowBudget limits the retries at a service within a sliding window: to a fraction of
// the requests in the window, plus a slack. Entries that share a limit each hold a share
// of the slack, so they need not communicate.
type WindowBudget struct {
	// ratio is how many retries each request earns. slack returns how many are allowed
	// in addition.
	ratio float64
	slack func(now time.Time) float64

	requests recent.Counter
	retries  recent.Counter
}

// NewWindowBudget returns a budget without any events. slack is called at each retry.
func NewWindowBudget(ratio float64, slack func(now time.Time) float64, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, requests: recent.New(window), retries: recent.New(window)}
}

// Earn records a request.
func (w *WindowBudget) Earn(now time.Time) { w.requests.Add(now) }

// Allows reports whether a retry is left.
func (w *WindowBudget) Allows(now time.Time) bool {
	allowed := w.ratio*float64(w.requests.Count(now)) + w.slack(now)
	return float64(w.retries.Count(now)+1) <= allowed
}

// Spend takes one retry. It returns false if none is left.
func (w *WindowBudget) Spend(now time.Time) bool {
	if !w.Allows(now) {
		return false
	}
	w.retries.Add(now)
	return true
}
