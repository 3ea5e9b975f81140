package dispatch

import (
	"fmt"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// Limits of the time after which refused callers should retry.
const (
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter suits callers that wait for at most a third of their remaining time
	// before they retry. Most callers have 8 s in total.
	maxRetryAfter = 2500 * time.Millisecond
	// retryAfterJitter is the largest fraction by which the time is shortened at
	// random, so that callers that are refused together don't retry together.
	retryAfterJitter = 0.4
)

// admissionRefusal returns the refusal of a request that must not be queued, or nil. While
// the service can run requests, those with priority and those that are likely to be on
// time are always queued.
func (d *Dispatcher) admissionRefusal(s *service, r *Request, now time.Time) *problem.Problem {
	if p := d.serviceRefusal(s, now); p != nil {
		return p
	}
	if p := d.statementRefusal(s, r, now); p != nil {
		return p
	}
	if p := d.limitRefusal(s, r, now); p != nil {
		return p
	}
	if r.Priority || s.queues.Len() == 0 {
		return nil
	}
	if !r.FirstPartDeadline.IsZero() && !s.isLate(r, now.Add(s.predictWaitBehind(s.queues.onTime.Len(), now))) {
		return nil
	}
	if wait := s.predictWait(now); wait > d.cfg.MaxQueueTime {
		return d.newRefusal(problem.ReasonOverloaded, wait, s.queueDetail(now))
	}
	return nil
}

// serviceRefusal returns the refusal that applies while no request of a service can run, or
// nil.
func (d *Dispatcher) serviceRefusal(s *service, now time.Time) *problem.Problem {
	if d.limitDivisor == 0 {
		return d.newRefusal(problem.ReasonNotReady, minRetryAfter, "the other entries are not known yet")
	}
	usable, open := false, false
	for _, c := range s.candidates {
		if c.isUsable() {
			usable = true
			open = open || c.groupOpen
		}
	}
	switch {
	case !usable:
		return d.newRefusal(problem.ReasonNoUpstream, maxRetryAfter, s.leavingDetail())
	case !open || s.passes.isStalled(now):
		return d.newRefusal(problem.ReasonGroupStopped, maxRetryAfter, s.passes.stallDetail(open, now))
	default:
		return nil
	}
}

// isLate reports whether a request that is dispatched at a time is likely to miss its
// first-part deadline.
func (s *service) isLate(r *Request, at time.Time) bool {
	return !r.FirstPartDeadline.IsZero() && at.Add(s.typicalFirstPart).After(r.FirstPartDeadline)
}

// predictWait predicts how long a new request would wait at the current dispatch rate.
func (s *service) predictWait(now time.Time) time.Duration {
	return s.predictWaitBehind(s.queues.Len(), now)
}

// predictWaitBehind predicts how long a request waits that has some others before it. The
// rate per second is the larger of the number of dispatches in the last sendWindow, which
// is slightly longer than a second, and of the rate at which the running requests end by
// their typical duration. Without either, the prediction is 0.
func (s *service) predictWaitBehind(others int, now time.Time) time.Duration {
	perSecond := float64(s.dispatched.Count(now))
	if s.typicalDuration > 0 {
		running := 0
		for _, c := range s.candidates {
			running += c.ownAttempts.current
		}
		perSecond = max(perSecond, float64(running)/s.typicalDuration.Seconds())
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(others+1) / perSecond * float64(time.Second))
}

// queueDetail describes the numbers behind the predicted wait.
func (s *service) queueDetail(now time.Time) string {
	return fmt.Sprintf("%d requests wait, %d were sent on in the last second, predicted wait %d ms",
		s.queues.Len(), s.dispatched.Count(now), s.predictWait(now).Milliseconds())
}

// newRefusal returns a refusal with the time after which to retry.
func (d *Dispatcher) newRefusal(reason problem.Reason, wait time.Duration, detail string) *problem.Problem {
	wait = min(maxRetryAfter, max(minRetryAfter, wait))
	spread := 1 - retryAfterJitter*d.rand.Float64()
	return problem.New(reason, detail).WithRetryAfter(time.Duration(spread * float64(wait)))
}
