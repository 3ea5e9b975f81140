package holdswitch

import (
	"math"
	"time"
)

// Advance returns the orders that are due. Each rank has one at a time on its way.
func (c *Coordinator) Advance(now time.Time) []Command {
	if c.lost {
		return nil
	}
	c.advance(now)
	var commands []Command
	for r := range c.ranks {
		v := &c.ranks[r]
		if v.busy {
			continue
		}
		o, ok := c.due(r, now)
		if !ok {
			continue
		}
		v.busy, v.sent = true, now
		o.Epoch, o.Fence = c.cfg.Epoch, uint64(c.highest)
		commands = append(commands, Command{Rank: r, Order: o})
	}
	return commands
}

// advance enters the next phase once its condition holds.
func (c *Coordinator) advance(now time.Time) {
	for {
		before := c.phase
		c.yield()
		switch c.phase {
		case PhaseIdle:
			c.refresh(now)
			c.takeOver(now)
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
			c.undoTimedOut(c.holdAt, now)
		case PhaseUndo:
			c.afterUndo(now)
		case PhaseRelease:
			c.afterFree()
		}
		if c.phase == before {
			return
		}
	}
}

// yield abandons the own round when a rank is armed for another one: its
// coordinator has given all ranks a prepare, so they have dropped what this one
// prepared.
func (c *Coordinator) yield() {
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

// absent reports whether a rank has been out of reach for long.
func (c *Coordinator) absent(rank int, now time.Time) bool {
	v := &c.ranks[rank]
	return !v.missed.IsZero() && now.Sub(v.missed) >= c.cfg.UnreachableAfter
}

// refresh has ranks read again that seem to use another map than the first one:
// another coordinator may have switched since.
func (c *Coordinator) refresh(now time.Time) {
	for r := range c.ranks {
		if c.ranks[r].state.Map == c.ranks[0].state.Map {
			continue
		}
		for _, v := range []*rankView{&c.ranks[0], &c.ranks[r]} {
			v.stale = v.stale || now.Sub(v.readAt) >= c.cfg.ReadInterval
		}
	}
}

// takeOver undoes what another coordinator has left. It never finishes it: the
// other one may be undoing it at the same time. Ranks of other coordinators may
// be out of reach, as one that froze has its own rank on the same host.
func (c *Coordinator) takeOver(now time.Time) {
	left, step := false, uint64(math.MaxUint64)
	for r := range c.ranks {
		v := &c.ranks[r]
		if !v.known || v.stale {
			if r >= c.cfg.Candidates || r == c.cfg.Rank || !c.absent(r, now) {
				return
			}
			continue
		}
		if v.state.Held != nil {
			left, step = true, min(step, *v.state.Held)
		}
		if v.state.Armed != nil {
			left, step = true, min(step, v.state.Armed.Step)
		}
	}
	if left {
		c.undoForeign(step, now)
	}
}

func (c *Coordinator) afterPrepare(now time.Time) {
	for r := range c.ranks {
		v := &c.ranks[r]
		if v.ordered && !v.stale && v.state.Armed == nil && v.state.Prepared == c.version {
			continue
		}
		if now.After(c.deadline) {
			c.note("prepare timed out", r)
			c.forget()
		}
		return
	}
	c.margin = c.distance()
	c.place()
	c.holdAt = c.holdRankOf(c.cfg.Rank)
	c.placed = now
	c.enter(PhaseHold, now.Add(c.cfg.ArmTimeout))
}

// holds reports whether the round's pass is known to be held here.
func (c *Coordinator) holds() bool {
	v := &c.ranks[c.holdAt]
	return v.known && !v.stale && v.state.Held != nil && *v.state.Held == c.step
}

func (c *Coordinator) afterHold(now time.Time) {
	switch {
	case c.holds():
		for r := range c.ranks {
			v := &c.ranks[r]
			v.fresh, v.ended, v.stale = false, now, true
		}
		c.enter(PhaseCheck, now.Add(c.cfg.ArmTimeout))
	case now.After(c.deadline):
		c.abandon("hold timed out", c.holdAt)
	}
}

// afterCheck arms the ranks once each was read since the pass is held, and no
// other coordinator holds one: that one may be undoing what it found, and would
// take this round for it.
func (c *Coordinator) afterCheck(now time.Time) {
	for r := range c.ranks {
		v := &c.ranks[r]
		switch {
		case v.stale && now.After(c.deadline):
			c.abandon("check timed out", r)
			return
		case v.stale:
			return
		case v.state.Prepared != c.version, v.state.Held != nil && r != c.holdAt:
			c.abandon("another coordinator is at work", r)
			return
		}
	}
	if !c.holds() {
		c.abandon("the hold was let go", c.holdAt)
		return
	}
	c.enter(PhaseArm, now.Add(c.cfg.ArmTimeout))
}

func (c *Coordinator) afterArm(now time.Time) {
	for r := range c.ranks {
		if r == c.cfg.Rank || c.armed(r) {
			continue
		}
		if now.After(c.deadline) {
			c.undo("arm timed out", r, now)
		}
		return
	}
	c.phase = PhaseArmOwn
}

// afterArmOwn lets the pass go. The coordinator's own rank is armed last: while
// any other rank has not been armed, this one has not been either.
func (c *Coordinator) afterArmOwn(now time.Time) {
	switch {
	case c.armed(c.cfg.Rank):
		c.phase = PhaseGo
	case now.After(c.deadline):
		c.undo("arm timed out", c.cfg.Rank, now)
	}
}

// armed reports whether a rank is known to make the round's switch.
func (c *Coordinator) armed(rank int) bool {
	v := &c.ranks[rank]
	return v.known && !v.stale && v.state.Armed != nil && *v.state.Armed == Armed{Version: c.version, Step: c.step}
}

// afterGo waits for the pass once it is no longer held.
func (c *Coordinator) afterGo(now time.Time) {
	v := &c.ranks[c.holdAt]
	if v.stale || v.state.Held != nil && *v.state.Held == c.step {
		return
	}
	c.released = now
	c.phase = PhaseSettle
}

// settleTimeout is how long a pass that another coordinator holds is waited for
// before that one counts as gone.
const settleTimeout = 500 * time.Millisecond

// afterSettle ends a round once its pass has begun. An idle group makes none.
func (c *Coordinator) afterSettle(now time.Time) {
	if c.holds() {
		// An order to hold took effect after the one to go.
		c.phase = PhaseGo
		return
	}
	waits := false
	for r := range c.ranks {
		v := &c.ranks[r]
		waits = waits || v.stale || v.state.Armed != nil
		if v.state.Held != nil && now.Sub(c.released) > settleTimeout {
			c.note("a pass is held by another coordinator", r)
			c.forget()
			return
		}
	}
	if waits {
		return
	}
	c.switched++
	c.events = append(c.events, Event{
		Name: "switched", Version: c.version, Step: c.step, Rank: wholeGroup,
		Prepare: c.placed.Sub(c.began), Arm: c.released.Sub(c.placed), Settle: now.Sub(c.released),
	})
	c.current = c.target
	c.armedIn(c.released.Sub(c.placed))
	c.forget()
}

// afterUndo lets the pass go on once no arming of the round can take effect any
// more. The own rank of the coordinator that began the round may be left out when
// it is out of reach: it is armed last and disarmed first, so it is not armed if
// some other rank has never been armed. An undoing of yet another coordinator
// could have disarmed that one, but then it holds the pass as well.
func (c *Coordinator) afterUndo(now time.Time) {
	never, left := false, unknown
	for r := range c.ranks {
		v := &c.ranks[r]
		switch {
		case v.undone:
			never = never || !v.wasArmed
		case c.strange(v):
			c.note("another coordinator's round", r)
			c.forget()
			return
		case c.foreign && left == unknown && r < c.cfg.Candidates && r != c.cfg.Rank && c.absent(r, now):
			left = r
		default:
			c.undoTimedOut(r, now)
			return
		}
	}
	if left != unknown {
		if !never || !c.alone || c.owner() != left {
			c.undoTimedOut(left, now)
			return
		}
		c.note("undone without a rank out of reach", left)
	}
	c.phase = PhaseRelease
}

// strange reports whether a rank is armed for a round that no rank was armed for
// when the pass had just been held. That round is not the one to undo.
func (c *Coordinator) strange(v *rankView) bool {
	if v.stale || !v.fresh || v.state.Armed == nil {
		return false
	}
	for r := range c.ranks {
		if c.ranks[r].fresh && c.ranks[r].found == v.state.Armed.Version {
			return false
		}
	}
	return true
}

func (c *Coordinator) undoTimedOut(rank int, now time.Time) {
	if now.After(c.deadline) {
		c.note("undo timed out", rank)
		c.forget()
	}
}

// owner returns the coordinator whose hold is the only one beside this one's, as
// the ranks said after this one's was in force.
func (c *Coordinator) owner() int {
	owner := unknown
	for r := range c.ranks {
		v := &c.ranks[r]
		if r == c.holdAt || v.stale || v.state.Held == nil {
			continue
		}
		if owner != unknown || r < c.cfg.Candidates || r >= 2*c.cfg.Candidates {
			return unknown
		}
		owner = r - c.cfg.Candidates
	}
	return owner
}

// afterFree ends an undone round once its pass goes on at every rank.
func (c *Coordinator) afterFree() {
	for r := range c.ranks {
		if c.frees(r) {
			return
		}
	}
	c.note("undone", wholeGroup)
	c.forget()
}

// frees reports whether a rank has still to be told to let the undone pass go.
func (c *Coordinator) frees(rank int) bool {
	v := &c.ranks[rank]
	return v.undone && !v.freed && (v.stale || v.state.Held != nil && *v.state.Held == c.step)
}
