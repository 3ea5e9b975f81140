// Package scheduler decides at an entry which waiting request is sent to which
// upstream next. It combines the fair queue of each service with the selection of
// upstreams. The package does no I/O and reads no clock: callers pass events and the
// time, and receive decisions.
//
// A request stays in the queue, where it has certainly not run, until an upstream
// of its service has capacity for it, or until shortly before its estimated start,
// when it may wait in the queue of an upstream's agent instead.
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
	// MaxWaiting is the maximum number of requests that one organisation may have
	// waiting for one service.
	MaxWaiting int
	// MaxWaitingTotal is the maximum number of requests that may wait for one
	// service. Once it is reached, an organisation may have only one request
	// waiting. 0 means no limit.
	MaxWaitingTotal int
	// AvoidAfterFailure is how long an upstream is not selected after a failure.
	AvoidAfterFailure time.Duration
	// NoUpstreamAfter is how long a service may have no usable upstream before its
	// requests are refused. 0 means that they wait until their deadline.
	NoUpstreamAfter time.Duration
	// QueueHorizon is how long before its estimated start a request may be sent
	// to an agent's queue.
	QueueHorizon time.Duration
}

// Decision assigns an upstream to a waiting request, or refuses the request.
type Decision struct {
	ID string
	// Upstream is set if the request is to be sent.
	Upstream api.Report
	// VirtualTime is the organisation's virtual time, by which agents order
	// their queues.
	VirtualTime float64
	// Refusal is set if the request is refused.
	Refusal *problem.Problem
}

// Request is a request that needs an upstream. Package fleet also passes it to package
// dispatch, which some entries use in place of this scheduler.
type Request struct {
	ID           string
	Service      string
	Organisation string
	Weight       int
	Priority     bool
	// Hedge is true for a second attempt beside one that is silent. Only package dispatch
	// uses it.
	Hedge bool
	// Cost is the expected cost in tokens.
	Cost     float64
	Deadline time.Time
	// FirstPartDeadline is when the first part of the response is due, or zero if
	// there is no such deadline. Only package dispatch uses it.
	FirstPartDeadline time.Time
	// Prefix is the hash of the prompt's leading blocks, 0 if it is unknown.
	Prefix uint64
	// TriedUpstreams are the upstreams that the request was sent to before. Only
	// package dispatch uses them.
	TriedUpstreams []string
}

// Scheduler schedules the requests of one entry.
type Scheduler struct {
	cfg               Config
	policy            selection.Policy
	services          map[string]*service
	serviceByUpstream map[string]*service
	attempts          map[string]*attempt
	isOutOfService    func(upstream, domain string) bool
}

// service holds the queue and the upstreams of one service.
type service struct {
	queue      *fairqueue.Queue
	shares     *shares.View
	candidates []selection.Candidate
	// lastUsableAt is when a check last found a usable upstream, or when the service
	// was first checked.
	lastUsableAt time.Time
	runTime      runTime
}

// New returns a scheduler without requests and upstreams.
func New(cfg Config, policy selection.Policy) *Scheduler {
	return &Scheduler{
		cfg:               cfg,
		policy:            policy,
		services:          make(map[string]*service),
		serviceByUpstream: make(map[string]*service),
		attempts:          make(map[string]*attempt),
		isOutOfService:    func(string, string) bool { return false },
	}
}

// Enqueue queues or refuses a request, and returns the decisions that follow.
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
	return s.dispatch(svc, now)
}

// Cancel removes a waiting request.
func (s *Scheduler) Cancel(serviceName, id string) { s.service(serviceName).queue.Remove(id) }

// RecordReport records an agent's report, and returns the decisions that follow. Of a
// report that is not newer than the latest, only attained service and virtual time
// are used.
func (s *Scheduler) RecordReport(r api.Report, now time.Time) []Decision {
	svc := s.service(r.Service)
	c := svc.candidate(r.Upstream)
	if c.Candidate == nil {
		svc.candidates = append(svc.candidates, selection.Candidate{PendingByOrganisation: make(map[string]int)})
		c = candidate{&svc.candidates[len(svc.candidates)-1]}
		s.serviceByUpstream[r.Upstream] = svc
	}
	svc.mergeShares(&r, now)
	svc.queue.AdvanceVirtualTime(r.VirtualTime, now)
	if c.Report.Incarnation == r.Incarnation && r.Sequence <= c.Report.Sequence {
		return nil
	}
	c.Report = r
	c.ReceivedAt = now
	c.SentSinceReport, c.PrioritySentSinceReport = 0, 0
	c.Suspect = false
	c.Delisted = false
	c.OutOfService = s.isOutOfService(r.Upstream, r.FailureDomain)
	return s.dispatch(svc, now)
}

// ReconcileCost corrects an organisation's attained service by the difference between
// the real and the expected cost of a request.
func (s *Scheduler) ReconcileCost(serviceName, organisation string, weight int, difference float64, now time.Time) {
	s.service(serviceName).queue.Charge(organisation, weight, difference, now)
}

// SetOutOfService applies the marks of a new table version: isOut reports whether an
// upstream or its failure domain is out of service.
func (s *Scheduler) SetOutOfService(isOut func(upstream, domain string) bool, now time.Time) []Decision {
	s.isOutOfService = isOut
	var decisions []Decision
	for _, svc := range s.services {
		for i := range svc.candidates {
			c := &svc.candidates[i]
			c.OutOfService = isOut(c.Report.Upstream, c.Report.FailureDomain)
		}
		decisions = append(decisions, s.dispatch(svc, now)...)
	}
	return decisions
}

// Tick refuses requests that can't complete by their deadline any more, and
// dispatches requests where the passing of time has made that possible.
func (s *Scheduler) Tick(now time.Time) []Decision {
	var decisions []Decision
	for _, svc := range s.services {
		if s.lacksUpstream(svc, now) {
			decisions = append(decisions, refusals(svc.queue.RemoveAll(), problem.ReasonNoUpstream)...)
			continue
		}
		expired := svc.queue.Expire(now.Add(svc.runTime.mean))
		decisions = append(decisions, refusals(expired, problem.ReasonDeadlineExceeded)...)
		decisions = append(decisions, s.dispatch(svc, now)...)
	}
	return decisions
}

// Candidates returns a copy of this entry's view of the upstreams of a service.
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

// dispatch assigns upstreams to waiting requests until no request is eligible.
func (s *Scheduler) dispatch(svc *service, now time.Time) []Decision {
	var decisions []Decision
	for {
		chosen := -1
		it := svc.queue.Next(func(it *fairqueue.Item) fairqueue.Eligibility {
			request := selection.Request{
				Organisation: it.Organisation,
				Priority:     it.Priority,
				Prefix:       it.Prefix,
				NoQueueing:   svc.queue.EstimateTimeToStart(it) > s.cfg.QueueHorizon,
			}
			chosen = s.policy.Choose(svc.candidates, request, now)
			switch {
			case chosen >= 0:
				return fairqueue.Eligible
			case request.NoQueueing || !s.policy.HasCapacity(svc.candidates, now):
				// The requests behind this one start even later, or there is no
				// capacity for any.
				return fairqueue.StopScan
			default:
				return fairqueue.SkipOrganisation
			}
		})
		if it == nil {
			return decisions
		}
		svc.queue.Dequeue(it, now)
		c := candidate{&svc.candidates[chosen]}
		c.countSent(it.Organisation, it.Priority)
		s.attempts[it.ID] = &attempt{service: svc, upstream: c.Report.Upstream, organisation: it.Organisation, sentAt: now}
		decisions = append(decisions, Decision{ID: it.ID, Upstream: c.Report, VirtualTime: it.StartTag})
	}
}
