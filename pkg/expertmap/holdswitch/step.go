package holdswitch

import (
	"math"
	"time"
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
		case PhaseGo:
			c.afterGo()
		case PhaseSettle:
			c.afterSettle()
		case PhaseSecure:
			c.afterSecure(now)
		case PhaseUndo:
			c.afterUndo()
		case PhaseFree:
			c.afterFree()
		}
		if c.phase == before {
			return
		}
	}
}

// takeOver undoes what another coordinator has left. It never finishes it: the
// other one may be undoing it at the same time.
func (c *Coordinator) takeOver(now time.Time) {
	left, step := false, uint64(math.MaxUint64)
	for r := range c.ranks {
		v := &c.ranks[r]
		if !v.known || v.stale {
			return
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
	c.step, c.version = step, 0
	c.undo("found an unfinished round", -1, now)
}

func (c *Coordinator) afterPrepare(now time.Time) {
	for r := range c.ranks {
		v := &c.ranks[r]
		if !v.ordered || v.stale || v.state.Prepared != c.version {
			if now.After(c.deadline) {
				c.note("prepare timed out", r)
				c.phase = PhaseIdle
			}
			return
		}
		if v.state.Sequence != v.sequence || v.state.Armed != nil {
			c.note("another coordinator gives orders", r)
			c.phase = PhaseIdle
			return
		}
	}
	c.margin = c.cfg.Margin
	c.place()
	c.enter(PhaseHold, now.Add(c.cfg.ArmTimeout))
}

func (c *Coordinator) afterHold(now time.Time) {
	v := &c.ranks[c.cfg.Rank]
	switch {
	case !v.stale && v.state.Held != nil && *v.state.Held == c.step:
		c.enter(PhaseArm, now.Add(c.cfg.ArmTimeout))
	case now.After(c.deadline):
		c.undo("hold timed out", c.cfg.Rank, now)
	}
}

func (c *Coordinator) afterArm(now time.Time) {
	for r := range c.ranks {
		if c.armed(r) {
			continue
		}
		if now.After(c.deadline) {
			c.undo("arm timed out", r, now)
		}
		return
	}
	c.enter(PhaseGo, time.Time{})
}

// armed reports whether a rank is known to make the round's switch.
func (c *Coordinator) armed(rank int) bool {
	v := &c.ranks[rank]
	return v.known && !v.stale && v.state.Armed != nil && *v.state.Armed == Armed{Version: c.version, Step: c.step}
}

// afterGo waits for the pass once it is no longer held.
func (c *Coordinator) afterGo() {
	v := &c.ranks[c.cfg.Rank]
	if v.stale || v.state.Held != nil && *v.state.Held == c.step {
		return
	}
	c.phase = PhaseSettle
}

// afterSettle ends a round once its pass has begun. An idle group makes none.
func (c *Coordinator) afterSettle() {
	for r := range c.ranks {
		if c.ranks[r].stale || c.ranks[r].state.Armed != nil {
			return
		}
	}
	c.switched++
	c.note("switched", -1)
	c.current = c.target
	c.forget()
}

// afterSecure begins to undo a round once its pass is held here.
func (c *Coordinator) afterSecure(now time.Time) {
	v := &c.ranks[c.cfg.Rank]
	if !v.stale && v.state.Held != nil && *v.state.Held == c.step {
		c.enter(PhaseUndo, now)
	}
}

func (c *Coordinator) afterUndo() {
	for r := range c.ranks {
		if !c.ranks[r].undone {
			return
		}
	}
	c.phase = PhaseFree
}

// afterFree ends an undone round once its pass goes on at every rank.
func (c *Coordinator) afterFree() {
	for r := range c.ranks {
		if c.frees(r) {
			return
		}
	}
	c.note("undone", -1)
	c.forget()
}

// frees reports whether a rank has still to be told to let the undone pass go.
func (c *Coordinator) frees(rank int) bool {
	v := &c.ranks[rank]
	return !v.freed && v.state.Held != nil && *v.state.Held == c.step
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
	case PhaseArm:
		if c.armed(rank) {
			return Order{}, false
		}
		return Order{Kind: OrderArm, Version: c.version, Step: c.step, Sequence: v.sequence}, true
	case PhaseGo:
		return Order{Kind: OrderGo, Step: c.step, Sequence: v.state.Sequence}, rank == c.cfg.Rank
	case PhaseSettle:
		return Order{Kind: OrderRead}, v.state.Armed != nil && now.Sub(v.readAt) >= c.cfg.ReadInterval
	case PhaseFree:
		// The number is that of the undoing: a rank that another coordinator has
		// given a prepare since belongs to that one.
		return Order{Kind: OrderGo, Step: c.step, Sequence: v.sequence}, c.frees(rank)
	case PhaseUndo:
		return c.dueUndo(v)
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
	if rank != c.cfg.Rank || v.state.Held != nil && *v.state.Held == c.step {
		return Order{}, false
	}
	if v.state.Held != nil {
		// A rank holds one pass at a time; an earlier one of its own is let go.
		return Order{Kind: OrderGo, Step: *v.state.Held, Sequence: v.state.Sequence}, true
	}
	return Order{Kind: OrderHold, Step: c.step, Sequence: v.state.Sequence}, true
}

// dueUndo disarms a rank, and then voids every order that is still on its way.
func (c *Coordinator) dueUndo(v *rankView) (Order, bool) {
	switch {
	case v.undone:
		return Order{}, false
	case v.state.Armed != nil:
		return Order{Kind: OrderDisarm, Version: v.state.Armed.Version, Sequence: v.state.Sequence}, true
	case c.current == nil:
		return Order{}, false
	default:
		version := c.cfg.NewVersion(c.highest)
		c.highest = version
		return Order{Kind: OrderPrepare, Version: version, Map: c.current.WithVersion(version), Sequence: v.state.Sequence}, true
	}
}
