package storeview

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/clock"
)

const testSlack = 600 * time.Millisecond

func (v *Views) withBound(kind string, bound time.Duration) *Views {
	v.SetBound(kind, func() time.Duration { return bound })
	return v
}

// TestViewWithoutBoundWaitsLong checks that only views with a bound cost short calls.
func TestViewWithoutBoundWaitsLong(t *testing.T) {
	v := New(0).withBound("bounded", 5*time.Second)
	if got := v.WaitTime("free", testSlack, 20*time.Second, clock.BootTime(time.Hour)); got != 20*time.Second {
		t.Errorf("a view without a bound waits for %v", got)
	}
	if got := v.WaitTime("bounded", testSlack, time.Second, 0); got != time.Second {
		t.Errorf("a wait time of %v, above its limit", got)
	}
	if s := v.State("free", clock.BootTime(time.Hour)); !s.IsCurrent() {
		t.Error("a view without a bound is not current")
	}
}

// TestOldViewIsProvedAtOnce guards against a process that was frozen and relies on its view
// for a whole wait time, or counts as outdated for as long.
func TestOldViewIsProvedAtOnce(t *testing.T) {
	v := New(0).withBound("k", 5*time.Second)
	v.Prove("k", clock.BootTime(time.Second))
	v.Prove("k", 0)
	now := clock.BootTime(6 * time.Second)
	if s := v.State("k", now); s.Age != 5*time.Second || !s.IsCurrent() {
		t.Errorf("state %+v, want an age of 5 s", s)
	}
	if got := v.WaitTime("k", testSlack, time.Minute, now+1); got > 10*time.Millisecond {
		t.Errorf("an old view is proved after %v", got)
	}
}

// simulatedWatch is a process that watches one kind. The answer to each call may be lost, and
// late.
type simulatedWatch struct {
	views *Views
	r     *rand.Rand
	// lost reports whether an answer that is due at a time is lost.
	lost func(at clock.BootTime) bool
	// maxDelay is how late an answer may be.
	maxDelay time.Duration
	// changes are the times of the changes, known how many of them the process knows.
	changes []clock.BootTime
	known   int
}

// call makes a watch call at a time and returns when it ends.
func (w *simulatedWatch) call(now clock.BootTime) clock.BootTime {
	wait := w.views.WaitTime("k", testSlack, 20*time.Second, now)
	due := now + clock.BootTime(wait)
	if w.known < len(w.changes) && w.changes[w.known] < due {
		due = max(now, w.changes[w.known])
	}
	arrives := due + clock.BootTime(w.r.Int64N(int64(w.maxDelay)+1))
	givenUp := now + clock.BootTime(wait+testSlack)
	if w.lost(due) || arrives > givenUp {
		return givenUp + clock.BootTime(30*time.Millisecond)
	}
	for w.known < len(w.changes) && w.changes[w.known] <= due {
		w.known++
	}
	w.views.Prove("k", now)
	return arrives
}

// TestLostAnswersDoNotHideChanges plays schedules of changes, lost answers, late answers and
// freezes for the bounds of all views. A single lost answer must not make a view older than
// its bound; after several in a row every change must be known a bound after the last one,
// and be known to be unproven meanwhile.
func TestLostAnswersDoNotHideChanges(t *testing.T) {
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 1))
		bound := []time.Duration{4500 * time.Millisecond, 5 * time.Second, 7 * time.Second, 10 * time.Second}[r.IntN(4)]
		end := clock.BootTime(2 * time.Minute)
		single := r.IntN(2) == 0
		var lostFrom, lostUntil, lastLost clock.BootTime
		w := &simulatedWatch{views: New(0).withBound("k", bound), r: r, maxDelay: []time.Duration{5 * time.Millisecond, 250 * time.Millisecond}[r.IntN(2)]}
		for at := clock.BootTime(0); at < end; at += clock.BootTime(r.Int64N(int64(8 * time.Second))) {
			w.changes = append(w.changes, at)
		}
		w.lost = func(at clock.BootTime) bool {
			if single && at-lastLost > clock.BootTime(2*bound) && r.IntN(4) == 0 {
				lastLost = at
				return true
			}
			if !single && at > lostUntil+clock.BootTime(2*bound) && r.IntN(8) == 0 {
				lostFrom, lostUntil = at, at+clock.BootTime(r.Int64N(int64(12*time.Second)))
			}
			return !single && at >= lostFrom && at < lostUntil
		}
		frozenUntil := clock.BootTime(0)
		for now := clock.BootTime(0); now < end; {
			next := w.call(now)
			if r.IntN(20) == 0 {
				next += clock.BootTime(r.Int64N(int64(10 * time.Second)))
				frozenUntil = next
			}
			excusedUntil := frozenUntil + clock.BootTime(testSlack+time.Second)
			if !single {
				excusedUntil = max(excusedUntil, lostUntil+clock.BootTime(bound))
			}
			now = next
			if now <= excusedUntil {
				continue
			}
			if age := w.views.State("k", now).Age; age > bound {
				t.Fatalf("seed %d: the view is %v old at %v, bound %v", seed, age, now, bound)
			}
			if w.known < len(w.changes) && now-w.changes[w.known] > clock.BootTime(bound) {
				t.Fatalf("seed %d: the change of %v is unknown at %v, bound %v", seed, w.changes[w.known], now, bound)
			}
		}
	}
}
