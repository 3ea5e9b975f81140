// Package ledger remembers which requests an agent has seen, so that a request
// starts at most once at the agent and a "not run" answer is never followed by
// a start. It is pure: callers pass the time, and serialise the calls.
//
// A record holds the highest attempt number that was refused, withdrawn or
// started. No attempt up to that number starts any more, so a late copy of an
// attempt that was answered "not run" can't run, while a new attempt of the same
// request at the same agent still can.
//
// A record is kept until the request's deadline plus the largest clock error.
// An attempt past its deadline is refused, so no later copy can start. The time
// that callers pass must never go back.
package ledger

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// State is what the ledger knows of a request.
type State int

// States of a request.
const (
	// StateAbsent means that the ledger holds no record.
	StateAbsent State = iota
	// StateAdmitted means that the request was accepted and not yet dispatched.
	StateAdmitted
	// StateDispatched means that the upstream may have received the request.
	StateDispatched
	// StateFinished means that the whole answer is known.
	StateFinished
	// StateOutcomeUnknown means that the request was dispatched and its outcome is unknown.
	StateOutcomeUnknown
	// StateWithdrawn means that the recorded attempt and those before it have
	// not run and never will.
	StateWithdrawn
)

// Outcome returns the answer to a question about a request in this state.
func (s State) Outcome() api.Outcome {
	switch s {
	case StateAdmitted, StateDispatched:
		return api.OutcomeRunning
	case StateFinished:
		return api.OutcomeComplete
	case StateWithdrawn:
		return api.OutcomeNotRun
	default:
		return api.OutcomeUnknown
	}
}

// Attempt names one attempt of a request.
type Attempt struct {
	RequestID string
	// Number counts the attempts of the request from 1.
	Number int
	// Deadline is the request's deadline on the clock that the callers of the
	// ledger pass.
	Deadline time.Time
}

// DispatchResult is what the caller of an upstream learned of a dispatched attempt.
type DispatchResult int

// Endings of a dispatched attempt.
const (
	// ResultUnknown means that the upstream may have run the attempt.
	ResultUnknown DispatchResult = iota
	// ResultAnswered means that the whole answer is known.
	ResultAnswered
	// ResultNotSent means that the attempt did not reach the upstream, or that the
	// upstream refused it before it began.
	ResultNotSent
)

type record struct {
	state    State
	attempt  int
	deadline time.Time
	expiry   time.Time
}

// Ledger is the memory of one agent incarnation.
type Ledger struct {
	// clockError is the largest difference between two hosts' clocks.
	clockError time.Duration
	records    map[string]record
	nextSweep  time.Time
}

// sweepInterval is the time between two removals of expired records.
const sweepInterval = time.Second

// New returns an empty ledger.
func New(clockError time.Duration) *Ledger {
	return &Ledger{clockError: clockError, records: make(map[string]record)}
}

// Len returns the number of records held.
func (l *Ledger) Len() int { return len(l.records) }

// State returns what an attempt finds. A later attempt than the one withdrawn
// finds nothing, and so does a later attempt than a lost one when the work is
// idempotent.
func (l *Ledger) State(a Attempt, idempotent bool) State {
	r := l.records[a.RequestID]
	later := a.Number > r.attempt
	if later && (r.state == StateWithdrawn || r.state == StateOutcomeUnknown && idempotent) {
		return StateAbsent
	}
	return r.state
}

// WithinRetention reports whether a record of the attempt would still be held.
func (l *Ledger) WithinRetention(a Attempt, now time.Time) bool {
	return now.Before(a.Deadline.Add(l.clockError))
}

// Admit records an attempt that is about to be queued for dispatch. The caller
// has seen StateAbsent for it.
func (l *Ledger) Admit(a Attempt, now time.Time) {
	l.sweep(now)
	l.put(a, StateAdmitted)
}

// Reject records an attempt that is refused, so that no copy of it can start.
// The caller has seen StateAbsent for it.
func (l *Ledger) Reject(a Attempt, now time.Time) {
	l.sweep(now)
	if l.records[a.RequestID].state == StateOutcomeUnknown {
		return
	}
	l.put(a, StateWithdrawn)
}

// Dispatch is called right before the attempt is sent to the upstream. It
// reports false, and withdraws the attempt, when it must not be sent any more.
func (l *Ledger) Dispatch(id string, attempt int, now time.Time) bool {
	r := l.records[id]
	if r.state != StateAdmitted || r.attempt != attempt {
		return false
	}
	if !now.Before(r.deadline) {
		l.set(id, StateWithdrawn)
		return false
	}
	l.set(id, StateDispatched)
	return true
}

// RefuseAdmitted ends an admitted attempt that was not dispatched. It reports whether
// the attempt has certainly not run.
func (l *Ledger) RefuseAdmitted(id string, attempt int) bool {
	r := l.records[id]
	if r.attempt != attempt {
		return r.attempt > attempt
	}
	if r.state == StateAdmitted {
		l.set(id, StateWithdrawn)
	}
	return l.records[id].state == StateWithdrawn
}

// Finish records the end of a dispatched attempt.
func (l *Ledger) Finish(id string, attempt int, e DispatchResult) {
	r := l.records[id]
	if r.state != StateDispatched || r.attempt != attempt {
		return
	}
	switch e {
	case ResultAnswered:
		l.set(id, StateFinished)
	case ResultNotSent:
		l.set(id, StateWithdrawn)
	default:
		l.set(id, StateOutcomeUnknown)
	}
}

// Withdraw makes sure that an attempt that was not dispatched never is, and
// returns the state of the attempt afterwards. Asked about an attempt before the
// recorded one, it answers StateOutcomeUnknown, as that attempt's own end is forgotten.
func (l *Ledger) Withdraw(a Attempt, now time.Time) State {
	l.sweep(now)
	r, ok := l.records[a.RequestID]
	switch {
	case !ok && !l.WithinRetention(a, now):
		// A record may have expired, so nothing is known.
		return StateAbsent
	case !ok:
		l.put(a, StateWithdrawn)
		return StateWithdrawn
	case a.Number < r.attempt:
		return StateOutcomeUnknown
	case r.state == StateAdmitted || r.state == StateWithdrawn:
		l.put(a, StateWithdrawn)
		return StateWithdrawn
	default:
		return r.state
	}
}

func (l *Ledger) put(a Attempt, s State) {
	l.records[a.RequestID] = record{
		state:    s,
		attempt:  a.Number,
		deadline: a.Deadline,
		expiry:   a.Deadline.Add(l.clockError),
	}
}

func (l *Ledger) set(id string, s State) {
	r := l.records[id]
	r.state = s
	l.records[id] = r
}

func (l *Ledger) sweep(now time.Time) {
	if now.Before(l.nextSweep) {
		return
	}
	l.nextSweep = now.Add(sweepInterval)
	for id, r := range l.records {
		if !now.Before(r.expiry) && r.state != StateAdmitted && r.state != StateDispatched {
			delete(l.records, id)
		}
	}
}
