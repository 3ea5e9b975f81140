package dispatch

import "time"

// Limits by which an unresponsive rank is detected.
const (
	// unresponsiveAfter is for how long a group must have run passes since the latest event
	// of a rank's streams. It is well below the time after which callers leave a silent
	// stream.
	unresponsiveAfter = 600 * time.Millisecond
	// firstPartFactor is the multiple of the typical time to the first part after which a
	// request that has not begun is evidence too, and minUnbegun how many such requests it
	// takes: a single one may have a long prompt.
	firstPartFactor = 4
	minUnbegun      = 2
	// maxEventGap is the most that the time between two events adds to a passClock.
	maxEventGap = 200 * time.Millisecond
	// trialInterval is the time between two requests to an unresponsive rank, by which the
	// entry finds out that it responds again.
	trialInterval = time.Second
)

// passClock measures for how long a group has run passes, by the events of its streams at
// this entry. It stands still while the group is stalled, or a pass is held.
type passClock struct {
	elapsed     time.Duration
	lastEventAt time.Time
}

// recordEvent records an event of any stream of the group.
func (p *passClock) recordEvent(now time.Time) {
	if !p.lastEventAt.IsZero() {
		p.elapsed += min(maxEventGap, now.Sub(p.lastEventAt))
	}
	p.lastEventAt = now
}

// passClock returns the clock of a group.
func (s *service) passClock(group string) *passClock {
	p, ok := s.passClocks[group]
	if !ok {
		p = &passClock{}
		s.passClocks[group] = p
	}
	return p
}

// ResponseChange describes a rank that has become unresponsive or responds again.
type ResponseChange struct {
	Upstream   string
	Responsive bool
	// Attempts is the number of this entry's running attempts at the rank.
	Attempts int
}

// ResponseChanges returns the changes since the last call and clears them.
func (d *Dispatcher) ResponseChanges() []ResponseChange {
	changes := d.responseChanges
	d.responseChanges = nil
	return changes
}

// detectUnresponsive finds ranks whose streams are silent while their group runs passes.
// All ranks of a group run a pass together and each stream has an event in each pass, so
// such a rank, its host or the way to it has failed. Its engine can't be told that a
// caller has left.
func (d *Dispatcher) detectUnresponsive(now time.Time) {
	unbegun := make(map[*candidate]int)
	for _, a := range d.attempts {
		c := a.candidate
		if c.Group.Name == "" || c.unresponsive {
			continue
		}
		silence := a.service.passClock(c.Group.Name).elapsed - max(a.sentOnClock, c.lastPartOnClock)
		switch {
		case silence <= unresponsiveAfter:
			continue
		case a.lastPartAt.IsZero():
			if silence > firstPartFactor*a.service.typicalFirstPart {
				unbegun[c]++
			}
			if unbegun[c] < minUnbegun {
				continue
			}
		}
		c.unresponsive, c.unresponsiveAt, c.nextTrial = true, now, now.Add(trialInterval)
		d.responseChanges = append(d.responseChanges, ResponseChange{Upstream: c.ID, Attempts: c.ownAttempts.current})
	}
}

// recordResponse records that a candidate has responded.
func (d *Dispatcher) recordResponse(c *candidate) {
	if c.unresponsive {
		c.unresponsive = false
		d.responseChanges = append(d.responseChanges, ResponseChange{Upstream: c.ID, Responsive: true, Attempts: c.ownAttempts.current})
	}
}

// isAtUnresponsive reports whether an attempt should leave its unresponsive rank. One that
// was sent as a trial is given time.
func (a *attempt) isAtUnresponsive() bool {
	c := a.candidate
	if !c.unresponsive {
		return false
	}
	return a.sentAt.Before(c.unresponsiveAt) || a.service.passClock(c.Group.Name).elapsed-a.sentOnClock > unresponsiveAfter
}

// mayGetRequest reports whether a candidate responds, or may get a request as a trial.
func (c *candidate) mayGetRequest(now time.Time) bool {
	return !c.unresponsive || !now.Before(c.nextTrial)
}

// hasResponsive reports whether any upstream accepts requests now and responds.
func (s *service) hasResponsive(now time.Time) bool {
	for _, c := range s.candidates {
		if c.isUsable() && !c.unresponsive && !c.isPaused(now) {
			return true
		}
	}
	return false
}
