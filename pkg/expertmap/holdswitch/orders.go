package holdswitch

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// nextOrder returns the next order for a rank and whether one is due.
func (c *Coordinator) nextOrder(rank int, now time.Time) (Order, bool) {
	v := &c.ranks[rank]
	if !v.known || v.stale {
		return Order{Kind: OrderRead}, true
	}
	switch c.phase {
	case PhasePrepare:
		return c.nextPrepareOrder(v, now)
	case PhaseHold, PhaseUndoHold:
		return Order{Kind: OrderHold, Step: c.step}, c.holdDue(rank)
	case PhaseArm, PhaseArmOwn:
		due := (rank == c.cfg.Rank) == (c.phase == PhaseArmOwn) && !c.armConfirmed(rank)
		return Order{Kind: OrderArm, Version: c.version, Step: c.step}, due
	case PhaseGo:
		return Order{Kind: OrderGo, Step: c.step}, rank == c.holdRank
	case PhaseSettle:
		return Order{Kind: OrderRead}, c.settleReadDue(rank, now)
	case PhaseRelease:
		return Order{Kind: OrderGo, Step: c.step}, c.needsRelease(rank)
	case PhaseUndo:
		return c.nextUndoOrder(rank, v, now)
	default:
		return Order{}, false
	}
}

// settleReadDue reports whether to read a rank to see whether it uses the new map. The
// other ranks are only read once the pass has begun at the coordinator's own rank.
func (c *Coordinator) settleReadDue(rank int, now time.Time) bool {
	v, own := &c.ranks[rank], &c.ranks[c.cfg.Rank]
	begun := rank == c.cfg.Rank || own.state.Step >= c.step
	return begun && v.state.Armed != nil && now.Sub(v.readAt) >= c.cfg.ReadInterval
}

// holdDue reports whether to order a rank to hold the pass. An undo always sends a new
// hold order, whatever the known state.
func (c *Coordinator) holdDue(rank int) bool {
	return rank == c.holdRank && (c.phase == PhaseUndoHold || !c.holdConfirmed())
}

func (c *Coordinator) nextPrepareOrder(v *rankView, now time.Time) (Order, bool) {
	switch {
	case !v.prepareAccepted:
		return Order{Kind: OrderPrepare, Version: c.version, Map: c.target}, true
	case v.state.Prepared != c.version && now.Sub(v.readAt) >= c.cfg.ReadInterval:
		return Order{Kind: OrderRead}, true
	default:
		return Order{}, false
	}
}

// nextUndoOrder disarms a rank and then voids every arm order that may still be in
// flight. The coordinator's own rank, which is armed last, is disarmed first, since the
// coordinator may have started the round itself before it restarted.
func (c *Coordinator) nextUndoOrder(rank int, v *rankView, now time.Time) (Order, bool) {
	switch {
	case now.After(c.deadline) || v.undone || rank != c.cfg.Rank && !c.ranks[c.cfg.Rank].undone:
		return Order{}, false
	case v.state.Armed != nil && v.state.Armed.Step < c.step:
		// The hold does not cover an earlier pass, which must begin first.
		return Order{Kind: OrderRead}, now.Sub(v.readAt) >= c.cfg.ReadInterval
	case v.state.Armed != nil:
		return Order{Kind: OrderDisarm, Version: v.state.Armed.Version}, !c.armedForUnknownRound(v)
	default:
		return c.voidPrepareOrder()
	}
}

// voidPrepareOrder returns a prepare that changes nothing but voids earlier arm orders.
// It is the same for all ranks that accept its version.
func (c *Coordinator) voidPrepareOrder() (Order, bool) {
	base := c.voidPrepareMap()
	if base == nil {
		return Order{}, false
	}
	if c.voidVersion == 0 {
		c.voidVersion = c.cfg.NewVersion(c.highestVersion)
		c.highestVersion = c.voidVersion
		c.voidMap = base.WithVersion(c.voidVersion)
	}
	return Order{Kind: OrderPrepare, Version: c.voidVersion, Map: c.voidMap, Void: true}, true
}

// voidPrepareMap returns a map that ranks can prepare with little or no copying.
func (c *Coordinator) voidPrepareMap() *expertmap.Map {
	if m := c.CurrentMap(); m != nil {
		return m
	}
	return c.fallbackMap
}
