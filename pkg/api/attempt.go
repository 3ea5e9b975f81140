// Package api defines the JSON messages exchanged by entries, agents and
// operators. It holds no behaviour beyond small helpers on the messages.
package api

import "time"

// HeaderPeerToken carries the shared secret of calls between the system's own
// processes.
const HeaderPeerToken = "X-Acaciaglade-Peer-Token"

// AttemptRequest asks an agent to run one attempt of a request.
type AttemptRequest struct {
	// RequestID names the request across all its attempts.
	RequestID string `json:"request_id"`
	// Attempt counts the attempts of the request from 1.
	Attempt int `json:"attempt"`
	// Incarnation is the agent's incarnation the attempt is meant for.
	Incarnation string `json:"incarnation"`
	// Organisation is the name of the caller's organisation.
	Organisation string `json:"organisation"`
	// Weight is the organisation's weight.
	Weight int `json:"weight,omitempty"`
	// Entry is the name of the entry that sends the attempt.
	Entry string `json:"entry,omitempty"`
	// Cost is the expected cost in tokens.
	Cost float64 `json:"cost,omitempty"`
	// PromptCost is the part of Cost that the prompt takes.
	PromptCost float64 `json:"prompt_cost,omitempty"`
	// Virtual is the organisation's virtual time when the attempt was sent.
	Virtual float64 `json:"virtual,omitempty"`
	// Service is the name of the service that is called.
	Service string `json:"service"`
	// Model is true when the upstream is a model engine.
	Model bool `json:"model"`
	// Priority is true when the organisation has priority.
	Priority bool `json:"priority"`
	// Idempotent is true when the work may be repeated.
	Idempotent bool `json:"idempotent"`
	// IdempotencyKey is the caller's key, empty when none was given.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// DeadlineUnixMilli is the caller's deadline in Unix milliseconds.
	DeadlineUnixMilli int64 `json:"deadline_unix_milli"`
	// SentUnixMilli is when the attempt was sent, in Unix milliseconds.
	SentUnixMilli int64 `json:"sent_unix_milli"`
	// Method and Path are those of the upstream's HTTP call.
	Method string `json:"method"`
	Path   string `json:"path"`
	// ContentType is the media type of Body.
	ContentType string `json:"content_type,omitempty"`
	// Body is the caller's request body.
	Body []byte `json:"body,omitempty"`
}

// MaxDeadlineAhead is the farthest deadline that an agent accepts. It bounds how
// long a request is remembered.
const MaxDeadlineAhead = 24 * time.Hour

// validIdentity reports whether a request can be remembered.
func validIdentity(id string, attempt int, deadlineUnixMilli int64, now time.Time) bool {
	farthest := now.Add(MaxDeadlineAhead).UnixMilli()
	return id != "" && attempt >= 1 && deadlineUnixMilli >= 0 && deadlineUnixMilli <= farthest
}

// Valid reports whether an agent can take the attempt.
func (a *AttemptRequest) Valid(now time.Time) bool {
	return validIdentity(a.RequestID, a.Attempt, a.DeadlineUnixMilli, now)
}

// Valid reports whether an agent can answer the question.
func (w *WithdrawRequest) Valid(now time.Time) bool {
	return validIdentity(w.RequestID, w.Attempt, w.DeadlineUnixMilli, now)
}

// Outcome says what is known about an attempt.
type Outcome string

// Outcomes of an attempt.
const (
	// OutcomeComplete means the attempt ran and its whole answer was sent.
	OutcomeComplete Outcome = "complete"
	// OutcomeNotRun means the attempt did not run and never will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeRunning means the attempt was started and has not ended.
	OutcomeRunning Outcome = "running"
	// OutcomeUnknown means the attempt may have run.
	OutcomeUnknown Outcome = "unknown"
)

// FrameKind tells the frames of an answer apart.
type FrameKind string

// Kinds of frames.
const (
	// FrameHead carries the status and media type of the answer.
	FrameHead FrameKind = "head"
	// FrameData carries a part of the answer.
	FrameData FrameKind = "data"
	// FrameHeartbeat shows that an idle stream is alive. It has no number.
	FrameHeartbeat FrameKind = "heartbeat"
	// FrameFinal ends a stream with its outcome, count and checksum.
	FrameFinal FrameKind = "final"
)

// Frame is one line of an answer stream from an agent.
type Frame struct {
	Kind FrameKind `json:"kind"`
	// RequestID names the request that the frame answers.
	RequestID string `json:"request_id"`
	// Seq numbers data frames from 1.
	Seq int `json:"seq,omitempty"`
	// Status and ContentType are set on head frames.
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

// Refusal says why an agent did not run an attempt, or lost it.
type Refusal struct {
	Reason           string `json:"reason"`
	Detail           string `json:"detail,omitempty"`
	RetryAfterMillis int64  `json:"retry_after_millis,omitempty"`
	// Permanent is true when no other upstream would answer otherwise.
	Permanent bool `json:"permanent,omitempty"`
}

// WithdrawRequest asks an agent for the state of a request. When the request
// has not started, the agent makes sure that it never will.
type WithdrawRequest struct {
	RequestID         string `json:"request_id"`
	Attempt           int    `json:"attempt"`
	Incarnation       string `json:"incarnation"`
	DeadlineUnixMilli int64  `json:"deadline_unix_milli"`
}

// WithdrawReply answers a WithdrawRequest.
type WithdrawReply struct {
	Outcome Outcome `json:"outcome"`
}
