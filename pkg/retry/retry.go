// Package retry decides what follows when an attempt ends or goes silent. It is
// pure.
//
// Only the word of the agent, or the entry's knowledge that no byte of the
// attempt was sent, makes an attempt "not run". Work that is not idempotent is
// retried after a true "not run" alone. Idempotent work is also retried after an
// unknown outcome. Once a part of an answer has reached the caller, the next run
// has to give the same part again, or the answer is broken off.
package retry

import (
	"time"
)

// Event tells the ends of an attempt apart.
type Event int

// Kinds of events.
const (
	// EventNotRun means that the attempt did not run and never will.
	EventNotRun Event = iota
	// EventRejected means that the attempt did not run and that no other upstream
	// would run it.
	EventRejected
	// EventSilent means that the stream broke or went silent.
	EventSilent
	// EventRunning means that the agent says, when asked, that the attempt runs or
	// has finished.
	EventRunning
	// EventUnknown means that it can't be told whether the attempt ran.
	EventUnknown
	// EventComplete means that the whole answer was relayed.
	EventComplete
	// EventRerunDiffers means that another run of the request gave another answer than
	// the part that was relayed.
	EventRerunDiffers
	// EventNotSent means that no byte of the attempt was sent, so that no upstream has
	// seen it.
	EventNotSent
	// EventUpstreamError means that the upstream answered with an error of its own, which is
	// held and can still be given to the caller.
	EventUpstreamError
	// EventMoved means that the attempt was ended to go on at another upstream, which has been
	// acquired. Its retry was spent before.
	EventMoved
)

// Action is what the entry does next.
type Action int

// Actions.
const (
	// ActionFinish ends the request with its whole answer.
	ActionFinish Action = iota
	// ActionQueryStatus asks the agent on a new connection for the state of the request.
	ActionQueryStatus
	// ActionResume reads the answer on a new connection from where it stopped.
	ActionResume
	// ActionRetry sends a new attempt.
	ActionRetry
	// ActionRefuseNotRun answers that the request did not run.
	ActionRefuseNotRun
	// ActionRefuseUnknown answers that the outcome is unknown.
	ActionRefuseUnknown
	// ActionAbort ends an answer that was partly relayed with an error.
	ActionAbort
)

// Request is the state of one request at the entry.
type Request struct {
	// Idempotent is true when the work may be repeated.
	Idempotent bool
	// Deadline is when the caller no longer waits.
	Deadline time.Time
	// Relayed is true once a part of an answer has been relayed.
	Relayed bool
	// MaybeRan is true once an attempt of the request had an unknown outcome.
	MaybeRan bool
	// Resumes counts the resumes in a row that relayed nothing new.
	Resumes int
	// Attempts counts the attempts so far. MaxAttempts is how many are allowed, 0
	// for any number.
	Attempts    int
	MaxAttempts int
	// UnsentAttempts counts the attempts that were not sent.
	UnsentAttempts int
}

// Spender is a budget of retries.
type Spender interface {
	// Spend takes one retry. It reports false when none is left.
	Spend(now time.Time) bool
}

// maxUnsent is the largest number of attempts of which no byte was sent: each takes
// the time to find an upstream out of reach.
const maxUnsent = 4

// maxResumes is the largest number of resumes in a row without progress.
const maxResumes = 3

// NextAction returns the action that follows an event.
func (r *Request) NextAction(event Event, budget Spender, now time.Time) Action {
	switch event {
	case EventComplete:
		return ActionFinish
	case EventRejected, EventRerunDiffers:
		return r.refusal()
	case EventSilent:
		return r.silent(now)
	case EventRunning:
		return r.running(budget, now)
	case EventNotRun:
		return r.again(budget, now)
	case EventNotSent:
		return r.unsent(now)
	case EventUpstreamError:
		return r.errored(budget, now)
	case EventMoved:
		r.MaybeRan, r.Resumes = true, 0
		return ActionRetry
	default:
		return r.unknown(budget, now)
	}
}

func (r *Request) silent(now time.Time) Action {
	if !now.Before(r.Deadline) {
		r.MaybeRan = true
		return r.refusal()
	}
	return ActionQueryStatus
}

func (r *Request) running(budget Spender, now time.Time) Action {
	r.Resumes++
	if r.Resumes > maxResumes || !now.Before(r.Deadline) {
		return r.unknown(budget, now)
	}
	return ActionResume
}

func (r *Request) unknown(budget Spender, now time.Time) Action {
	r.MaybeRan = true
	if !r.Idempotent {
		return r.refusal()
	}
	return r.again(budget, now)
}

// unsent tries another upstream. An attempt that was not sent is neither a retry nor
// one of those that are allowed.
func (r *Request) unsent(now time.Time) Action {
	r.Attempts--
	r.UnsentAttempts++
	if r.UnsentAttempts > maxUnsent || !r.mayRepeat(now) {
		return r.refusal()
	}
	return ActionRetry
}

// MayMove reports whether the running attempt may be ended to go on at another upstream.
// It may be called while the attempt runs.
func (r *Request) MayMove(now time.Time) bool {
	return r.Idempotent && now.Before(r.Deadline) && (r.MaxAttempts == 0 || r.Attempts < r.MaxAttempts)
}

func (r *Request) again(budget Spender, now time.Time) Action {
	if !r.mayRepeat(now) || !budget.Spend(now) {
		return r.refusal()
	}
	r.Resumes = 0
	return ActionRetry
}

// mayRepeat reports whether another attempt is allowed at all.
func (r *Request) mayRepeat(now time.Time) bool {
	if r.Relayed && !r.Idempotent || !now.Before(r.Deadline) {
		return false
	}
	return r.MaxAttempts == 0 || r.Attempts < r.MaxAttempts
}

// errored tries elsewhere, and otherwise lets the caller have the error.
func (r *Request) errored(budget Spender, now time.Time) Action {
	if !r.Idempotent || !r.mayRepeat(now) || !budget.Spend(now) {
		return ActionFinish
	}
	r.MaybeRan = true
	return ActionRetry
}

// RecordProgress records that a new part of the answer was taken. relayed says
// whether a part has reached the caller by now, or is still held back.
func (r *Request) RecordProgress(relayed bool) {
	r.Relayed = relayed
	r.Resumes = 0
}

func (r *Request) refusal() Action {
	switch {
	case r.Relayed:
		return ActionAbort
	case r.MaybeRan:
		return ActionRefuseUnknown
	default:
		return ActionRefuseNotRun
	}
}
