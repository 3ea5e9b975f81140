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
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// Config is the settings of a dispatcher.
type Config struct {
	// FailureDomain is the entry's own. Its upstreams are preferred.
	FailureDomain string
	// Seed seeds the choice among equal upstreams.
	Seed uint64
	// ColdFactor and ColdExtra turn the rate that a cold upstream bears into the
	// bound that all entries keep together.
	ColdFactor float64
	ColdExtra  float64
	// MaxWait is the longest wait of a request for an upstream. Default 1.2 s:
	// with a first event soon after, its caller is still there.
	MaxWait time.Duration
}

// Request is a request that asks for an upstream.
type Request struct {
	ID           string
	Service      string
	Organisation string
	Weight       int
	Priority     bool
	// Cost is the expected cost in tokens.
	Cost float64
	// Deadline is when the caller no longer waits.
	Deadline time.Time
	// FirstPartDeadline is when the first part of an answer must be there to be on time, zero
	// for no such time.
	FirstPartDeadline time.Time
	// TriedUpstreams are the upstreams that the request was sent to before.
	TriedUpstreams []string
}

// Decision gives a waiting request its upstream, or refuses it.
type Decision struct {
	ID       string
	Upstream Upstream
	// Load is how many requests the upstream was thought to have, with this one.
	Load int
	// GroupLoadAge is the age of what its coordinator knew of it, negative when nothing
	// is known.
	GroupLoadAge time.Duration
	// Refusal is set when the request is refused.
	Refusal *problem.Problem
}

// SelectionReason says what decided for the upstream.
func (d *Decision) SelectionReason() string {
	known := "no board"
	if d.GroupLoadAge >= 0 {
		known = fmt.Sprintf("board %d ms old", d.GroupLoadAge.Milliseconds())
	}
	return fmt.Sprintf("has %d of %d requests, %s", d.Load, d.Upstream.Slots, known)
}

// Dispatcher is the state of one entry.
type Dispatcher struct {
	cfg      Config
	rand     *rand.Rand
	services map[string]*service
	sent     map[string]*sent
	// parts is into how many parts bounds over all entries are divided, 0 while
	// that is not known.
	parts int
	out   func(upstream, domain string) bool
}

// service is the queue and the upstreams of one service.
type service struct {
	lanes      lanes
	waiting    map[string]*Request
	candidates []*candidate
	cold       float64
	pulse      pulse
	granted    recent.Counter
	// grantedAt is when this entry last sent a request on.
	grantedAt time.Time
	// groups is what boards told of the service's groups.
	groups map[string]groupLoad
	// first is the usual time from the grant of a request to the first part of its
	// answer.
	first time.Duration
	// typical is the usual time from the grant of a request to its end.
	typical time.Duration
}

// sent is an attempt on its way.
type sent struct {
	service   *service
	candidate *candidate
	at        time.Time
	// partAt is when the latest part of its answer arrived, zero before the first.
	partAt time.Time
	// moved is true once the request was asked to go on at another upstream.
	moved bool
}

// New returns an empty dispatcher.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:      cfg,
		rand:     rand.New(rand.NewPCG(cfg.Seed, 0)),
		services: make(map[string]*service),
		sent:     make(map[string]*sent),
		out:      func(string, string) bool { return false },
	}
}

func (d *Dispatcher) service(name string) *service {
	s, ok := d.services[name]
	if !ok {
		s = &service{lanes: newLanes(), waiting: make(map[string]*Request), granted: recent.New(windowLength), groups: make(map[string]groupLoad)}
		d.services[name] = s
	}
	return s
}

// SetIndex takes a new version of the table.
func (d *Dispatcher) SetIndex(ix *table.Index, now time.Time) []Decision {
	d.out = ix.IsOutOfService
	bounds := pauseBounds(ix.Table().Routes)
	for _, t := range ix.Table().Services {
		s := d.service(t.Name)
		s.cold = t.ColdPerSecond
		s.pulse.bound = bounds[t.Name]
	}
	var decisions []Decision
	for _, s := range d.services {
		for _, c := range s.candidates {
			c.out = d.out(c.ID, c.FailureDomain)
		}
		decisions = append(decisions, d.grant(s, now)...)
	}
	return decisions
}

// SetLimitDivisor takes into how many parts bounds that hold over all entries are divided.
func (d *Dispatcher) SetLimitDivisor(n int, now time.Time) []Decision {
	if n == d.parts {
		return nil
	}
	d.parts = n
	var decisions []Decision
	for _, s := range d.services {
		decisions = append(decisions, d.grant(s, now)...)
	}
	return decisions
}

// SetUpstreams takes the upstreams that the platform lists now.
func (d *Dispatcher) SetUpstreams(list []Upstream, now time.Time) []Decision {
	byService := make(map[string][]Upstream)
	for _, u := range list {
		byService[u.Service] = append(byService[u.Service], u)
		d.service(u.Service)
	}
	var decisions []Decision
	for name, s := range d.services {
		s.replace(byService[name], d.out)
		decisions = append(decisions, d.grant(s, now)...)
	}
	return decisions
}

// replace takes a service's upstreams. What was seen of one that stays is kept.
func (s *service) replace(list []Upstream, out func(upstream, domain string) bool) {
	kept := make([]*candidate, 0, len(list))
	groups, known := GroupStates(list), make(map[string]*candidate, len(s.candidates))
	for _, c := range s.candidates {
		known[c.ID] = c
	}
	for _, u := range list {
		c, ok := known[u.ID]
		if !ok || c.Incarnation != u.Incarnation || c.Address != u.Address {
			c = &candidate{sends: recent.New(windowLength)}
		}
		if c.Group.Epoch != u.Group.Epoch {
			// The group was formed anew.
			s.pulse.stopAt = time.Time{}
		}
		c.Upstream = u
		c.out = out(u.ID, u.FailureDomain)
		g := groups[u.Group.Name]
		c.open = u.Group.Name == "" || g.Open && g.Epoch == u.Group.Epoch
		kept = append(kept, c)
	}
	s.candidates = kept
}

// Enqueue queues or refuses a request and returns the decisions that follow.
func (d *Dispatcher) Enqueue(r Request, now time.Time) []Decision {
	s := d.service(r.Service)
	if p := d.refusal(s, &r, now); p != nil {
		return []Decision{{ID: r.ID, Refusal: p}}
	}
	s.waiting[r.ID] = &r
	deadline := r.Deadline
	if most := now.Add(d.cfg.MaxWait); most.Before(deadline) {
		deadline = most
	}
	s.lanes.prompt.Enqueue(&fairqueue.Item{
		ID:           r.ID,
		Organisation: r.Organisation,
		Weight:       r.Weight,
		Priority:     r.Priority,
		Cost:         r.Cost,
		Deadline:     deadline,
	}, now)
	return d.grant(s, now)
}

// Cancel removes a waiting request.
func (d *Dispatcher) Cancel(serviceName, id string) {
	s := d.service(serviceName)
	s.lanes.remove(id)
	delete(s.waiting, id)
}

// UpstreamOf returns the upstream that a request was sent to, empty when it was to none.
func (d *Dispatcher) UpstreamOf(id string) string {
	if a, ok := d.sent[id]; ok {
		return a.candidate.ID
	}
	return ""
}

// RecordPart records that a part of an answer has arrived.
func (d *Dispatcher) RecordPart(id string, now time.Time) {
	a, ok := d.sent[id]
	if !ok {
		return
	}
	if a.partAt.IsZero() {
		a.service.pulse.began(now)
		smooth(&a.service.first, now.Sub(a.at))
	} else {
		a.service.pulse.beat(now.Sub(a.partAt), now)
	}
	a.partAt = now
}

// RecordEnd records that an attempt has ended, and returns the decisions that follow.
func (d *Dispatcher) RecordEnd(id string, f Failure, now time.Time) []Decision {
	a, ok := d.sent[id]
	if !ok {
		return nil
	}
	delete(d.sent, id)
	s := a.service
	a.candidate.own.add(-1, now)
	a.candidate.failed(f, now)
	if !a.partAt.IsZero() {
		s.pulse.ended()
	}
	switch f {
	case FailureNone:
		smooth(&s.typical, now.Sub(a.at))
	case FailureStalled:
		s.pulse.stopped(now)
	}
	return d.grant(s, now)
}

// typicalWeight is the weight of the latest request in a typical time.
const typicalWeight = 0.05

// smooth takes the latest time into a typical one.
func smooth(typical *time.Duration, took time.Duration) {
	if *typical == 0 {
		*typical = took
	}
	*typical += time.Duration(typicalWeight * float64(took-*typical))
}

// RecordLoad records how many requests an upstream had when it answered.
func (d *Dispatcher) RecordLoad(serviceName, id string, total int, now time.Time) {
	for _, c := range d.service(serviceName).candidates {
		if c.ID == id {
			c.tell(total, now)
		}
	}
}

// Tick refuses what has waited too long, or what waits for a group that stands
// still.
func (d *Dispatcher) Tick(now time.Time) []Decision {
	var decisions []Decision
	for _, s := range d.services {
		if s.lanes.Len() == 0 {
			continue
		}
		expired := s.lanes.expire(now)
		if p := d.blocked(s, now); p != nil {
			expired = append(expired, s.lanes.removeAll()...)
		}
		expired = append(expired, s.lanes.demote(func(id string) bool { return s.late(s.waiting[id], now) }, d.cfg.MaxWait, now)...)
		for _, it := range expired {
			p := d.blocked(s, now)
			if p == nil {
				p = d.later(problem.ReasonOverloaded, s.wait(now), s.queueText(now))
			}
			delete(s.waiting, it.ID)
			decisions = append(decisions, Decision{ID: it.ID, Refusal: p})
		}
		decisions = append(decisions, d.grant(s, now)...)
	}
	return decisions
}

// grant hands out upstreams while both a request and an upstream are there.
func (d *Dispatcher) grant(s *service, now time.Time) []Decision {
	var decisions []Decision
	if s.pulse.still(now) {
		return nil
	}
	for s.lanes.Len() > 0 {
		var chosen *candidate
		full := d.full(s, now)
		it := s.lanes.next(func(it *fairqueue.Item) fairqueue.Eligibility {
			chosen = d.choose(s, s.waiting[it.ID], full, now)
			if chosen == nil {
				return fairqueue.SkipOrganisation
			}
			return fairqueue.Eligible
		})
		if it == nil {
			break
		}
		s.lanes.take(it, now)
		delete(s.waiting, it.ID)
		chosen.own.add(1, now)
		chosen.sends.Add(now)
		s.granted.Add(now)
		s.grantedAt = now
		d.sent[it.ID] = &sent{service: s, candidate: chosen, at: now}
		decisions = append(decisions, Decision{ID: it.ID, Upstream: chosen.Upstream, Load: chosen.occupied(now), GroupLoadAge: s.boardAge(chosen.Group.Name, now)})
	}
	return decisions
}

// boardAge is the age of a group's latest board, negative when there is none.
func (s *service) boardAge(group string, now time.Time) time.Duration {
	g, ok := s.groups[group]
	if !ok {
		return -1
	}
	return now.Sub(g.at)
}

// room reports whether a candidate can take one more request.
func (d *Dispatcher) room(s *service, c *candidate, now time.Time) bool {
	if !c.open || c.occupied(now) >= c.Slots {
		return false
	}
	return s.cold <= 0 || allows(&c.sends, (s.cold*d.cfg.ColdFactor+d.cfg.ColdExtra)/float64(max(1, d.parts)), now)
}

// ReconcileCost corrects an organisation's share by the difference between the real and
// the expected cost of a request.
func (d *Dispatcher) ReconcileCost(serviceName, organisation string, weight int, difference float64, now time.Time) {
	d.service(serviceName).lanes.charge(organisation, weight, difference, now)
}

// Candidates returns the upstreams of a service as this entry sees them.
func (d *Dispatcher) Candidates(serviceName string, now time.Time) []selection.Candidate {
	var list []selection.Candidate
	for _, c := range d.service(serviceName).candidates {
		list = append(list, selection.Candidate{
			Report: api.Report{
				Upstream: c.ID, FailureDomain: c.FailureDomain, Service: c.Service, Incarnation: c.Incarnation,
				Limit: c.Slots, Running: c.occupied(now), Ready: c.usable(), Draining: c.Leaving,
			},
			ReceivedAt:   now,
			InFlight:     c.own.now,
			OutOfService: c.out,
			AvoidUntil:   c.avoidUntil,
		})
	}
	return list
}

// IsStalled reports whether the streams of any service are silent together.
func (d *Dispatcher) IsStalled(now time.Time) bool {
	for _, s := range d.services {
		if s.pulse.still(now) {
			return true
		}
	}
	return false
}

// SampleUpstreams returns some upstreams, each of another failure domain where there are
// several.
func (d *Dispatcher) SampleUpstreams(n int) []Upstream {
	var list []Upstream
	for _, s := range d.services {
		for _, c := range s.candidates {
			list = append(list, c.Upstream)
		}
	}
	d.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	seen := make(map[string]bool)
	var out []Upstream
	for _, u := range list {
		if !seen[u.FailureDomain] && len(out) < n {
			seen[u.FailureDomain] = true
			out = append(out, u)
		}
	}
	return out
}

// RefuseAll refuses all waiting requests.
func (d *Dispatcher) RefuseAll(refusal func() *problem.Problem) []Decision {
	var decisions []Decision
	for _, s := range d.services {
		for _, it := range s.lanes.removeAll() {
			delete(s.waiting, it.ID)
			decisions = append(decisions, Decision{ID: it.ID, Refusal: refusal()})
		}
	}
	return decisions
}
