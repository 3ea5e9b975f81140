package load

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// Outcome is what became of one request.
type Outcome string

// Outcomes.
const (
	// Complete is a whole answer in time.
	Complete Outcome = "complete"
	// Late is a whole answer after its time limit.
	Late Outcome = "late"
	// Refused is a refusal with a reason.
	Refused Outcome = "refused"
	// Failed is an answer that ended without being whole and without a reason.
	Failed Outcome = "failed"
)

// Sample is what became of one request.
type Sample struct {
	Kind Kind
	// At is when the request was sent.
	At         time.Time
	FirstToken time.Duration
	Duration   time.Duration
	Outcome    Outcome
	// Reason and Ran are set on refusals.
	Reason problem.Reason
	Ran    problem.Ran
	// InDeadline is true when the answer ended within the deadline. Of a late
	// answer, then only the first token was late.
	InDeadline bool
	// Resent is true when the request went through a second entry after its
	// connection broke.
	Resent bool
}

// sample tells the outcomes apart, but for lateness of the whole answer.
func (c *Config) sample(a answer, err error) Sample {
	s := Sample{Kind: c.Kind, FirstToken: a.first, Outcome: Complete}
	switch {
	case err != nil:
		s.Outcome = Failed
	case a.refusal != nil:
		s.Outcome, s.Reason, s.Ran = Refused, a.refusal.Reason, a.refusal.Ran
	case c.FirstToken > 0 && a.first > c.FirstToken:
		s.Outcome = Late
	}
	return s
}

// Refusals counts the refusals of one reason.
type Refusals struct {
	Reason problem.Reason `json:"reason"`
	Ran    problem.Ran    `json:"ran"`
	Count  int            `json:"count"`
}

// Result is what became of one organisation's traffic.
type Result struct {
	Organisation string     `json:"organisation"`
	Kind         Kind       `json:"kind"`
	Sent         int        `json:"sent"`
	Complete     int        `json:"complete"`
	Late         int        `json:"late"`
	Tokens       int        `json:"tokens"`
	Refusals     []Refusals `json:"refusals"`
	// Broken counts answers that ended without being whole and without a reason.
	Broken int `json:"broken"`
	// FirstToken and Latency are the latencies in microseconds.
	FirstToken *hdrhistogram.Histogram `json:"-"`
	Latency    *hdrhistogram.Histogram `json:"-"`
	// Samples is every request.
	Samples []Sample `json:"-"`
}

// add counts one request.
func (r *Result) add(s Sample, tokens int) {
	r.Samples = append(r.Samples, s)
	switch s.Outcome {
	case Failed:
		r.Broken++
		return
	case Refused:
		r.refused(s.Reason, s.Ran)
		return
	case Late:
		r.Late++
	}
	r.Complete++
	r.Tokens += tokens
	_ = r.Latency.RecordValue(s.Duration.Microseconds())
	if s.FirstToken > 0 {
		_ = r.FirstToken.RecordValue(s.FirstToken.Microseconds())
	}
}

func (r *Result) refused(reason problem.Reason, ran problem.Ran) {
	i := slices.IndexFunc(r.Refusals, func(f Refusals) bool { return f.Reason == reason && f.Ran == ran })
	if i < 0 {
		r.Refusals = append(r.Refusals, Refusals{Reason: reason, Ran: ran, Count: 1})
		return
	}
	r.Refusals[i].Count++
}

// RefusalSummary lists the refusals in words.
func (r *Result) RefusalSummary() string {
	var parts []string
	for _, f := range r.Refusals {
		parts = append(parts, fmt.Sprintf("%d %s (ran: %s)", f.Count, f.Reason, f.Ran))
	}
	if r.Broken > 0 {
		parts = append(parts, fmt.Sprintf("%d broken", r.Broken))
	}
	return strings.Join(parts, ", ")
}
