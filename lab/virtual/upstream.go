package virtual

import (
	"fmt"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/admission"
	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/scheduler"
	"github.com/acaciaglade/acaciaglade/pkg/warmup"
)

// upstream is a simulated engine with the admission gate of its agent.
type upstream struct {
	run      *run
	name     string
	gate     *admission.Gate
	engine   *engine
	attempts map[string]*attempt
}

// attemptNumber is the attempt number in all messages. It is always the first, as
// each attempt has a request ID of its own.
const attemptNumber = 1

// attempt is an attempt that was admitted and has not ended.
type attempt struct {
	request *request
	message *api.AttemptRequest
}

func newUpstream(r *run, i int) *upstream {
	u := &upstream{
		run:      r,
		name:     fmt.Sprintf("upstream-%d", i+1),
		engine:   &engine{cfg: r.cfg.Engine, loop: r.loop},
		attempts: make(map[string]*attempt),
	}
	reserved := r.cfg.Reserved
	if r.cfg.ReservedUpstreams > 0 && i >= r.cfg.ReservedUpstreams {
		reserved = 0
	}
	u.gate = admission.New(admission.Config{
		Upstream:      u.name,
		FailureDomain: fmt.Sprintf("domain-%d", i%3+1),
		Service:       service,
		Incarnation:   "agent-" + u.name,
		MaxQueued:     r.cfg.MaxQueued,
		Reserved:      reserved,
		Warmup:        r.cfg.Warmup,
	})
	u.engine.onToken = u.recordTokens
	u.engine.onDone = func(q *request) { u.finishAttempt(q.attemptID(), outcomeComplete) }
	u.engine.onAbort = func(q *request) { u.finishAttempt(q.attemptID(), outcomeUnknown) }
	u.engine.onStep = func(took time.Duration) {
		if !r.cfg.NoStepTimes {
			u.gate.ObserveStep(took, r.loop.now)
		}
	}
	u.engine.start(true)
	r.loop.every(r.jitter(r.cfg.SampleInterval), r.cfg.SampleInterval, u.observeEngine)
	return u
}

func (r *run) upstreamByName(name string) *upstream {
	for _, u := range r.upstreams {
		if u.name == name {
			return u
		}
	}
	return nil
}

// admit submits an attempt to the gate and dispatches it if it is admitted without
// queueing.
func (u *upstream) admit(e *entry, q *request, decision scheduler.Decision) {
	now := u.run.loop.now
	a := &api.AttemptRequest{
		RequestID:         q.attemptID(),
		Attempt:           attemptNumber,
		Incarnation:       decision.Upstream.Incarnation,
		VirtualTime:       decision.VirtualTime,
		Organisation:      q.organisation.Name,
		Weight:            q.organisation.Weight,
		Entry:             e.name,
		Cost:              q.expectedCost(),
		Priority:          q.organisation.Priority,
		DeadlineUnixMilli: q.deadline.UnixMilli(),
	}
	d := u.gate.Admit(a, now)
	if !d.Admitted {
		u.run.result.Refusals[d.Refusal.Reason]++
		u.reportOutcome(q, outcomeNotRun)
		return
	}
	u.attempts[a.RequestID] = &attempt{request: q, message: a}
	if !d.Queued {
		u.dispatch(a.RequestID)
	}
}

// dispatch sends an attempt that has capacity reserved to the engine.
func (u *upstream) dispatch(id string) {
	a := u.attempts[id]
	q := a.request
	if !u.gate.Dispatch(id, attemptNumber, u.run.loop.now) {
		u.finishAttempt(id, outcomeNotRun)
		return
	}
	if !u.engine.up {
		u.finishAttempt(id, outcomeUnknown)
		return
	}
	q.generated = 0
	u.engine.submit(q)
	u.run.loop.after(u.run.cfg.NetworkDelay, func() { q.entry.recordStart(q) })
}

// processQueue dispatches and refuses queued attempts as the gate decides.
func (u *upstream) processQueue() {
	t := u.gate.ProcessQueue(u.run.loop.now)
	for _, id := range t.Start {
		u.dispatch(id)
	}
	for _, refused := range t.Refuse {
		u.gate.RefuseAdmitted(refused.RequestID, attemptNumber)
		u.removeAttempt(refused.RequestID, outcomeNotRun)
	}
}

// recordTokens counts generated tokens of a request and, with the first of them,
// the tokens of its prompt.
func (u *upstream) recordTokens(q *request, tokens int) {
	now := u.run.loop.now
	if q.generated == 1 {
		u.run.result.recordFirstToken(q, now.Add(u.run.cfg.NetworkDelay))
		tokens += q.prompt
	}
	u.run.result.recordTokens(q.organisation, tokens, now)
}

// finishAttempt ends an attempt that has capacity reserved and releases the
// capacity.
func (u *upstream) finishAttempt(id string, o outcome) {
	result := admission.ResultUnknown
	switch {
	case o == outcomeComplete:
		result = admission.ResultAnswered
	case !u.run.cfg.NoStepTimes:
		u.gate.ObserveBrokenCall(u.run.loop.now)
	}
	u.gate.Finish(id, attemptNumber, result)
	u.gate.Release()
	u.removeAttempt(id, o)
	u.processQueue()
}

// removeAttempt removes an ended attempt, reconciles its cost and reports its
// outcome to the entry.
func (u *upstream) removeAttempt(id string, o outcome) {
	ended := u.attempts[id]
	delete(u.attempts, id)
	cost := 0.0
	if o == outcomeComplete {
		cost = ended.request.actualCost()
	}
	u.gate.ReconcileCost(ended.message, cost, u.run.loop.now)
	u.reportOutcome(ended.request, o)
}

func (u *upstream) reportOutcome(q *request, o outcome) {
	report := u.gate.Report()
	u.run.loop.after(u.run.cfg.NetworkDelay, func() { q.entry.recordEnd(u, q, report, o) })
}

// observeEngine passes the load that the engine reports to the gate.
func (u *upstream) observeEngine() {
	if !u.engine.up {
		u.gate.SetUnreachable()
		u.processQueue()
		return
	}
	l := u.engine.reportedLoad
	u.gate.Observe(warmup.Sample{Incarnation: l.incarnation, Step: l.stepTime, Cold: l.cold}, 1, u.run.loop.now)
	u.processQueue()
}

// applyEvent changes the state of the engine as an event of the run demands.
func (u *upstream) applyEvent(kind EventKind) {
	switch kind {
	case TurnCold:
		u.engine.turnCold()
	case Restart:
		u.engine.crash()
	case Stop:
		u.engine.stop()
	}
}
