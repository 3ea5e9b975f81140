package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/fairqueue"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/recent"
	"github.com/acaciaglade/acaciaglade/pkg/selection"
	"github.com/acaciaglade/acaciaglade/pkg/sendlimit"
	"github.com/acaciaglade/acaciaglade/pkg/statement"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// Config holds the settings of a dispatcher.
type Config struct {
	// Entry is the entry's name.
	Entry string
	// FailureDomain is the entry's failure domain. Upstreams in it are preferred.
	FailureDomain string
	// Seed seeds the random choice among equally loaded upstreams.
	Seed uint64
	// ColdFactor and ColdSlack derive the limit on the requests per second that all
	// entries together send to an upstream from the rate that it sustains while cold:
	// rate * ColdFactor + ColdSlack.
	ColdFactor float64
	ColdSlack  float64
	// MaxQueueTime is the longest time that a request waits for an upstream. The default
	// of 1.2 s leaves time for the first event before the caller disconnects.
	MaxQueueTime time.Duration
}

// Request describes a request that needs an upstream.
type Request struct {
	ID           string
	Service      string
	Organisation string
	// Weight is the organisation's relative share.
	Weight int
	// Priority requests are queued however long the queue is, and go before all others.
	Priority bool
	// Hedge is true for a second attempt beside one that is silent.
	Hedge bool
	// Cost is the expected cost in tokens.
	Cost float64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// FirstPartDeadline is when the first part of the response must arrive to be on
	// time. Zero means no such deadline.
	FirstPartDeadline time.Time
	// TriedUpstreams lists the upstreams of earlier attempts.
	TriedUpstreams []string
}

// Decision assigns an upstream to a request or refuses it.
type Decision struct {
	ID       string
	Upstream Upstream
	// Load is the estimated number of requests at the upstream, including this one.
	Load int
	// GroupLoadAge is the age of the latest load of the upstream's group, negative if
	// none was received.
	GroupLoadAge time.Duration
	// Refusal is set when the request is refused.
	Refusal *problem.Problem
}

// SelectionReason describes the load by which the upstream was selected.
func (d *Decision) SelectionReason() string {
	groupLoad := "no board"
	if d.GroupLoadAge >= 0 {
		groupLoad = fmt.Sprintf("board %d ms old", d.GroupLoadAge.Milliseconds())
	}
	return fmt.Sprintf("has %d of %d requests, %s", d.Load, d.Upstream.Slots, groupLoad)
}

// Dispatcher assigns the waiting requests of one entry to upstreams.
type Dispatcher struct {
	cfg      Config
	rand     *rand.Rand
	services map[string]*service
	attempts map[string]*attempt
	// limits holds the limits that upstreams name.
	limits *sendlimit.Table
	// statements holds what upstreams state about themselves otherwise.
	statements *statement.Table
	// limitDivisor divides the limits that all entries keep together, 0 while the
	// number of entries is unknown.
	limitDivisor   int
	isOutOfService func(upstream, domain string) bool
	// responseChanges are the changes that ResponseChanges has not returned yet.
	responseChanges []ResponseChange
}

// service holds the queues and the upstreams of one service.
type service struct {
	queues     queues
	waiting    map[string]*Request
	candidates []*candidate
	// coldPerSecond is the rate that an upstream sustains while cold, 0 for no limit.
	coldPerSecond float64
	passes        passMonitor
	// passClocks measure, by group, for how long it has run passes.
	passClocks map[string]*passClock
	// dispatched counts the dispatches within the last sendWindow.
	dispatched recent.Counter
	// lastDispatchAt is when this entry last dispatched a request of the service.
	lastDispatchAt time.Time
	// nextStallTrial is when another trial may be sent while the service is stalled.
	nextStallTrial time.Time
	// groups holds the latest load of each of the service's groups.
	groups map[string]groupTotals
	// typicalFirstPart is the moving average of the time from dispatch to the first
	// part of the response.
	typicalFirstPart time.Duration
	// typicalDuration is the moving average of the time from dispatch to the end.
	typicalDuration time.Duration
}

// attempt is a dispatched attempt that has not ended.
type attempt struct {
	service   *service
	candidate *candidate
	sentAt    time.Time
	// lastPartAt is when the latest part of the response arrived, zero before the
	// first.
	lastPartAt time.Time
	// sentOnClock is the time of its group's passClock at which it was sent.
	sentOnClock time.Duration
	// moved is true once RequestsToMove has returned the request.
	moved bool
}

// New returns a dispatcher without upstreams or requests.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:            cfg,
		rand:           rand.New(rand.NewPCG(cfg.Seed, 0)),
		services:       make(map[string]*service),
		attempts:       make(map[string]*attempt),
		limits:         sendlimit.New(cfg.Entry, cfg.Seed),
		statements:     statement.New(),
		isOutOfService: func(string, string) bool { return false },
	}
}

func (d *Dispatcher) service(name string) *service {
	s, ok := d.services[name]
	if !ok {
		s = &service{queues: newQueues(), waiting: make(map[string]*Request), dispatched: recent.New(sendWindow), groups: make(map[string]groupTotals), passClocks: make(map[string]*passClock)}
		d.services[name] = s
	}
	return s
}

// SetIndex applies a new version of the table and returns the decisions that follow.
func (d *Dispatcher) SetIndex(ix *table.Index, now time.Time) []Decision {
	d.isOutOfService = ix.IsOutOfService
	limits := pauseLimits(ix.Table().Routes)
	for _, svc := range ix.Table().Services {
		s := d.service(svc.Name)
		s.coldPerSecond = svc.ColdPerSecond
		s.passes.passLimit = limits[svc.Name]
	}
	var decisions []Decision
	for _, s := range d.services {
		for _, c := range s.candidates {
			c.outOfService = d.isOutOfService(c.ID, c.FailureDomain)
		}
		decisions = append(decisions, d.dispatch(s, now)...)
	}
	return decisions
}

// SetLimitDivisor sets the number by which limits over all entries are divided, and
// returns the decisions that follow.
func (d *Dispatcher) SetLimitDivisor(divisor int, now time.Time) []Decision {
	if divisor == d.limitDivisor {
		return nil
	}
	d.limitDivisor = divisor
	var decisions []Decision
	for _, s := range d.services {
		decisions = append(decisions, d.dispatch(s, now)...)
	}
	return decisions
}

// SetUpstreams replaces the upstreams by those that the platform lists now, and returns
// the decisions that follow.
func (d *Dispatcher) SetUpstreams(list []Upstream, now time.Time) []Decision {
	byService := make(map[string][]Upstream)
	listed := make(map[sendlimit.Key]bool, len(list))
	for _, u := range list {
		listed[u.limitKey()] = true
		byService[u.Service] = append(byService[u.Service], u)
		d.service(u.Service)
	}
	d.limits.SetListed(listed, now)
	d.statements.SetListed(listed, now)
	var decisions []Decision
	for name, s := range d.services {
		s.replaceUpstreams(byService[name], d.isOutOfService, d.statements, now)
		decisions = append(decisions, d.dispatch(s, now)...)
	}
	return decisions
}

// replaceUpstreams sets a service's upstreams. The observed state of an upstream that is
// still listed is kept.
func (s *service) replaceUpstreams(list []Upstream, isOutOfService func(upstream, domain string) bool, statements *statement.Table, now time.Time) {
	kept := make([]*candidate, 0, len(list))
	states, known := GroupStates(list), make(map[string]*candidate, len(s.candidates))
	for _, c := range s.candidates {
		known[c.ID] = c
	}
	for _, u := range list {
		c, ok := known[u.ID]
		if !ok || c.Incarnation != u.Incarnation || c.Address != u.Address {
			c = &candidate{recentSends: recent.New(sendWindow)}
		}
		if u.Draining {
			c.recordDraining(statement.SourceList, now)
		}
		// Draining is final: a list that lacks it is older.
		u.Draining = c.Draining
		if c.Group.Epoch != u.Group.Epoch {
			// The group was formed again and may accept work.
			s.passes.stoppedAt = time.Time{}
		}
		c.Upstream = u
		c.applyStatements(statements)
		c.outOfService = isOutOfService(u.ID, u.FailureDomain)
		g := states[u.Group.Name]
		c.groupOpen = u.Group.Name == "" || g.Open && g.Epoch == u.Group.Epoch
		kept = append(kept, c)
	}
	s.candidates = kept
}

// Enqueue admits a request to the queue or refuses it, and returns the decisions that
// follow.
func (d *Dispatcher) Enqueue(r Request, now time.Time) []Decision {
	s := d.service(r.Service)
	if p := d.admissionRefusal(s, &r, now); p != nil {
		if trial, ok := d.sendStallTrial(s, &r, now); ok {
			return []Decision{trial}
		}
		return []Decision{{ID: r.ID, Refusal: p}}
	}
	s.waiting[r.ID] = &r
	deadline := r.Deadline
	if maxDeadline := now.Add(d.cfg.MaxQueueTime); maxDeadline.Before(deadline) {
		deadline = maxDeadline
	}
	s.queues.onTime.Enqueue(&fairqueue.Item{
		ID:           r.ID,
		Organisation: r.Organisation,
		Weight:       r.Weight,
		Priority:     r.Priority,
		Cost:         r.Cost,
		Deadline:     deadline,
	}, now)
	return d.dispatch(s, now)
}

// Cancel removes a waiting request.
func (d *Dispatcher) Cancel(serviceName, id string) {
	s := d.service(serviceName)
	s.queues.remove(id)
	delete(s.waiting, id)
}

// UpstreamOf returns the ID of the upstream of a request's running attempt, or "".
func (d *Dispatcher) UpstreamOf(id string) string {
	if a, ok := d.attempts[id]; ok {
		return a.candidate.ID
	}
	return ""
}

// RecordPart records that a part of a response has arrived.
func (d *Dispatcher) RecordPart(id string, now time.Time) {
	a, ok := d.attempts[id]
	if !ok {
		return
	}
	clock := a.service.passClock(a.candidate.Group.Name)
	clock.recordEvent(now)
	a.candidate.lastPartOnClock = clock.elapsed
	d.recordResponse(a.candidate)
	if a.lastPartAt.IsZero() {
		a.service.passes.recordStart(now)
		updateAverage(&a.service.typicalFirstPart, now.Sub(a.sentAt))
	} else {
		a.service.passes.recordEvent(now.Sub(a.lastPartAt), now)
	}
	a.lastPartAt = now
}

// RecordEnd records that an attempt has ended, and returns the decisions that follow.
func (d *Dispatcher) RecordEnd(id string, f Failure, now time.Time) []Decision {
	a, ok := d.attempts[id]
	if !ok {
		return nil
	}
	delete(d.attempts, id)
	s := a.service
	a.candidate.ownAttempts.add(-1, now)
	a.candidate.recordResult(f, now)
	if !a.lastPartAt.IsZero() {
		s.passes.recordEnd()
	}
	switch f {
	case FailureNone:
		if !a.lastPartAt.IsZero() {
			updateAverage(&s.typicalDuration, now.Sub(a.sentAt))
		}
	case FailureStalled:
		s.passes.recordStopped(now)
		d.recordResponse(a.candidate)
	case FailureFull, FailureError, FailureReplaced:
		d.recordResponse(a.candidate)
	}
	return d.dispatch(s, now)
}

// averageWeight is the weight of the latest request in a moving average.
const averageWeight = 0.05

// updateAverage adds a duration to an exponential moving average.
func updateAverage(average *time.Duration, latest time.Duration) {
	if *average == 0 {
		*average = latest
	}
	*average += time.Duration(averageWeight * float64(latest-*average))
}

// RecordLoad records the number of requests that an upstream reported with a response.
func (d *Dispatcher) RecordLoad(serviceName, id string, total int, now time.Time) {
	for _, c := range d.service(serviceName).candidates {
		if c.ID == id {
			c.recordLoad(total, now)
		}
	}
}

// Tick refuses requests that have waited too long or whose service can run none, moves
// those that can't be on time any more to the late queue, and returns the decisions that
// follow.
func (d *Dispatcher) Tick(now time.Time) []Decision {
	d.limits.Tick(now)
	var decisions []Decision
	for _, s := range d.services {
		if s.queues.Len() == 0 {
			continue
		}
		expired := s.queues.expire(now)
		if p := d.serviceRefusal(s, now); p != nil {
			expired = append(expired, s.queues.removeAll()...)
		}
		decisions = append(decisions, d.removeUnservable(s, now)...)
		expired = append(expired, s.queues.demote(func(id string) bool { return s.isLate(s.waiting[id], now) }, d.cfg.MaxQueueTime, now)...)
		for _, it := range expired {
			p := d.serviceRefusal(s, now)
			if p == nil {
				p = d.statementRefusal(s, s.waiting[it.ID], now)
			}
			if p == nil {
				p = d.overloadRefusal(s, s.waiting[it.ID], now)
			}
			delete(s.waiting, it.ID)
			decisions = append(decisions, Decision{ID: it.ID, Refusal: p})
		}
		decisions = append(decisions, d.dispatch(s, now)...)
	}
	return decisions
}

// dispatch assigns upstreams to waiting requests as long as both are available.
func (d *Dispatcher) dispatch(s *service, now time.Time) []Decision {
	var decisions []Decision
	if s.passes.isStalled(now) {
		return nil
	}
	for s.queues.Len() > 0 {
		var chosen *candidate
		fullGroups := d.fullGroups(s, now)
		it := s.queues.next(func(it *fairqueue.Item) fairqueue.Eligibility {
			chosen = d.selectUpstream(s, s.waiting[it.ID], fullGroups, now)
			if chosen == nil {
				return fairqueue.SkipOrganisation
			}
			return fairqueue.Eligible
		})
		if it == nil {
			break
		}
		s.queues.dequeue(it, now)
		delete(s.waiting, it.ID)
		decisions = append(decisions, d.assign(s, it.ID, chosen, now))
	}
	return decisions
}

// assign assigns a request to an upstream.
func (d *Dispatcher) assign(s *service, id string, chosen *candidate, now time.Time) Decision {
	chosen.ownAttempts.add(1, now)
	chosen.recentSends.Add(now)
	d.limits.Spend(chosen.limitKey(), now)
	d.statements.Spend(chosen.limitKey(), now)
	s.dispatched.Add(now)
	s.lastDispatchAt = now
	if chosen.unresponsive {
		chosen.nextTrial = now.Add(trialInterval)
	}
	d.attempts[id] = &attempt{service: s, candidate: chosen, sentAt: now, sentOnClock: s.passClock(chosen.Group.Name).elapsed}
	return Decision{ID: id, Upstream: chosen.Upstream, Load: chosen.estimateLoad(now), GroupLoadAge: s.groupLoadAge(chosen.Group.Name, now)}
}

// groupLoadAge returns the age of a group's latest load, negative if there is none.
func (s *service) groupLoadAge(group string, now time.Time) time.Duration {
	g, ok := s.groups[group]
	if !ok {
		return -1
	}
	return now.Sub(g.at)
}

// hasCapacity reports whether a candidate can accept one more request: its group is open,
// it has a free slot, and neither a pause nor the cold limit keeps this entry from sending.
func (d *Dispatcher) hasCapacity(s *service, c *candidate, now time.Time) bool {
	if !c.groupOpen || c.estimateLoad(now) >= c.Slots || !d.allowsAfterPause(c, now) {
		return false
	}
	return s.coldPerSecond <= 0 || allowsSend(&c.recentSends, (s.coldPerSecond*d.cfg.ColdFactor+d.cfg.ColdSlack)/float64(max(1, d.limitDivisor)), now)
}

// ReconcileCost corrects an organisation's share by the difference between the actual and
// the expected cost of a request.
func (d *Dispatcher) ReconcileCost(serviceName, organisation string, weight int, difference float64, now time.Time) {
	d.service(serviceName).queues.charge(organisation, weight, difference, now)
}

// Candidates returns the upstreams of a service with the load that this entry estimates.
func (d *Dispatcher) Candidates(serviceName string, now time.Time) []selection.Candidate {
	var list []selection.Candidate
	for _, c := range d.service(serviceName).candidates {
		list = append(list, selection.Candidate{
			Report: api.Report{
				Upstream: c.ID, FailureDomain: c.FailureDomain, Service: c.Service, Incarnation: c.Incarnation,
				Limit: c.Slots, Running: c.estimateLoad(now), Ready: c.isUsable(), Draining: c.Draining,
			},
			ReceivedAt:   now,
			InFlight:     c.ownAttempts.current,
			OutOfService: c.outOfService,
			AvoidUntil:   latest(c.avoidUntil, c.pausedUntil),
		})
	}
	return list
}

// IsStalled reports whether the group of any service has stalled.
func (d *Dispatcher) IsStalled(now time.Time) bool {
	for _, s := range d.services {
		if s.passes.isStalled(now) {
			return true
		}
	}
	return false
}

// SampleUpstreams returns up to n random upstreams, at most one in each failure domain.
func (d *Dispatcher) SampleUpstreams(n int) []Upstream {
	var list []Upstream
	for _, s := range d.services {
		for _, c := range s.candidates {
			list = append(list, c.Upstream)
		}
	}
	d.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	seen := make(map[string]bool)
	var sample []Upstream
	for _, u := range list {
		if !seen[u.FailureDomain] && len(sample) < n {
			seen[u.FailureDomain] = true
			sample = append(sample, u)
		}
	}
	return sample
}

// RefuseAll refuses all waiting requests.
func (d *Dispatcher) RefuseAll(refusal func() *problem.Problem) []Decision {
	var decisions []Decision
	for _, s := range d.services {
		for _, it := range s.queues.removeAll() {
			delete(s.waiting, it.ID)
			decisions = append(decisions, Decision{ID: it.ID, Refusal: refusal()})
		}
	}
	return decisions
}
