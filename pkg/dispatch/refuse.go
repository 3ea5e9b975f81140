package dispatch

import (
	"fmt"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// Bounds of the times after which refused callers come back.
const (
	// leastReturn and mostReturn bound the time. Callers wait for a third of the
	// time that they have left at most, and most of them have 8 s.
	leastReturn = 200 * time.Millisecond
	mostReturn  = 2500 * time.Millisecond
	// returnSpread spreads callers that are refused together, as a part of the
	// time.
	returnSpread = 0.4
)

// refusal returns why a request must not wait, or nil.
func (d *Dispatcher) refusal(s *service, r *Request, now time.Time) *problem.Problem {
	if p := d.blocked(s, now); p != nil {
		return p
	}
	if r.Priority || s.lanes.Len() == 0 {
		return nil
	}
	if !r.FirstPartDeadline.IsZero() && !s.late(r, now.Add(s.waitBehind(s.lanes.prompt.Len(), now))) {
		return nil
	}
	if wait := s.wait(now); wait > d.cfg.MaxWait {
		return d.later(problem.ReasonOverloaded, wait, s.queueText(now))
	}
	return nil
}

// blocked returns why nothing of a service can run now, or nil.
func (d *Dispatcher) blocked(s *service, now time.Time) *problem.Problem {
	if d.parts == 0 {
		return d.later(problem.ReasonNotReady, leastReturn, "the other entries are not known yet")
	}
	usable, open := false, false
	for _, c := range s.candidates {
		if c.usable() {
			usable = true
			open = open || c.open
		}
	}
	switch {
	case !usable:
		return d.later(problem.ReasonNoUpstream, mostReturn, fmt.Sprintf("%d upstreams are listed", len(s.candidates)))
	case !open || s.pulse.still(now):
		return d.later(problem.ReasonGroupStopped, mostReturn, s.pulse.text(open, now))
	default:
		return nil
	}
}

// late reports whether a request that is sent on at a time is likely to be late.
func (s *service) late(r *Request, at time.Time) bool {
	return !r.FirstPartDeadline.IsZero() && at.Add(s.first).After(r.FirstPartDeadline)
}

// wait predicts how long a request that comes now would wait, as the queue drains
// now.
func (s *service) wait(now time.Time) time.Duration { return s.waitBehind(s.lanes.Len(), now) }

// waitBehind predicts how long a request waits that has some others before it.
func (s *service) waitBehind(others int, now time.Time) time.Duration {
	perSecond := float64(s.granted.Count(now))
	if s.typical > 0 {
		running := 0
		for _, c := range s.candidates {
			running += c.own.now
		}
		perSecond = max(perSecond, float64(running)/s.typical.Seconds())
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(others+1) / perSecond * float64(time.Second))
}

// queueText says what the predicted wait follows from.
func (s *service) queueText(now time.Time) string {
	return fmt.Sprintf("%d requests wait, %d were sent on in the last second, predicted wait %d ms",
		s.lanes.Len(), s.granted.Count(now), s.wait(now).Milliseconds())
}

// later returns a refusal with the time after which to come back.
func (d *Dispatcher) later(reason problem.Reason, wait time.Duration, detail string) *problem.Problem {
	wait = min(mostReturn, max(leastReturn, wait))
	spread := 1 - returnSpread*d.rand.Float64()
	return problem.New(reason, detail).WithRetryAfter(time.Duration(spread * float64(wait)))
}
