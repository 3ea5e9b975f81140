// Package scheduler decides at an entry which waiting request goes to which
// upstream next. It joins the fair queue of each service with the selection of
// upstreams. It is pure: events and the time go in, grants come out.
//
// A request stays in the queue, where it has certainly not run, until an
// upstream of its service has room.
package scheduler

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/fairqueue"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/selection"
	"github.com/acaciaglade/acaciaglade/pkg/shares"
)

// Config is the settings of a scheduler.
type Config struct {
	// MaxWaiting is the most requests that one organisation may have waiting
	// for one service.
	MaxWaiting int
	// MaxWaitingTotal is the most requests that may wait for one service. Beyond it an
	// organisation may have only one. 0 means no limit.
	MaxWaitingTotal int
	// AvoidAfterFailure is how long an upstream is passed over after a failure.
	AvoidAfterFailure time.Duration
	// NoUpstreamAfter is how long a service may have no upstream that takes work
	// before its requests are refused. 0 means that they wait until their
	// deadline.
	NoUpstreamAfter time.Duration
	// QueueHorizon is how long before its turn a request may be sent to wait in an
	// agent's line.
	QueueHorizon time.Duration
}

// Decision gives a waiting request its upstream, or refuses it.
type Decision struct {
	ID string
	// Upstream is set when the request is to be sent.
	Upstream api.Report
	// VirtualTime is the organisation's virtual time, by which agents order.
	VirtualTime float64
	// Refusal is set when the request is refused.
	Refusal *problem.Problem
}

// Request is a request that asks for an upstream.
type Request struct {
	ID           string
	Service      string
	Organisation string
	Weight       int
	Priority     bool
	Cost         float64
	Deadline     time.Time
	// FirstPartDeadline is when the first part of an answer must be there to be on time, zero for
	// no such time.
	FirstPartDeadline time.Time
	// Prefix is the hash of the prompt's leading blocks, 0 when unknown.
	Prefix uint64
	// TriedUpstreams are the upstreams that the request was sent to before.
	TriedUpstreams []string
}

// Scheduler is the state of one entry.
type Scheduler struct {
	cfg      Config
	policy   selection.Policy
	services map[string]*service
	upstream map[string]*service
	sent     map[string]*sent
	out      func(upstream, domain string) bool
}

// service is the queue and the upstreams of one service.
type service struct {
	queue      *fairqueue.Queue
	shares     *shares.View
	candidates []selection.Candidate
	// servingAt is when an upstream was last seen to take work.
	servingAt time.Time
	runTime   runTime
}

// New returns an empty scheduler.
func New(cfg Config, policy selection.Policy) *Scheduler {
	return &Scheduler{
		cfg:      cfg,
		policy:   policy,
		services: make(map[string]*service),
		upstream: make(map[string]*service),
		sent:     make(map[string]*sent),
		out:      func(string, string) bool { return false },
	}
}

// Enqueue queues a request and returns the grants that follow.
func (s *Scheduler) Enqueue(r Request, now time.Time) []Decision {
	svc := s.service(r.Service)
	if p := s.refusal(svc, &r, now); p != nil {
		return []Decision{{ID: r.ID, Refusal: p}}
	}
	svc.queue.Enqueue(&fairqueue.Item{
		ID:           r.ID,
		Organisation: r.Organisation,
		Weight:       r.Weight,
		Priority:     r.Priority,
		Cost:         r.Cost,
		Deadline:     r.Deadline,
		Prefix:       r.Prefix,
	}, now)
	return s.grants(svc, now)
}

// Cancel removes a waiting request.
func (s *Scheduler) Cancel(serviceName, id string) { s.service(serviceName).queue.Remove(id) }

// RecordReport takes an agent's report and returns the grants that follow. A report
// older than the one held is dropped.
func (s *Scheduler) RecordReport(r api.Report, now time.Time) []Decision {
	svc := s.service(r.Service)
	c := svc.candidate(r.Upstream)
	if c.Candidate == nil {
		svc.candidates = append(svc.candidates, selection.Candidate{PendingByOrganisation: make(map[string]int)})
		c = candidate{&svc.candidates[len(svc.candidates)-1]}
		s.upstream[r.Upstream] = svc
	}
	svc.mergeShares(&r, now)
	svc.queue.AdvanceVirtualTime(r.Virtual, now)
	if c.Report.Incarnation == r.Incarnation && r.Sequence <= c.Report.Sequence {
		return nil
	}
	c.Report = r
	c.ReceivedAt = now
	c.SentSinceReport, c.PrioritySentSinceReport = 0, 0
	c.Suspect = false
	c.Delisted = false
	c.OutOfService = s.out(r.Upstream, r.FailureDomain)
	return s.grants(svc, now)
}

// ReconcileCost corrects an organisation's share by the difference between the real
// and the expected cost of a request.
func (s *Scheduler) ReconcileCost(serviceName, organisation string, weight int, difference float64, now time.Time) {
	s.service(serviceName).queue.Charge(organisation, weight, difference, now)
}

// SetOutOfService takes the marks of a new table version.
func (s *Scheduler) SetOutOfService(out func(upstream, domain string) bool, now time.Time) []Decision {
	s.out = out
	var grants []Decision
	for _, svc := range s.services {
		for i := range svc.candidates {
			c := &svc.candidates[i]
			c.OutOfService = out(c.Report.Upstream, c.Report.FailureDomain)
		}
		grants = append(grants, s.grants(svc, now)...)
	}
	return grants
}

// Tick refuses requests that have waited until their deadline, and grants what
// has become possible by the passing of time.
func (s *Scheduler) Tick(now time.Time) []Decision {
	var grants []Decision
	for _, svc := range s.services {
		if s.absent(svc, now) {
			grants = append(grants, refuseAll(svc.queue.RemoveAll(), problem.ReasonNoUpstream)...)
			continue
		}
		expired := svc.queue.Expire(now.Add(svc.runTime.typical))
		grants = append(grants, refuseAll(expired, problem.ReasonDeadlineExceeded)...)
		grants = append(grants, s.grants(svc, now)...)
	}
	return grants
}

// Candidates returns a copy of the upstreams of a service as this entry sees
// them.
func (s *Scheduler) Candidates(serviceName string) []selection.Candidate {
	return append([]selection.Candidate(nil), s.service(serviceName).candidates...)
}

func (s *Scheduler) service(name string) *service {
	svc, ok := s.services[name]
	if !ok {
		svc = &service{queue: fairqueue.New(), shares: shares.NewView()}
		s.services[name] = svc
	}
	return svc
}

func (svc *service) candidate(upstream string) candidate {
	for i := range svc.candidates {
		if svc.candidates[i].Report.Upstream == upstream {
			return candidate{&svc.candidates[i]}
		}
	}
	return candidate{}
}

// grants hands out upstreams while both a request and an upstream are there.
func (s *Scheduler) grants(svc *service, now time.Time) []Decision {
	var grants []Decision
	for {
		chosen := -1
		it := svc.queue.Next(func(it *fairqueue.Item) fairqueue.Eligibility {
			work := selection.Request{
				Organisation: it.Organisation,
				Priority:     it.Priority,
				Prefix:       it.Prefix,
				NoQueueing:   svc.queue.EstimateTimeToStart(it) > s.cfg.QueueHorizon,
			}
			chosen = s.policy.Choose(svc.candidates, work, now)
			switch {
			case chosen >= 0:
				return fairqueue.Eligible
			case work.NoQueueing || !s.policy.HasCapacity(svc.candidates, now):
				return fairqueue.StopScan
			default:
				return fairqueue.SkipOrganisation
			}
		})
		if it == nil {
			return grants
		}
		svc.queue.Dequeue(it, now)
		c := candidate{&svc.candidates[chosen]}
		c.send(it.Organisation, it.Priority)
		s.sent[it.ID] = &sent{service: svc, upstream: c.Report.Upstream, organisation: it.Organisation, at: now}
		grants = append(grants, Decision{ID: it.ID, Upstream: c.Report, VirtualTime: it.StartTag})
	}
}
