// Package api defines the JSON messages that entries, agents and operators exchange. Apart
// from checks of the messages it has no logic.
package api

import "time"

// HeaderPeerToken is the header with the shared secret of calls between the system's own
// processes.
const HeaderPeerToken = "X-Acaciaglade-Peer-Token"

// AttemptRequest requests an agent to run one attempt of a request.
type AttemptRequest struct {
	// RequestID identifies the request in all its attempts.
	RequestID string `json:"request_id"`
	// Attempt counts the attempts of the request from 1.
	Attempt int `json:"attempt"`
	// Incarnation is the incarnation of the agent that may run the attempt.
	Incarnation string `json:"incarnation"`
	// Organisation is the name of the caller's organisation.
	Organisation string `json:"organisation"`
	// Weight is the organisation's weight.
	Weight int `json:"weight,omitempty"`
	// Entry is the name of the entry that sends the attempt.
	Entry string `json:"entry,omitempty"`
	// Cost is the expected cost in tokens.
	Cost float64 `json:"cost,omitempty"`
	// PromptCost is the part of Cost that is due to the prompt.
	PromptCost float64 `json:"prompt_cost,omitempty"`
	// VirtualTime is the organisation's virtual time when the attempt was sent, in
	// tokens divided by weight (see package fairqueue).
	VirtualTime float64 `json:"virtual,omitempty"`
	// Service is the name of the requested service.
	Service string `json:"service"`
	// Model is true when the upstream is a model engine.
	Model bool `json:"model"`
	// Priority is true when the organisation has priority.
	Priority bool `json:"priority"`
	// Idempotent is true when the work may be repeated.
	Idempotent bool `json:"idempotent"`
	// IdempotencyKey is the caller's idempotency key, empty if it sent none.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// DeadlineUnixMilli is the caller's deadline in Unix milliseconds.
	DeadlineUnixMilli int64 `json:"deadline_unix_milli"`
	// SentUnixMilli is when the attempt was sent, in Unix milliseconds.
	SentUnixMilli int64 `json:"sent_unix_milli"`
	// Method and Path are those of the HTTP request to the upstream.
	Method string `json:"method"`
	Path   string `json:"path"`
	// ContentType is the media type of Body.
	ContentType string `json:"content_type,omitempty"`
	// Body is the caller's request body.
	Body []byte `json:"body,omitempty"`
}

// MaxDeadlineAhead is the longest time until a deadline that an agent accepts. It limits
// how long the agent keeps its record of the request.
const MaxDeadlineAhead = 24 * time.Hour

// isRecordable reports whether an agent can keep a record of a request.
func isRecordable(id string, attempt int, deadlineUnixMilli int64, now time.Time) bool {
	maxDeadline := now.Add(MaxDeadlineAhead).UnixMilli()
	return id != "" && attempt >= 1 && deadlineUnixMilli >= 0 && deadlineUnixMilli <= maxDeadline
}

// Valid reports whether an agent can keep a record of the attempt, which it needs to run it.
func (a *AttemptRequest) Valid(now time.Time) bool {
	return isRecordable(a.RequestID, a.Attempt, a.DeadlineUnixMilli, now)
}

// Valid reports whether an agent can keep a record of the withdrawn attempt.
func (w *WithdrawRequest) Valid(now time.Time) bool {
	return isRecordable(w.RequestID, w.Attempt, w.DeadlineUnixMilli, now)
}

// Outcome states whether an attempt ran.
type Outcome string

// Outcomes of an attempt.
const (
	// OutcomeComplete means the attempt ran and its complete response was sent.
	OutcomeComplete Outcome = "complete"
	// OutcomeNotRun means the attempt did not run and never will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeRunning means the attempt started and has not ended.
	OutcomeRunning Outcome = "running"
	// OutcomeUnknown means the attempt may have run.
	OutcomeUnknown Outcome = "unknown"
)

// FrameKind is the kind of a frame.
type FrameKind string

// Kinds of frames.
const (
	// FrameHeader contains the status and media type of the response.
	FrameHeader FrameKind = "head"
	// FrameData contains a part of the response.
	FrameData FrameKind = "data"
	// FrameHeartbeat is sent on an idle stream. It has no sequence number.
	FrameHeartbeat FrameKind = "heartbeat"
	// FrameFinal ends a stream with its outcome, count and checksum.
	FrameFinal FrameKind = "final"
)

// Frame is one line of a response stream from an agent.
type Frame struct {
	Kind FrameKind `json:"kind"`
	// RequestID identifies the request that the frame belongs to.
	RequestID string `json:"request_id"`
	// Seq numbers data frames from 1.
	Seq int `json:"seq,omitempty"`
	// Status and ContentType are set on header frames.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	// Data is set on data frames.
	Data []byte `json:"data,omitempty"`
	// Outcome, Count and Checksum are set on final frames. Count is the number
	// of data frames, Checksum the xxHash64 of their data in hexadecimal.
	Outcome  Outcome `json:"outcome,omitempty"`
	Count    int     `json:"count,omitempty"`
	Checksum string  `json:"checksum,omitempty"`
	// Refusal is set on final frames with an outcome other than complete.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Report is the agent's report, set on final frames.
	Report *Report `json:"report,omitempty"`
}

// Refusal states why an attempt has an outcome other than complete.
type Refusal struct {
	Reason           string `json:"reason"`
	Detail           string `json:"detail,omitempty"`
	RetryAfterMillis int64  `json:"retry_after_millis,omitempty"`
	// Permanent is true if any other upstream would refuse the attempt too.
	Permanent bool `json:"permanent,omitempty"`
	// UpstreamEnded is true if the upstream's process has ended since it got the attempt.
	UpstreamEnded bool `json:"upstream_ended,omitempty"`
}

// WithdrawRequest queries an agent for the outcome of a request. If the request has not
// started, the agent ensures that it never will.
type WithdrawRequest struct {
	RequestID         string `json:"request_id"`
	Attempt           int    `json:"attempt"`
	Incarnation       string `json:"incarnation"`
	DeadlineUnixMilli int64  `json:"deadline_unix_milli"`
}

// WithdrawReply is the response to a WithdrawRequest.
type WithdrawReply struct {
	Outcome Outcome `json:"outcome"`
}
