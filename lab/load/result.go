package load

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// Outcome is the outcome of one request.
type Outcome string

// Outcomes.
const (
	// OutcomeComplete is a complete response within the time limits.
	OutcomeComplete Outcome = "complete"
	// OutcomeLate is a complete response of which the end or the first token came after
	// its time limit.
	OutcomeLate Outcome = "late"
	// OutcomeRefused is a refusal with a reason.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed is a missing or incomplete response without a reason.
	OutcomeFailed Outcome = "failed"
)

// Sample describes one request and its outcome.
type Sample struct {
	Kind Kind
	// SentAt is when the request was sent.
	SentAt           time.Time
	TimeToFirstToken time.Duration
	Duration         time.Duration
	Outcome          Outcome
	// Reason and Ran are set on refusals.
	Reason problem.Reason
	Ran    problem.Ran
	// InDeadline is true when the response ended within the deadline. If its outcome is
	// OutcomeLate, then only the first token was late.
	InDeadline bool
	// Invalid is true for a failed request whose response looked complete but was not the
	// one to it.
	Invalid bool
	// Resent is true when the request went through a second entry after its
	// connection broke.
	Resent bool
}

// newSample returns a sample with the outcome of a request, without regard to its
// deadline.
func (c *Config) newSample(resp response, err error) Sample {
	s := Sample{Kind: c.Kind, TimeToFirstToken: resp.timeToFirstToken, Outcome: OutcomeComplete}
	switch {
	case err != nil:
		s.Outcome, s.Invalid = OutcomeFailed, looksComplete(err)
	case resp.refusal != nil:
		s.Outcome, s.Reason, s.Ran = OutcomeRefused, resp.refusal.Reason, resp.refusal.Ran
	case c.FirstTokenDeadline > 0 && resp.timeToFirstToken > c.FirstTokenDeadline:
		s.Outcome = OutcomeLate
	}
	return s
}

// RefusalCount is the number of refusals with one reason.
type RefusalCount struct {
	Reason problem.Reason `json:"reason"`
	Ran    problem.Ran    `json:"ran"`
	Count  int            `json:"count"`
}

// Result is the result of one organisation's traffic. Late responses also count as
// complete.
type Result struct {
	Organisation string         `json:"organisation"`
	Kind         Kind           `json:"kind"`
	Sent         int            `json:"sent"`
	Complete     int            `json:"complete"`
	Late         int            `json:"late"`
	Tokens       int            `json:"tokens"`
	Refusals     []RefusalCount `json:"refusals"`
	// Broken is the number of requests with OutcomeFailed.
	Broken int `json:"broken"`
	// Invalid is the number of those whose response looked complete but was not the one to
	// its request.
	Invalid int `json:"invalid"`
	// TimeToFirstToken and Latency are histograms in microseconds. Latency is the time
	// until the whole response has arrived.
	TimeToFirstToken *hdrhistogram.Histogram `json:"-"`
	Latency          *hdrhistogram.Histogram `json:"-"`
	// Samples has a sample of each request.
	Samples []Sample `json:"-"`
}

// record adds the sample of one request.
func (r *Result) record(s Sample, tokens int) {
	r.Samples = append(r.Samples, s)
	switch s.Outcome {
	case OutcomeFailed:
		r.Broken++
		if s.Invalid {
			r.Invalid++
		}
		return
	case OutcomeRefused:
		r.countRefusal(s.Reason, s.Ran)
		return
	case OutcomeLate:
		r.Late++
	}
	r.Complete++
	r.Tokens += tokens
	_ = r.Latency.RecordValue(s.Duration.Microseconds())
	if s.TimeToFirstToken > 0 {
		_ = r.TimeToFirstToken.RecordValue(s.TimeToFirstToken.Microseconds())
	}
}

func (r *Result) countRefusal(reason problem.Reason, ran problem.Ran) {
	i := slices.IndexFunc(r.Refusals, func(f RefusalCount) bool { return f.Reason == reason && f.Ran == ran })
	if i < 0 {
		r.Refusals = append(r.Refusals, RefusalCount{Reason: reason, Ran: ran, Count: 1})
		return
	}
	r.Refusals[i].Count++
}

// RefusalSummary lists the refusals and the number of broken responses.
func (r *Result) RefusalSummary() string {
	var parts []string
	for _, f := range r.Refusals {
		parts = append(parts, fmt.Sprintf("%d %s (ran: %s)", f.Count, f.Reason, f.Ran))
	}
	if r.Broken > 0 {
		parts = append(parts, fmt.Sprintf("%d broken", r.Broken))
	}
	if r.Invalid > 0 {
		parts = append(parts, fmt.Sprintf("%d of them looked complete", r.Invalid))
	}
	return strings.Join(parts, ", ")
}
