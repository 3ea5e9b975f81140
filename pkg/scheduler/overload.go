package scheduler

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// runTime is the moving average of the time from the dispatch of a request to its end.
type runTime struct{ mean time.Duration }

// runTimeWeight is the weight of the latest request in the moving average.
const runTimeWeight = 0.05

func (t *runTime) observe(took time.Duration) {
	if t.mean == 0 {
		t.mean = took
	}
	t.mean += time.Duration(runTimeWeight * float64(took-t.mean))
}

// waitMargin returns the allowance for the error of an estimated wait.
func waitMargin(wait time.Duration) time.Duration { return wait / 10 }

// refusal returns why a request must not be queued, or nil.
func (s *Scheduler) refusal(svc *service, r *Request, now time.Time) *problem.Problem {
	if s.lacksUpstream(svc, now) {
		return problem.New(problem.ReasonNoUpstream, "")
	}
	waiting := svc.queue.WaitingCount(r.Organisation)
	full := s.cfg.MaxWaitingTotal > 0 && svc.queue.Len() >= s.cfg.MaxWaitingTotal && waiting > 0
	if full || waiting >= s.cfg.MaxWaiting {
		wait := svc.queue.EstimateWait(r.Organisation, r.Weight, now)
		return problem.New(problem.ReasonQueueFull, "").WithRetryAfter(max(time.Second, wait))
	}
	return svc.overloadRefusal(r, now)
}

// overloadRefusal refuses a request whose response would not be complete by its
// deadline, with the time until the queue will be short enough. A request is never
// refused while its organisation has no other request waiting.
func (svc *service) overloadRefusal(r *Request, now time.Time) *problem.Problem {
	if r.Priority {
		return nil
	}
	wait := svc.queue.EstimateWait(r.Organisation, r.Weight, now)
	if wait == 0 {
		return nil
	}
	left := r.Deadline.Sub(now)
	late := wait + waitMargin(wait) + svc.runTime.mean - left
	if late <= 0 {
		return nil
	}
	return problem.New(problem.ReasonOverloaded, "").WithRetryAfter(late)
}
