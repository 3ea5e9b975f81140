package dispatch

import (
	"fmt"
	"time"
)

// Bounds of the watch over a group's passes.
const (
	// stallFloor is the shortest silence of all streams that counts as a stall. A
	// switch of the expert map pauses a group for less.
	stallFloor = 400 * time.Millisecond
	// stallPasses is the same in passes.
	stallPasses = 5
	// passWeight is the weight of the latest pass in the typical one.
	passWeight = 0.05
	// stoppedFor is how long a group that refused work as stopped is not tried
	// again, unless it shows a sign of life before.
	stoppedFor = time.Second
)

// pulse watches the passes of a service's streams. All ranks of a group pass
// together, so the streams of one group are silent together when it stops.
type pulse struct {
	running int
	beatAt  time.Time
	pass    time.Duration
	stopAt  time.Time
	// bound is the longest pass with which answers are on time, 0 for none. over counts
	// the latest passes in a row that exceeded it, the last of them at overAt.
	bound  time.Duration
	over   int
	overAt time.Time
}

// began records that a stream has begun.
func (p *pulse) began(now time.Time) {
	p.running++
	p.alive(now)
}

// beat records an event of a stream, a time after the one before.
func (p *pulse) beat(gap time.Duration, now time.Time) {
	if p.pass == 0 {
		p.pass = gap
	}
	p.pass += time.Duration(passWeight * float64(gap-p.pass))
	p.compare(gap, now)
	p.alive(now)
}

// compare counts a pass that exceeds the bound. All streams tell of the same pass within
// a part of it.
func (p *pulse) compare(gap time.Duration, now time.Time) {
	switch {
	case p.bound <= 0 || gap <= p.bound:
		p.over = 0
	case p.over == 0 || now.Sub(p.overAt) > gap/2:
		p.over++
		p.overAt = now
	}
}

func (p *pulse) alive(now time.Time) {
	p.beatAt = now
	p.stopAt = time.Time{}
}

// ended records that a stream has ended. The silence counts anew from here.
func (p *pulse) ended() { p.running-- }

// stopped records that the group has refused work as stopped.
func (p *pulse) stopped(now time.Time) { p.stopAt = now }

// text says what is known of a group that stands still.
func (p *pulse) text(open bool, now time.Time) string {
	switch {
	case !open:
		return "the platform lists no open group"
	case !p.stopAt.IsZero() && now.Sub(p.stopAt) < stoppedFor:
		return fmt.Sprintf("a rank said %d ms ago that its group stands still", now.Sub(p.stopAt).Milliseconds())
	default:
		return fmt.Sprintf("%d streams are silent for %d ms, a pass takes %d ms", p.running, now.Sub(p.beatAt).Milliseconds(), p.pass.Milliseconds())
	}
}

// still reports whether the group does nothing now, as far as can be told.
func (p *pulse) still(now time.Time) bool {
	if !p.stopAt.IsZero() && now.Sub(p.stopAt) < stoppedFor {
		return true
	}
	return p.running > 0 && now.Sub(p.beatAt) > max(stallFloor, stallPasses*p.pass)
}
