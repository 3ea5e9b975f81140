package atmostonce

import (
	"fmt"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/retry"
)

// job is one request at an entry, in the order of pkg/filter/attempt.
type job struct {
	world       *world
	id          string
	key         string
	state       retry.Request
	offset      time.Duration
	attempts    int
	agent       *agent
	incarnation string
	// phase counts the waits, so that answers to earlier ones are dropped.
	phase int
	done  bool
	told  told
}

// call is a caller's request through some entry.
func (w *world) call(key string, idempotent bool) {
	j := &job{world: w, id: fmt.Sprintf("request-%d", len(w.jobs)), key: key, offset: w.millis(500) - clockError/2}
	j.state = retry.Request{Idempotent: idempotent, Deadline: j.now().Add(200*time.Millisecond + w.millis(4000))}
	if idempotent {
		j.key = "idempotent/" + key
	}
	w.jobs = append(w.jobs, j)
	j.choose()
	j.send()
}

func (j *job) now() time.Time { return j.world.now.Add(j.offset) }

// choose picks an agent, whose incarnation may be out of date when it is used.
func (j *job) choose() {
	j.agent = j.world.agents[j.world.rand.IntN(agents)]
	j.incarnation = j.agent.incarnation
}

// wait begins a wait and returns what takes its answer.
func (j *job) wait() func(retry.Event) {
	j.phase++
	phase := j.phase
	return func(e retry.Event) {
		if !j.done && j.phase == phase {
			j.next(e)
		}
	}
}

func (j *job) send() {
	j.attempts++
	req := &api.AttemptRequest{
		RequestID: j.id, Attempt: j.attempts, Incarnation: j.incarnation, Idempotent: j.state.Idempotent,
		IdempotencyKey: j.key, DeadlineUnixMilli: j.state.Deadline.UnixMilli(), SentUnixMilli: j.now().UnixMilli(),
	}
	take := j.wait()
	target := j.agent
	j.world.message(func() { target.attempt(req, j.answer(take)) })
	j.timeout(func() { take(retry.EventSilent) })
}

// answer returns the connection on which an agent answers.
func (j *job) answer(take func(retry.Event)) answer {
	return func(o api.Outcome) {
		j.world.message(func() { take(kinds[o]) })
	}
}

var kinds = map[api.Outcome]retry.Event{
	api.OutcomeComplete: retry.EventComplete,
	api.OutcomeNotRun:   retry.EventNotRun,
	api.OutcomeRunning:  retry.EventRunning,
	api.OutcomeUnknown:  retry.EventUnknown,
}

func (j *job) local(run func()) { j.world.events = append(j.world.events, event{run: run}) }

func (j *job) timeout(run func()) {
	j.world.events = append(j.world.events, event{timeout: true, run: run})
}

func (j *job) ask() {
	req := &api.WithdrawRequest{RequestID: j.id, Attempt: j.attempts, Incarnation: j.incarnation, DeadlineUnixMilli: j.state.Deadline.UnixMilli()}
	take := j.wait()
	target := j.agent
	j.world.message(func() {
		kind := kinds[target.withdraw(req)]
		if kind == retry.EventComplete {
			kind = retry.EventRunning
		}
		j.world.message(func() { take(kind) })
	})
	j.timeout(func() { take(retry.EventUnknown) })
}

func (j *job) resume() {
	take := j.wait()
	target, incarnation := j.agent, j.incarnation
	j.world.message(func() {
		if target.incarnation == incarnation {
			target.resume(j.id, j.answer(take))
		}
	})
	j.timeout(func() { take(retry.EventSilent) })
}

func (j *job) next(e retry.Event) {
	switch j.state.NextAction(e, j.world.budget, j.now()) {
	case retry.ActionQueryStatus:
		j.ask()
	case retry.ActionResume:
		j.resume()
	case retry.ActionRetry:
		j.choose()
		// The wait in the queue makes the choice out of date.
		queued := j.wait()
		j.local(func() { j.grant(queued) })
	case retry.ActionFinish:
		j.tell(complete)
	case retry.ActionRefuseNotRun:
		j.tell(notRun)
	default:
		j.tell(unknown)
	}
}

// grant sends the next attempt once the queue has granted it.
func (j *job) grant(queued func(retry.Event)) {
	if j.done {
		return
	}
	if !j.now().Before(j.state.Deadline) {
		queued(retry.EventNotRun)
		return
	}
	j.send()
}

func (j *job) tell(what told) {
	j.done = true
	j.told = what
}
