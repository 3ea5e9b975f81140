package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// line holds the admitted attempts that wait for room: priority work first, then
// by virtual time, then in order of arrival.
type line []waiting

// waiting is one attempt in the line.
type waiting struct {
	id       string
	priority bool
	virtual  float64
	deadline time.Time
}

func compareWaiting(a, b waiting) int {
	if a.priority != b.priority {
		if a.priority {
			return -1
		}
		return 1
	}
	if a.priority {
		return 0
	}
	return cmp.Compare(a.virtual, b.virtual)
}

// add puts an attempt in its place.
func (l *line) add(a *api.AttemptRequest) {
	w := waiting{id: a.RequestID, priority: a.Priority, virtual: a.Virtual, deadline: time.UnixMilli(a.DeadlineUnixMilli)}
	i := len(*l)
	for i > 0 && compareWaiting(w, (*l)[i-1]) < 0 {
		i--
	}
	*l = slices.Insert(*l, i, w)
}

// remove takes an attempt out. It reports whether it was in the line.
func (l *line) remove(id string) bool {
	i := slices.IndexFunc(*l, func(w waiting) bool { return w.id == id })
	if i < 0 {
		return false
	}
	*l = slices.Delete(*l, i, i+1)
	return true
}

// QueueResult says what becomes of the attempts that wait in the line.
type QueueResult struct {
	// Start lists the requests that have room now.
	Start []string
	// Refuse lists the requests that won't run here.
	Refuse []RefusedAttempt
}

// RefusedAttempt is an attempt that left the line without having run.
type RefusedAttempt struct {
	RequestID string
	Reason    problem.Reason
}

// ProcessQueue gives free room to waiting attempts, and refuses those past their
// deadline. A closed gate refuses all of them.
func (g *Gate) ProcessQueue(now time.Time) QueueResult {
	var t QueueResult
	reason, closed := g.closed()
	now = g.clock.at(now)
	g.line = slices.DeleteFunc(g.line, func(w waiting) bool {
		switch {
		case closed:
			t.Refuse = append(t.Refuse, RefusedAttempt{w.id, reason})
		case !now.Before(w.deadline):
			t.Refuse = append(t.Refuse, RefusedAttempt{w.id, problem.ReasonDeadlineExceeded})
		default:
			return false
		}
		return true
	})
	for len(g.line) > 0 && g.hasRoom(g.line[0].priority) {
		w := g.line[0]
		g.line = slices.Delete(g.line, 0, 1)
		g.start(w.virtual, w.priority)
		t.Start = append(t.Start, w.id)
	}
	return t
}

// RemoveQueued takes a waiting attempt out of the line. It reports false when the
// attempt has got room already.
func (g *Gate) RemoveQueued(id string) bool { return g.line.remove(id) }

// hasRoom reports whether one more attempt may run.
func (g *Gate) hasRoom(priority bool) bool {
	if priority {
		return g.running < g.limiter.Limit()
	}
	return g.running < g.limiter.Limit()-g.reserved()
}

// reserved returns the part of the limit that only priority work may use. At
// least one request of other work may always run.
func (g *Gate) reserved() int {
	return max(0, min(g.cfg.Reserved, g.limiter.Limit()-1))
}

// start gives room to an attempt.
func (g *Gate) start(virtual float64, priority bool) {
	g.running++
	if !priority {
		g.virtual = max(g.virtual, virtual)
	}
}
