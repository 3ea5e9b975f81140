// Package pipe defines the request that flows through an entry's filters and
// the interface of the filters. A request flows one way, from filter to filter;
// the answer flows back through the request's Reply.
package pipe

import (
	"context"
	"net/http"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/decisionlog"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// Request is one caller's request on its way through the filters.
type Request struct {
	// ID names the request in logs, answers and attempts.
	ID string
	// Token is the caller's bearer token.
	Token string
	// Index is the table in force when the request arrived.
	Index *table.Index
	// IndexAge is how old the proof was that the table's keys are valid. It is 0
	// where keys are not taken away.
	IndexAge time.Duration
	// Organisation is set by the authenticate filter.
	Organisation *table.Organisation
	// Service is set by the route filter.
	Service *table.Service
	// Route is set by the route filter when calls are routed by host and path.
	Route *table.Route
	// Host is the name that the caller called, Target the target of its call as
	// it was sent.
	Host   string
	Target string
	// ResumeAfter is the number of the last event that the caller has of an
	// earlier answer, empty when it has none.
	ResumeAfter string
	// Header is the header that is passed on to the upstream, nil when the
	// upstream gets none of the caller's.
	Header http.Header
	// Method, Path, Query, ContentType and Body are those of the caller's call
	// until the route filter makes them those of the upstream's.
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// IdempotencyKey is the caller's key, empty when none was given.
	IdempotencyKey string
	// Idempotent is true when the work may be repeated.
	Idempotent bool
	// Streamed is true when a model's answer is to be written as it comes. It is
	// set by the route filter.
	Streamed bool
	// MaxAttempts is how many upstreams the request may be sent to, 0 for any
	// number. Tried are those that it was sent to.
	MaxAttempts    int
	TriedUpstreams []string
	// ReceivedAt is when the request arrived.
	ReceivedAt time.Time
	// Timeout is the caller's time limit, 0 when none was given.
	Timeout time.Duration
	// Deadline is set by the deadline filter.
	Deadline time.Time
	// ExpectedCost is the expected cost in tokens.
	ExpectedCost float64
	// PromptCost is the part of ExpectedCost that the prompt takes.
	PromptCost float64
	// Prefix is the hash of the prompt's leading blocks, 0 when it has none.
	Prefix uint64
	// ActualCost is the real cost in tokens, counted while the answer is relayed.
	ActualCost float64
	// FirstPartAt is when the first part of an answer arrived, zero when none has.
	FirstPartAt time.Time
	// LastPartAt is when the latest part arrived, LongestPause the longest time between
	// two.
	LastPartAt   time.Time
	LongestPause time.Duration
	// QueueTime is how long the request has waited for upstreams.
	QueueTime time.Duration
	// Reply takes the answer.
	Reply Reply
	// Decisions takes the decisions about the request. It may be nil.
	Decisions *decisionlog.Log
	// FirstDecisions is the first decisions about the request, for the log.
	FirstDecisions []decisionlog.Decision
}

// maxTrail is how many decisions a trail keeps: some for each attempt.
const maxTrail = 24

// RecordDecision records a decision about the request. The reason and the upstream may
// be empty.
func (r *Request) RecordDecision(what, why, upstream string) {
	d := decisionlog.Decision{RequestID: r.ID, At: time.Now(), Action: what, Reason: why, Upstream: upstream}
	if len(r.FirstDecisions) < maxTrail {
		r.FirstDecisions = append(r.FirstDecisions, d)
	}
	if r.Decisions != nil {
		r.Decisions.Add(d)
	}
}

// ServedCost returns the cost of what the upstream did for the request: nothing
// before the answer has begun, then its prompt and the tokens so far.
func (r *Request) ServedCost() float64 {
	if r.ActualCost == 0 {
		return 0
	}
	return r.PromptCost + r.ActualCost
}

// Reply takes the parts of an answer in order.
type Reply interface {
	// SetHeader takes the status and the header of the answer. Until the first part is
	// taken, a later head replaces it.
	SetHeader(status int, header http.Header) error
	// WriteData takes the next part of the answer.
	WriteData(part []byte) error
	// Finish is called once the whole answer was taken and verified.
	Finish() error
	// HasStarted reports whether a part of the answer has reached the caller.
	HasStarted() bool
	// Restart discards the parts that were taken, as the answer begins anew. It
	// must not be called once a part has reached the caller.
	Restart()
}

// Handler serves a request. A returned error is usually a *problem.Problem.
type Handler interface {
	Serve(ctx context.Context, r *Request) error
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(ctx context.Context, r *Request) error

// Serve implements Handler.
func (f HandlerFunc) Serve(ctx context.Context, r *Request) error { return f(ctx, r) }

var _ Handler = HandlerFunc(nil)

// BearerToken returns the bearer token of an HTTP request, or "".
func BearerToken(h http.Header) string {
	const scheme = "Bearer "
	v := h.Get("Authorization")
	if len(v) <= len(scheme) || v[:len(scheme)] != scheme {
		return ""
	}
	return v[len(scheme):]
}

// RecordPart records that a part of the answer has arrived.
func (r *Request) RecordPart(now time.Time) {
	if r.FirstPartAt.IsZero() {
		r.FirstPartAt = now
	} else {
		r.LongestPause = max(r.LongestPause, now.Sub(r.LastPartAt))
	}
	r.LastPartAt = now
}
