package holdswitch_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
)

// Figures of a schedule.
const (
	ranks    = 9
	standbys = 3
	passTime = 60 * time.Millisecond
	copyTime = 100 * time.Millisecond
	lag      = 300 * time.Millisecond
	faulty   = 20 * time.Second
	quiet    = 8 * time.Second
)

var size = expertmap.Size{Ranks: ranks, Layers: 1, Experts: 18, Slots: 4}

// engine is one rank by the platform's rules.
type engine struct {
	state    holdswitch.State
	had      expertmap.Version
	copying  expertmap.Version
	copiedAt time.Duration
	content  map[expertmap.Version]*expertmap.Map
	// past is the states of the lag, for readers on other hosts.
	past []snapshot
	// ignoresHold is a rule that is left out on purpose.
	ignoresHold bool
}

type snapshot struct {
	at    time.Duration
	state holdswitch.State
}

func (e *engine) obey(o *holdswitch.Order, now time.Duration) holdswitch.Outcome {
	s := &e.state
	if o.Kind == holdswitch.OrderRead {
		return holdswitch.OutcomeDone
	}
	if o.Epoch != s.Epoch {
		return holdswitch.OutcomeRefused
	}
	ok := true
	switch o.Kind {
	case holdswitch.OrderPrepare:
		ok = e.prepare(o, now)
	case holdswitch.OrderHold:
		ok = o.Step > s.Step && (s.Held == nil || *s.Held == o.Step)
		if ok {
			step := o.Step
			s.Held = &step
		}
	case holdswitch.OrderArm:
		ok = s.Prepared == o.Version && o.Step > s.Step
		if ok {
			s.Armed = &holdswitch.Armed{Version: o.Version, Step: o.Step}
		}
	case holdswitch.OrderDisarm:
		ok = s.Map != o.Version
		if ok && s.Armed != nil && s.Armed.Version == o.Version {
			s.Armed = nil
		}
	case holdswitch.OrderGo:
		if s.Held != nil && *s.Held == o.Step {
			s.Held = nil
		}
	}
	if !ok {
		return holdswitch.OutcomeRefused
	}
	return holdswitch.OutcomeDone
}

func (e *engine) prepare(o *holdswitch.Order, now time.Duration) bool {
	s := &e.state
	if o.Version == s.Prepared || o.Version == e.copying {
		return true
	}
	if o.Version <= e.had || s.Armed != nil {
		return false
	}
	e.had, e.copying, e.copiedAt, s.Prepared = o.Version, o.Version, now+copyTime, 0
	e.content[o.Version] = o.Map
	return true
}

// world is a group with its coordinators, in virtual time.
type world struct {
	rand    *rand.Rand
	now     time.Duration
	engines []*engine
	actors  []*actor
	events  []event
	nextRun time.Duration
	broken  error
	log     []string
	passes  int
	calm    bool
}

type event struct {
	at time.Duration
	do func()
}

// actor is one agent's coordinator, which is there at times.
type actor struct {
	rank    int
	c       *holdswitch.Coordinator
	frozen  time.Duration
	waiting []func()
	seed    uint64
}

var epoch = time.Unix(1700000000, 0)

func (w *world) time() time.Time { return epoch.Add(w.now) }

func newWorld(seed uint64) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 1))}
	for range ranks {
		w.engines = append(w.engines, &engine{
			state:   holdswitch.State{Incarnation: "1", Epoch: 1, Open: true},
			content: map[expertmap.Version]*expertmap.Map{0: expertmap.RoundRobin(size)},
		})
	}
	for r := range standbys {
		w.actors = append(w.actors, &actor{rank: r})
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.events = append(w.events, event{at: w.now + d, do: do})
}

// start begins an actor's coordination anew: it remembers nothing.
func (w *world) start(a *actor) {
	a.seed = w.rand.Uint64()
	random := rand.New(rand.NewPCG(a.seed, 2))
	a.c = holdswitch.New(holdswitch.Config{
		Rank: a.rank, Ranks: ranks, Candidates: standbys, Epoch: 1, MinMargin: 2,
		PrepareTimeout: 3 * time.Second, ArmTimeout: 600 * time.Millisecond, ReadInterval: 50 * time.Millisecond,
		UnreachableAfter: 200 * time.Millisecond,
		NewVersion: func(above expertmap.Version) expertmap.Version {
			return above + 1 + expertmap.Version(random.Int64N(1<<20))
		},
	})
	if !w.calm && w.rand.IntN(2) == 0 {
		// It has not heard the ranks before its own, whether or not they are there.
		for rank := range a.rank {
			a.c.MarkUnreachable(rank, w.time().Add(-time.Second))
		}
	}
}

// step moves time on by a little.
func (w *world) step() {
	w.now += 5 * time.Millisecond
	for i := 0; i < len(w.events); i++ {
		if w.events[i].at <= w.now {
			do := w.events[i].do
			w.events = append(w.events[:i], w.events[i+1:]...)
			i--
			do()
		}
	}
	w.runPasses()
	for _, a := range w.actors {
		w.act(a)
	}
}

// runPasses begins the next pass unless a rank holds it.
func (w *world) runPasses() {
	for _, e := range w.engines {
		e.past = append(e.past, snapshot{at: w.now, state: e.state})
		for len(e.past) > 1 && w.now-e.past[1].at > lag {
			e.past = e.past[1:]
		}
		if e.copying != 0 && w.now >= e.copiedAt {
			e.state.Prepared, e.copying = e.copying, 0
		}
	}
	if w.now < w.nextRun {
		return
	}
	next := w.engines[0].state.Step + 1
	for _, e := range w.engines {
		if e.state.Held != nil && *e.state.Held == next && !e.ignoresHold {
			return
		}
	}
	w.passes++
	for _, e := range w.engines {
		e.state.Step = next
		if a := e.state.Armed; a != nil && a.Step == next {
			e.state.Map, e.state.Armed, e.state.Prepared = a.Version, nil, 0
		}
	}
	w.check()
	w.nextRun = w.now + passTime
}

// check compares the maps of a pass, by version and content.
func (w *world) check() {
	first := w.engines[0]
	for r, e := range w.engines {
		same := e.state.Map == first.state.Map && e.content[e.state.Map].Layers[0][0][0] == first.content[first.state.Map].Layers[0][0][0]
		if !same && w.broken == nil {
			w.broken = fmt.Errorf("pass %d at %v: rank %d uses map %d, rank 0 map %d", e.state.Step, w.now, r, e.state.Map, first.state.Map)
		}
	}
}

// act lets an actor give its orders and propose maps.
func (w *world) act(a *actor) {
	if a.c == nil || w.now < a.frozen {
		return
	}
	for _, result := range a.waiting {
		result()
	}
	a.waiting = nil
	if a.c == nil {
		return
	}
	w.survey(a)
	if a.c.CurrentMap() == nil {
		a.c.SetCurrentMap(w.current())
		a.c.SetFallbackMap(expertmap.RoundRobin(size))
	}
	if w.rand.IntN(20) == 0 && a.c.CurrentMap() != nil {
		m := &expertmap.Map{Layers: []expertmap.Layer{shuffled(w.rand)}}
		a.c.Propose(m, w.time())
	}
	for _, cmd := range a.c.Advance(w.time()) {
		w.send(a, a.c, cmd)
	}
	for _, e := range a.c.Events() {
		w.log = append(w.log, fmt.Sprintf("%v rank %d: %s version %d step %d (%d)", w.now, a.rank, e.Name, e.Version, e.Step, e.Rank))
	}
}

// surveyInterval is the time between two surveys of all ranks by an agent.
const surveyInterval = 200 * time.Millisecond

// survey reads the ranks within reach as agents do beside the coordinator's orders.
func (w *world) survey(a *actor) {
	if w.now%surveyInterval != 0 {
		return
	}
	c, asked := a.c, w.now
	for r, e := range w.engines {
		if w.outOfReach(a, r) || !w.calm && w.rand.IntN(10) == 0 {
			continue
		}
		there := time.Duration(5+w.rand.IntN(30)) * time.Millisecond
		w.after(there, func() {
			state := e.state
			w.after(there, func() {
				a.waiting = append(a.waiting, func() {
					if a.c == c {
						state.Age = w.now - asked
						c.Observe(r, state, w.time())
					}
				})
			})
		})
	}
}

// current is the map in force by content, as the agents read it from their ranks.
func (w *world) current() *expertmap.Map {
	e := w.engines[0]
	return e.content[e.state.Map].WithVersion(e.state.Map)
}

// shuffled returns a layer in which the ranks have changed places.
func shuffled(r *rand.Rand) expertmap.Layer {
	layer := expertmap.RoundRobin(size).Layers[0]
	r.Shuffle(len(layer), func(i, j int) { layer[i], layer[j] = layer[j], layer[i] })
	return layer
}

// send carries an order to a rank and its answer back.
func (w *world) send(a *actor, c *holdswitch.Coordinator, cmd holdswitch.Command) {
	fate := w.rand.IntN(100)
	if w.calm {
		fate = 99
	}
	timeout := 100 * time.Millisecond
	answer := func(res holdswitch.Result, after time.Duration) {
		w.after(after, func() {
			a.waiting = append(a.waiting, func() {
				if a.c == c {
					c.HandleResult(cmd, res, w.time())
				}
			})
		})
	}
	lost := holdswitch.Result{Outcome: holdswitch.OutcomeUnanswered}
	there := time.Duration(1+w.rand.IntN(4)) * time.Millisecond
	switch {
	case w.outOfReach(a, cmd.Rank):
		answer(lost, timeout)
	case fate < 3: // lost on the way
		answer(lost, timeout)
	case fate < 12: // carried out late
		w.after(time.Duration(w.rand.IntN(12000))*time.Millisecond, func() { w.engines[cmd.Rank].obey(&cmd.Order, w.now) })
		answer(lost, timeout)
	case fate < 16: // the answer is lost
		w.after(there, func() { w.engines[cmd.Rank].obey(&cmd.Order, w.now) })
		answer(lost, timeout)
	default:
		w.after(there, func() {
			res := holdswitch.Result{Outcome: w.engines[cmd.Rank].obey(&cmd.Order, w.now)}
			straight := cmd.Order.Kind == holdswitch.OrderHold || cmd.Order.Kind == holdswitch.OrderGo
			switch {
			case straight && cmd.Rank != a.rank:
			case cmd.Order.Kind == holdswitch.OrderRead && w.rand.IntN(4) == 0:
				old := w.engines[cmd.Rank].past[0].state
				old.Age = lag
				res.State = &old
			default:
				now := w.engines[cmd.Rank].state
				res.State = &now
			}
			answer(res, there)
		})
	}
}

// outOfReach reports whether a rank's host is frozen, for all but itself.
func (w *world) outOfReach(from *actor, rank int) bool {
	return rank < standbys && rank != from.rank && w.now < w.actors[rank].frozen
}

// trouble makes coordinators come, go and freeze.
func (w *world) trouble() {
	a := w.actors[w.rand.IntN(standbys)]
	switch w.rand.IntN(5) {
	case 0, 1:
		w.start(a)
	case 2:
		a.c = nil
	default:
		a.frozen = w.now + time.Duration(w.rand.IntN(4000))*time.Millisecond
	}
}

// run plays one schedule and returns what went wrong.
func run(seed uint64, weaken func(*world)) (*world, error) {
	w := newWorld(seed)
	if weaken != nil {
		weaken(w)
	}
	w.start(w.actors[0])
	for w.now < faulty && w.broken == nil {
		if w.rand.IntN(120) == 0 {
			w.trouble()
		}
		w.step()
	}
	w.settle()
	if w.broken != nil {
		return w, w.broken
	}
	c, passes := w.actors[0].c, w.passes
	for end := w.now + quiet; w.now < end && w.broken == nil; {
		w.step()
	}
	switch {
	case w.broken != nil:
		return w, w.broken
	case w.passes-passes < 20:
		return w, fmt.Errorf("%d passes in %v after the faults; the group stands still", w.passes-passes, quiet)
	case c.SwitchCount() == 0:
		return w, fmt.Errorf("no switch in %v after the faults, phase %s", quiet, c.Phase())
	}
	return w, nil
}

// settle ends the faults and leaves one coordinator.
func (w *world) settle() {
	w.calm = true
	for _, a := range w.actors {
		a.frozen = 0
		a.c = nil
	}
	w.start(w.actors[0])
}

func schedules(t *testing.T) int {
	if testing.Short() {
		return 300
	}
	if n, err := strconv.Atoi(os.Getenv("SCHEDULES")); err == nil {
		return n
	}
	return 2000
}

// Whatever is lost, late or frozen, and however many coordinators there are, all
// ranks use one map in every pass, and switches go on once the faults end.
func TestSchedulesKeepOneMap(t *testing.T) {
	first := uint64(1)
	if n, err := strconv.ParseUint(os.Getenv("SCHEDULE_SEED"), 10, 64); err == nil {
		first = n
	}
	for i := range schedules(t) {
		seed := first + uint64(i)
		if w, err := run(seed, nil); err != nil {
			for _, line := range w.log[max(0, len(w.log)-40):] {
				t.Log(line)
			}
			t.Fatalf("SCHEDULE_SEED=%d: %v", seed, err)
		}
	}
}

// Seeds that have failed, with the cause.
var regressions = map[uint64]string{
	7:      "undone under a hold that was let go",
	383:    "own earlier round taken for another's",
	204938: "a number that never moves was relied on",
	216111: "a late order to go let a second hold of the same pass go",
}

func TestSchedulesThatFailedBefore(t *testing.T) {
	for seed, cause := range regressions {
		if _, err := run(seed, nil); err != nil {
			t.Errorf("SCHEDULE_SEED=%d (%s): %v", seed, cause, err)
		}
	}
}

// A coordinator that freezes while it holds a pass does not keep its group standing
// still: the next one lets the pass go, though the frozen one's rank is out of reach.
func TestTheHoldOfAFrozenCoordinatorIsLetGo(t *testing.T) {
	w := newWorld(1)
	w.calm = true
	w.start(w.actors[0])
	frozen := w.actors[0]
	for w.now < 10*time.Second && frozen.c.Phase() != holdswitch.PhaseCheck {
		w.step()
	}
	if frozen.c.Phase() != holdswitch.PhaseCheck {
		t.Fatal("no pass was held")
	}
	frozen.frozen = w.now + 10*time.Second
	w.start(w.actors[1])
	passes := w.passes
	for end := w.now + 1500*time.Millisecond; w.now < end; {
		w.step()
	}
	if got := w.passes - passes; got < 10 {
		t.Errorf("%d passes in the 1.5 s after the coordinator froze", got)
	}
	for end := w.now + 15*time.Second; w.now < end && w.broken == nil; {
		w.step()
	}
	if w.broken != nil {
		t.Error(w.broken)
	}
}

// The schedules notice when engines don't wait for held passes.
func TestSchedulesNoticeMissingHold(t *testing.T) {
	caught := 0
	for seed := range uint64(100) {
		_, err := run(seed, func(w *world) {
			for _, e := range w.engines {
				e.ignoresHold = true
			}
		})
		if err != nil {
			caught++
		}
	}
	t.Logf("%d of 100 schedules failed without the hold", caught)
	if caught == 0 {
		t.Error("no schedule failed without the hold")
	}
}
