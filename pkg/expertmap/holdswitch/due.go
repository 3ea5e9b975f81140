package holdswitch

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// due returns the next order to a rank.
func (c *Coordinator) due(rank int, now time.Time) (Order, bool) {
	v := &c.ranks[rank]
	if !v.known || v.stale {
		return Order{Kind: OrderRead}, true
	}
	switch c.phase {
	case PhasePrepare:
		return c.duePrepare(v, now)
	case PhaseHold, PhaseUndoHold:
		return Order{Kind: OrderHold, Step: c.step}, c.dueHold(rank)
	case PhaseArm, PhaseArmOwn:
		due := (rank == c.cfg.Rank) == (c.phase == PhaseArmOwn) && !c.armed(rank)
		return Order{Kind: OrderArm, Version: c.version, Step: c.step}, due
	case PhaseGo:
		return Order{Kind: OrderGo, Step: c.step}, rank == c.holdAt
	case PhaseSettle:
		return Order{Kind: OrderRead}, c.dueSettle(rank, now)
	case PhaseRelease:
		return Order{Kind: OrderGo, Step: c.step}, c.frees(rank)
	case PhaseUndo:
		return c.dueUndo(rank, v, now)
	default:
		return Order{}, false
	}
}

// dueSettle reports whether a rank should be read to see it use the new map. The
// others are only read once the pass has begun at the coordinator's own rank.
func (c *Coordinator) dueSettle(rank int, now time.Time) bool {
	v, own := &c.ranks[rank], &c.ranks[c.cfg.Rank]
	begun := rank == c.cfg.Rank || own.state.Step >= c.step
	return begun && v.state.Armed != nil && now.Sub(v.readAt) >= c.cfg.ReadInterval
}

// dueHold reports whether the pass has still to be held at a rank. An undoing
// holds it anew whatever is known.
func (c *Coordinator) dueHold(rank int) bool {
	return rank == c.holdAt && (c.phase == PhaseUndoHold || !c.holds())
}

func (c *Coordinator) duePrepare(v *rankView, now time.Time) (Order, bool) {
	switch {
	case !v.ordered:
		return Order{Kind: OrderPrepare, Version: c.version, Map: c.target}, true
	case v.state.Prepared != c.version && now.Sub(v.readAt) >= c.cfg.ReadInterval:
		return Order{Kind: OrderRead}, true
	default:
		return Order{}, false
	}
}

// dueUndo disarms a rank, and then voids every arming that is still on its way.
// The coordinator's own rank, which is armed last, is disarmed first: the round
// may be one that it began itself before it started anew.
func (c *Coordinator) dueUndo(rank int, v *rankView, now time.Time) (Order, bool) {
	switch {
	case now.After(c.deadline) || v.undone || rank != c.cfg.Rank && !c.ranks[c.cfg.Rank].undone:
		return Order{}, false
	case v.state.Armed != nil && v.state.Armed.Step < c.step:
		// The hold does not cover an earlier pass; it has to begin first.
		return Order{Kind: OrderRead}, now.Sub(v.readAt) >= c.cfg.ReadInterval
	case v.state.Armed != nil:
		return Order{Kind: OrderDisarm, Version: v.state.Armed.Version}, !c.strange(v)
	default:
		return c.void()
	}
}

// void returns a prepare that changes nothing, the same for all ranks that accept
// its version.
func (c *Coordinator) void() (Order, bool) {
	filler := c.filler()
	if filler == nil {
		return Order{}, false
	}
	if c.voidVersion == 0 {
		c.voidVersion = c.cfg.NewVersion(c.highest)
		c.highest = c.voidVersion
		c.voidMap = filler.WithVersion(c.voidVersion)
	}
	return Order{Kind: OrderPrepare, Version: c.voidVersion, Map: c.voidMap, Void: true}, true
}

// filler returns a map that ranks can prepare without copying anything.
func (c *Coordinator) filler() *expertmap.Map {
	if m := c.CurrentMap(); m != nil {
		return m
	}
	return c.spare
}
