// Package ledger remembers which requests an agent has seen, so that a request
// starts at most once at the agent and a "not run" answer is never followed by
// a start. It is pure: callers pass the time, and serialise the calls.
//
// A record is kept until the request's deadline plus the largest clock error.
// An attempt past its deadline is refused, so no later copy can start.
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
	// StateLost means that the request was dispatched and its outcome is unknown.
	StateLost
	// StateWithdrawn means that the request has not run and never will.
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

type record struct {
	state  State
	expiry time.Time
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

// State returns the state of a request.
func (l *Ledger) State(id string) State { return l.records[id].state }

// Admit records a request that is about to be queued for dispatch. It reports
// false when the request is already known or its deadline has passed.
func (l *Ledger) Admit(id string, deadline, now time.Time) bool {
	l.sweep(now)
	if !now.Before(deadline) || l.records[id].state != StateAbsent {
		return false
	}
	l.records[id] = record{state: StateAdmitted, expiry: deadline.Add(l.clockError)}
	return true
}

// Dispatch is called right before the request is sent to the upstream. It
// reports false, and withdraws the request, when it must not be sent any more.
func (l *Ledger) Dispatch(id string, deadline, now time.Time) bool {
	if l.records[id].state != StateAdmitted {
		return false
	}
	if !now.Before(deadline) {
		l.set(id, StateWithdrawn)
		return false
	}
	l.set(id, StateDispatched)
	return true
}

// Refuse ends an admitted request that was not dispatched. It reports whether
// the request has certainly not run.
func (l *Ledger) Refuse(id string) bool {
	if l.records[id].state == StateAdmitted {
		l.set(id, StateWithdrawn)
	}
	return l.records[id].state == StateWithdrawn
}

// Finish records the end of a dispatched request. known is false when the
// upstream's outcome is unknown.
func (l *Ledger) Finish(id string, known bool) {
	if l.records[id].state != StateDispatched {
		return
	}
	if known {
		l.set(id, StateFinished)
		return
	}
	l.set(id, StateLost)
}

// Withdraw makes sure that a request that was not dispatched never is, and
// returns the state of the request afterwards.
func (l *Ledger) Withdraw(id string, deadline, now time.Time) State {
	l.sweep(now)
	r, ok := l.records[id]
	if !ok {
		if !now.Before(deadline.Add(l.clockError)) {
			// A record may have expired, so nothing is known.
			return StateAbsent
		}
		l.records[id] = record{state: StateWithdrawn, expiry: deadline.Add(l.clockError)}
		return StateWithdrawn
	}
	if r.state == StateAdmitted {
		l.set(id, StateWithdrawn)
	}
	return l.records[id].state
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
