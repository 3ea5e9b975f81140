package holdswitch

import (
	"math"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// Step returns the orders that are due. Each rank has one at a time on its way.
func (c *Coordinator) Step(now time.Time) []Command {
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
		v.busy = true
		o.Epoch, o.Fence = c.cfg.Epoch, uint64(c.highest)
		commands = append(commands, Command{Rank: r, Order: o})
	}
	return commands
}

// advance enters the next phase once its condition holds.
func (c *Coordinator) advance(now time.Time) {
	for {
		before := c.phase
		switch c.phase {
		case PhaseIdle:
			c.takeOver(now)
		case PhasePrepare:
			c.afterPrepare(now)
		case PhaseHold:
			c.afterHold(now)
		case PhaseArm:
			c.afterArm(now)
		case PhaseArmOwn:
			c.afterArmOwn(now)
		case PhaseGo:
			c.afterGo(now)
		case PhaseSettle:
			c.afterSettle(now)
		case PhaseSecure:
			c.afterSecure(now)
		case PhaseUndo:
			c.afterUndo(now)
		case PhaseFree:
			c.afterFree()
		}
		if c.phase == before {
			return
		}
	}
}

// absent reports whether a rank has been out of reach for long.
func (c *Coordinator) absent(rank int, now time.Time) bool {
	v := &c.ranks[rank]
	return !v.missed.IsZero() && now.Sub(v.missed) >= c.cfg.AbsentAfter
}

// takeOver undoes what another coordinator has left. It never finishes it: the
// other one may be undoing it at the same time. Ranks of other coordinators may
// be out of reach, as one that froze has its own rank on the same host.
func (c *Coordinator) takeOver(now time.Time) {
	left, step := false, uint64(math.MaxUint64)
	for r := range c.ranks {
		v := &c.ranks[r]
		if !v.known || v.stale {
			if r >= c.cfg.Standbys || r == c.cfg.Rank || !c.absent(r, now) {
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
	if !left {
		return
	}
	c.step, c.version, c.foreign = step, 0, true
	c.undo("found an unfinished round", wholeGroup, now)
}

func (c *Coordinator) afterPrepare(now time.Time) {
	for r := range c.ranks {
		v := &c.ranks[r]
		if !v.ordered || v.stale || v.state.Prepared != c.version {
			if now.After(c.deadline) {
				c.note("prepare timed out", r)
				c.forget()
			}
			return
		}
		if v.state.Sequence != v.sequence || v.state.Armed != nil {
			c.note("another coordinator gives orders", r)
			c.forget()
			return
		}
	}
	c.margin = c.cfg.Margin
	c.place()
	c.placed = now
	c.enter(PhaseHold, now.Add(c.cfg.ArmTimeout))
}

// holds reports whether the round's pass is known to be held here.
func (c *Coordinator) holds() bool {
	v := &c.ranks[c.HoldRank()]
	return v.known && !v.stale && v.state.Held != nil && *v.state.Held == c.step
}

func (c *Coordinator) afterHold(now time.Time) {
	switch {
	case c.holds():
		c.enter(PhaseArm, now.Add(c.cfg.ArmTimeout))
	case now.After(c.deadline):
		c.undo("hold timed out", c.HoldRank(), now)
	}
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
	v := &c.ranks[c.HoldRank()]
	if v.stale || v.state.Held != nil && *v.state.Held == c.step {
		return
	}
	c.released = now
	c.phase = PhaseSettle
}

// afterSettle ends a round once its pass has begun. An idle group makes none.
func (c *Coordinator) afterSettle(now time.Time) {
	for r := range c.ranks {
		if c.ranks[r].stale || c.ranks[r].state.Armed != nil {
			return
		}
	}
	c.switched++
	c.events = append(c.events, Event{
		What: "switched", Version: c.version, Step: c.step, Rank: wholeGroup,
		Prepare: c.placed.Sub(c.began), Arm: c.released.Sub(c.placed), Settle: now.Sub(c.released),
	})
	c.current = c.target
	c.forget()
}

// afterSecure begins to undo a round once its pass is held here.
func (c *Coordinator) afterSecure(now time.Time) {
	if c.holds() {
		c.enter(PhaseUndo, now)
	}
}

// afterUndo lets the pass go on once no order of the round can take effect any
// more. A rank out of reach may be left out when it can't be armed: it is the
// coordinator's own that began the round, and some other rank has never been
// armed in it. An undoing of yet another coordinator could have disarmed that
// one, but then it holds the pass as well, and its hold is not touched here.
func (c *Coordinator) afterUndo(now time.Time) {
	never, absent := false, wholeGroup
	for r := range c.ranks {
		v := &c.ranks[r]
		switch {
		case v.undone:
			never = never || !v.wasArmed
		case c.foreign && absent == wholeGroup && r < c.cfg.Standbys && r != c.cfg.Rank && c.absent(r, now):
			absent = r
		default:
			return
		}
	}
	if absent != wholeGroup {
		if !never || !c.onlyHeldBy(absent) {
			return
		}
		c.note("undone without a rank out of reach", absent)
	}
	c.phase = PhaseFree
}

// onlyHeldBy reports whether no coordinator but one and this one holds a pass.
func (c *Coordinator) onlyHeldBy(coordinator int) bool {
	for r := range c.ranks {
		v := &c.ranks[r]
		if v.known && !v.stale && v.state.Held != nil && r != c.HoldRank() && r != c.holdRankOf(coordinator) {
			return false
		}
	}
	return true
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
	return v.undone && !v.freed && v.state.Held != nil && *v.state.Held == c.step
}

// due returns the next order to a rank.
func (c *Coordinator) due(rank int, now time.Time) (Order, bool) {
	v := &c.ranks[rank]
	if !v.known || v.stale {
		return Order{Kind: OrderRead}, true
	}
	switch c.phase {
	case PhasePrepare:
		return c.duePrepare(v, now)
	case PhaseHold, PhaseSecure:
		return c.dueHold(rank, v)
	case PhaseArm, PhaseArmOwn:
		due := (rank == c.cfg.Rank) == (c.phase == PhaseArmOwn) && !c.armed(rank)
		return Order{Kind: OrderArm, Version: c.version, Step: c.step, Sequence: v.sequence}, due
	case PhaseGo:
		return Order{Kind: OrderGo, Step: c.step, Sequence: v.state.Sequence}, rank == c.HoldRank()
	case PhaseSettle:
		return Order{Kind: OrderRead}, v.state.Armed != nil && now.Sub(v.readAt) >= c.cfg.ReadInterval
	case PhaseFree:
		// The number is that of the undoing: a rank that another coordinator has
		// given a prepare since belongs to that one.
		return Order{Kind: OrderGo, Step: c.step, Sequence: v.sequence}, c.frees(rank)
	case PhaseUndo:
		return c.dueUndo(rank, v)
	default:
		return Order{}, false
	}
}

func (c *Coordinator) duePrepare(v *rankView, now time.Time) (Order, bool) {
	switch {
	case !v.ordered:
		return Order{Kind: OrderPrepare, Version: c.version, Map: c.target, Sequence: v.state.Sequence}, true
	case v.state.Prepared != c.version && now.Sub(v.readAt) >= c.cfg.ReadInterval:
		return Order{Kind: OrderRead}, true
	default:
		return Order{}, false
	}
}

func (c *Coordinator) dueHold(rank int, v *rankView) (Order, bool) {
	switch {
	case rank != c.HoldRank() || c.holds():
		return Order{}, false
	case v.state.Held != nil:
		// A rank holds one pass at a time; an earlier one is let go.
		return Order{Kind: OrderGo, Step: *v.state.Held, Sequence: v.state.Sequence}, true
	default:
		return Order{Kind: OrderHold, Step: c.step, Sequence: v.state.Sequence}, true
	}
}

// dueUndo disarms a rank, and then voids every order that is still on its way.
// The coordinator's own rank, which is armed last, is disarmed first.
func (c *Coordinator) dueUndo(rank int, v *rankView) (Order, bool) {
	filler := c.filler()
	switch {
	case v.undone || filler == nil:
		return Order{}, false
	case !c.foreign && rank != c.cfg.Rank && !c.ranks[c.cfg.Rank].undone:
		return Order{}, false
	case v.state.Armed != nil:
		return Order{Kind: OrderDisarm, Version: v.state.Armed.Version, Sequence: v.state.Sequence}, true
	default:
		version := c.cfg.NewVersion(c.highest)
		c.highest = version
		return Order{Kind: OrderPrepare, Version: version, Map: filler.WithVersion(version), Sequence: v.state.Sequence}, true
	}
}

// filler returns a map that ranks can prepare without copying anything.
func (c *Coordinator) filler() *expertmap.Map {
	if c.current != nil {
		return c.current
	}
	return c.spare
}
