// Package problem defines the refusals that are sent to callers and operators. A refusal
// is an application/problem+json document (RFC 9457). It has a stable reason, states
// whether the request ran, and has a remedy.
package problem

import (
	"fmt"
	"time"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// Ran states whether a refused request ran.
type Ran string

// Values of Ran.
const (
	// RanNo means that the request did not run and never will.
	RanNo Ran = "no"
	// RanUnknown means that the request may have run.
	RanUnknown Ran = "unknown"
	// RanYes means that the request ran, but its response is not available.
	RanYes Ran = "yes"
)

// Problem is a refusal. It is an error whose message contains the remedy.
type Problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Reason    Reason `json:"reason"`
	Ran       Ran    `json:"ran"`
	Remedy    string `json:"remedy"`
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterSeconds is the retry delay, rounded up to whole seconds. It is 0 if a
	// retry can't succeed.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
	// RetryAfter is the retry delay without rounding.
	RetryAfter time.Duration `json:"-"`
}

// New returns a problem with a reason. The detail may be empty.
func New(reason Reason, detail string) *Problem {
	d, ok := descriptions[reason]
	if !ok {
		d = descriptions[ReasonInternal]
	}
	return &Problem{
		Type:              "urn:acaciaglade:problem:" + string(reason),
		Title:             d.title,
		Status:            d.status,
		Detail:            detail,
		Reason:            reason,
		Ran:               d.ran,
		Remedy:            d.remedy,
		RetryAfterSeconds: d.retryAfterSeconds,
		RetryAfter:        time.Duration(d.retryAfterSeconds) * time.Second,
	}
}

// Error returns the title, detail and remedy.
func (p *Problem) Error() string {
	if p.Detail == "" {
		return fmt.Sprintf("%s: %s", p.Title, p.Remedy)
	}
	return fmt.Sprintf("%s (%s): %s", p.Title, p.Detail, p.Remedy)
}

// WithRetryAfter sets the retry delay and returns the problem.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	p.RetryAfterSeconds = int((d + time.Second - 1) / time.Second)
	return p
}

// WithRan sets whether the request ran and returns the problem.
func (p *Problem) WithRan(ran Ran) *Problem {
	p.Ran = ran
	return p
}

// WithStatus sets the HTTP status and returns the problem.
func (p *Problem) WithStatus(status int) *Problem {
	p.Status = status
	return p
}

// CanRetryElsewhere reports whether the refusal is due to the state of this entry only, so
// that another entry may serve the same request.
func (p *Problem) CanRetryElsewhere() bool {
	switch p.Reason {
	case ReasonNotReady, ReasonStaleKeys, ReasonEntryCutOff, ReasonStopping, ReasonIntakeFull:
		return true
	default:
		return false
	}
}
