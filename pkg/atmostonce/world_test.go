// Package atmostonce drives the packages that decide about request identity
// together over random schedules of loss, delay, duplication, crashes, pauses,
// clock steps and store faults, and checks what runs and what callers are told.
package atmostonce

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/retry"
)

// mutation removes one safeguard, to show that the check sees its loss.
type mutation int

const (
	none mutation = iota
	noTombstone
	noClaim
	noDispatchCheck
	noRefusalRecord
	noStartTime
)

const (
	clockError = 500 * time.Millisecond
	maxSteps   = 400
	agents     = 2
	requests   = 6
)

// told is what a caller was told.
type told int

const (
	nothing told = iota
	complete
	notRun
	unknown
)

// event is something that may happen next. Messages may also be lost or
// duplicated, timeouts are mostly put off, and the rest is dropped when its agent
// has died.
type event struct {
	message     bool
	timeout     bool
	agent       *agent
	incarnation string
	run         func()
}

// world is one schedule.
type world struct {
	rand     *rand.Rand
	now      time.Time
	mutation mutation
	budget   *retry.Budget
	store    *store
	agents   []*agent
	jobs     []*job
	events   []event
	runs     map[string]int
	keyRuns  map[string]int
	calm     bool
	depth    int
}

func newWorld(seed uint64, m mutation) *world {
	w := &world{
		rand:     rand.New(rand.NewPCG(seed, 0)),
		now:      time.UnixMilli(1_800_000_000_000),
		mutation: m,
		budget:   retry.NewBudget(1, 10),
		runs:     make(map[string]int),
		keyRuns:  make(map[string]int),
	}
	w.store = newStore(w)
	for i := range agents {
		a := &agent{world: w, name: fmt.Sprintf("agent-%d", i)}
		a.start()
		w.agents = append(w.agents, a)
	}
	return w
}

// run plays the schedule and returns what went wrong, or "".
func (w *world) run() string {
	for i := range requests {
		w.call(fmt.Sprintf("key-%d", i/2), i%3 != 2)
	}
	for range maxSteps {
		w.step()
	}
	w.calm = true
	for i := 0; len(w.events) > 0 && i < 10*maxSteps; i++ {
		w.step()
	}
	return w.verdict()
}

func (w *world) chance(percent int) bool { return w.rand.IntN(100) < percent }

func (w *world) millis(most int) time.Duration {
	return time.Duration(w.rand.IntN(most+1)) * time.Millisecond
}

func (w *world) message(run func()) { w.events = append(w.events, event{message: true, run: run}) }

// step lets time pass and one thing happen.
func (w *world) step() {
	w.now = w.now.Add(w.millis(60))
	if w.chance(2) {
		w.now = w.now.Add(w.millis(3000))
	}
	if !w.calm {
		w.misfortune()
	}
	if len(w.events) == 0 {
		return
	}
	i := w.rand.IntN(len(w.events))
	e := w.events[i]
	if e.timeout && w.chance(90) {
		return
	}
	if !e.message || w.calm || !w.chance(15) {
		w.events[i] = w.events[len(w.events)-1]
		w.events = w.events[:len(w.events)-1]
	}
	if e.message && w.chance(10) || e.agent != nil && e.agent.incarnation != e.incarnation {
		return
	}
	e.run()
}

func (w *world) misfortune() {
	a := w.agents[w.rand.IntN(len(w.agents))]
	switch w.rand.IntN(50) {
	case 0, 5, 6, 7:
		a.start()
	case 8, 9, 10:
		a.turns()
	case 1:
		a.offset = w.millis(500) - clockError/2
	case 2:
		w.store.down = !w.store.down
	case 3:
		w.jobs[w.rand.IntN(len(w.jobs))].done = true
	case 4:
		j := w.jobs[w.rand.IntN(len(w.jobs))]
		if j.told != complete {
			w.call(j.key, j.state.Idempotent)
		}
	}
}

// interleave lets other things happen within a call of the store.
func (w *world) interleave() {
	if w.depth >= 3 {
		return
	}
	w.depth++
	defer func() { w.depth-- }()
	for w.chance(40) {
		w.step()
	}
}

// verdict checks the whole schedule.
func (w *world) verdict() string {
	for _, j := range w.jobs {
		ran := w.runs[j.id]
		switch {
		case j.told == notRun && ran > 0:
			return fmt.Sprintf("%s was told not run and ran %d times", j.id, ran)
		case j.state.Idempotent:
		case ran > 1:
			return fmt.Sprintf("%s ran %d times", j.id, ran)
		case w.keyRuns[j.key] > 1:
			return fmt.Sprintf("%s ran %d times", j.key, w.keyRuns[j.key])
		case j.told == complete && w.keyRuns[j.key] == 0:
			return fmt.Sprintf("%s was told complete and never ran", j.id)
		}
	}
	return ""
}
