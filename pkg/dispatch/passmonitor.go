package dispatch

import (
	"fmt"
	"time"
)

// Limits by which a stall is detected.
const (
	// minStallTime is the shortest silence of all streams that counts as a stall. A
	// switch of the expert map pauses a group for less.
	minStallTime = 400 * time.Millisecond
	// stallPasses is the shortest silence that counts as a stall, in typical passes.
	stallPasses = 5
	// passWeight is the weight of the latest pass in the moving average.
	passWeight = 0.05
	// stoppedBackoff is how long a group that refused work as stopped gets no
	// requests, unless one of its streams sends an event earlier.
	stoppedBackoff = time.Second
)

// passMonitor detects long passes and stalls from the stream events of a service. All
// ranks of a group run a pass together, so all its streams are silent when it stalls. The
// groups of a service are not told apart.
type passMonitor struct {
	activeStreams int
	lastEventAt   time.Time
	// typicalPass is the moving average of the gap between two events of a stream.
	typicalPass time.Duration
	// stoppedAt is when a rank last refused work because its group is stopped. A stream
	// event or a new formation of the group resets it to zero.
	stoppedAt time.Time
	// passLimit is the longest pass with which responses are on time, 0 for none.
	// longPasses counts the latest passes in a row that exceeded it, the last of them
	// at lastLongPassAt.
	passLimit      time.Duration
	longPasses     int
	lastLongPassAt time.Time
}

// recordStart records the first event of a stream.
func (p *passMonitor) recordStart(now time.Time) {
	p.activeStreams++
	p.recordActivity(now)
}

// recordEvent records a further event of a stream and the gap since the previous one.
func (p *passMonitor) recordEvent(gap time.Duration, now time.Time) {
	if p.typicalPass == 0 {
		p.typicalPass = gap
	}
	p.typicalPass += time.Duration(passWeight * float64(gap-p.typicalPass))
	p.countLongPass(gap, now)
	p.recordActivity(now)
}

// countLongPass counts a pass that exceeds the limit. All streams report the same pass
// within a fraction of its length, so it is counted once.
func (p *passMonitor) countLongPass(gap time.Duration, now time.Time) {
	switch {
	case p.passLimit <= 0 || gap <= p.passLimit:
		p.longPasses = 0
	case p.longPasses == 0 || now.Sub(p.lastLongPassAt) > gap/2:
		p.longPasses++
		p.lastLongPassAt = now
	}
}

func (p *passMonitor) recordActivity(now time.Time) {
	p.lastEventAt = now
	p.stoppedAt = time.Time{}
}

// recordEnd records that a stream has ended.
func (p *passMonitor) recordEnd() { p.activeStreams-- }

// recordStopped records that the group has refused work because it is stopped.
func (p *passMonitor) recordStopped(now time.Time) { p.stoppedAt = now }

// stallDetail describes why the group counts as stalled.
func (p *passMonitor) stallDetail(open bool, now time.Time) string {
	switch {
	case !open:
		return "the platform lists no open group"
	case p.isStopped(now):
		return fmt.Sprintf("a rank said %d ms ago that its group stands still", now.Sub(p.stoppedAt).Milliseconds())
	default:
		return fmt.Sprintf("%d streams are silent for %d ms, a pass takes %d ms", p.activeStreams, now.Sub(p.lastEventAt).Milliseconds(), p.typicalPass.Milliseconds())
	}
}

// isStalled reports whether the group appears to be stalled.
func (p *passMonitor) isStalled(now time.Time) bool { return p.isStopped(now) || p.isSilent(now) }

// isStopped reports whether a rank has lately refused work because its group is stopped.
func (p *passMonitor) isStopped(now time.Time) bool {
	return !p.stoppedAt.IsZero() && now.Sub(p.stoppedAt) < stoppedBackoff
}

// isSilent reports whether all streams have been silent for too long.
func (p *passMonitor) isSilent(now time.Time) bool {
	return p.activeStreams > 0 && now.Sub(p.lastEventAt) > max(minStallTime, stallPasses*p.typicalPass)
}
