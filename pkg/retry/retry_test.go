package retry_test

import (
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/retry"
)

var start = time.Unix(1700000000, 0)

// exhausted is a budget without retries.
type exhausted struct{}

func (exhausted) Spend(time.Time) bool { return false }

// TestUnsentAttemptsAreNoRetries checks that attempts that were not sent need no retry
// budget, but are limited in number and by the deadline.
func TestUnsentAttemptsAreNoRetries(t *testing.T) {
	r := &retry.Request{Deadline: start.Add(time.Second), MaxAttempts: 1}
	tries := 0
	for {
		r.Attempts++
		tries++
		if r.NextAction(retry.EventNotSent, exhausted{}, start) != retry.ActionRetry {
			break
		}
	}
	if tries < 2 || tries > 10 {
		t.Errorf("%d tries; unsent attempts need no budget, but are limited", tries)
	}
	r = &retry.Request{Deadline: start.Add(time.Second), Attempts: 1}
	if got := r.NextAction(retry.EventNotRun, exhausted{}, start); got != retry.ActionRefuseNotRun {
		t.Errorf("an attempt that was sent was repeated without a budget: %v", got)
	}
	r = &retry.Request{Deadline: start, Attempts: 1}
	if got := r.NextAction(retry.EventNotSent, exhausted{}, start); got != retry.ActionRefuseNotRun {
		t.Errorf("an attempt was made after the deadline: %v", got)
	}
}

// TestWindowBudgetsKeepSharedLimit checks that entries that each hold a share of the slack
// together keep the limit in every window without communication.
func TestWindowBudgetsKeepSharedLimit(t *testing.T) {
	const (
		entries = 4
		ratio   = 0.2
		slack   = 20.0
		window  = 10 * time.Second
	)
	var retries, requests []time.Time
	budgets := make([]*retry.WindowBudget, entries)
	for i := range budgets {
		budgets[i] = retry.NewWindowBudget(ratio, func(time.Time) float64 { return slack / entries }, window)
	}
	for ms := 0; ms < 40000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		b := budgets[(ms/10)%entries]
		if ms%50 == 0 {
			b.Earn(now)
			requests = append(requests, now)
		}
		// All requests fail again and again from 15 s on.
		if ms > 15000 && b.Spend(now) {
			retries = append(retries, now)
		}
	}
	for _, first := range retries {
		if first.Add(window).After(start.Add(40 * time.Second)) {
			break
		}
		count := func(list []time.Time) (n int) {
			for _, at := range list {
				if !at.Before(first) && at.Before(first.Add(window)) {
					n++
				}
			}
			return n
		}
		if got, limit := count(retries), ratio*float64(count(requests)+entries)+slack; float64(got) > limit {
			t.Fatalf("%d retries in the 10 s from %v for %d requests, the limit is %.0f", got, first.Sub(start), count(requests), limit)
		}
	}
	if len(retries) < 50 {
		t.Errorf("only %d retries in 25 s", len(retries))
	}
}
