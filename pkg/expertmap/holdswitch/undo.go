package holdswitch

import "time"

// undoTimeout is how long an undoing may take before it begins anew from what the
// ranks say then.
const undoTimeout = 2 * time.Second

// undo gives the own round up, of which ranks may be armed. Its pass is held.
func (c *Coordinator) undo(why string, rank int, now time.Time) {
	c.note("undo: "+why, rank)
	c.undone++
	c.spare, c.foreign, c.voidVersion = nil, false, 0
	for r := range c.ranks {
		v := &c.ranks[r]
		v.undone, v.freed, v.fresh, v.found = false, false, true, c.version
		v.wasArmed = v.state.Armed != nil
	}
	c.enter(PhaseUndo, now.Add(undoTimeout))
}

// undoForeign gives another coordinator's round up. Its pass is to be held by this
// one first.
func (c *Coordinator) undoForeign(step uint64, now time.Time) {
	c.step, c.version, c.foreign = step, 0, true
	if !c.chooseHold(now) {
		return
	}
	c.note("undo: found an unfinished round", wholeGroup)
	c.undone++
	c.spare, c.voidVersion = nil, 0
	c.enter(PhaseUndoHold, now.Add(undoTimeout))
}

// beginUndo reads every rank anew, now that the pass is held.
func (c *Coordinator) beginUndo(now time.Time) {
	for r := range c.ranks {
		v := &c.ranks[r]
		v.undone, v.freed, v.fresh, v.wasArmed = false, false, false, false
		v.stale, v.ended = true, now
	}
	c.enter(PhaseUndo, now.Add(undoTimeout))
}

// abandon gives up a round of which no rank can be armed. Only the own hold is
// left to let go.
func (c *Coordinator) abandon(why string, rank int) {
	c.note("abandoned: "+why, rank)
	for r := range c.ranks {
		c.ranks[r].undone = false
	}
	v := &c.ranks[c.holdAt]
	v.undone, v.freed = true, false
	c.phase = PhaseRelease
}

// forget makes every rank be read before the next round.
func (c *Coordinator) forget() {
	c.phase = PhaseIdle
	for r := range c.ranks {
		c.ranks[r].stale = true
	}
}
