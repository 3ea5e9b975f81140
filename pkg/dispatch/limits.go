package dispatch

import (
	"fmt"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/sendlimit"
)

// maxLimitRetryAfter limits the stated time until limited upstreams take a request. It is
// above maxRetryAfter, as no other entry has more to send.
const maxLimitRetryAfter = time.Minute

// limitReturnTime is how long after the stated time a refused caller is expected back.
const limitReturnTime = 500 * time.Millisecond

func (u *Upstream) limitKey() sendlimit.Key {
	return sendlimit.Key{Upstream: u.ID, Incarnation: u.Incarnation}
}

// Limits returns the limits that upstreams name.
func (d *Dispatcher) Limits() *sendlimit.Table { return d.limits }

// SentLastSecond returns how many attempts this entry has sent to an upstream within about
// a second.
func (d *Dispatcher) SentLastSecond(service, upstream string, now time.Time) int {
	for _, c := range d.service(service).candidates {
		if c.ID == upstream {
			return c.recentSends.Count(now)
		}
	}
	return 0
}

// limitedRate returns the requests per second that this entry may send to a service's
// upstreams, and how many at once, if all usable ones name a limit.
func (d *Dispatcher) limitedRate(s *service, now time.Time) (perSecond, available float64, limited bool) {
	if d.limits.IsEmpty() {
		return 0, 0, false
	}
	for _, c := range s.candidates {
		if !c.isUsable() || !c.groupOpen {
			continue
		}
		if !d.limits.IsLimited(c.limitKey()) {
			return 0, 0, false
		}
		rate, level := d.limits.Rate(c.limitKey(), now)
		perSecond, available, limited = perSecond+rate, available+level, true
	}
	return perSecond, available, limited
}

// limitRefusal returns the refusal of a request that the limits of all upstreams keep
// waiting for too long, or nil. A request with priority goes before the others that wait.
func (d *Dispatcher) limitRefusal(s *service, r *Request, now time.Time) *problem.Problem {
	perSecond, available, limited := d.limitedRate(s, now)
	if !limited {
		return nil
	}
	before := s.queues.Len()
	if r.Priority {
		before = 0
	}
	wait := limitWait(before, perSecond, available)
	if wait <= d.cfg.MaxQueueTime && !now.Add(wait).After(r.Deadline) {
		return nil
	}
	refusal := d.newLimitRefusal(s, wait, perSecond)
	for _, c := range s.candidates {
		d.limits.Expect(c.limitKey(), now.Add(refusal.RetryAfter+limitReturnTime), now)
	}
	return refusal
}

// limitWait returns how long a request waits that has some others before it.
func limitWait(before int, perSecond, available float64) time.Duration {
	missing := float64(before+1) - available
	if missing <= 0 {
		return 0
	}
	seconds := maxLimitRetryAfter.Seconds()
	if perSecond > 0 {
		seconds = min(seconds, missing/perSecond)
	}
	return time.Duration(seconds * float64(time.Second))
}

// overloadRefusal returns the refusal of a request that has waited too long.
func (d *Dispatcher) overloadRefusal(s *service, now time.Time) *problem.Problem {
	if perSecond, available, limited := d.limitedRate(s, now); limited {
		return d.newLimitRefusal(s, limitWait(s.queues.Len(), perSecond, available), perSecond)
	}
	return d.newRefusal(problem.ReasonOverloaded, s.predictWait(now), s.queueDetail(now))
}

// newLimitRefusal returns a refusal with the time until the upstreams take the request. It
// is lengthened at random, so that callers that are refused together don't return together.
func (d *Dispatcher) newLimitRefusal(s *service, wait time.Duration, perSecond float64) *problem.Problem {
	wait = max(minRetryAfter, wait)
	spread := 1 + retryAfterJitter*d.rand.Float64()
	detail := fmt.Sprintf("%d requests wait, and all upstreams name limits, of which this entry may use %.2f requests per second; predicted wait %d ms",
		s.queues.Len(), perSecond, wait.Milliseconds())
	return problem.New(problem.ReasonUpstreamLimited, detail).WithRetryAfter(min(maxLimitRetryAfter, time.Duration(spread*float64(wait))))
}
