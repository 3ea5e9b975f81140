package virtual

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/scheduler"
	"github.com/acaciaglade/acaciaglade/pkg/selection"
)

// service is the name of the service that all upstreams provide.
const service = "draft"

// entry is a simulated entry with its scheduler and queued requests.
type entry struct {
	run       *run
	name      string
	scheduler *scheduler.Scheduler
	waiting   map[string]*request
}

func newEntry(r *run, i int) *entry {
	random := rand.New(rand.NewPCG(r.cfg.Seed, uint64(100+i)))
	var policy selection.Policy = &selection.TwoChoices{Limits: r.cfg.Limits, Rand: random}
	if r.cfg.Policy != nil {
		policy = r.cfg.Policy(random)
	}
	e := &entry{
		run:       r,
		name:      fmt.Sprintf("entry-%d", i+1),
		scheduler: scheduler.New(r.cfg.Scheduler, policy),
		waiting:   make(map[string]*request),
	}
	for _, u := range r.upstreams {
		r.loop.every(r.jitter(r.cfg.ReportInterval), r.cfg.ReportInterval, func() { e.pollReport(u) })
	}
	tick := r.cfg.ReportInterval / 4
	r.loop.every(r.jitter(tick), tick, func() { e.applyDecisions(e.scheduler.Tick(r.loop.now)) })
	return e
}

// enqueue adds a request to the scheduler's queue.
func (e *entry) enqueue(q *request) {
	e.waiting[q.id] = q
	e.applyDecisions(e.scheduler.Enqueue(scheduler.Request{
		ID:           q.id,
		Service:      service,
		Organisation: q.organisation.Name,
		Weight:       q.organisation.Weight,
		Priority:     q.organisation.Priority,
		Cost:         q.expectedCost(),
		Deadline:     q.deadline,
		Prefix:       q.prefix,
	}, e.run.loop.now))
}

// applyDecisions sends dispatched requests to their agents and ends refused ones.
func (e *entry) applyDecisions(decisions []scheduler.Decision) {
	for _, d := range decisions {
		q := e.waiting[d.ID]
		delete(e.waiting, d.ID)
		if d.Refusal != nil {
			e.run.result.recordRefusal(q, d.Refusal, e.run.loop.now)
			e.run.replaceRequest(q, time.Duration(max(1, d.Refusal.RetryAfterSeconds))*time.Second)
			continue
		}
		u := e.run.upstreamByName(d.Upstream.Upstream)
		q.attempts++
		e.run.loop.after(e.run.cfg.NetworkDelay, func() { u.admit(e, q, d) })
	}
}

// pollReport requests the report of an agent.
func (e *entry) pollReport(u *upstream) {
	q := &api.ReportRequest{}
	if !e.run.cfg.NoShares {
		q.Shares = e.scheduler.ShareRequest(e.name, u.name)
	}
	e.run.loop.after(e.run.cfg.NetworkDelay, func() {
		report := u.gate.ReportFor(q, e.run.loop.now)
		e.run.result.recordShareExchange(q, &report)
		e.run.loop.after(e.run.cfg.NetworkDelay, func() { e.applyDecisions(e.scheduler.RecordReport(report, e.run.loop.now)) })
	})
}

// recordStart records that an attempt was sent to the engine.
func (e *entry) recordStart(q *request) {
	e.applyDecisions(e.scheduler.RecordStart(q.id, e.run.loop.now))
}

// recordEnd records the end of an attempt. An attempt that is not complete is
// repeated until the deadline.
func (e *entry) recordEnd(u *upstream, q *request, report api.Report, o outcome) {
	now := e.run.loop.now
	e.applyDecisions(e.scheduler.RecordReport(report, now))
	cost := 0.0
	if o == outcomeComplete {
		cost = q.actualCost()
	}
	e.scheduler.ReconcileCost(service, q.organisation.Name, q.organisation.Weight, cost-q.expectedCost(), now)
	e.applyDecisions(e.scheduler.RecordEnd(q.id, o != outcomeComplete, now))
	switch {
	case o == outcomeComplete:
		e.run.result.recordCompletion(q, now)
		e.run.replaceRequest(q, 0)
	case now.Before(q.deadline):
		e.enqueue(q)
	default:
		e.run.result.recordLate(q)
		e.run.replaceRequest(q, 0)
	}
}

// outcome is the outcome of an attempt: whether the engine ran it to its end.
type outcome int

// Outcomes of an attempt.
const (
	outcomeComplete outcome = iota
	outcomeNotRun
	outcomeUnknown
)
