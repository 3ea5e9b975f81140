package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/statement"
)

// pauseReturnSpread is the longest time by which the stated end of a pause is delayed at
// random, so that callers that are refused together don't return together.
const pauseReturnSpread = 500 * time.Millisecond

// Statements returns what upstreams state about themselves, apart from their limits.
func (d *Dispatcher) Statements() *statement.Table { return d.statements }

// ObserveStatement records that an upstream states that it is leaving or wants no requests for
// some time. It returns what that has changed, and the decisions that follow.
func (d *Dispatcher) ObserveStatement(st *statement.Statement, now time.Time) (statement.Change, []Decision) {
	change := d.statements.Observe(st)
	if change == (statement.Change{}) {
		return change, nil
	}
	s := d.service(st.Service)
	for _, c := range s.candidates {
		if c.limitKey() == st.Key {
			c.applyStatements(d.statements)
		}
	}
	return change, d.dispatch(s, now)
}

// applyStatements applies what the candidate has stated.
func (c *candidate) applyStatements(t *statement.Table) {
	c.Draining = c.Draining || t.IsLeaving(c.limitKey())
	c.pausedUntil = t.PausedUntil(c.limitKey())
}

// recordDraining records that the candidate is draining, and why.
func (c *candidate) recordDraining(source statement.Source, now time.Time) {
	if c.drainingSince.IsZero() && !c.Draining {
		c.drainingSince, c.drainingSource = now, source
	}
	c.Draining = true
}

// UpstreamStates returns the states of the upstreams that get no or few requests because they
// are draining or want none, ordered by service and upstream.
func (d *Dispatcher) UpstreamStates(now time.Time) []statement.State {
	list := d.statements.States(now)
	for _, s := range d.services {
		for _, c := range s.candidates {
			if c.drainingSince.IsZero() || d.statements.IsLeaving(c.limitKey()) {
				continue
			}
			list = append(list, statement.State{
				Key: c.limitKey(), Service: c.Service, State: statement.StateLeaving, Source: c.drainingSource,
				SinceSeconds: now.Sub(c.drainingSince).Seconds(), Listed: true,
			})
		}
	}
	slices.SortFunc(list, func(a, b statement.State) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.State, b.State))
	})
	return list
}

// isPaused reports whether the candidate wants no requests now.
func (c *candidate) isPaused(now time.Time) bool { return now.Before(c.pausedUntil) }

// allowsAfterPause reports whether the pause of a candidate, if it had one, allows a request.
func (d *Dispatcher) allowsAfterPause(c *candidate, now time.Time) bool {
	return c.pausedUntil.IsZero() || d.statements.Allows(c.limitKey(), now)
}

// statementRefusal returns the refusal of a request if all upstreams that could take it are
// leaving or paused, and otherwise nil. A request that was tried before waits for the end of a
// pause if it has the time, as its caller may have received a part of the response.
func (d *Dispatcher) statementRefusal(s *service, r *Request, now time.Time) *problem.Problem {
	if d.statements.IsEmpty() {
		return nil
	}
	leaving, paused := 0, 0
	var end time.Time
	for _, c := range s.candidates {
		switch {
		case slices.Contains(r.TriedUpstreams, c.ID):
		case c.Draining:
			leaving++
		case !c.isUsable() || !c.groupOpen:
		case c.isPaused(now):
			paused++
			if end.IsZero() || c.pausedUntil.Before(end) {
				end = c.pausedUntil
			}
		default:
			return nil
		}
	}
	switch {
	case paused > 0 && len(r.TriedUpstreams) > 0 && end.Sub(now) < d.cfg.MaxQueueTime && end.Before(r.Deadline):
		return nil
	case paused > 0:
		wait := end.Sub(now)
		detail := fmt.Sprintf("%d upstreams want no requests, the first of them for %d ms more; %d are leaving", paused, wait.Milliseconds(), leaving)
		delay := time.Duration(d.rand.Float64() * float64(pauseReturnSpread))
		return problem.New(problem.ReasonUpstreamPaused, detail).WithRetryAfter(max(minRetryAfter, wait) + delay)
	case leaving > 0:
		return d.newRefusal(problem.ReasonNoUpstream, maxRetryAfter, s.leavingDetail())
	default:
		return nil
	}
}

// leavingDetail describes how many upstreams there are and how many of them are leaving.
func (s *service) leavingDetail() string {
	leaving := 0
	for _, c := range s.candidates {
		if c.Draining {
			leaving++
		}
	}
	return fmt.Sprintf("%d upstreams are listed, %d of them are leaving", len(s.candidates), leaving)
}

// removeUnservable removes and returns the waiting requests that no upstream will take because
// of what the upstreams have stated.
func (d *Dispatcher) removeUnservable(s *service, now time.Time) []Decision {
	if d.statements.IsEmpty() {
		return nil
	}
	refusals := make(map[string]*problem.Problem)
	removed := s.queues.removeIf(func(id string) bool {
		refusals[id] = d.statementRefusal(s, s.waiting[id], now)
		return refusals[id] != nil
	})
	decisions := make([]Decision, 0, len(removed))
	for _, it := range removed {
		delete(s.waiting, it.ID)
		decisions = append(decisions, Decision{ID: it.ID, Refusal: refusals[it.ID]})
	}
	return decisions
}
