package fairqueue

import "time"

// paceInterval is the time over which the pace of virtual time is measured.
const paceInterval = 250 * time.Millisecond

// pace measures how fast a sum advances.
type pace struct {
	perSecond float64
	sum       float64
	since     time.Time
}

// AdvanceVirtualTime records the virtual time of a request that started at an upstream.
func (q *Queue) AdvanceVirtualTime(virtual float64, now time.Time) {
	q.virtual = max(q.virtual, virtual)
	q.pace.observe(q.virtual, now)
}

// EstimateTimeToStart returns how long it takes at the present pace until a waiting request
// would start.
func (q *Queue) EstimateTimeToStart(it *Item) time.Duration {
	if it.Priority || q.pace.perSecond <= 0 {
		return 0
	}
	return time.Duration((it.flow.virtual - q.virtual) / q.pace.perSecond * float64(time.Second))
}

// EstimateWait returns how long a new request of an organisation would wait behind those
// that wait already, at the pace at which requests start now. It
// is 0 when the organisation has not waited long enough to tell.
func (q *Queue) EstimateWait(organisation string, weight int, now time.Time) time.Duration {
	f, ok := q.flows[organisation]
	if !ok || len(f.items) == 0 || now.Sub(f.items[0].since) < paceInterval || q.pace.perSecond <= 0 {
		return 0
	}
	ahead := (f.virtual + f.cost/float64(max(1, weight)) - q.virtual) / q.pace.perSecond
	if f.drain.perSecond > 0 {
		// The organisation may wait at other entries too.
		ahead = max(ahead, f.cost/f.drain.perSecond)
	}
	return time.Duration(ahead * float64(time.Second))
}

func (p *pace) observe(sum float64, now time.Time) {
	if p.since.IsZero() {
		p.since, p.sum = now, sum
		return
	}
	elapsed := now.Sub(p.since)
	if elapsed < paceInterval {
		return
	}
	latest := (sum - p.sum) / elapsed.Seconds()
	if p.perSecond == 0 {
		p.perSecond = latest
	}
	p.perSecond += (latest - p.perSecond) / 2
	p.since, p.sum = now, sum
}
