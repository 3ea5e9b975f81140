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

// answer takes the outcome of an attempt.
type answer func(api.Outcome)

// run is one admitted attempt and the connections that wait for its end.
type run struct {
	req     *api.AttemptRequest
	outcome api.Outcome
	waiting []answer
}

// agent drives a gate and a book of claims in the order of pkg/agent.
type agent struct {
	world       *world
	name        string
	starts      int
	incarnation string
	offset      time.Duration
	gate        *admission.Gate
	claims      *claim.Registry
	runs        map[string]*run
}

func (a *agent) now() time.Time { return a.world.now.Add(a.offset) }

// start starts the agent anew, with an empty memory.
func (a *agent) start() {
	a.starts++
	a.incarnation = a.name + "/" + strconv.Itoa(a.starts)
	started := a.now()
	if a.world.mutation == noStartTime {
		started = time.Time{}
	}
	a.gate = admission.New(admission.Config{
		Upstream: a.name, Incarnation: a.incarnation, Started: started, ClockError: clockError, MaxQueued: 1, Warmup: warmup.Config{Min: 2, Max: 2},
	})
	a.gate.Observe(warmup.Sample{Incarnation: a.incarnation}, 0, a.now())
	a.claims = claim.NewRegistry(a.world.store)
	a.runs = make(map[string]*run)
}

// local adds a step of this incarnation.
func (a *agent) local(run func()) {
	a.world.events = append(a.world.events, event{agent: a, incarnation: a.incarnation, run: run})
}

func (a *agent) attempt(req *api.AttemptRequest, reply answer) {
	gate := a.gate
	if a.world.mutation == noRefusalRecord && gate.Running() >= 2 {
		reply(api.OutcomeNotRun)
		return
	}
	d := gate.Admit(req, a.now())
	switch {
	case d.Admitted:
		r := &run{req: req, waiting: []answer{reply}}
		a.runs[req.RequestID] = r
		if !d.Queued {
			a.local(func() { a.claim(r) })
		}
	case d.Attach:
		a.resume(req.RequestID, reply)
	default:
		reply(d.Outcome)
	}
}

// resume answers with the end of the request's run, now or later.
func (a *agent) resume(id string, reply answer) {
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
	if a.world.mutation == noTombstone {
		return api.OutcomeNotRun
	}
	outcome := a.gate.Withdraw(req, a.now())
	if r := a.runs[req.RequestID]; r != nil && outcome == api.OutcomeNotRun && a.gate.RemoveQueued(req.RequestID) {
		a.refuse(r)
	}
	return outcome
}

// turns starts and refuses what waits for room.
func (a *agent) turns() {
	t := a.gate.ProcessQueue(a.now())
	for _, id := range t.Start {
		r := a.runs[id]
		a.local(func() { a.claim(r) })
	}
	for _, refused := range t.Refuse {
		a.refuse(a.runs[refused.RequestID])
	}
}

// refuse ends a run that waited for room.
func (a *agent) refuse(r *run) {
	a.gate.RefuseAdmitted(r.req.RequestID, r.req.Attempt)
	a.answer(r, api.OutcomeNotRun)
}

func (a *agent) claim(r *run) {
	req := r.req
	if req.Idempotent || a.world.mutation == noClaim {
		a.local(func() { a.dispatch(r, nil) })
		return
	}
	incarnation := a.incarnation
	mine := claim.Claim{RequestID: req.RequestID, Attempt: req.Attempt, Incarnation: incarnation}
	key := claim.Key{Value: req.IdempotencyKey}
	verdict, handle := a.claims.Claim(context.Background(), key, mine)
	if a.incarnation != incarnation {
		return
	}
	if verdict.Held {
		a.local(func() { a.dispatch(r, handle) })
		return
	}
	notRun := a.gate.RefuseAdmitted(req.RequestID, req.Attempt)
	switch {
	case verdict.Answer != nil:
		a.end(r, api.OutcomeComplete)
	case notRun && verdict.Refusal.Ran == problem.RanNo:
		a.local(func() { _ = a.claims.Abandon(context.Background(), key, mine) })
		a.end(r, api.OutcomeNotRun)
	default:
		a.end(r, api.OutcomeUnknown)
	}
}

func (a *agent) dispatch(r *run, handle *claim.Handle) {
	req := r.req
	if !a.gate.Dispatch(req.RequestID, req.Attempt, a.now()) && a.world.mutation != noDispatchCheck {
		a.giveBack(handle)
		a.end(r, api.OutcomeNotRun)
		return
	}
	if a.world.chance(5) {
		a.gate.Finish(req.RequestID, req.Attempt, admission.ResultNotSent)
		a.giveBack(handle)
		a.end(r, api.OutcomeNotRun)
		return
	}
	incarnation := a.incarnation
	sent := false
	a.world.message(func() {
		// One call on one connection reaches the upstream once, or never.
		if sent {
			return
		}
		sent = true
		a.world.ran(req)
		if a.incarnation == incarnation {
			a.local(func() { a.finish(r, handle) })
		}
	})
	a.local(func() { a.lose(r) })
}

// ran counts a run at the upstream.
func (w *world) ran(req *api.AttemptRequest) {
	w.runs[req.RequestID]++
	if !req.Idempotent {
		w.keyRuns[req.IdempotencyKey]++
	}
}

func (a *agent) giveBack(handle *claim.Handle) {
	if handle != nil {
		a.local(func() { _ = a.claims.Release(context.Background(), handle) })
	}
}

func (a *agent) finish(r *run, handle *claim.Handle) {
	if r.outcome != "" {
		return
	}
	if handle != nil {
		_ = a.claims.Complete(context.Background(), handle, claim.Answer{Status: 200})
	}
	a.gate.Finish(r.req.RequestID, r.req.Attempt, admission.ResultAnswered)
	a.end(r, api.OutcomeComplete)
}

// lose gives up on the upstream's answer.
func (a *agent) lose(r *run) {
	if r.outcome != "" || a.world.chance(80) {
		return
	}
	a.gate.Finish(r.req.RequestID, r.req.Attempt, admission.ResultUnknown)
	a.end(r, api.OutcomeUnknown)
}

func (a *agent) end(r *run, outcome api.Outcome) {
	a.gate.Release()
	a.turns()
	a.answer(r, outcome)
}

func (a *agent) answer(r *run, outcome api.Outcome) {
	r.outcome = outcome
	for _, reply := range r.waiting {
		reply(outcome)
	}
}
