package fairqueue

import "time"

// rateInterval is the shortest time over which a rate is measured.
const rateInterval = 250 * time.Millisecond

// rateEstimator estimates how fast a sum grows, by an exponential moving average.
type rateEstimator struct {
	perSecond float64
	lastSum   float64
	lastAt    time.Time
}

// AdvanceVirtualTime advances the queue's virtual time to the start tag of a request that
// started at an upstream.
func (q *Queue) AdvanceVirtualTime(startTag float64, now time.Time) {
	q.virtualTime = max(q.virtualTime, startTag)
	q.rate.observe(q.virtualTime, now)
}

// EstimateTimeToStart returns how long it takes at the current rate until a waiting
// request starts.
func (q *Queue) EstimateTimeToStart(it *Item) time.Duration {
	if it.Priority || q.rate.perSecond <= 0 {
		return 0
	}
	return time.Duration((it.flow.virtualTime - q.virtualTime) / q.rate.perSecond * float64(time.Second))
}

// EstimateWait returns how long a new request of an organisation would wait behind its
// waiting requests, at the rate at which requests currently start. It is 0 if the
// organisation has not waited long enough for an estimate.
func (q *Queue) EstimateWait(organisation string, weight int, now time.Time) time.Duration {
	f, ok := q.flows[organisation]
	if !ok || len(f.items) == 0 || now.Sub(f.items[0].waitingSince) < rateInterval || q.rate.perSecond <= 0 {
		return 0
	}
	wait := (f.virtualTime + f.cost/float64(max(1, weight)) - q.virtualTime) / q.rate.perSecond
	if f.drainRate.perSecond > 0 {
		// The organisation may wait at other entries too.
		wait = max(wait, f.cost/f.drainRate.perSecond)
	}
	return time.Duration(wait * float64(time.Second))
}

func (r *rateEstimator) observe(sum float64, now time.Time) {
	if r.lastAt.IsZero() {
		r.lastAt, r.lastSum = now, sum
		return
	}
	elapsed := now.Sub(r.lastAt)
	if elapsed < rateInterval {
		return
	}
	latest := (sum - r.lastSum) / elapsed.Seconds()
	if r.perSecond == 0 {
		r.perSecond = latest
	}
	r.perSecond += (latest - r.perSecond) / 2
	r.lastAt, r.lastSum = now, sum
}
