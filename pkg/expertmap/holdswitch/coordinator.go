package holdswitch

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// Config configures a coordinator.
type Config struct {
	// Rank is the coordinator's own rank, Ranks the number of ranks in the group.
	Rank  int
	Ranks int
	// Candidates is the number of ranks, counted from rank 0, that may coordinate.
	Candidates int
	// Epoch is the group's epoch that the coordinator serves.
	Epoch uint64
	// MinMargin is the minimum number of passes between the current pass and a
	// scheduled switch.
	MinMargin uint64
	// PrepareTimeout limits the copying of experts. ArmTimeout limits each of holding a
	// pass, checking the ranks and arming them.
	PrepareTimeout time.Duration
	ArmTimeout     time.Duration
	// ReadInterval is the minimum time between two reads of a rank whose state is
	// expected to change, for example while it copies experts.
	ReadInterval time.Duration
	// UnreachableAfter is how long a rank must be without a response to count as
	// unreachable, so that an undo of its own coordinator's round may skip it.
	UnreachableAfter time.Duration
	// NewVersion returns a version above the given one that no coordinator has used.
	NewVersion func(above expertmap.Version) expertmap.Version
}

// Phase is the current activity of a coordinator.
type Phase string

// Phases of a coordinator.
const (
	// PhaseIdle runs no round, and looks for unfinished rounds of other coordinators.
	PhaseIdle Phase = "idle"
	// PhasePrepare waits until every rank has copied the experts of the map.
	PhasePrepare Phase = "prepare"
	// PhaseHold holds the pass of the switch at one rank.
	PhaseHold Phase = "hold"
	// PhaseCheck reads every rank once the pass is held. No rank is armed while
	// another coordinator holds a pass.
	PhaseCheck Phase = "check"
	// PhaseArm arms all ranks except the coordinator's own, PhaseArmOwn that one.
	PhaseArm    Phase = "arm"
	PhaseArmOwn Phase = "arm own"
	// PhaseGo releases the pass after all ranks are armed.
	PhaseGo Phase = "go"
	// PhaseSettle waits until the pass of the switch has begun on every rank.
	PhaseSettle Phase = "settle"
	// PhaseUndoHold holds the pass of another coordinator's round before its undo.
	PhaseUndoHold Phase = "secure"
	// PhaseUndo disarms every rank and voids the arm orders that may still be in flight.
	PhaseUndo Phase = "undo"
	// PhaseRelease releases the pass of an undone or abandoned round.
	PhaseRelease Phase = "free"
)

// Event describes a state change of the coordinator for logs and metrics.
type Event struct {
	// Name is the kind of the event; it is also the value of a metric label. Version and
	// Step are the map version and the pass that the event concerns.
	Name    string
	Version expertmap.Version
	Step    uint64
	// Rank is the rank that the event concerns, -1 for the whole group.
	Rank int
	// Prepare, Arm and Settle are the durations of a finished round: copying the
	// experts, holding the pass and arming the ranks, and waiting for the pass.
	Prepare, Arm, Settle time.Duration
}

// allRanks is Event.Rank of an event that concerns the whole group. noCoordinator is
// the coordinator's rank when it is not known.
const (
	allRanks      = -1
	noCoordinator = -1
)

// rankView is the coordinator's view of one rank.
type rankView struct {
	state State
	known bool
	// stale is true when the state must be read again before the next decision.
	// unreachableSince is when the rank stopped responding, zero while it responds.
	stale            bool
	unreachableSince time.Time
	// inFlight is true while an order sent at sentAt has no result. States from before
	// ignoreBefore are ignored, since they may precede the effect of the latest order.
	inFlight     bool
	sentAt       time.Time
	ignoreBefore time.Time
	// readAt is when the state was read, asOf the earliest time that it may describe.
	readAt time.Time
	asOf   time.Time
	// prepareAccepted is true once the rank has accepted the round's prepare. undone is
	// true once it has accepted a void prepare, so that no earlier arm order can take
	// effect, or once an abandoned round only has to release its hold here.
	prepareAccepted bool
	undone          bool
	// readSinceHold is true once the rank was read after the pass of the round to undo
	// was held. armedAtHold is the version that it was armed for in that first read, 0
	// for none.
	readSinceHold bool
	armedAtHold   expertmap.Version
	// seenArmed is true once the rank was seen armed since then.
	seenArmed bool
	// released is true once the rank has responded to an order to release the undone pass.
	released bool
	// unansweredGo is the highest pass for which a go order has no response.
	unansweredGo uint64
}

// Coordinator coordinates the map switches of one group in one epoch.
type Coordinator struct {
	cfg   Config
	ranks []rankView

	// firstObservedAt is when the coordinator first observed a rank's state.
	firstObservedAt time.Time
	// deadline is that of the phase.
	phase    Phase
	deadline time.Time
	// target is the map that the round switches to, version its version, and step the
	// pass of the switch: the first that uses the map. margin is the number of passes
	// between the latest pass that has begun and step.
	target  *expertmap.Map
	version expertmap.Version
	step    uint64
	margin  uint64
	// undoingOther is true while undoing another coordinator's round.
	undoingOther bool
	// holdRank is the rank at which the round's pass is held.
	holdRank int
	// exclusiveHold is true when no other coordinator can have held a pass at holdRank
	// before.
	exclusiveHold bool
	// currentMap is the current map with its layers, nil until it is known.
	currentMap *expertmap.Map
	// fallbackMap is a map that the reachable ranks can prepare with little copying.
	fallbackMap *expertmap.Map
	// voidVersion and voidMap are the version and map of the undo's void prepare, 0 and
	// nil until one is due.
	voidVersion    expertmap.Version
	voidMap        *expertmap.Map
	highestVersion expertmap.Version
	switchCount    int
	undoCount      int
	epochEnded     bool
	// startedAt, scheduledAt and releasedAt are when the round started, scheduled its
	// pass and released it.
	startedAt, scheduledAt, releasedAt time.Time
	// passTime is a moving average of the time of a pass. armTime is the longest time
	// that recent rounds took to arm, reduced by armDecay with each round.
	passTime, armTime time.Duration
	events            []Event
}

// New returns an idle coordinator that has not observed any rank.
func New(cfg Config) *Coordinator {
	c := &Coordinator{
		cfg: cfg, ranks: make([]rankView, cfg.Ranks), phase: PhaseIdle, margin: cfg.MinMargin,
		armTime: time.Duration(cfg.Ranks) * armPerRank,
	}
	c.holdRank = c.holdRankFor(cfg.Rank)
	return c
}

// Phase returns the current phase.
func (c *Coordinator) Phase() Phase { return c.phase }

// SwitchCount returns the number of rounds that ended with a switch.
func (c *Coordinator) SwitchCount() int { return c.switchCount }

// UndoCount returns the number of undos that were started.
func (c *Coordinator) UndoCount() int { return c.undoCount }

// EpochEnded reports whether the group has left the coordinator's epoch.
func (c *Coordinator) EpochEnded() bool { return c.epochEnded }

// Events returns the events since the last call and clears them.
func (c *Coordinator) Events() []Event {
	events := c.events
	c.events = nil
	return events
}

func (c *Coordinator) recordEvent(name string, rank int) {
	c.events = append(c.events, Event{Name: name, Version: c.version, Step: c.step, Rank: rank})
}

// holdRankFor returns the rank at which a coordinator holds passes. Each coordinator
// uses a different rank, on another agent than its own, so that the rank stays
// reachable when the coordinator's host freezes.
func (c *Coordinator) holdRankFor(coordinator int) int {
	if c.cfg.Ranks < 2*c.cfg.Candidates {
		return coordinator
	}
	return coordinator + c.cfg.Candidates
}

// chooseHoldRank selects the rank at which to hold the pass of a round to undo. It
// must have been read since this coordinator's first observation and must not have an
// unanswered go order that could release the pass. A rank without a hold is
// preferred, since no other coordinator has reason to release its new hold; once every
// rank holds a pass, a rank that is not armed is selected. It returns false when there is
// no such rank, or while an exclusive hold rank has yet to be read: only a hold at one
// of those allows an undo to skip an unreachable rank.
func (c *Coordinator) chooseHoldRank(now time.Time) bool {
	ranks := []int{c.holdRankFor(c.cfg.Rank), c.cfg.Rank}
	for r := c.cfg.Ranks - 1; r >= 2*c.cfg.Candidates; r-- {
		ranks = append(ranks, r)
	}
	unread := false
	for _, allowHeld := range []bool{false, true} {
		for i, r := range ranks {
			v := &c.ranks[r]
			if !v.known || v.stale || v.unansweredGo >= c.step || v.asOf.Before(c.firstObservedAt) {
				// The next read may return a later state.
				v.stale = v.stale || v.asOf.Before(c.firstObservedAt)
				unread = unread || i < exclusiveHoldRanks && v.stale && !c.isUnreachable(r, now)
				continue
			}
			if i >= exclusiveHoldRanks && unread {
				return false
			}
			if v.state.Held == nil || allowHeld && *v.state.Held == c.step && v.state.Armed == nil {
				c.holdRank = r
				c.exclusiveHold = i < exclusiveHoldRanks && v.state.Held == nil
				return true
			}
		}
	}
	return false
}

// exclusiveHoldRanks is the number of ranks at which no other coordinator holds passes:
// the coordinator's hold rank and its own.
const exclusiveHoldRanks = 2

// CurrentVersion returns the version that all ranks use. It returns false unless the
// state of every rank is known and their versions agree.
func (c *Coordinator) CurrentVersion() (expertmap.Version, bool) {
	for r := range c.ranks {
		if !c.ranks[r].known || c.ranks[r].state.Map != c.ranks[0].state.Map {
			return 0, false
		}
	}
	return c.ranks[0].state.Map, true
}

// SetCurrentMap sets the current map with its layers.
func (c *Coordinator) SetCurrentMap(m *expertmap.Map) { c.currentMap = m }

// SetFallbackMap sets a map that the reachable ranks can prepare with little copying.
// Undos use it while the layers of the current map are not completely known.
func (c *Coordinator) SetFallbackMap(m *expertmap.Map) { c.fallbackMap = m }

// CurrentMap returns the current map, nil while its version or layers are unknown.
func (c *Coordinator) CurrentMap() *expertmap.Map {
	version, ok := c.CurrentVersion()
	if !ok || c.currentMap == nil || c.currentMap.Version != version {
		return nil
	}
	return c.currentMap
}

// Observe records the state of a rank as it was read.
func (c *Coordinator) Observe(rank int, s State, now time.Time) {
	v := &c.ranks[rank]
	if s.Epoch < c.cfg.Epoch {
		// The rank was read before it joined this epoch of the group.
		v.stale = true
		return
	}
	if s.Epoch != c.cfg.Epoch || v.known && s.Incarnation != v.state.Incarnation {
		c.epochEnded = true
		return
	}
	v.unreachableSince = time.Time{}
	if v.known && now.Add(-s.Age).Before(v.ignoreBefore) {
		// The state may precede the effect of the latest order.
		return
	}
	if rank == c.cfg.Rank && v.known {
		c.updatePassTime(s.Step-v.state.Step, now.Sub(v.readAt))
	}
	v.state, v.known, v.stale, v.readAt, v.asOf = s, true, false, now, now.Add(-s.Age)
	if c.firstObservedAt.IsZero() {
		c.firstObservedAt = now
	}
	c.highestVersion = max(c.highestVersion, s.Map, s.Prepared)
	if !v.readSinceHold {
		v.readSinceHold, v.armedAtHold = true, 0
		if s.Armed != nil {
			v.armedAtHold = s.Armed.Version
		}
	}
	if s.Armed != nil {
		v.seenArmed = true
		c.highestVersion = max(c.highestVersion, s.Armed.Version)
	}
}

// MarkUnreachable records that a rank has been unreachable since before this
// coordinator started, so that an undo need not wait UnreachableAfter for it again.
func (c *Coordinator) MarkUnreachable(rank int, since time.Time) {
	if v := &c.ranks[rank]; !v.known {
		v.unreachableSince = since
	}
}

// Propose starts a round that replaces the current map. It returns false unless the
// coordinator is idle and every rank is known and neither armed nor held.
func (c *Coordinator) Propose(m *expertmap.Map, now time.Time) bool {
	if c.phase != PhaseIdle || c.epochEnded || !c.ranksIdle() {
		return false
	}
	c.version = c.cfg.NewVersion(c.highestVersion)
	c.highestVersion = c.version
	c.target = m.WithVersion(c.version)
	c.undoingOther = false
	for r := range c.ranks {
		c.ranks[r].prepareAccepted, c.ranks[r].undone = false, false
	}
	c.startedAt = now
	c.enterPhase(PhasePrepare, now.Add(c.cfg.PrepareTimeout))
	return true
}

// ranksIdle reports whether every rank is known and neither armed nor held.
func (c *Coordinator) ranksIdle() bool {
	for r := range c.ranks {
		v := &c.ranks[r]
		if !v.known || v.stale || v.state.Armed != nil || v.state.Held != nil {
			return false
		}
	}
	return true
}

func (c *Coordinator) enterPhase(p Phase, deadline time.Time) {
	c.phase, c.deadline = p, deadline
}

// HandleResult processes the result of a command.
func (c *Coordinator) HandleResult(cmd Command, res Result, now time.Time) {
	v := &c.ranks[cmd.Rank]
	v.inFlight = false
	if cmd.Order.Kind != OrderRead {
		v.ignoreBefore = now
	}
	switch {
	case res.State != nil:
		s := *res.State
		if cmd.Order.Kind == OrderRead {
			// The rank may have been read right after the order was sent.
			s.Age = max(s.Age, now.Sub(v.sentAt))
		} else {
			v.stale = true
		}
		c.Observe(cmd.Rank, s, now)
	case res.Outcome == OutcomeDone && v.applyOrder(&cmd.Order):
	default:
		v.stale = true
		if v.unreachableSince.IsZero() && res.Outcome == OutcomeUnanswered {
			v.unreachableSince = now
		}
	}
	if c.epochEnded {
		return
	}
	switch cmd.Order.Kind {
	case OrderPrepare:
		c.handlePrepareResult(cmd.Rank, &cmd.Order, res)
	case OrderHold:
		c.handleHoldResult(res, now)
	case OrderArm:
		if res.Outcome == OutcomeRefused && (c.phase == PhaseArm || c.phase == PhaseArmOwn) && cmd.Order.Version == c.version {
			c.startUndo("arm refused", cmd.Rank, now)
		}
	case OrderGo:
		if res.Outcome == OutcomeUnanswered {
			v.unansweredGo = max(v.unansweredGo, cmd.Order.Step)
			return
		}
		v.released = v.released || c.phase == PhaseRelease
	}
}

// applyOrder updates the view of a rank by an order that it has carried out. It
// returns false when the rank must be read to know its state.
func (v *rankView) applyOrder(o *Order) bool {
	switch o.Kind {
	case OrderHold:
		v.state.Held = &o.Step
	case OrderGo:
		if v.state.Held != nil && *v.state.Held == o.Step {
			v.state.Held = nil
		}
	case OrderArm:
		v.state.Armed = &Armed{Version: o.Version, Step: o.Step}
	case OrderDisarm:
		v.state.Armed = nil
	default:
		return false
	}
	return v.known && !v.stale
}

func (c *Coordinator) handlePrepareResult(rank int, o *Order, res Result) {
	v := &c.ranks[rank]
	switch {
	case c.phase == PhaseUndo:
		v.undone = v.undone || res.Outcome == OutcomeDone
		if res.Outcome == OutcomeRefused {
			v.seenArmed = true
			c.voidVersion = 0
		}
	case c.phase != PhasePrepare || o.Version != c.version:
	case res.Outcome == OutcomeDone:
		v.prepareAccepted = true
	case res.Outcome == OutcomeRefused:
		c.recordEvent("prepare refused", rank)
		c.resetToIdle()
	}
}

func (c *Coordinator) handleHoldResult(res Result, now time.Time) {
	switch {
	case c.phase == PhaseHold && res.Outcome == OutcomeRefused:
		// The pass has already begun; schedule the next attempt further ahead.
		c.margin = min(c.margin+1, maxMargin)
		c.scheduleSwitch()
	case c.phase == PhaseUndoHold && res.Outcome == OutcomeRefused:
		// The pass has already begun.
		c.resetToIdle()
	case c.phase == PhaseUndoHold && res.Outcome == OutcomeDone:
		c.enterUndo(now)
	}
}

// passWeight is the weight of the latest sample in the average time of a pass.
const passWeight = 0.1

// updatePassTime adds the number of passes between two reads of the coordinator's own
// rank to the average time of a pass.
func (c *Coordinator) updatePassTime(passes uint64, elapsed time.Duration) {
	if passes == 0 || passes > maxPassesPerSample {
		return
	}
	pass := elapsed / time.Duration(passes)
	if c.passTime == 0 {
		c.passTime = pass
	}
	c.passTime += time.Duration(passWeight * float64(pass-c.passTime))
}

// maxPassesPerSample is the maximum number of passes in a sample of the pass time. A
// rank that was not read for long yields a poor estimate.
const maxPassesPerSample = 100

// armPerRank is the expected arming time for each rank before the first round has
// measured it. A coordinator has only a share of a core.
const armPerRank = 2 * time.Millisecond

// armDecay is the factor by which each round reduces the arming time of earlier
// rounds. Lost responses come in bursts, so the next round is likely to take as long.
const armDecay = 0.8

// recordArmTime records how long a round took to arm its ranks.
func (c *Coordinator) recordArmTime(took time.Duration) {
	c.armTime = max(took, time.Duration(armDecay*float64(c.armTime)))
}

// requiredMargin returns the margin, in passes, at which the ranks are armed before the
// switch is due. It includes one pass for the pass in progress, which may be about to end.
func (c *Coordinator) requiredMargin() uint64 {
	if c.passTime <= 0 {
		return c.cfg.MinMargin
	}
	passes := 1 + uint64((c.armTime+c.passTime-1)/c.passTime)
	return min(maxMargin, max(c.cfg.MinMargin, passes))
}

// maxMargin is the maximum margin, in passes.
const maxMargin = 12

// scheduleSwitch chooses the pass of the switch: margin passes after the latest one that
// is known to have begun.
func (c *Coordinator) scheduleSwitch() {
	step := uint64(0)
	for r := range c.ranks {
		step = max(step, c.ranks[r].state.Step)
	}
	// A go order for an earlier pass may still be in flight.
	c.step = max(step+c.margin, c.step+1)
}
