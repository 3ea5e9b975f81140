package virtual

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/scheduler"
	"github.com/acaciaglade/acaciaglade/pkg/selection"
)

// service is the name of the service of all runs.
const service = "draft"

// entry is one entry with its scheduler.
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
		r.loop.every(r.jitter(r.cfg.ReportInterval), r.cfg.ReportInterval, func() { e.poll(u) })
	}
	tick := r.cfg.ReportInterval / 4
	r.loop.every(r.jitter(tick), tick, func() { e.act(e.scheduler.Tick(r.loop.now)) })
	return e
}

// arrive queues a request.
func (e *entry) arrive(q *request) {
	e.waiting[q.id] = q
	e.act(e.scheduler.Enqueue(scheduler.Request{
		ID:           q.id,
		Service:      service,
		Organisation: q.organisation.Name,
		Weight:       q.organisation.Weight,
		Priority:     q.organisation.Priority,
		Cost:         q.expected(),
		Deadline:     q.deadline,
		Prefix:       q.prefix,
	}, e.run.loop.now))
}

// act sends granted requests and ends refused ones.
func (e *entry) act(grants []scheduler.Decision) {
	for _, g := range grants {
		q := e.waiting[g.ID]
		delete(e.waiting, g.ID)
		if g.Refusal != nil {
			e.run.result.refuse(q, g.Refusal, e.run.loop.now)
			e.run.done(q, time.Duration(max(1, g.Refusal.RetryAfterSeconds))*time.Second)
			continue
		}
		u := e.run.upstream(g.Upstream.Upstream)
		q.attempts++
		e.run.loop.after(e.run.cfg.Delay, func() { u.attempt(e, q, g) })
	}
}

// poll asks an agent for its report.
func (e *entry) poll(u *upstream) {
	q := &api.ReportRequest{}
	if !e.run.cfg.NoShares {
		q.Shares = e.scheduler.ShareRequest(e.name, u.name)
	}
	e.run.loop.after(e.run.cfg.Delay, func() {
		report := u.gate.ReportFor(q, e.run.loop.now)
		e.run.result.exchanged(q, &report)
		e.run.loop.after(e.run.cfg.Delay, func() { e.act(e.scheduler.RecordReport(report, e.run.loop.now)) })
	})
}

// started takes the news that an attempt runs.
func (e *entry) started(q *request) { e.act(e.scheduler.RecordStart(q.id, e.run.loop.now)) }

// answered takes the end of an attempt.
func (e *entry) answered(u *upstream, q *request, report api.Report, a answer) {
	now := e.run.loop.now
	e.act(e.scheduler.RecordReport(report, now))
	real := 0.0
	if a == complete {
		real = q.cost()
	}
	e.scheduler.ReconcileCost(service, q.organisation.Name, q.organisation.Weight, real-q.expected(), now)
	e.act(e.scheduler.RecordEnd(q.id, a != complete, now))
	switch {
	case a == complete:
		e.run.result.complete(q, now)
		e.run.done(q, 0)
	case now.Before(q.deadline):
		e.arrive(q)
	default:
		e.run.result.late(q)
		e.run.done(q, 0)
	}
}

// answer is the end of an attempt.
type answer int

// Ends of an attempt.
const (
	complete answer = iota
	notRun
	lost
)
