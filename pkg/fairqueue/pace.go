package fairqueue

import "time"

// paceInterval is the time over which the pace of virtual time is measured.
const paceInterval = 250 * time.Millisecond

// pace measures how fast virtual time advances.
type pace struct {
	perSecond float64
	virtual   float64
	since     time.Time
}

// Advance records the virtual time of a request that started at an upstream.
func (q *Queue) Advance(virtual float64, now time.Time) {
	q.virtual = max(q.virtual, virtual)
	q.pace.observe(q.virtual, now)
}

// Ahead returns how long it takes at the present pace until a waiting request
// would start.
func (q *Queue) Ahead(it *Item) time.Duration {
	if it.Priority || q.pace.perSecond <= 0 {
		return 0
	}
	return time.Duration((it.flow.virtual - q.virtual) / q.pace.perSecond * float64(time.Second))
}

func (p *pace) observe(virtual float64, now time.Time) {
	if p.since.IsZero() {
		p.since, p.virtual = now, virtual
		return
	}
	elapsed := now.Sub(p.since)
	if elapsed < paceInterval {
		return
	}
	latest := (virtual - p.virtual) / elapsed.Seconds()
	if p.perSecond == 0 {
		p.perSecond = latest
	}
	p.perSecond += (latest - p.perSecond) / 2
	p.since, p.virtual = now, virtual
}
