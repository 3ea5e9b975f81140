package retry

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/recent"
)

// WindowBudget bounds the retries at a service in any span of a length: a part of the
// requests for it in that span, and some more. Entries that share a bound each
// hold their part of it, so they need not hear each other.
type WindowBudget struct {
	// ratio is how many retries each request earns, slack returns how many are
	// allowed beside those.
	ratio float64
	slack func(now time.Time) float64

	requests recent.Counter
	retries  recent.Counter
}

// NewWindowBudget returns a window without any event. slack is asked at each retry.
func NewWindowBudget(ratio float64, slack func(now time.Time) float64, length time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, requests: recent.New(length), retries: recent.New(length)}
}

// Earn records a request.
func (w *WindowBudget) Earn(now time.Time) { w.requests.Add(now) }

// Spend takes one retry. It reports false when none is left.
func (w *WindowBudget) Spend(now time.Time) bool {
	allowed := w.ratio*float64(w.requests.Count(now)) + w.slack(now)
	if float64(w.retries.Count(now)+1) > allowed {
		return false
	}
	w.retries.Add(now)
	return true
}
