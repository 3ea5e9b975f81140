package holdswitch

import "time"

// undoTimeout limits an undo. After that, a new undo starts from the states that the
// ranks then report.
const undoTimeout = 2 * time.Second

// startUndo starts the undo of the coordinator's own round. Its pass is held, and ranks
// may be armed for it.
func (c *Coordinator) startUndo(reason string, rank int, now time.Time) {
	c.recordEvent("undo: "+reason, rank)
	c.undoCount++
	c.fallbackMap, c.undoingOther, c.voidVersion = nil, false, 0
	for r := range c.ranks {
		v := &c.ranks[r]
		v.undone, v.released, v.readSinceHold, v.armedAtHold = false, false, true, c.version
		v.seenArmed = v.state.Armed != nil
	}
	c.enterPhase(PhaseUndo, now.Add(undoTimeout))
}

// startUndoOfOther starts the undo of another coordinator's round, whose pass this
// coordinator must hold first. It does nothing while no rank is suitable for that.
func (c *Coordinator) startUndoOfOther(step uint64, now time.Time) {
	c.step, c.version, c.undoingOther = step, 0, true
	if !c.chooseHoldRank(now) {
		return
	}
	c.recordEvent("undo: found an unfinished round", allRanks)
	c.undoCount++
	c.fallbackMap, c.voidVersion = nil, 0
	c.enterPhase(PhaseUndoHold, now.Add(undoTimeout))
}

// enterUndo continues the undo of another coordinator's round now that its pass is held.
// Every rank is read before it receives orders.
func (c *Coordinator) enterUndo(now time.Time) {
	for r := range c.ranks {
		v := &c.ranks[r]
		v.undone, v.released, v.readSinceHold, v.seenArmed = false, false, false, false
		v.stale, v.ignoreBefore = true, now
	}
	c.enterPhase(PhaseUndo, now.Add(undoTimeout))
}

// abandon ends a round for which no rank is armed or can still become armed. Only the
// coordinator's own hold remains to be released.
func (c *Coordinator) abandon(reason string, rank int) {
	c.recordEvent("abandoned: "+reason, rank)
	for r := range c.ranks {
		c.ranks[r].undone = false
	}
	v := &c.ranks[c.holdRank]
	v.undone, v.released = true, false
	c.phase = PhaseRelease
}

// resetToIdle ends a round and marks every rank for reading before the next one.
func (c *Coordinator) resetToIdle() {
	c.phase = PhaseIdle
	for r := range c.ranks {
		c.ranks[r].stale = true
	}
}
