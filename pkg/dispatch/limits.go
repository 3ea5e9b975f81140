package dispatch

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/sendlimit"
)

// maxLimitRetryAfter limits the stated time until limited upstreams take a request. It is
// above maxRetryAfter, as no other entry has more to send.
const maxLimitRetryAfter = time.Minute

// limitWaitStep is the resolution of predicted waits for limited upstreams.
const limitWaitStep = 20 * time.Millisecond

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

// limitPart is what this entry may send to one upstream that names a limit: available
// requests now, and perSecond more each second.
type limitPart struct{ perSecond, available float64 }

// limitParts returns what this entry may send to each upstream that a request can use, if all
// of them name limits, and otherwise nil.
func (d *Dispatcher) limitParts(s *service, r *Request, now time.Time) []limitPart {
	if d.limits.IsEmpty() {
		return nil
	}
	var parts []limitPart
	for _, c := range s.candidates {
		if !c.isUsable() || !c.groupOpen || c.isPaused(now) || slices.Contains(r.TriedUpstreams, c.ID) {
			continue
		}
		if !d.limits.IsLimited(c.limitKey()) {
			return nil
		}
		perSecond, available := d.limits.Rate(c.limitKey(), now)
		parts = append(parts, limitPart{perSecond, available})
	}
	return parts
}

// limitRefusal returns the refusal of a request that the limits of all upstreams keep
// waiting for too long, or nil. A request with priority goes before the others that wait.
func (d *Dispatcher) limitRefusal(s *service, r *Request, now time.Time) *problem.Problem {
	parts := d.limitParts(s, r, now)
	if len(parts) == 0 {
		return nil
	}
	before := s.queues.Len()
	if r.Priority {
		before = 0
	}
	wait := limitWait(before, parts)
	if wait <= d.cfg.MaxQueueTime && !now.Add(wait).After(r.Deadline) {
		return nil
	}
	refusal := d.newLimitRefusal(s, wait, parts)
	for _, c := range s.candidates {
		d.limits.Expect(c.limitKey(), now.Add(refusal.RetryAfter+limitReturnTime), now)
	}
	return refusal
}

// limitWait returns how long a request waits that has some others before it, at most
// maxLimitRetryAfter. Each upstream takes whole requests only.
func limitWait(before int, parts []limitPart) time.Duration {
	steps := sort.Search(int(maxLimitRetryAfter/limitWaitStep), func(n int) bool {
		at, sum := (time.Duration(n) * limitWaitStep).Seconds(), 0.0
		for _, p := range parts {
			sum += math.Floor(p.available + p.perSecond*at)
		}
		return sum > float64(before)
	})
	return time.Duration(steps) * limitWaitStep
}

// overloadRefusal returns the refusal of a request that has waited too long.
func (d *Dispatcher) overloadRefusal(s *service, r *Request, now time.Time) *problem.Problem {
	if parts := d.limitParts(s, r, now); len(parts) > 0 {
		return d.newLimitRefusal(s, limitWait(s.queues.Len(), parts), parts)
	}
	return d.newRefusal(problem.ReasonOverloaded, s.predictWait(now), s.queueDetail(now))
}

// newLimitRefusal returns a refusal with the time until the upstreams take the request. It
// is lengthened at random, so that callers that are refused together don't return together.
func (d *Dispatcher) newLimitRefusal(s *service, wait time.Duration, parts []limitPart) *problem.Problem {
	perSecond := 0.0
	for _, p := range parts {
		perSecond += p.perSecond
	}
	wait = max(minRetryAfter, wait)
	spread := 1 + retryAfterJitter*d.rand.Float64()
	detail := fmt.Sprintf("%d requests wait, and all upstreams that can take this one name limits, of which this entry may use %.2f requests per second; predicted wait %d ms",
		s.queues.Len(), perSecond, wait.Milliseconds())
	return problem.New(problem.ReasonUpstreamLimited, detail).WithRetryAfter(min(maxLimitRetryAfter, time.Duration(spread*float64(wait))))
}
