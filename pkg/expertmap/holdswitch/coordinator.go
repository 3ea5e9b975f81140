package holdswitch

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// Config is the settings of a coordinator.
type Config struct {
	// Rank is the coordinator's own rank, Ranks the number of ranks.
	Rank  int
	Ranks int
	// Candidates is how many of the lowest ranks may coordinate.
	Candidates int
	// Epoch is the forming of the group that the coordinator serves.
	Epoch uint64
	// MinMargin is how many passes ahead a switch is placed.
	MinMargin uint64
	// PrepareTimeout bounds the copying of experts, ArmTimeout the arming while a
	// pass is held.
	PrepareTimeout time.Duration
	ArmTimeout     time.Duration
	// ReadInterval is the time between two reads of a rank that copies.
	ReadInterval time.Duration
	// UnreachableAfter is how long a rank must stay without an answer to count as out
	// of reach when a round of its coordinator is undone.
	UnreachableAfter time.Duration
	// NewVersion returns a version above one, which no coordinator has used.
	NewVersion func(above expertmap.Version) expertmap.Version
}

// Phase is what a coordinator is doing.
type Phase string

// Phases.
const (
	PhaseIdle    Phase = "idle"
	PhasePrepare Phase = "prepare"
	PhaseHold    Phase = "hold"
	// PhaseCheck reads every rank once the pass is held: while another coordinator
	// holds one, nothing is armed.
	PhaseCheck Phase = "check"
	// PhaseArm arms all ranks but the coordinator's own, PhaseArmOwn that one.
	PhaseArm    Phase = "arm"
	PhaseArmOwn Phase = "arm own"
	PhaseGo     Phase = "go"
	// PhaseSettle waits for the pass of the switch to begin.
	PhaseSettle Phase = "settle"
	// PhaseUndoHold holds a pass of a round that is to be undone.
	PhaseUndoHold Phase = "secure"
	PhaseUndo     Phase = "undo"
	PhaseRelease  Phase = "free"
)

// Event is something worth a log line.
type Event struct {
	// Name happened, to which version at which pass.
	Name    string
	Version expertmap.Version
	Step    uint64
	// Rank is the rank that it is about, -1 for the whole group.
	Rank int
	// Prepare, Arm and Settle are how long a finished round copied experts, armed
	// its ranks, and waited for its pass.
	Prepare, Arm, Settle time.Duration
}

// wholeGroup stands for no rank in an event, unknown for no known coordinator.
const (
	wholeGroup = -1
	unknown    = -1
)

// rankView is what a coordinator knows of one rank.
type rankView struct {
	state State
	known bool
	// stale is true when the state must be read before the next decision, missed
	// since when it could not be read.
	stale  bool
	missed time.Time
	// busy is true while an order is on its way, which was sent at sent. ended is
	// when the latest one ended.
	busy  bool
	sent  time.Time
	ended time.Time
	// readAt is when the state was read, asOf how old it may be.
	readAt time.Time
	asOf   time.Time
	// ordered is true once the round's prepare was accepted, undone once a prepare
	// that changes nothing has made all arming before it void.
	ordered bool
	undone  bool
	// fresh is true once the rank was read since the pass of a round to undo was
	// held, found the version that it was armed for then, 0 for none.
	fresh bool
	found expertmap.Version
	// wasArmed is true when it was seen armed since then.
	wasArmed bool
	// freed is true once the rank was told to let the undone pass go.
	freed bool
	// letGo is the last pass that an order without an answer lets go.
	letGo uint64
}

// Coordinator drives the switches of one group in one epoch.
type Coordinator struct {
	cfg   Config
	ranks []rankView

	// since is when the coordinator was first told of a rank.
	since    time.Time
	phase    Phase
	deadline time.Time
	target   *expertmap.Map
	version  expertmap.Version
	step     uint64
	margin   uint64
	// foreign is true while a round of another coordinator is undone.
	foreign bool
	// holdAt is the rank at which the round's pass is held.
	holdAt int
	// alone is true when nobody else can have held a pass there before.
	alone bool
	// current is the map in force by content, nil until it is known.
	current *expertmap.Map
	// spare is a map that the ranks within reach can prepare without copying.
	spare *expertmap.Map
	// voidVersion and voidMap are what an undoing has ranks prepare, 0 for none yet.
	voidVersion expertmap.Version
	voidMap     *expertmap.Map
	highest     expertmap.Version
	switched    int
	undone      int
	lost        bool
	// began, placed and released are when the round began, chose its pass and let
	// it go.
	began, placed, released time.Time
	// passTime is the usual time of a pass, armTime how long the latest rounds were at
	// arming at most, the earlier ones counting less.
	passTime, armTime time.Duration
	events            []Event
}

// New returns a coordinator that knows nothing of its ranks.
func New(cfg Config) *Coordinator {
	c := &Coordinator{
		cfg: cfg, ranks: make([]rankView, cfg.Ranks), phase: PhaseIdle, margin: cfg.MinMargin,
		armTime: time.Duration(cfg.Ranks) * armPerRank,
	}
	c.holdAt = c.holdRankOf(cfg.Rank)
	return c
}

// Phase returns what the coordinator is doing.
func (c *Coordinator) Phase() Phase { return c.phase }

// SwitchCount counts the rounds that were finished.
func (c *Coordinator) SwitchCount() int { return c.switched }

// UndoCount counts the rounds that were undone.
func (c *Coordinator) UndoCount() int { return c.undone }

// EpochEnded reports whether the group has left the coordinator's epoch.
func (c *Coordinator) EpochEnded() bool { return c.lost }

// Events returns and clears what happened since the last call.
func (c *Coordinator) Events() []Event {
	events := c.events
	c.events = nil
	return events
}

func (c *Coordinator) note(what string, rank int) {
	c.events = append(c.events, Event{Name: what, Version: c.version, Step: c.step, Rank: rank})
}

// holdRankOf returns the rank at which a coordinator holds passes. Each has one of
// its own, beside another agent: a coordinator whose host freezes does not take
// the hold out of reach.
func (c *Coordinator) holdRankOf(coordinator int) int {
	if c.cfg.Ranks < 2*c.cfg.Candidates {
		return coordinator
	}
	return coordinator + c.cfg.Candidates
}

// chooseHold takes the rank at which the pass of a round to undo will be held: one
// that held nothing since this coordinator began, so that nobody has a reason to let
// it go, and which no late order lets go. Once every rank holds, it takes one that
// is not armed. It reports false when there is none, or while one of its own hold ranks
// has yet to be read: only a hold there ends an undoing without a rank out of reach.
func (c *Coordinator) chooseHold(now time.Time) bool {
	ranks := []int{c.holdRankOf(c.cfg.Rank), c.cfg.Rank}
	for r := c.cfg.Ranks - 1; r >= 2*c.cfg.Candidates; r-- {
		ranks = append(ranks, r)
	}
	unread := false
	for _, held := range []bool{false, true} {
		for i, r := range ranks {
			v := &c.ranks[r]
			if !v.known || v.stale || v.letGo >= c.step || v.asOf.Before(c.since) {
				// The next reading may tell of a later state.
				v.stale = v.stale || v.asOf.Before(c.since)
				unread = unread || i < ownHolds && v.stale && !c.absent(r, now)
				continue
			}
			if i >= ownHolds && unread {
				return false
			}
			if v.state.Held == nil || held && *v.state.Held == c.step && v.state.Armed == nil {
				c.holdAt = r
				c.alone = i < ownHolds && v.state.Held == nil
				return true
			}
		}
	}
	return false
}

// ownHolds is at how many ranks no other coordinator holds passes.
const ownHolds = 2

// CurrentVersion returns the version that all ranks use, and whether they are known and
// agree.
func (c *Coordinator) CurrentVersion() (expertmap.Version, bool) {
	for r := range c.ranks {
		if !c.ranks[r].known || c.ranks[r].state.Map != c.ranks[0].state.Map {
			return 0, false
		}
	}
	return c.ranks[0].state.Map, true
}

// SetCurrentMap takes the content of the map in force.
func (c *Coordinator) SetCurrentMap(m *expertmap.Map) { c.current = m }

// SetFallbackMap takes a map that the ranks within reach can prepare without copying
// much, for the undoing of a round while the map in force is not known whole.
func (c *Coordinator) SetFallbackMap(m *expertmap.Map) { c.spare = m }

// CurrentMap returns the content of the map in force, nil while it is unknown.
func (c *Coordinator) CurrentMap() *expertmap.Map {
	version, ok := c.CurrentVersion()
	if !ok || c.current == nil || c.current.Version != version {
		return nil
	}
	return c.current
}

// Observe takes a rank's state as it was read.
func (c *Coordinator) Observe(rank int, s State, now time.Time) {
	v := &c.ranks[rank]
	if s.Epoch < c.cfg.Epoch {
		// The rank had yet to join this forming of the group when it was read.
		v.stale = true
		return
	}
	if s.Epoch != c.cfg.Epoch || v.known && s.Incarnation != v.state.Incarnation {
		c.lost = true
		return
	}
	v.missed = time.Time{}
	if v.known && now.Add(-s.Age).Before(v.ended) {
		// The state is older than the latest order.
		return
	}
	if rank == c.cfg.Rank && v.known {
		c.timePass(s.Step-v.state.Step, now.Sub(v.readAt))
	}
	v.state, v.known, v.stale, v.readAt, v.asOf = s, true, false, now, now.Add(-s.Age)
	if c.since.IsZero() {
		c.since = now
	}
	c.highest = max(c.highest, s.Map, s.Prepared)
	if !v.fresh {
		v.fresh, v.found = true, 0
		if s.Armed != nil {
			v.found = s.Armed.Version
		}
	}
	if s.Armed != nil {
		v.wasArmed = true
		c.highest = max(c.highest, s.Armed.Version)
	}
}

// MarkUnreachable records that a rank's host has been silent since a time before this coordinator
// began, so that its undoing need not wait for that rank once more.
func (c *Coordinator) MarkUnreachable(rank int, since time.Time) {
	if v := &c.ranks[rank]; !v.known {
		v.missed = since
	}
}

// Propose begins a round that replaces the map in force. It reports false unless
// the coordinator is idle and knows every rank.
func (c *Coordinator) Propose(m *expertmap.Map, now time.Time) bool {
	if c.phase != PhaseIdle || c.lost || !c.clean() {
		return false
	}
	c.version = c.cfg.NewVersion(c.highest)
	c.highest = c.version
	c.target = m.WithVersion(c.version)
	c.foreign = false
	for r := range c.ranks {
		c.ranks[r].ordered, c.ranks[r].undone = false, false
	}
	c.began = now
	c.enter(PhasePrepare, now.Add(c.cfg.PrepareTimeout))
	return true
}

// clean reports whether every rank is known and neither armed nor held.
func (c *Coordinator) clean() bool {
	for r := range c.ranks {
		v := &c.ranks[r]
		if !v.known || v.stale || v.state.Armed != nil || v.state.Held != nil {
			return false
		}
	}
	return true
}

func (c *Coordinator) enter(p Phase, deadline time.Time) {
	c.phase, c.deadline = p, deadline
}

// HandleResult takes the answer to a command.
func (c *Coordinator) HandleResult(cmd Command, res Result, now time.Time) {
	v := &c.ranks[cmd.Rank]
	v.busy = false
	if cmd.Order.Kind != OrderRead {
		v.ended = now
	}
	switch {
	case res.State != nil:
		s := *res.State
		if cmd.Order.Kind == OrderRead {
			// The rank may have been read as soon as it was asked.
			s.Age = max(s.Age, now.Sub(v.sent))
		} else {
			v.stale = true
		}
		c.Observe(cmd.Rank, s, now)
	case res.Outcome == OutcomeDone && v.obey(&cmd.Order):
	default:
		v.stale = true
		if v.missed.IsZero() && res.Outcome == OutcomeUnanswered {
			v.missed = now
		}
	}
	if c.lost {
		return
	}
	switch cmd.Order.Kind {
	case OrderPrepare:
		c.prepared(cmd.Rank, &cmd.Order, res)
	case OrderHold:
		c.held(res, now)
	case OrderArm:
		if res.Outcome == OutcomeRefused && (c.phase == PhaseArm || c.phase == PhaseArmOwn) && cmd.Order.Version == c.version {
			c.undo("arm refused", cmd.Rank, now)
		}
	case OrderGo:
		if res.Outcome == OutcomeUnanswered {
			v.letGo = max(v.letGo, cmd.Order.Step)
			return
		}
		v.freed = v.freed || c.phase == PhaseRelease
	}
}

// obey changes what is known of a rank by an order that it has obeyed. It reports
// false when the rank has to be read to tell.
func (v *rankView) obey(o *Order) bool {
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

func (c *Coordinator) prepared(rank int, o *Order, res Result) {
	v := &c.ranks[rank]
	switch {
	case c.phase == PhaseUndo:
		v.undone = v.undone || res.Outcome == OutcomeDone
		if res.Outcome == OutcomeRefused {
			v.wasArmed = true
			c.voidVersion = 0
		}
	case c.phase != PhasePrepare || o.Version != c.version:
	case res.Outcome == OutcomeDone:
		v.ordered = true
	case res.Outcome == OutcomeRefused:
		c.note("prepare refused", rank)
		c.forget()
	}
}

func (c *Coordinator) held(res Result, now time.Time) {
	switch {
	case c.phase == PhaseHold && res.Outcome == OutcomeRefused:
		// The pass has begun; the next try is placed further away.
		c.margin = min(c.margin+1, maxMargin)
		c.place()
	case c.phase == PhaseUndoHold && res.Outcome == OutcomeRefused:
		// The pass has begun.
		c.forget()
	case c.phase == PhaseUndoHold && res.Outcome == OutcomeDone:
		c.beginUndo(now)
	}
}

// passWeight is the weight of the latest reading in the usual time of a pass.
const passWeight = 0.1

// timePass takes the passes between two readings of the own rank.
func (c *Coordinator) timePass(passes uint64, elapsed time.Duration) {
	if passes == 0 || passes > maxPasses {
		return
	}
	pass := elapsed / time.Duration(passes)
	if c.passTime == 0 {
		c.passTime = pass
	}
	c.passTime += time.Duration(passWeight * float64(pass-c.passTime))
}

// maxPasses is how many passes at most lie between two readings that tell the time
// of one: a rank that was not read for long tells little.
const maxPasses = 100

// armPerRank is how long arming is expected to take for each rank before a round has
// shown it: a coordinator has a part of a core.
const armPerRank = 2 * time.Millisecond

// armDecay is what remains of the time of an earlier round's arming with each round.
// Answers that get lost come in spells, so the next round is likely to need as long.
const armDecay = 0.8

// armedIn records how long a round was at arming.
func (c *Coordinator) armedIn(took time.Duration) {
	c.armTime = max(took, time.Duration(armDecay*float64(c.armTime)))
}

// distance returns how many passes ahead a switch is placed, so that the ranks are
// armed before it is due: the pass that is under way counts for nothing.
func (c *Coordinator) distance() uint64 {
	if c.passTime <= 0 {
		return c.cfg.MinMargin
	}
	passes := 1 + uint64((c.armTime+c.passTime-1)/c.passTime)
	return min(maxMargin, max(c.cfg.MinMargin, passes))
}

// maxMargin is the furthest that a switch is placed ahead, in passes.
const maxMargin = 12

// place chooses the pass of the switch.
func (c *Coordinator) place() {
	step := uint64(0)
	for r := range c.ranks {
		step = max(step, c.ranks[r].state.Step)
	}
	// An order to let an earlier pass go may still be on its way.
	c.step = max(step+c.margin, c.step+1)
}
