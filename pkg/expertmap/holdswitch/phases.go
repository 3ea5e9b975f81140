package holdswitch

import (
	"math"
	"time"
)

// Advance enters the phases whose conditions hold and returns the orders that are due.
// Each rank has at most one order in flight.
func (c *Coordinator) Advance(now time.Time) []Command {
	if c.epochEnded {
		return nil
	}
	c.advancePhase(now)
	var commands []Command
	for r := range c.ranks {
		v := &c.ranks[r]
		if v.inFlight {
			continue
		}
		o, ok := c.nextOrder(r, now)
		if !ok {
			continue
		}
		v.inFlight, v.sentAt = true, now
		o.Epoch, o.Fence = c.cfg.Epoch, uint64(c.highestVersion)
		commands = append(commands, Command{Rank: r, Order: o})
	}
	return commands
}

// advancePhase enters the next phase as long as the condition of the current one holds.
func (c *Coordinator) advancePhase(now time.Time) {
	for {
		before := c.phase
		c.abandonIfPreempted()
		switch c.phase {
		case PhaseIdle:
			c.markDisagreeingStale(now)
			c.undoUnfinished(now)
		case PhasePrepare:
			c.afterPrepare(now)
		case PhaseHold:
			c.afterHold(now)
		case PhaseCheck:
			c.afterCheck(now)
		case PhaseArm:
			c.afterArm(now)
		case PhaseArmOwn:
			c.afterArmOwn(now)
		case PhaseGo:
			c.afterGo(now)
		case PhaseSettle:
			c.afterSettle(now)
		case PhaseUndoHold:
			c.checkUndoTimeout(c.holdRank, now)
		case PhaseUndo:
			c.afterUndo(now)
		case PhaseRelease:
			c.afterRelease()
		}
		if c.phase == before {
			return
		}
	}
}

// abandonIfPreempted abandons the coordinator's own round when a rank is armed for
// another one: that round's coordinator has sent every rank a prepare, which replaced
// what this round had prepared.
func (c *Coordinator) abandonIfPreempted() {
	switch c.phase {
	case PhaseHold, PhaseCheck, PhaseArm, PhaseArmOwn:
	default:
		return
	}
	for r := range c.ranks {
		if a := c.ranks[r].state.Armed; a != nil && a.Version != c.version {
			c.abandon("another coordinator's round", r)
			return
		}
	}
}

// isUnreachable reports whether a rank has been unreachable for UnreachableAfter.
func (c *Coordinator) isUnreachable(rank int, now time.Time) bool {
	v := &c.ranks[rank]
	return !v.unreachableSince.IsZero() && now.Sub(v.unreachableSince) >= c.cfg.UnreachableAfter
}

// markDisagreeingStale marks rank 0 and every rank that seems to use another map for
// reading, since another coordinator may have switched in the meantime.
func (c *Coordinator) markDisagreeingStale(now time.Time) {
	for r := range c.ranks {
		if c.ranks[r].state.Map == c.ranks[0].state.Map {
			continue
		}
		for _, v := range []*rankView{&c.ranks[0], &c.ranks[r]} {
			v.stale = v.stale || now.Sub(v.readAt) >= c.cfg.ReadInterval
		}
	}
}

// undoUnfinished starts the undo of another coordinator's unfinished round. The round
// is never completed, since the other coordinator may be undoing it at the same time.
// Ranks of other candidates may be unreachable, because a frozen coordinator's own
// rank runs on the same host.
func (c *Coordinator) undoUnfinished(now time.Time) {
	found, step := false, uint64(math.MaxUint64)
	for r := range c.ranks {
		v := &c.ranks[r]
		if !v.known || v.stale {
			if r >= c.cfg.Candidates || r == c.cfg.Rank || !c.isUnreachable(r, now) {
				return
			}
			continue
		}
		if v.state.Held != nil {
			found, step = true, min(step, *v.state.Held)
		}
		if v.state.Armed != nil {
			found, step = true, min(step, v.state.Armed.Step)
		}
	}
	if found {
		c.startUndoOfOther(step, now)
	}
}

// afterPrepare schedules the switch once every rank has copied the experts of the map.
func (c *Coordinator) afterPrepare(now time.Time) {
	for r := range c.ranks {
		v := &c.ranks[r]
		if v.prepareAccepted && !v.stale && v.state.Armed == nil && v.state.Prepared == c.version {
			continue
		}
		if now.After(c.deadline) {
			c.recordEvent("prepare timed out", r)
			c.resetToIdle()
		}
		return
	}
	c.margin = c.requiredMargin()
	c.scheduleSwitch()
	c.holdRank = c.holdRankFor(c.cfg.Rank)
	c.scheduledAt = now
	c.enterPhase(PhaseHold, now.Add(c.cfg.ArmTimeout))
}

// holdConfirmed reports whether the round's pass is known to be held at the hold rank.
func (c *Coordinator) holdConfirmed() bool {
	v := &c.ranks[c.holdRank]
	return v.known && !v.stale && v.state.Held != nil && *v.state.Held == c.step
}

// afterHold has every rank read once the pass is held.
func (c *Coordinator) afterHold(now time.Time) {
	switch {
	case c.holdConfirmed():
		for r := range c.ranks {
			v := &c.ranks[r]
			v.readSinceHold, v.ignoreBefore, v.stale = false, now, true
		}
		c.enterPhase(PhaseCheck, now.Add(c.cfg.ArmTimeout))
	case now.After(c.deadline):
		c.abandon("hold timed out", c.holdRank)
	}
}

// afterCheck starts to arm the ranks once each was read since the pass was held and no
// other coordinator holds a pass: that one may be undoing a round and would mistake
// this round for it.
func (c *Coordinator) afterCheck(now time.Time) {
	for r := range c.ranks {
		v := &c.ranks[r]
		switch {
		case v.stale && now.After(c.deadline):
			c.abandon("check timed out", r)
			return
		case v.stale:
			return
		case v.state.Prepared != c.version, v.state.Held != nil && r != c.holdRank:
			c.abandon("another coordinator is at work", r)
			return
		}
	}
	if !c.holdConfirmed() {
		c.abandon("the hold was let go", c.holdRank)
		return
	}
	c.enterPhase(PhaseArm, now.Add(c.cfg.ArmTimeout))
}

// afterArm starts to arm the coordinator's own rank once all others are armed.
func (c *Coordinator) afterArm(now time.Time) {
	for r := range c.ranks {
		if r == c.cfg.Rank || c.armConfirmed(r) {
			continue
		}
		if now.After(c.deadline) {
			c.startUndo("arm timed out", r, now)
		}
		return
	}
	c.phase = PhaseArmOwn
}

// afterArmOwn releases the pass. The coordinator's own rank is armed last: while any
// other rank has never been armed, neither has this one.
func (c *Coordinator) afterArmOwn(now time.Time) {
	switch {
	case c.armConfirmed(c.cfg.Rank):
		c.phase = PhaseGo
	case now.After(c.deadline):
		c.startUndo("arm timed out", c.cfg.Rank, now)
	}
}

// armConfirmed reports whether a rank is known to be armed for the round's switch.
func (c *Coordinator) armConfirmed(rank int) bool {
	v := &c.ranks[rank]
	return v.known && !v.stale && v.state.Armed != nil && *v.state.Armed == Armed{Version: c.version, Step: c.step}
}

// afterGo waits until the pass is no longer held.
func (c *Coordinator) afterGo(now time.Time) {
	v := &c.ranks[c.holdRank]
	if v.stale || v.state.Held != nil && *v.state.Held == c.step {
		return
	}
	c.releasedAt = now
	c.phase = PhaseSettle
}

// otherHoldTimeout is how long to wait for a pass that another coordinator holds before
// that coordinator is assumed to have stopped.
const otherHoldTimeout = 500 * time.Millisecond

// afterSettle completes a round once its pass has begun. There is no deadline for that,
// since an idle group runs no passes.
func (c *Coordinator) afterSettle(now time.Time) {
	if c.holdConfirmed() {
		// A hold order took effect after the go order.
		c.phase = PhaseGo
		return
	}
	waiting := false
	for r := range c.ranks {
		v := &c.ranks[r]
		waiting = waiting || v.stale || v.state.Armed != nil
		if v.state.Held != nil && now.Sub(c.releasedAt) > otherHoldTimeout {
			c.recordEvent("a pass is held by another coordinator", r)
			c.resetToIdle()
			return
		}
	}
	if waiting {
		return
	}
	c.switchCount++
	c.events = append(c.events, Event{
		Name: "switched", Version: c.version, Step: c.step, Rank: allRanks,
		Prepare: c.scheduledAt.Sub(c.startedAt), Arm: c.releasedAt.Sub(c.scheduledAt), Settle: now.Sub(c.releasedAt),
	})
	c.currentMap = c.target
	c.recordArmTime(c.releasedAt.Sub(c.scheduledAt))
	c.resetToIdle()
}

// afterUndo releases the pass once no arm order of the round can take effect any more.
// The own rank of the coordinator that started the round may be skipped while it is
// unreachable: it is armed last and disarmed first, so it is not armed if some other
// rank has never been armed. An undo by a third coordinator could have disarmed that
// other rank, but the third coordinator would then hold the pass as well.
func (c *Coordinator) afterUndo(now time.Time) {
	neverArmed, skipped := false, noCoordinator
	for r := range c.ranks {
		v := &c.ranks[r]
		switch {
		case v.undone:
			neverArmed = neverArmed || !v.seenArmed
		case c.armedForUnknownRound(v):
			c.recordEvent("another coordinator's round", r)
			c.resetToIdle()
			return
		case c.undoingOther && skipped == noCoordinator && r < c.cfg.Candidates && r != c.cfg.Rank && c.isUnreachable(r, now):
			skipped = r
		default:
			c.checkUndoTimeout(r, now)
			return
		}
	}
	if skipped != noCoordinator {
		if !neverArmed || !c.exclusiveHold || c.otherHolder() != skipped {
			c.checkUndoTimeout(skipped, now)
			return
		}
		c.recordEvent("undone without a rank out of reach", skipped)
	}
	c.phase = PhaseRelease
}

// armedForUnknownRound reports whether a rank is armed for a version that no rank was
// armed for in the first read after the pass was held. Such a rank belongs to another
// round than the one to undo.
func (c *Coordinator) armedForUnknownRound(v *rankView) bool {
	if v.stale || !v.readSinceHold || v.state.Armed == nil {
		return false
	}
	for r := range c.ranks {
		if c.ranks[r].readSinceHold && c.ranks[r].armedAtHold == v.state.Armed.Version {
			return false
		}
	}
	return true
}

func (c *Coordinator) checkUndoTimeout(rank int, now time.Time) {
	if now.After(c.deadline) {
		c.recordEvent("undo timed out", rank)
		c.resetToIdle()
	}
}

// otherHolder returns the coordinator that has the only hold beside this coordinator's,
// according to reads since this hold took effect. It returns noCoordinator when there
// is no such hold or more than one.
func (c *Coordinator) otherHolder() int {
	holder := noCoordinator
	for r := range c.ranks {
		v := &c.ranks[r]
		if r == c.holdRank || v.stale || v.state.Held == nil {
			continue
		}
		if holder != noCoordinator || r < c.cfg.Candidates || r >= 2*c.cfg.Candidates {
			return noCoordinator
		}
		holder = r - c.cfg.Candidates
	}
	return holder
}

// afterRelease completes an undo once the pass is released at every rank.
func (c *Coordinator) afterRelease() {
	for r := range c.ranks {
		if c.needsRelease(r) {
			return
		}
	}
	c.recordEvent("undone", allRanks)
	c.resetToIdle()
}

// needsRelease reports whether a rank still needs an order to release the undone pass.
func (c *Coordinator) needsRelease(rank int) bool {
	v := &c.ranks[rank]
	return v.undone && !v.released && (v.stale || v.state.Held != nil && *v.state.Held == c.step)
}
