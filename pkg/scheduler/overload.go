package scheduler

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// runTime is the typical time from the grant of a request to its end.
type runTime struct{ typical time.Duration }

// runTimeWeight is the weight of the latest request in the typical time.
const runTimeWeight = 0.05

func (t *runTime) observe(took time.Duration) {
	if t.typical == 0 {
		t.typical = took
	}
	t.typical += time.Duration(runTimeWeight * float64(took-t.typical))
}

// waitMargin allows for the error of a predicted wait.
func waitMargin(wait time.Duration) time.Duration { return wait / 10 }

// refusal returns why a request must not wait, or nil.
func (s *Scheduler) refusal(svc *service, r *Request, now time.Time) *problem.Problem {
	if s.absent(svc, now) {
		return problem.New(problem.ReasonNoUpstream, "")
	}
	waiting := svc.queue.WaitingCount(r.Organisation)
	full := s.cfg.MaxWaitingTotal > 0 && svc.queue.Len() >= s.cfg.MaxWaitingTotal && waiting > 0
	if full || waiting >= s.cfg.MaxWaiting {
		wait := svc.queue.EstimateWait(r.Organisation, r.Weight, now)
		return problem.New(problem.ReasonQueueFull, "").WithRetryAfter(max(time.Second, wait))
	}
	return svc.overload(r, now)
}

// overload refuses a request whose answer would not be whole by its deadline,
// with the time after which the queue will have drained enough. A request that
// finds none of its organisation waiting is never refused.
func (svc *service) overload(r *Request, now time.Time) *problem.Problem {
	if r.Priority {
		return nil
	}
	wait := svc.queue.EstimateWait(r.Organisation, r.Weight, now)
	if wait == 0 {
		return nil
	}
	left := r.Deadline.Sub(now)
	late := wait + waitMargin(wait) + svc.runTime.typical - left
	if late <= 0 {
		return nil
	}
	return problem.New(problem.ReasonOverloaded, "").WithRetryAfter(late)
}
