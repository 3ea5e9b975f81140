// Package retry decides which action follows when an attempt ends or goes silent.
// It does no I/O and reads no clock: callers pass events and the time.
//
// An attempt counts as not run only if the agent reports so or if no byte of it was
// sent. Work that is not idempotent is retried only in this case. Idempotent work is
// also retried after an unknown outcome or an error of the upstream. Once a part of a
// response has reached the caller, the next run has to repeat that part or to continue
// after it, or the response is aborted.
//
// When a stream goes silent, the state of its attempt is queried before any retry, and the
// response is resumed if the attempt runs or has finished.
//
// Retries are limited by a budget, so that failing upstreams don't cause a retry storm.
// Attempts of which no byte was sent need no budget.
package retry

import (
	"time"
)

// Event is the result of a step of an attempt.
type Event int

// Events.
const (
	// EventNotRun means that the attempt did not run and never will.
	EventNotRun Event = iota
	// EventRejected means that the attempt did not run and that no other upstream
	// would run it.
	EventRejected
	// EventSilent means that the stream was aborted or went silent.
	EventSilent
	// EventRunning means that the agent replied to a status query that the attempt runs
	// or has finished.
	EventRunning
	// EventUnknown means that it is unknown whether the attempt ran.
	EventUnknown
	// EventComplete means that the whole response was relayed.
	EventComplete
	// EventRerunDiffers means that another run of the request produced a response that
	// differs from the part that was already relayed, or could not continue that part.
	EventRerunDiffers
	// EventNotSent means that no byte of the attempt was sent, so that no upstream has
	// received it.
	EventNotSent
	// EventUpstreamError means that the upstream returned an error of its own. It is held
	// back and can still be relayed to the caller.
	EventUpstreamError
	// EventNotContinued means that the upstream returned a response that can't continue the
	// one of which a part was relayed, such as an error of its own.
	EventNotContinued
	// EventMoved means that the attempt was ended so that the request continues at another
	// upstream, which is already acquired. Its retry is already spent.
	EventMoved
)

// Action is what the entry does after an event.
type Action int

// Actions.
const (
	// ActionFinish ends the request; its response is complete.
	ActionFinish Action = iota
	// ActionQueryStatus queries the agent on a new connection for the state of the request.
	ActionQueryStatus
	// ActionResume reads the response on a new connection from where it stopped.
	ActionResume
	// ActionRetry sends a new attempt.
	ActionRetry
	// ActionRefuseNotRun refuses the request and states that it did not run.
	ActionRefuseNotRun
	// ActionRefuseUnknown refuses the request and states that its outcome is unknown.
	ActionRefuseUnknown
	// ActionAbort ends a partly relayed response with an error.
	ActionAbort
)

// Request is the retry state of one request at the entry.
type Request struct {
	// Idempotent is true if the work may be repeated.
	Idempotent bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Relayed is true once a part of a response has been relayed.
	Relayed bool
	// MaybeRan is true once an attempt that may have run has ended.
	MaybeRan bool
	// Resumes counts the resumes in a row without a new part of the response.
	Resumes int
	// Attempts counts the attempts so far, including the current one, without
	// UnsentAttempts. MaxAttempts is how many are allowed, 0 for any number.
	Attempts    int
	MaxAttempts int
	// UnsentAttempts counts the attempts of which no byte was sent.
	UnsentAttempts int
}

// Spender is a retry budget.
type Spender interface {
	// Spend takes one retry from the budget. It returns false if none is left.
	Spend(now time.Time) bool
}

// maxUnsentAttempts limits the attempts of which no byte was sent, as each takes the time
// to detect that an upstream is unreachable.
const maxUnsentAttempts = 4

// maxResumes limits the resumes in a row without progress.
const maxResumes = 3

// NextAction updates the state by an event and returns the action that follows.
func (r *Request) NextAction(event Event, budget Spender, now time.Time) Action {
	switch event {
	case EventComplete:
		return ActionFinish
	case EventRejected, EventRerunDiffers:
		return r.refusalAction()
	case EventSilent:
		return r.handleSilent(now)
	case EventRunning:
		return r.handleRunning(budget, now)
	case EventNotRun:
		return r.retryOrRefuse(budget, now)
	case EventNotSent:
		return r.handleNotSent(now)
	case EventUpstreamError:
		return r.handleUpstreamError(budget, now)
	case EventMoved:
		r.MaybeRan, r.Resumes = true, 0
		return ActionRetry
	default:
		return r.handleUnknown(budget, now)
	}
}

func (r *Request) handleSilent(now time.Time) Action {
	if !now.Before(r.Deadline) {
		r.MaybeRan = true
		return r.refusalAction()
	}
	return ActionQueryStatus
}

func (r *Request) handleRunning(budget Spender, now time.Time) Action {
	r.Resumes++
	if r.Resumes > maxResumes || !now.Before(r.Deadline) {
		return r.handleUnknown(budget, now)
	}
	return ActionResume
}

func (r *Request) handleUnknown(budget Spender, now time.Time) Action {
	r.MaybeRan = true
	if !r.Idempotent {
		return r.refusalAction()
	}
	return r.retryOrRefuse(budget, now)
}

// handleNotSent tries another upstream. An attempt that was not sent counts neither as a
// retry nor against MaxAttempts.
func (r *Request) handleNotSent(now time.Time) Action {
	r.RecordUnsent()
	if r.UnsentAttempts > maxUnsentAttempts || !r.canRepeat(now) {
		return r.refusalAction()
	}
	return ActionRetry
}

// RecordUnsent records that no byte of an attempt was sent.
func (r *Request) RecordUnsent() {
	r.Attempts--
	r.UnsentAttempts++
}

// MayMove reports whether another attempt is allowed while one runs, to which the request
// moves or which is sent beside it.
func (r *Request) MayMove(now time.Time) bool {
	return r.Idempotent && now.Before(r.Deadline) && (r.MaxAttempts == 0 || r.Attempts < r.MaxAttempts) && r.UnsentAttempts < maxUnsentAttempts
}

func (r *Request) retryOrRefuse(budget Spender, now time.Time) Action {
	if !r.canRepeat(now) || !budget.Spend(now) {
		return r.refusalAction()
	}
	r.Resumes = 0
	return ActionRetry
}

// canRepeat reports whether another attempt is allowed, apart from the retry budget.
func (r *Request) canRepeat(now time.Time) bool {
	if r.Relayed && !r.Idempotent || !now.Before(r.Deadline) {
		return false
	}
	return r.MaxAttempts == 0 || r.Attempts < r.MaxAttempts
}

// handleUpstreamError retries at another upstream if possible. Otherwise the error is
// relayed to the caller, unless a part of another response was.
func (r *Request) handleUpstreamError(budget Spender, now time.Time) Action {
	if r.Relayed {
		return r.handleUnknown(budget, now)
	}
	if !r.Idempotent || !r.canRepeat(now) || !budget.Spend(now) {
		return ActionFinish
	}
	r.MaybeRan = true
	return ActionRetry
}

// RecordProgress records that a new part of the response was received. relayed states
// whether any part has reached the caller, or all are still held back.
func (r *Request) RecordProgress(relayed bool) {
	r.Relayed = relayed
	r.Resumes = 0
}

func (r *Request) refusalAction() Action {
	switch {
	case r.Relayed:
		return ActionAbort
	case r.MaybeRan:
		return ActionRefuseUnknown
	default:
		return ActionRefuseNotRun
	}
}
