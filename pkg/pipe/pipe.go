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
	MaxAttempts int
	Tried       []string
	// Received is when the request arrived.
	Received time.Time
	// Timeout is the caller's time limit, 0 when none was given.
	Timeout time.Duration
	// Deadline is set by the deadline filter.
	Deadline time.Time
	// Cost is the expected cost in tokens.
	Cost float64
	// PromptCost is the part of Cost that the prompt takes.
	PromptCost float64
	// Prefix is the hash of the prompt's leading blocks, 0 when it has none.
	Prefix uint64
	// Spent is the real cost in tokens, counted while the answer is relayed.
	Spent float64
	// FirstPart is when the first part of an answer arrived, zero when none has.
	FirstPart time.Time
	// LastPart is when the latest part arrived, LongestPause the longest time between
	// two.
	LastPart     time.Time
	LongestPause time.Duration
	// Waited is how long the request has waited for upstreams.
	Waited time.Duration
	// Reply takes the answer.
	Reply Reply
	// Decisions takes the decisions about the request. It may be nil.
	Decisions *decisionlog.Log
	// Trail is the first decisions about the request, for the log.
	Trail []decisionlog.Decision
}

// maxTrail is how many decisions a trail keeps: some for each attempt.
const maxTrail = 24

// Decide records a decision about the request. The reason and the upstream may
// be empty.
func (r *Request) Decide(what, why, upstream string) {
	d := decisionlog.Decision{RequestID: r.ID, At: time.Now(), What: what, Why: why, Upstream: upstream}
	if len(r.Trail) < maxTrail {
		r.Trail = append(r.Trail, d)
	}
	if r.Decisions != nil {
		r.Decisions.Add(d)
	}
}

// Served returns the cost of what the upstream did for the request: nothing
// before the answer has begun, then its prompt and the tokens so far.
func (r *Request) Served() float64 {
	if r.Spent == 0 {
		return 0
	}
	return r.PromptCost + r.Spent
}

// Reply takes the parts of an answer in order.
type Reply interface {
	// Head takes the status and the header of the answer. Until the first part is
	// taken, a later head replaces it.
	Head(status int, header http.Header) error
	// Data takes the next part of the answer.
	Data(part []byte) error
	// End is called once the whole answer was taken and verified.
	End() error
	// Relayed reports whether a part of the answer has reached the caller.
	Relayed() bool
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

// Arrived records that a part of the answer has arrived.
func (r *Request) Arrived(now time.Time) {
	if r.FirstPart.IsZero() {
		r.FirstPart = now
	} else {
		r.LongestPause = max(r.LongestPause, now.Sub(r.LastPart))
	}
	r.LastPart = now
}
