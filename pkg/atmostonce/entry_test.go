package atmostonce

import (
	"fmt"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/retry"
)

// entryRequest is a caller's request at an entry. It makes the same calls in the same
// order as pkg/filter/attempt.
type entryRequest struct {
	simulation *simulation
	id         string
	key        string
	state      retry.Request
	// offset is the difference of the entry's clock from the simulated time.
	offset      time.Duration
	attempts    int
	agent       *agent
	incarnation string
	// phase numbers the waits, so that late events of earlier waits are dropped.
	phase   int
	done    bool
	outcome callerOutcome
}

// send sends a caller's request through an entry.
func (s *simulation) send(key string, idempotent bool) {
	r := &entryRequest{simulation: s, id: fmt.Sprintf("request-%d", len(s.requests)), key: key, offset: s.randomMillis(500) - clockError/2}
	r.state = retry.Request{Idempotent: idempotent, Deadline: r.now().Add(200*time.Millisecond + s.randomMillis(4000))}
	if idempotent {
		r.key = "idempotent/" + key
	}
	s.requests = append(s.requests, r)
	r.chooseAgent()
	r.sendAttempt()
}

func (r *entryRequest) now() time.Time { return r.simulation.now.Add(r.offset) }

// chooseAgent chooses an agent, whose incarnation may be out of date when the attempt
// is sent.
func (r *entryRequest) chooseAgent() {
	r.agent = r.simulation.agents[r.simulation.rand.IntN(agentCount)]
	r.incarnation = r.agent.incarnation
}

// beginWait begins a wait and returns the function that handles the event that ends it.
func (r *entryRequest) beginWait() func(retry.Event) {
	r.phase++
	phase := r.phase
	return func(e retry.Event) {
		if !r.done && r.phase == phase {
			r.handleEvent(e)
		}
	}
}

func (r *entryRequest) sendAttempt() {
	r.attempts++
	req := &api.AttemptRequest{
		RequestID: r.id, Attempt: r.attempts, Incarnation: r.incarnation, Idempotent: r.state.Idempotent,
		IdempotencyKey: r.key, DeadlineUnixMilli: r.state.Deadline.UnixMilli(), SentUnixMilli: r.now().UnixMilli(),
	}
	handle := r.beginWait()
	target := r.agent
	r.simulation.addMessage(func() { target.attempt(req, r.replyTo(handle)) })
	r.addTimeout(func() { handle(retry.EventSilent) })
}

// replyTo returns the function through which an agent sends its reply, as a message that
// may be lost or delayed.
func (r *entryRequest) replyTo(handle func(retry.Event)) replyFunc {
	return func(o api.Outcome) {
		r.simulation.addMessage(func() { handle(outcomeEvents[o]) })
	}
}

var outcomeEvents = map[api.Outcome]retry.Event{
	api.OutcomeComplete: retry.EventComplete,
	api.OutcomeNotRun:   retry.EventNotRun,
	api.OutcomeRunning:  retry.EventRunning,
	api.OutcomeUnknown:  retry.EventUnknown,
}

func (r *entryRequest) addLocal(run func()) {
	r.simulation.events = append(r.simulation.events, event{run: run})
}

func (r *entryRequest) addTimeout(run func()) {
	r.simulation.events = append(r.simulation.events, event{timeout: true, run: run})
}

func (r *entryRequest) queryStatus() {
	req := &api.WithdrawRequest{RequestID: r.id, Attempt: r.attempts, Incarnation: r.incarnation, DeadlineUnixMilli: r.state.Deadline.UnixMilli()}
	handle := r.beginWait()
	target := r.agent
	r.simulation.addMessage(func() {
		event := outcomeEvents[target.withdraw(req)]
		if event == retry.EventComplete {
			event = retry.EventRunning
		}
		r.simulation.addMessage(func() { handle(event) })
	})
	r.addTimeout(func() { handle(retry.EventUnknown) })
}

func (r *entryRequest) resume() {
	handle := r.beginWait()
	target, incarnation := r.agent, r.incarnation
	r.simulation.addMessage(func() {
		if target.incarnation == incarnation {
			target.resume(r.id, r.replyTo(handle))
		}
	})
	r.addTimeout(func() { handle(retry.EventSilent) })
}

func (r *entryRequest) handleEvent(e retry.Event) {
	switch r.state.NextAction(e, r.simulation.budget, r.now()) {
	case retry.ActionQueryStatus:
		r.queryStatus()
	case retry.ActionResume:
		r.resume()
	case retry.ActionRetry:
		r.chooseAgent()
		// The chosen incarnation may be out of date after the wait in the queue.
		expire := r.beginWait()
		r.addLocal(func() { r.dispatch(expire) })
	case retry.ActionFinish:
		r.finish(complete)
	case retry.ActionRefuseNotRun:
		r.finish(notRun)
	default:
		r.finish(unknown)
	}
}

// dispatch sends the next attempt when the queue dispatches the request, unless its
// deadline has passed.
func (r *entryRequest) dispatch(expire func(retry.Event)) {
	if r.done {
		return
	}
	if !r.now().Before(r.state.Deadline) {
		expire(retry.EventNotRun)
		return
	}
	r.sendAttempt()
}

func (r *entryRequest) finish(outcome callerOutcome) {
	r.done = true
	r.outcome = outcome
}
