package retry_test

import (
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/retry"
)

var start = time.Unix(1700000000, 0)

// never is a budget that is used up.
type never struct{}

func (never) Spend(time.Time) bool { return false }

func TestAnAttemptThatWasNotSentIsNoRetry(t *testing.T) {
	r := &retry.Request{Deadline: start.Add(time.Second), MaxAttempts: 1}
	tries := 0
	for {
		r.Attempts++
		tries++
		if r.NextAction(retry.EventNotSent, never{}, start) != retry.ActionRetry {
			break
		}
	}
	if tries < 2 || tries > 10 {
		t.Errorf("%d tries; unsent attempts need no budget, and are bounded", tries)
	}
	r = &retry.Request{Deadline: start.Add(time.Second), Attempts: 1}
	if got := r.NextAction(retry.EventNotRun, never{}, start); got != retry.ActionRefuseNotRun {
		t.Errorf("an attempt that arrived was repeated without a budget: %v", got)
	}
	r = &retry.Request{Deadline: start, Attempts: 1}
	if got := r.NextAction(retry.EventNotSent, never{}, start); got != retry.ActionRefuseNotRun {
		t.Errorf("an attempt was made after the deadline: %v", got)
	}
}

// Entries that each hold a part of the slack keep the bound in every span, though
// none hears of the others.
func TestWindowsKeepABoundTogether(t *testing.T) {
	const (
		entries = 4
		ratio   = 0.2
		slack   = 20.0
		length  = 10 * time.Second
	)
	var retries, requests []time.Time
	windows := make([]*retry.WindowBudget, entries)
	for i := range windows {
		windows[i] = retry.NewWindowBudget(ratio, func(time.Time) float64 { return slack / entries }, length)
	}
	for ms := 0; ms < 40000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		w := windows[(ms/10)%entries]
		if ms%50 == 0 {
			w.Earn(now)
			requests = append(requests, now)
		}
		// All requests fail again and again from 15 s on.
		if ms > 15000 && w.Spend(now) {
			retries = append(retries, now)
		}
	}
	for _, first := range retries {
		if first.Add(length).After(start.Add(40 * time.Second)) {
			break
		}
		in := func(list []time.Time) (n int) {
			for _, at := range list {
				if !at.Before(first) && at.Before(first.Add(length)) {
					n++
				}
			}
			return n
		}
		if got, most := in(retries), ratio*float64(in(requests)+entries)+slack; float64(got) > most {
			t.Fatalf("%d retries in the 10 s from %v, for %d requests; %.0f are allowed", got, first.Sub(start), in(requests), most)
		}
	}
	if len(retries) < 50 {
		t.Errorf("only %d retries in 25 s", len(retries))
	}
}
