// Package atmostonce tests the interaction of the packages that make a request run at
// most once. It simulates random schedules of message loss, delay and duplication,
// crashes, pauses, clock steps and store faults, and compares how often each request
// ran with the outcome that was reported to its caller.
package atmostonce

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/retry"
)

// mutation disables one safeguard, to show that the test fails without it.
type mutation int

const (
	none mutation = iota
	// noTombstone lets agents report a withdrawn attempt as not run without a record.
	noTombstone
	// noClaim lets agents send work that is not idempotent without a claim of its key.
	noClaim
	// noDispatchCheck lets agents send an attempt that Gate.Dispatch does not permit.
	noDispatchCheck
	// noRefusalRecord lets agents refuse an attempt for lack of capacity without a
	// record.
	noRefusalRecord
	// noStartTime lets agents report each attempt that is addressed to another
	// incarnation as not run, whenever it was sent.
	noStartTime
)

const (
	clockError = 500 * time.Millisecond
	// maxSteps is the number of steps with injected faults.
	maxSteps     = 400
	agentCount   = 2
	requestCount = 6
)

// callerOutcome is the outcome that was reported to a caller.
type callerOutcome int

const (
	unreported callerOutcome = iota
	complete
	notRun
	unknown
)

// event is a pending step of the simulation. A message may be lost or duplicated, a
// timeout is delayed most of the time, and an agent's step is dropped when the agent
// has restarted since.
type event struct {
	message     bool
	timeout     bool
	agent       *agent
	incarnation string
	run         func()
}

// attemptID identifies an attempt at one incarnation of an agent.
type attemptID struct {
	requestID, incarnation string
	number                 int
}

// simulation runs one random schedule.
type simulation struct {
	rand     *rand.Rand
	now      time.Time
	mutation mutation
	budget   *retry.Budget
	store    *store
	agents   []*agent
	requests []*entryRequest
	events   []event
	// runs counts the runs at the upstream by request ID, keyRuns those of work that is
	// not idempotent by idempotency key.
	runs    map[string]int
	keyRuns map[string]int
	// attemptRuns counts the runs of an attempt, and attemptsNotRun holds the attempts that
	// an agent reported as not run.
	attemptRuns    map[attemptID]int
	attemptsNotRun map[attemptID]bool
	// faultsStopped disables injected faults and duplicate messages, so that the
	// remaining events can finish.
	faultsStopped bool
	// depth is the nesting of interleave.
	depth int
}

func newSimulation(seed uint64, m mutation) *simulation {
	s := &simulation{
		rand:     rand.New(rand.NewPCG(seed, 0)),
		now:      time.UnixMilli(1_800_000_000_000),
		mutation: m,
		budget:   retry.NewBudget(1, 10),
		runs:     make(map[string]int),
		keyRuns:  make(map[string]int),

		attemptRuns:    make(map[attemptID]int),
		attemptsNotRun: make(map[attemptID]bool),
	}
	s.store = newStore(s)
	for i := range agentCount {
		a := &agent{simulation: s, name: fmt.Sprintf("agent-%d", i)}
		a.start()
		s.agents = append(s.agents, a)
	}
	return s
}

// run runs the schedule and returns the violated rule, or "".
func (s *simulation) run() string {
	for i := range requestCount {
		s.send(fmt.Sprintf("key-%d", i/2), i%3 != 2)
	}
	for range maxSteps {
		s.step()
	}
	s.faultsStopped = true
	for i := 0; len(s.events) > 0 && i < 10*maxSteps; i++ {
		s.step()
	}
	return s.violation()
}

func (s *simulation) chance(percent int) bool { return s.rand.IntN(100) < percent }

func (s *simulation) randomMillis(limit int) time.Duration {
	return time.Duration(s.rand.IntN(limit+1)) * time.Millisecond
}

func (s *simulation) addMessage(run func()) {
	s.events = append(s.events, event{message: true, run: run})
}

// step advances the time and runs one pending event.
func (s *simulation) step() {
	s.now = s.now.Add(s.randomMillis(60))
	if s.chance(2) {
		s.now = s.now.Add(s.randomMillis(3000))
	}
	if !s.faultsStopped {
		s.injectFault()
	}
	if len(s.events) == 0 {
		return
	}
	i := s.rand.IntN(len(s.events))
	e := s.events[i]
	if e.timeout && s.chance(90) {
		return
	}
	if !e.message || s.faultsStopped || !s.chance(15) {
		s.events[i] = s.events[len(s.events)-1]
		s.events = s.events[:len(s.events)-1]
	}
	if e.message && s.chance(10) || e.agent != nil && e.agent.incarnation != e.incarnation {
		return
	}
	e.run()
}

func (s *simulation) injectFault() {
	a := s.agents[s.rand.IntN(len(s.agents))]
	switch s.rand.IntN(50) {
	case 0, 5, 6, 7:
		a.start()
	case 8, 9, 10:
		a.processQueue()
	case 1:
		a.offset = s.randomMillis(500) - clockError/2
	case 2:
		s.store.down = !s.store.down
	case 3:
		s.requests[s.rand.IntN(len(s.requests))].done = true
	case 4:
		r := s.requests[s.rand.IntN(len(s.requests))]
		if r.outcome != complete {
			s.send(r.key, r.state.Idempotent)
		}
	}
}

// interleave runs other events during a call of the store.
func (s *simulation) interleave() {
	if s.depth >= 3 {
		return
	}
	s.depth++
	defer func() { s.depth-- }()
	for s.chance(40) {
		s.step()
	}
}

// violation checks the outcome of every request and returns the violated rule, or "".
func (s *simulation) violation() string {
	for _, r := range s.requests {
		ran := s.runs[r.id]
		switch {
		case r.outcome == notRun && ran > 0:
			return fmt.Sprintf("%s was reported as not run and ran %d times", r.id, ran)
		case r.state.Idempotent:
		case ran > 1:
			return fmt.Sprintf("%s ran %d times", r.id, ran)
		case s.keyRuns[r.key] > 1:
			return fmt.Sprintf("%s ran %d times", r.key, s.keyRuns[r.key])
		case r.outcome == complete && s.keyRuns[r.key] == 0:
			return fmt.Sprintf("%s was reported as complete and never ran", r.id)
		}
	}
	for id := range s.attemptsNotRun {
		if s.attemptRuns[id] > 0 {
			return fmt.Sprintf("attempt %d of %s was reported as not run by %s and ran", id.number, id.requestID, id.incarnation)
		}
	}
	return ""
}
