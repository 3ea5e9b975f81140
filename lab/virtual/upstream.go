package virtual

import (
	"fmt"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/admission"
	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/scheduler"
	"github.com/acaciaglade/acaciaglade/pkg/warmup"
)

// upstream is an engine with its agent's gate.
type upstream struct {
	run      *run
	name     string
	gate     *admission.Gate
	engine   *engine
	attempts map[string]*attempt
}

// firstAttempt is the number of every attempt, as each has a name of its own.
const firstAttempt = 1

// attempt is an admitted attempt.
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
	u.engine.onToken = u.token
	u.engine.onDone = func(q *request) { u.end(q.attempt(), complete) }
	u.engine.onLost = func(q *request) { u.end(q.attempt(), lost) }
	u.engine.onStep = func(took time.Duration) {
		if !r.cfg.NoStepTimes {
			u.gate.ObserveStep(took, r.loop.now)
		}
	}
	u.engine.start(true)
	r.loop.every(r.jitter(r.cfg.SampleInterval), r.cfg.SampleInterval, u.sample)
	return u
}

func (r *run) upstream(name string) *upstream {
	for _, u := range r.upstreams {
		if u.name == name {
			return u
		}
	}
	return nil
}

// attempt decides on an attempt, and runs it when it is admitted.
func (u *upstream) attempt(e *entry, q *request, g scheduler.Decision) {
	now := u.run.loop.now
	a := &api.AttemptRequest{
		RequestID:         q.attempt(),
		Attempt:           firstAttempt,
		Incarnation:       g.Upstream.Incarnation,
		Virtual:           g.VirtualTime,
		Organisation:      q.organisation.Name,
		Weight:            q.organisation.Weight,
		Entry:             e.name,
		Cost:              q.expected(),
		Priority:          q.organisation.Priority,
		DeadlineUnixMilli: q.deadline.UnixMilli(),
	}
	d := u.gate.Admit(a, now)
	if !d.Admitted {
		u.run.result.Refusals[d.Refusal.Reason]++
		u.reply(q, notRun)
		return
	}
	u.attempts[a.RequestID] = &attempt{request: q, message: a}
	if !d.Queued {
		u.dispatch(a.RequestID)
	}
}

// dispatch sends an attempt that has room to the engine.
func (u *upstream) dispatch(id string) {
	a := u.attempts[id]
	q := a.request
	if !u.gate.Dispatch(id, firstAttempt, u.run.loop.now) {
		u.end(id, notRun)
		return
	}
	if !u.engine.up {
		u.end(id, lost)
		return
	}
	q.generated = 0
	u.engine.add(q)
	u.run.loop.after(u.run.cfg.Delay, func() { q.entry.started(q) })
}

// turns gives free room to waiting attempts.
func (u *upstream) turns() {
	t := u.gate.ProcessQueue(u.run.loop.now)
	for _, id := range t.Start {
		u.dispatch(id)
	}
	for _, refused := range t.Refuse {
		u.gate.RefuseAdmitted(refused.RequestID, firstAttempt)
		u.drop(refused.RequestID, notRun)
	}
}

// token counts the service of one request.
func (u *upstream) token(q *request, tokens int) {
	now := u.run.loop.now
	if q.generated == 1 {
		u.run.result.first(q, now.Add(u.run.cfg.Delay))
		tokens += q.prompt
	}
	u.run.result.serve(q.organisation, tokens, now)
}

// end ends an attempt that has room.
func (u *upstream) end(id string, a answer) {
	ending := admission.ResultUnknown
	switch {
	case a == complete:
		ending = admission.ResultAnswered
	case !u.run.cfg.NoStepTimes:
		u.gate.ObserveBrokenCall(u.run.loop.now)
	}
	u.gate.Finish(id, firstAttempt, ending)
	u.gate.Release()
	u.drop(id, a)
	u.turns()
}

// drop counts the real cost of an attempt and answers the entry.
func (u *upstream) drop(id string, a answer) {
	ended := u.attempts[id]
	delete(u.attempts, id)
	real := 0.0
	if a == complete {
		real = ended.request.cost()
	}
	u.gate.ReconcileCost(ended.message, real, u.run.loop.now)
	u.reply(ended.request, a)
}

func (u *upstream) reply(q *request, a answer) {
	report := u.gate.Report()
	u.run.loop.after(u.run.cfg.Delay, func() { q.entry.answered(u, q, report, a) })
}

// sample takes the engine's own report.
func (u *upstream) sample() {
	if !u.engine.up {
		u.gate.SetUnreachable()
		u.turns()
		return
	}
	l := u.engine.reported
	u.gate.Observe(warmup.Sample{Incarnation: l.incarnation, Step: l.step, Cold: l.cold}, 1, u.run.loop.now)
	u.turns()
}

// happen makes something happen to the engine.
func (u *upstream) happen(kind EventKind) {
	switch kind {
	case TurnCold:
		u.engine.chill()
	case Restart:
		u.engine.fall()
	case Stop:
		u.engine.stop()
	}
}
