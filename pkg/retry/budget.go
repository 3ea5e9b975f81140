package retry

import "time"

// Budget is a token bucket that limits retries to a fraction of the requests, so that
// failing upstreams don't cause a retry storm.
type Budget struct {
	// ratio is how many retries each request earns.
	ratio float64
	// burst is the largest number of retries that can accumulate.
	burst float64
	// tokens is the number of retries that are left.
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// Earn adds the retries that one request earns.
func (b *Budget) Earn(time.Time) { b.tokens = min(b.burst, b.tokens+b.ratio) }

// Allows reports whether a retry is left.
func (b *Budget) Allows(time.Time) bool { return b.tokens >= 1 }

// Spend takes one retry. It returns false if none is left.
func (b *Budget) Spend(now time.Time) bool {
	if !b.Allows(now) {
		return false
	}
	b.tokens--
	return true
}
