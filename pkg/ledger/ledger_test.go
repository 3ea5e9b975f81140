package ledger

import (
	"fmt"
	"testing"
	"time"
)

func TestRecordsExpireAfterTheirDeadline(t *testing.T) {
	const clockError = 500 * time.Millisecond
	now := time.UnixMilli(1_800_000_000_000)
	l := New(clockError)
	maxLen := 0
	for i := range 10_000 {
		now = now.Add(time.Millisecond)
		a := Attempt{RequestID: fmt.Sprint(i), Number: 1, Deadline: now.Add(time.Second)}
		switch i % 3 {
		case 0:
			l.Admit(a, now)
			l.Dispatch(a.RequestID, 1, now)
			l.Finish(a.RequestID, 1, ResultAnswered)
		case 1:
			l.Reject(a, now)
		default:
			l.Withdraw(a, now)
		}
		maxLen = max(maxLen, l.Len())
	}
	// One record a millisecond is kept for the deadline, the clock error and one
	// sweep interval.
	if limit := int((time.Second + clockError + sweepInterval) / time.Millisecond); maxLen > limit {
		t.Errorf("%d records, want at most %d", maxLen, limit)
	}
}

func TestLaterAttemptStartsAndEarlierCopiesDoNot(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	attempt := func(n int) Attempt {
		return Attempt{RequestID: "r", Number: n, Deadline: now.Add(time.Second)}
	}
	l := New(time.Second)
	l.Reject(attempt(1), now)
	if l.State(attempt(1), false) != StateWithdrawn || l.State(attempt(2), false) != StateAbsent {
		t.Fatal("a refused attempt can start again, or blocks the next one")
	}
	l.Admit(attempt(2), now)
	if l.Withdraw(attempt(1), now) != StateOutcomeUnknown || l.State(attempt(2), false) != StateAdmitted {
		t.Fatal("withdrawing an earlier attempt withdrew the current one")
	}
	if !l.RefuseAdmitted("r", 1) || !l.Dispatch("r", 2, now) || l.RefuseAdmitted("r", 2) {
		t.Fatal("refusing an earlier attempt ended the current one, or a dispatched attempt was reported as not run")
	}
}

func TestRefusedAttemptDoesNotStartAfterOneWithUnknownOutcome(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	attempt := func(n int) Attempt {
		return Attempt{RequestID: "r", Number: n, Deadline: now.Add(time.Second)}
	}
	for name, refuse := range map[string]func(l *Ledger){
		"rejected": func(l *Ledger) { l.Reject(attempt(2), now) },
		"refused after admission": func(l *Ledger) {
			l.Admit(attempt(2), now)
			l.RefuseAdmitted("r", 2)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := New(time.Second)
			l.Admit(attempt(1), now)
			l.Dispatch("r", 1, now)
			l.Finish("r", 1, ResultUnknown)
			refuse(l)
			if got := l.State(attempt(2), true); got != StateWithdrawn {
				t.Errorf("a copy of the refused attempt has state %d, want withdrawn", got)
			}
			if got := l.State(attempt(1), true); got != StateOutcomeUnknown {
				t.Errorf("a copy of the first attempt has state %d, want outcome unknown", got)
			}
			if got := l.Withdraw(attempt(1), now); got != StateOutcomeUnknown {
				t.Errorf("withdrawing the first attempt returned state %d, want outcome unknown", got)
			}
			if l.RefuseAdmitted("r", 1) {
				t.Error("the first attempt is reported as not run")
			}
			if got := l.Withdraw(attempt(2), now); got != StateWithdrawn {
				t.Errorf("withdrawing the refused attempt returned state %d, want withdrawn", got)
			}
			if got := l.State(attempt(1), true); got != StateOutcomeUnknown {
				t.Errorf("after the withdrawal, a copy of the first attempt has state %d, want outcome unknown", got)
			}
			if got := l.State(attempt(3), true); got != StateAbsent {
				t.Errorf("the next attempt has state %d, want absent", got)
			}
			if got := l.State(attempt(3), false); got != StateOutcomeUnknown {
				t.Errorf("the next attempt of work that is not idempotent has state %d, want outcome unknown", got)
			}
		})
	}
}

func TestJoinedAttemptDoesNotStartAfterItsOutcome(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	attempt := func(n int) Attempt {
		return Attempt{RequestID: "r", Number: n, Deadline: now.Add(time.Second)}
	}
	for name, end := range map[string]func(l *Ledger){
		"refused":   func(l *Ledger) { l.RefuseAdmitted("r", 1) },
		"withdrawn": func(l *Ledger) { l.Withdraw(attempt(1), now) },
	} {
		t.Run(name, func(t *testing.T) {
			l := New(time.Second)
			l.Admit(attempt(1), now)
			l.Join(attempt(2))
			end(l)
			if got := l.State(attempt(2), true); got != StateWithdrawn {
				t.Errorf("a copy of the joined attempt has state %d, want withdrawn", got)
			}
			if got := l.State(attempt(3), true); got != StateAbsent {
				t.Errorf("the next attempt has state %d, want absent", got)
			}
			if l.Dispatch("r", 1, now) {
				t.Error("the first attempt is dispatched after its end")
			}
		})
	}
}
