package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/dispatch"
	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/scheduler"
	"github.com/acaciaglade/acaciaglade/pkg/selection"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// tickInterval is the time between two looks at what has waited too long.
const tickInterval = 20 * time.Millisecond

// Direct is an entry's view of upstreams that it calls itself.
type Direct struct {
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	waiting    map[string]chan answer
	hosts      []hosts.Host
}

// NewDirect returns a view without upstreams.
func NewDirect(cfg dispatch.Config) *Direct {
	return &Direct{dispatcher: dispatch.New(cfg), waiting: make(map[string]chan answer)}
}

// Run expires waiting requests until ctx ends.
func (f *Direct) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f.step(func(d *dispatch.Dispatcher) []dispatch.Decision { return d.Tick(now) })
		}
	}
}

// step gives the dispatcher an event and tells the waiting requests what follows.
func (f *Direct) step(event func(*dispatch.Dispatcher) []dispatch.Decision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range event(f.dispatcher) {
		f.waiting[d.ID] <- directAnswer(d)
		delete(f.waiting, d.ID)
	}
}

func directAnswer(d dispatch.Decision) answer {
	if d.Refusal != nil {
		return answer{err: d.Refusal}
	}
	u := d.Upstream
	return answer{upstream: Upstream{
		Report:  api.Report{Upstream: u.ID, FailureDomain: u.FailureDomain, Service: u.Service, Incarnation: u.Incarnation},
		Address: u.Address,
	}}
}

// SetIndex takes a new version of the table.
func (f *Direct) SetIndex(ix *table.Index) {
	f.step(func(d *dispatch.Dispatcher) []dispatch.Decision { return d.SetIndex(ix, time.Now()) })
}

// SetUpstreams takes the upstreams that the platform lists now.
func (f *Direct) SetUpstreams(list []dispatch.Upstream) {
	f.step(func(d *dispatch.Dispatcher) []dispatch.Decision { return d.SetUpstreams(list, time.Now()) })
}

// Acquire waits for an upstream for a request.
func (f *Direct) Acquire(ctx context.Context, r scheduler.Request) (Upstream, error) {
	granted := make(chan answer, 1)
	f.mu.Lock()
	f.waiting[r.ID] = granted
	f.mu.Unlock()
	f.step(func(d *dispatch.Dispatcher) []dispatch.Decision { return d.Arrive(directRequest(r), time.Now()) })
	select {
	case a := <-granted:
		return a.upstream, a.err
	case <-ctx.Done():
	}
	f.mu.Lock()
	f.dispatcher.Cancel(r.Service, r.ID)
	delete(f.waiting, r.ID)
	f.mu.Unlock()
	select {
	case a := <-granted:
		return a.upstream, a.err
	default:
		return Upstream{}, problem.New(problem.ReasonDeadlineExceeded, "")
	}
}

func directRequest(r scheduler.Request) dispatch.Request {
	return dispatch.Request{
		ID: r.ID, Service: r.Service, Organisation: r.Organisation, Weight: r.Weight,
		Priority: r.Priority, Cost: r.Cost, Deadline: r.Deadline, Tried: r.Tried,
	}
}

// Started records that the upstream has started to answer a request.
func (f *Direct) Started(string) {}

// Part records that a part of an answer has arrived.
func (f *Direct) Part(requestID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.Part(requestID, time.Now())
}

// Release gives back the upstream of a request after an attempt.
func (f *Direct) Release(requestID string, failure problem.Reason) {
	f.step(func(d *dispatch.Dispatcher) []dispatch.Decision {
		return d.Ended(requestID, failureOf(failure), time.Now())
	})
}

// failureOf returns what a reason says of the upstream.
func failureOf(reason problem.Reason) dispatch.Failure {
	switch reason {
	case "":
		return dispatch.FailureNone
	case problem.ReasonNoRoom:
		return dispatch.FailureFull
	case problem.ReasonGroupStopped:
		return dispatch.FailureStalled
	case problem.ReasonWrongIncarnation:
		return dispatch.FailureGone
	case problem.ReasonUpstreamUnreachable:
		return dispatch.FailureUnreachable
	case problem.ReasonUpstreamError:
		return dispatch.FailureError
	default:
		return dispatch.FailureBroken
	}
}

// Report takes the load that an upstream told with an answer.
func (f *Direct) Report(r api.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.Load(r.Service, r.Upstream, r.Running+r.Line, time.Now())
}

// Attain corrects an organisation's share after a request.
func (f *Direct) Attain(service, organisation string, weight int, difference float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.Attain(service, organisation, weight, difference, time.Now())
}

// Candidates returns the upstreams of a service as this entry sees them.
func (f *Direct) Candidates(service string) []selection.Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dispatcher.Candidates(service, time.Now())
}

// Hosts returns the other hosts of the system that this entry knows.
func (f *Direct) Hosts() []hosts.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts
}

// SetHosts takes the hosts of the system.
func (f *Direct) SetHosts(list []hosts.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = list
}

// Entries returns the number of entry hosts.
func (f *Direct) Entries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, h := range f.hosts {
		if h.Role == hosts.RoleEntry {
			n++
		}
	}
	return max(1, n)
}
