package atmostonce

import (
	"context"
	"strconv"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/admission"
	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/claim"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/warmup"
)

// replyFunc sends an agent's reply with the outcome of an attempt.
type replyFunc func(api.Outcome)

// run is an admitted attempt with the connections that wait for its outcome.
type run struct {
	req     *api.AttemptRequest
	outcome api.Outcome
	waiting []replyFunc
}

// agent has a gate and a registry of claims. It makes the same calls in the same order
// as pkg/agent.
type agent struct {
	simulation  *simulation
	name        string
	starts      int
	incarnation string
	// offset is the difference of the agent's clock from the simulated time.
	offset time.Duration
	gate   *admission.Gate
	claims *claim.Registry
	runs   map[string]*run
}

func (a *agent) now() time.Time { return a.simulation.now.Add(a.offset) }

// start starts or restarts the agent, without any records.
func (a *agent) start() {
	a.starts++
	a.incarnation = a.name + "/" + strconv.Itoa(a.starts)
	started := a.now()
	if a.simulation.mutation == noStartTime {
		started = time.Time{}
	}
	a.gate = admission.New(admission.Config{
		Upstream: a.name, Incarnation: a.incarnation, Started: started, ClockError: clockError, MaxQueued: 1, Warmup: warmup.Config{Min: 2, Max: 2},
	})
	a.gate.Observe(warmup.Sample{Incarnation: a.incarnation}, 0, a.now())
	a.claims = claim.NewRegistry(a.simulation.store)
	a.runs = make(map[string]*run)
}

// addLocal adds an event that is dropped when the agent has restarted.
func (a *agent) addLocal(run func()) {
	a.simulation.events = append(a.simulation.events, event{agent: a, incarnation: a.incarnation, run: run})
}

func (a *agent) attempt(req *api.AttemptRequest, reply replyFunc) {
	gate := a.gate
	answer := reply
	reply = func(o api.Outcome) {
		a.simulation.recordOutcome(attemptID{req.RequestID, req.Incarnation, req.Attempt}, o)
		answer(o)
	}
	if a.simulation.mutation == noRefusalRecord && gate.Running() >= 2 {
		reply(api.OutcomeNotRun)
		return
	}
	d := gate.Admit(req, a.now())
	switch {
	case d.Admitted:
		r := &run{req: req, waiting: []replyFunc{reply}}
		a.runs[req.RequestID] = r
		if !d.Queued {
			a.addLocal(func() { a.claim(r) })
		}
	case d.Attach:
		a.resume(req.RequestID, reply)
	default:
		reply(d.Outcome)
	}
}

// resume replies with the outcome of the request's run, when it has ended.
func (a *agent) resume(id string, reply replyFunc) {
	r := a.runs[id]
	switch {
	case r == nil:
		reply(api.OutcomeUnknown)
	case r.outcome != "":
		reply(r.outcome)
	default:
		r.waiting = append(r.waiting, reply)
	}
}

func (a *agent) withdraw(req *api.WithdrawRequest) api.Outcome {
	if a.simulation.mutation == noTombstone {
		return api.OutcomeNotRun
	}
	outcome := a.gate.Withdraw(req, a.now())
	a.simulation.recordOutcome(attemptID{req.RequestID, req.Incarnation, req.Attempt}, outcome)
	if r := a.runs[req.RequestID]; r != nil && outcome == api.OutcomeNotRun && a.gate.RemoveQueued(req.RequestID) {
		a.refuseQueued(r)
	}
	return outcome
}

// processQueue starts and refuses queued attempts.
func (a *agent) processQueue() {
	result := a.gate.ProcessQueue(a.now())
	for _, id := range result.Start {
		r := a.runs[id]
		a.addLocal(func() { a.claim(r) })
	}
	for _, refused := range result.Refuse {
		a.refuseQueued(a.runs[refused.RequestID])
	}
}

// refuseQueued ends a queued run.
func (a *agent) refuseQueued(r *run) {
	a.gate.RefuseAdmitted(r.req.RequestID, r.req.Attempt)
	a.reply(r, api.OutcomeNotRun)
}

func (a *agent) claim(r *run) {
	req := r.req
	if req.Idempotent || a.simulation.mutation == noClaim {
		a.addLocal(func() { a.dispatch(r, nil) })
		return
	}
	incarnation := a.incarnation
	own := claim.Claim{RequestID: req.RequestID, Attempt: req.Attempt, Incarnation: incarnation}
	key := claim.Key{Value: req.IdempotencyKey}
	result, handle := a.claims.Claim(context.Background(), key, own)
	if a.incarnation != incarnation {
		return
	}
	if result.Held {
		a.addLocal(func() { a.dispatch(r, handle) })
		return
	}
	notRun := a.gate.RefuseAdmitted(req.RequestID, req.Attempt)
	switch {
	case result.Response != nil:
		a.end(r, api.OutcomeComplete)
	case notRun && result.Refusal.Ran == problem.RanNo:
		a.addLocal(func() { _ = a.claims.Abandon(context.Background(), key, own) })
		a.end(r, api.OutcomeNotRun)
	default:
		a.end(r, api.OutcomeUnknown)
	}
}

func (a *agent) dispatch(r *run, handle *claim.Handle) {
	req := r.req
	if !a.gate.Dispatch(req.RequestID, req.Attempt, a.now()) && a.simulation.mutation != noDispatchCheck {
		a.releaseClaim(handle)
		a.end(r, api.OutcomeNotRun)
		return
	}
	if a.simulation.chance(5) {
		a.gate.Finish(req.RequestID, req.Attempt, admission.ResultNotRun)
		a.releaseClaim(handle)
		a.end(r, api.OutcomeNotRun)
		return
	}
	incarnation := a.incarnation
	sent := false
	a.simulation.addMessage(func() {
		// A call on one connection reaches the upstream at most once.
		if sent {
			return
		}
		sent = true
		a.simulation.recordRun(req)
		if a.incarnation == incarnation {
			a.addLocal(func() { a.finish(r, handle) })
		}
	})
	a.addLocal(func() { a.abandonResponse(r) })
}

// recordRun counts a run at the upstream.
func (s *simulation) recordRun(req *api.AttemptRequest) {
	s.runs[req.RequestID]++
	s.attemptRuns[attemptID{req.RequestID, req.Incarnation, req.Attempt}]++
	if !req.Idempotent {
		s.keyRuns[req.IdempotencyKey]++
	}
}

// recordOutcome keeps that an agent reported an attempt as not run.
func (s *simulation) recordOutcome(id attemptID, o api.Outcome) {
	if o == api.OutcomeNotRun {
		s.attemptsNotRun[id] = true
	}
}

func (a *agent) releaseClaim(handle *claim.Handle) {
	if handle != nil {
		a.addLocal(func() { _ = a.claims.Release(context.Background(), handle) })
	}
}

func (a *agent) finish(r *run, handle *claim.Handle) {
	if r.outcome != "" {
		return
	}
	if handle != nil {
		_ = a.claims.Complete(context.Background(), handle, claim.Response{Status: 200})
	}
	a.gate.Finish(r.req.RequestID, r.req.Attempt, admission.ResultAnswered)
	a.end(r, api.OutcomeComplete)
}

// abandonResponse ends a run without its response in 20% of the cases, as after a
// timeout: the outcome is unknown.
func (a *agent) abandonResponse(r *run) {
	if r.outcome != "" || a.simulation.chance(80) {
		return
	}
	a.gate.Finish(r.req.RequestID, r.req.Attempt, admission.ResultUnknown)
	a.end(r, api.OutcomeUnknown)
}

func (a *agent) end(r *run, outcome api.Outcome) {
	a.gate.Release()
	a.processQueue()
	a.reply(r, outcome)
}

func (a *agent) reply(r *run, outcome api.Outcome) {
	r.outcome = outcome
	for _, reply := range r.waiting {
		reply(outcome)
	}
}
