// Package ledger records the requests that an agent has received, so that work that
// is not idempotent starts at most once at the agent, and no attempt starts after
// the agent reported it as "not run". It does no I/O and reads no clock: callers
// pass the time, and serialise the calls.
//
// A record holds the highest attempt number that was refused, withdrawn, started or
// given the response of a started one. Attempts up to that number can no longer
// start. A delayed copy of an attempt that was reported as "not run" therefore can't
// run, while a new attempt of the same request at the same agent still can. A new
// attempt of idempotent work can also start when the outcome of an earlier one is
// unknown. The record then keeps the number of the earlier one, whose outcome stays
// unknown whatever happens to the new one.
//
// A record is kept until the request's deadline plus the largest clock error.
// An attempt past its deadline is refused, so that no copy can start after the
// record was removed. The time that callers pass must never go back.
package ledger

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// State is the recorded state of a request.
type State int

// States of a request.
const (
	// StateAbsent means that the ledger holds no record.
	StateAbsent State = iota
	// StateAdmitted means that the request was accepted and not yet dispatched.
	StateAdmitted
	// StateDispatched means that the upstream may have received the request.
	StateDispatched
	// StateFinished means that the whole response was received.
	StateFinished
	// StateOutcomeUnknown means that the request was dispatched and its outcome is unknown.
	StateOutcomeUnknown
	// StateWithdrawn means that the recorded attempt has not run and never will.
	StateWithdrawn
)

// Outcome returns the outcome to report for a request in this state.
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

// Attempt identifies one attempt of a request.
type Attempt struct {
	RequestID string
	// Number counts the attempts of the request from 1.
	Number int
	// Deadline is the request's deadline on the clock from which callers pass the
	// time.
	Deadline time.Time
}

// DispatchResult is the result of a dispatched attempt.
type DispatchResult int

// Results of a dispatched attempt.
const (
	// ResultUnknown means that the upstream may have run the attempt.
	ResultUnknown DispatchResult = iota
	// ResultAnswered means that the whole response was received.
	ResultAnswered
	// ResultNotRun means that the attempt did not reach the upstream, or that the
	// upstream refused it before starting it.
	ResultNotRun
)

type record struct {
	state   State
	attempt int
	// joined is the highest later attempt that receives the outcome of the recorded one,
	// and 0 if none does.
	joined int
	// unknownUpTo is the highest attempt before the recorded one whose outcome is
	// unknown, and 0 if none is.
	unknownUpTo int
	deadline    time.Time
	expiry      time.Time
}

// Ledger holds the records of one agent incarnation.
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

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// lastAttempt returns the highest attempt to which the state applies.
func (r *record) lastAttempt() int { return max(r.attempt, r.joined) }

// State returns the state that applies to an attempt. It is StateAbsent for an
// attempt later than a withdrawn one and, if the work is idempotent, for an attempt
// later than one whose outcome is unknown. The state of an attempt whose outcome is
// unknown does not change with those of later ones.
func (l *Ledger) State(a Attempt, idempotent bool) State {
	r := l.records[a.RequestID]
	if r.unknownUpTo > 0 && a.Number <= r.unknownUpTo {
		return StateOutcomeUnknown
	}
	if a.Number <= r.lastAttempt() {
		return r.state
	}
	isUnknown := r.state == StateOutcomeUnknown || r.state == StateWithdrawn && r.unknownUpTo > 0
	switch {
	case isUnknown && !idempotent:
		return StateOutcomeUnknown
	case isUnknown, r.state == StateWithdrawn:
		return StateAbsent
	default:
		return r.state
	}
}

// WithinRetention reports whether a record of the attempt would still be held.
func (l *Ledger) WithinRetention(a Attempt, now time.Time) bool {
	return now.Before(a.Deadline.Add(l.clockError))
}

// Admit records an attempt that is about to be queued for dispatch. Its state must
// be StateAbsent.
func (l *Ledger) Admit(a Attempt, now time.Time) {
	l.sweep(now)
	l.setRecord(a, StateAdmitted)
}

// Join records an attempt that receives the outcome of the recorded one, so that no
// copy of it can start afterwards.
func (l *Ledger) Join(a Attempt) {
	r, ok := l.records[a.RequestID]
	if !ok {
		return
	}
	r.joined = max(r.joined, a.Number)
	l.records[a.RequestID] = r
}

// Reject records an attempt that is refused, so that no copy of it can start. Its
// state must be StateAbsent.
func (l *Ledger) Reject(a Attempt, now time.Time) {
	l.sweep(now)
	l.setRecord(a, StateWithdrawn)
}

// Dispatch records that an attempt is about to be sent to the upstream. It reports
// false when the attempt must not be sent: it is not admitted, or its deadline has
// passed, in which case it is withdrawn.
func (l *Ledger) Dispatch(id string, attempt int, now time.Time) bool {
	r := l.records[id]
	if r.state != StateAdmitted || r.attempt != attempt {
		return false
	}
	if !now.Before(r.deadline) {
		l.setState(id, StateWithdrawn)
		return false
	}
	l.setState(id, StateDispatched)
	return true
}

// RefuseAdmitted withdraws an admitted attempt that was not dispatched. It reports
// whether the attempt has certainly not run.
func (l *Ledger) RefuseAdmitted(id string, attempt int) bool {
	r := l.records[id]
	if r.attempt != attempt {
		return r.attempt > attempt && attempt > r.unknownUpTo
	}
	if r.state == StateAdmitted {
		l.setState(id, StateWithdrawn)
	}
	return l.records[id].state == StateWithdrawn
}

// Finish records the result of a dispatched attempt.
func (l *Ledger) Finish(id string, attempt int, result DispatchResult) {
	r := l.records[id]
	if r.state != StateDispatched || r.attempt != attempt {
		return
	}
	switch result {
	case ResultAnswered:
		l.setState(id, StateFinished)
	case ResultNotRun:
		l.setState(id, StateWithdrawn)
	default:
		l.setState(id, StateOutcomeUnknown)
	}
}

// Withdraw ensures that an attempt that was not dispatched never is, and returns the
// state of the attempt afterwards. For an attempt earlier than the recorded one it
// returns StateOutcomeUnknown, because the record no longer holds that attempt's
// result.
func (l *Ledger) Withdraw(a Attempt, now time.Time) State {
	l.sweep(now)
	r, ok := l.records[a.RequestID]
	switch {
	case !ok && !l.WithinRetention(a, now):
		// A record may have existed and expired.
		return StateAbsent
	case !ok:
		l.setRecord(a, StateWithdrawn)
		return StateWithdrawn
	case a.Number < r.attempt:
		return StateOutcomeUnknown
	case r.state == StateAdmitted || r.state == StateWithdrawn:
		a.Number = max(a.Number, r.lastAttempt())
		l.setRecord(a, StateWithdrawn)
		return StateWithdrawn
	default:
		return r.state
	}
}

// setRecord replaces the record of the request by one of a later attempt.
func (l *Ledger) setRecord(a Attempt, s State) {
	previous := l.records[a.RequestID]
	unknownUpTo := previous.unknownUpTo
	if previous.state == StateOutcomeUnknown {
		unknownUpTo = previous.lastAttempt()
	}
	l.records[a.RequestID] = record{
		state:       s,
		attempt:     a.Number,
		unknownUpTo: unknownUpTo,
		deadline:    a.Deadline,
		expiry:      a.Deadline.Add(l.clockError),
	}
}

func (l *Ledger) setState(id string, s State) {
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
