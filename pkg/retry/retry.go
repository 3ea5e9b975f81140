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

// EventKind tells the ends of an attempt apart.
type EventKind int

// Kinds of events.
const (
	// NotRun means that the attempt did not run and never will.
	NotRun EventKind = iota
	// Rejected means that the attempt did not run and that no other upstream
	// would run it.
	Rejected
	// Silent means that the stream broke or went silent.
	Silent
	// Running means that the agent says, when asked, that the attempt runs or
	// has finished.
	Running
	// Unknown means that it can't be told whether the attempt ran.
	Unknown
	// Complete means that the whole answer was relayed.
	Complete
	// Differs means that another run of the request gave another answer than
	// the part that was relayed.
	Differs
	// NotSent means that no byte of the attempt was sent, so that no upstream has
	// seen it.
	NotSent
	// Errored means that the upstream answered with an error of its own, which is
	// held and can still be given to the caller.
	Errored
	// Moved means that the attempt was ended to go on at another upstream, which has been
	// acquired. Its retry was spent before.
	Moved
)

// Action is what the entry does next.
type Action int

// Actions.
const (
	// Done ends the request with its whole answer.
	Done Action = iota
	// Ask asks the agent on a new connection for the state of the request.
	Ask
	// Resume reads the answer on a new connection from where it stopped.
	Resume
	// Again sends a new attempt.
	Again
	// RefuseNotRun answers that the request did not run.
	RefuseNotRun
	// RefuseUnknown answers that the outcome is unknown.
	RefuseUnknown
	// BreakOff ends an answer that was partly relayed with an error.
	BreakOff
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
	// Unsent counts the attempts that were not sent.
	Unsent int
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

// Next returns the action that follows an event.
func (r *Request) Next(event EventKind, budget Spender, now time.Time) Action {
	switch event {
	case Complete:
		return Done
	case Rejected, Differs:
		return r.refusal()
	case Silent:
		return r.silent(now)
	case Running:
		return r.running(budget, now)
	case NotRun:
		return r.again(budget, now)
	case NotSent:
		return r.unsent(now)
	case Errored:
		return r.errored(budget, now)
	case Moved:
		r.MaybeRan, r.Resumes = true, 0
		return Again
	default:
		return r.unknown(budget, now)
	}
}

func (r *Request) silent(now time.Time) Action {
	if !now.Before(r.Deadline) {
		r.MaybeRan = true
		return r.refusal()
	}
	return Ask
}

func (r *Request) running(budget Spender, now time.Time) Action {
	r.Resumes++
	if r.Resumes > maxResumes || !now.Before(r.Deadline) {
		return r.unknown(budget, now)
	}
	return Resume
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
	r.Unsent++
	if r.Unsent > maxUnsent || !r.mayRepeat(now) {
		return r.refusal()
	}
	return Again
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
	return Again
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
		return Done
	}
	r.MaybeRan = true
	return Again
}

// Progress records that a new part of the answer was taken. relayed says
// whether a part has reached the caller by now, or is still held back.
func (r *Request) Progress(relayed bool) {
	r.Relayed = relayed
	r.Resumes = 0
}

func (r *Request) refusal() Action {
	switch {
	case r.Relayed:
		return BreakOff
	case r.MaybeRan:
		return RefuseUnknown
	default:
		return RefuseNotRun
	}
}
