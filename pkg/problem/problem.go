// Package problem defines the refusals that callers and operators receive, as
// application/problem+json documents (RFC 9457) with a stable reason, whether
// the request ran, and a remedy.
package problem

import (
	"fmt"
	"time"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// Ran says whether a refused request ran.
type Ran string

// Values of Ran.
const (
	// RanNo means that the request did not run and never will.
	RanNo Ran = "no"
	// RanUnknown means that the request may have run.
	RanUnknown Ran = "unknown"
	// RanYes means that the work ran and that no answer can be given.
	RanYes Ran = "yes"
)

// Problem is a refusal. It is an error whose message names the remedy.
type Problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Reason    Reason `json:"reason"`
	Ran       Ran    `json:"ran"`
	Remedy    string `json:"remedy"`
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterSeconds is 0 when a retry can't help.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
	// RetryAfter is the same, not rounded to whole seconds.
	RetryAfter time.Duration `json:"-"`
}

// New returns the problem of a reason. The detail may be empty.
func New(reason Reason, detail string) *Problem {
	e, ok := catalogue[reason]
	if !ok {
		e = catalogue[ReasonInternal]
	}
	return &Problem{
		Type:              "urn:acaciaglade:problem:" + string(reason),
		Title:             e.title,
		Status:            e.status,
		Detail:            detail,
		Reason:            reason,
		Ran:               e.ran,
		Remedy:            e.remedy,
		RetryAfterSeconds: e.retryAfterSeconds,
		RetryAfter:        time.Duration(e.retryAfterSeconds) * time.Second,
	}
}

// Error returns the title, detail and remedy.
func (p *Problem) Error() string {
	if p.Detail == "" {
		return fmt.Sprintf("%s: %s", p.Title, p.Remedy)
	}
	return fmt.Sprintf("%s (%s): %s", p.Title, p.Detail, p.Remedy)
}

// WithRetryAfter sets the time after which a retry makes sense.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	p.RetryAfterSeconds = int((d + time.Second - 1) / time.Second)
	return p
}

// WithRan replaces what is known about whether the request ran.
func (p *Problem) WithRan(ran Ran) *Problem {
	p.Ran = ran
	return p
}

// CanRetryElsewhere reports whether the refusal is for what this entry lacks, so that another
// entry may serve the same request.
func (p *Problem) CanRetryElsewhere() bool {
	switch p.Reason {
	case ReasonNotReady, ReasonStaleKeys, ReasonEntryCutOff, ReasonStopping:
		return true
	default:
		return false
	}
}
