// Package pipe defines the request that an entry's filters process, and the interface
// of the filters. Each filter passes the request on to the next one; the response is
// written to the request's Reply.
package pipe

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/decisionlog"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// Request is a caller's request while the filters process it.
type Request struct {
	// ID identifies the request in logs, responses and attempts.
	ID string
	// Token is the caller's bearer token.
	Token string
	// Index is the table that was current when the request arrived.
	Index *table.Index
	// IndexAge is the validation age of the table's keys when the request arrived: the
	// time since they were last confirmed. It is 0 where keys are not revoked.
	IndexAge time.Duration
	// Organisation is set by the authenticate filter.
	Organisation *table.Organisation
	// Service is set by the route filter.
	Service *table.Service
	// Route is set by the route filter if requests are routed by host and path.
	Route *table.Route
	// Host is the host name in the caller's HTTP request, Target its request target
	// as it was sent.
	Host   string
	Target string
	// ResumeAfter is the ID of the last event that the caller received of an earlier
	// response, empty if it received none.
	ResumeAfter string
	// Header is the header that is forwarded to the upstream, nil if none of the
	// caller's header is.
	Header http.Header
	// Method, Path, Query, ContentType and Body are those of the caller's HTTP request
	// until the route filter replaces them by those of the request to the upstream.
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// ReadBody reads the body. The receive filter calls it; nil means that there is no body to
	// read.
	ReadBody func() error
	// IdempotencyKey is the caller's idempotency key, empty if it sent none.
	IdempotencyKey string
	// Idempotent is true when the work may be repeated.
	Idempotent bool
	// Streamed is true when a model's response is written as it arrives. It is set by
	// the route filter.
	Streamed bool
	// MaxAttempts is the number of upstreams that the request may be sent to, 0 for
	// any number. TriedUpstreams are those that it was sent to.
	MaxAttempts    int
	TriedUpstreams []string
	// ReceivedAt is when the request arrived.
	ReceivedAt time.Time
	// Timeout is the caller's time limit, 0 if it sent none.
	Timeout time.Duration
	// Deadline is set by the deadline filter.
	Deadline time.Time
	// ExpectedCost is the expected cost in tokens.
	ExpectedCost float64
	// PromptCost is the part of ExpectedCost that is due to the prompt.
	PromptCost float64
	// Prefix is the hash of the prompt's leading blocks, 0 if there are none.
	Prefix uint64
	// SharedParts are the IDs of the parts of the prompt that other requests may have in
	// common with it, in order. They are known only where callers name them.
	SharedParts []string
	// ActualCost is the cost in tokens of the response so far, without the prompt. Each
	// part that arrives counts as one token.
	ActualCost float64
	// FirstPartAt is when the first part of a response arrived, zero if none has.
	FirstPartAt time.Time
	// LastPartAt is when the latest part arrived, LongestPause the longest time between
	// two parts.
	LastPartAt   time.Time
	LongestPause time.Duration
	// WithoutLength is true if the latest response of an upstream has neither a length nor
	// chunks, so that only the end of its connection ends it.
	WithoutLength bool
	// QueueTime is how long the request has been queued, over all attempts.
	QueueTime time.Duration
	// Reply receives the response.
	Reply Reply
	// Decisions is the log of the decisions about the request. It may be nil.
	Decisions *decisionlog.Log
	// FirstDecisions are the first decisions about the request, for its log line.
	FirstDecisions []decisionlog.Decision
}

// ErrStopping is the cause of a context that ends because the entry has to end.
var ErrStopping = errors.New("the entry is stopping; send the request to another one")

// maxFirstDecisions is the length of Request.FirstDecisions. It leaves several decisions
// for each attempt.
const maxFirstDecisions = 24

// RecordDecision records a decision about the request. The reason and the upstream may
// be empty.
func (r *Request) RecordDecision(action, reason, upstream string) {
	d := decisionlog.Decision{RequestID: r.ID, At: time.Now(), Action: action, Reason: reason, Upstream: upstream}
	if len(r.FirstDecisions) < maxFirstDecisions {
		r.FirstDecisions = append(r.FirstDecisions, d)
	}
	if r.Decisions != nil {
		r.Decisions.Add(d)
	}
}

// ServedCost returns the cost of the upstream's work so far: 0 before the response has
// started, then the cost of the prompt and the tokens of the response so far.
func (r *Request) ServedCost() float64 {
	if r.ActualCost == 0 {
		return 0
	}
	return r.PromptCost + r.ActualCost
}

// Reply receives the parts of a response in order.
type Reply interface {
	// StartAttempt prepares for the response to another attempt. Parts that have not reached
	// the caller are discarded.
	StartAttempt()
	// CanContinue reports whether SetHeader would accept the response to another attempt.
	CanContinue(status int, header http.Header) bool
	// SetHeader sets the status and the header of the response to an attempt. It returns
	// relay.ErrNotContinuation if a part of another response has reached the caller that
	// this one can't continue.
	SetHeader(status int, header http.Header) error
	// WriteData appends the next part of the response.
	WriteData(part []byte) error
	// Finish is called once the response to the latest attempt is complete and verified.
	Finish() error
	// HasStarted reports whether a part of the response has reached the caller.
	HasStarted() bool
}

// Handler serves a request. A returned error is usually a *problem.Problem.
type Handler interface {
	Serve(ctx context.Context, r *Request) error
}

// HandlerFunc is a function that implements Handler.
type HandlerFunc func(ctx context.Context, r *Request) error

// Serve implements Handler.
func (f HandlerFunc) Serve(ctx context.Context, r *Request) error { return f(ctx, r) }

var _ Handler = HandlerFunc(nil)

// BearerToken returns the bearer token of an HTTP request, or "" if it has none.
func BearerToken(h http.Header) string {
	const scheme = "Bearer "
	v := h.Get("Authorization")
	if len(v) <= len(scheme) || v[:len(scheme)] != scheme {
		return ""
	}
	return v[len(scheme):]
}

// RecordPart records the arrival of a part of the response.
func (r *Request) RecordPart(now time.Time) {
	if r.FirstPartAt.IsZero() {
		r.FirstPartAt = now
	} else {
		r.LongestPause = max(r.LongestPause, now.Sub(r.LastPartAt))
	}
	r.LastPartAt = now
}
