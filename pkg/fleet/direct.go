package fleet

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/dispatch"
	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/lockstep"
	"github.com/acaciaglade/acaciaglade/pkg/logging"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/reachability"
	"github.com/acaciaglade/acaciaglade/pkg/scheduler"
	"github.com/acaciaglade/acaciaglade/pkg/selection"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// tickInterval is the time between two checks for requests that have waited too long.
const tickInterval = 20 * time.Millisecond

// Limits of the probes of upstreams and of refusals while none is reachable.
const (
	// probeInterval is the time between two rounds of probes, probeTimeout the time limit
	// of one probe.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 200 * time.Millisecond
	// probeCount is the number of upstreams that are probed at once.
	probeCount = 3
	// redirectTime is how long the platform's load balancer takes to direct callers to
	// other entries once this one is not ready: two readiness checks, a second apart.
	redirectTime = 2200 * time.Millisecond
	// minRetryAfter is the shortest retry delay of a refusal.
	minRetryAfter = 100 * time.Millisecond
)

// Direct is an entry's view of upstreams that it calls itself, without agents.
type Direct struct {
	probe func(ctx context.Context, address string) error
	log   *logrus.Entry

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	// waiting has a channel for each waiting request, by ID.
	waiting map[string]chan acquireResult
	// moveRequests has a channel for each running attempt, by ID. Closing it notifies the
	// attempt that it should move to another upstream.
	moveRequests map[string]chan struct{}
	loadPoller   *groupLoadPoller
	// limitChanged and leavingChanged may be nil, see OnLimitChange and OnLeavingChange.
	limitChanged, leavingChanged func()
	statements                   *prometheus.CounterVec
	// listed are the upstreams that the platform lists, by ID, and groups their groups.
	listed   map[string]dispatch.Upstream
	groups   map[string]dispatch.GroupState
	hosts    []hosts.Host
	detector *reachability.Detector
	// cutOff is true while no upstream can be reached. entryCutOff is closed, and replaced,
	// each time that begins.
	cutOff      bool
	entryCutOff chan struct{}
	// probing is true while a round of probes runs. No other one starts before nextProbe.
	probing   bool
	nextProbe time.Time
}

// NewDirect returns a view without upstreams. probe opens a connection to an upstream;
// client is used to poll the agents of other hosts.
func NewDirect(cfg dispatch.Config, probe func(ctx context.Context, address string) error, client *http.Client) *Direct {
	f := &Direct{
		probe: probe, log: logging.For("fleet"), dispatcher: dispatch.New(cfg),
		waiting: make(map[string]chan acquireResult), moveRequests: make(map[string]chan struct{}),
		detector: reachability.New(), entryCutOff: make(chan struct{}), statements: newStatementCounter(),
	}
	f.loadPoller = &groupLoadPoller{httpClient: client, log: f.log, handle: f.setGroupLoad, candidates: f.coordinators, isBusy: f.isGroupBusy}
	return f
}

func (f *Direct) setGroupLoad(load dispatch.GroupLoad) {
	f.apply(func(d *dispatch.Dispatcher) []dispatch.Decision { return d.SetGroupLoad(load, time.Now()) })
}

// coordinators returns the agents that may coordinate, by group.
func (f *Direct) coordinators() map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dispatcher.CoordinatorAgents(lockstep.CoordinatorCandidates, time.Now())
}

// isGroupBusy reports whether a group is busy, see dispatch.Dispatcher.IsGroupBusy.
func (f *Direct) isGroupBusy(group string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dispatcher.IsGroupBusy(group)
}

// IsCutOff reports whether no upstream can be reached.
func (f *Direct) IsCutOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutOff
}

// probeIfSuspected probes some upstreams if it is suspected that none can be reached. The
// caller holds the lock.
func (f *Direct) probeIfSuspected(ctx context.Context, now time.Time) {
	if f.probing || now.Before(f.nextProbe) || !f.cutOff && !f.detector.IsSuspected() && !f.dispatcher.IsStalled(now) {
		return
	}
	f.probing, f.nextProbe = true, now.Add(probeInterval)
	sample := f.dispatcher.SampleUpstreams(probeCount)
	go func() {
		var probes sync.WaitGroup
		for _, u := range sample {
			probes.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, probeTimeout)
				defer cancel()
				err := f.probe(ctx, u.Address)
				f.mu.Lock()
				defer f.mu.Unlock()
				f.recordReachability(u.ID, err == nil, time.Now())
			})
		}
		probes.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.probing = false
	}()
}

// recordReachability records whether an upstream could be reached, and refuses all waiting
// requests once no upstream can be reached. The caller holds the lock.
func (f *Direct) recordReachability(upstream string, ok bool, now time.Time) {
	if ok {
		f.detector.RecordResponse(now)
	} else {
		f.detector.RecordFailure(upstream, now)
	}
	_, cutOff := f.detector.CutOffSince()
	if cutOff == f.cutOff {
		return
	}
	f.cutOff = cutOff
	if !cutOff {
		f.log.WithField("upstream", upstream).Info("upstream reachable again")
		return
	}
	f.log.WithField("upstream", upstream).Warn("no upstream reachable; callers are directed to other entries")
	close(f.entryCutOff)
	f.entryCutOff = make(chan struct{})
	f.deliver(f.dispatcher.RefuseAll(func() *problem.Problem { return f.cutOffRefusal(now) }))
}

// cutOffRefusal returns a refusal with the time after which the load balancer has noticed
// that this entry is not ready, so that a retry reaches another entry.
func (f *Direct) cutOffRefusal(now time.Time) *problem.Problem {
	since, _ := f.detector.CutOffSince()
	return problem.New(problem.ReasonEntryCutOff, "").WithRetryAfter(max(minRetryAfter, since.Add(redirectTime).Sub(now)))
}

// Run polls the coordinators, refuses requests that have waited too long and probes
// upstreams until ctx ends.
func (f *Direct) Run(ctx context.Context) {
	go f.loadPoller.run(ctx)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f.apply(func(d *dispatch.Dispatcher) []dispatch.Decision { return d.Tick(now) })
			f.mu.Lock()
			f.requestMoves(now)
			f.probeIfSuspected(ctx, now)
			f.mu.Unlock()
		}
	}
}

// requestMoves notifies the attempts that should move to another upstream. The caller
// holds the lock.
func (f *Direct) requestMoves(now time.Time) {
	for _, id := range f.dispatcher.RequestsToMove(now) {
		close(f.moveRequests[id])
	}
	for _, c := range f.dispatcher.ResponseChanges() {
		log := f.log.WithFields(logrus.Fields{"upstream": c.Upstream, "attempts": c.Attempts})
		if c.Responsive {
			log.Info("upstream responds again")
			continue
		}
		log.Warn("upstream unresponsive while its group runs passes; its requests move to others")
	}
}

// apply passes an event to the dispatcher and delivers the resulting decisions.
func (f *Direct) apply(event func(*dispatch.Dispatcher) []dispatch.Decision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deliver(event(f.dispatcher))
}

// deliver passes decisions to the waiting requests. The caller holds the lock.
func (f *Direct) deliver(decisions []dispatch.Decision) {
	for _, d := range decisions {
		f.waiting[d.ID] <- f.newAcquireResult(d)
		delete(f.waiting, d.ID)
	}
}

// newAcquireResult converts a decision to the result of Acquire, and registers the attempt
// for a move if it was dispatched. The caller holds the lock.
func (f *Direct) newAcquireResult(d dispatch.Decision) acquireResult {
	if d.Refusal != nil {
		return acquireResult{err: d.Refusal}
	}
	u := d.Upstream
	moveRequested := make(chan struct{})
	f.moveRequests[d.ID] = moveRequested
	return acquireResult{upstream: Upstream{
		Report:          api.Report{Upstream: u.ID, FailureDomain: u.FailureDomain, Service: u.Service, Incarnation: u.Incarnation},
		Address:         u.Address,
		Group:           u.Group.Name,
		Epoch:           u.Group.Epoch,
		SelectionReason: d.SelectionReason(),
		EntryCutOff:     f.entryCutOff,
		MoveRequested:   moveRequested,
	}}
}

// SetIndex applies a new version of the table.
func (f *Direct) SetIndex(ix *table.Index) {
	f.apply(func(d *dispatch.Dispatcher) []dispatch.Decision { return d.SetIndex(ix, time.Now()) })
}

// SetLimitDivisor sets the number by which limits that hold over all entries are divided.
func (f *Direct) SetLimitDivisor(n int) {
	f.apply(func(d *dispatch.Dispatcher) []dispatch.Decision { return d.SetLimitDivisor(n, time.Now()) })
}

// SetUpstreams applies a new list of the platform's upstreams.
func (f *Direct) SetUpstreams(list []dispatch.Upstream) {
	f.apply(func(d *dispatch.Dispatcher) []dispatch.Decision {
		f.logChanges(list)
		return d.SetUpstreams(list, time.Now())
	})
}

// Acquire waits until a request is dispatched to an upstream or refused.
func (f *Direct) Acquire(ctx context.Context, r scheduler.Request) (Upstream, error) {
	result := make(chan acquireResult, 1)
	f.mu.Lock()
	if f.cutOff {
		defer f.mu.Unlock()
		return Upstream{}, f.cutOffRefusal(time.Now())
	}
	f.waiting[r.ID] = result
	f.mu.Unlock()
	f.apply(func(d *dispatch.Dispatcher) []dispatch.Decision { return d.Enqueue(dispatchRequest(r), time.Now()) })
	return awaitResult(ctx, result, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.dispatcher.Cancel(r.Service, r.ID)
		delete(f.waiting, r.ID)
	})
}

func dispatchRequest(r scheduler.Request) dispatch.Request {
	return dispatch.Request{
		ID: r.ID, Service: r.Service, Organisation: r.Organisation, Weight: r.Weight,
		Priority: r.Priority, Hedge: r.Hedge, Cost: r.Cost, Deadline: r.Deadline, FirstPartDeadline: r.FirstPartDeadline, TriedUpstreams: r.TriedUpstreams,
	}
}

// RecordStart does nothing: the first part of a response is recorded by RecordPart.
func (f *Direct) RecordStart(string) {}

// RecordPart records that part of a response has arrived.
func (f *Direct) RecordPart(ticketID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.detector.RecordResponse(now)
	f.dispatcher.RecordPart(ticketID, now)
}

// Release releases the upstream of a request after an attempt.
func (f *Direct) Release(ticketID string, failure problem.Reason) {
	now, kind := time.Now(), failureOf(failure)
	f.apply(func(d *dispatch.Dispatcher) []dispatch.Decision {
		switch upstream := d.UpstreamOf(ticketID); kind {
		case dispatch.FailureBroken:
			// A broken call doesn't show whether the upstream can be reached.
		case dispatch.FailureUnreachable:
			f.recordReachability(upstream, false, now)
		default:
			f.recordReachability(upstream, true, now)
		}
		delete(f.moveRequests, ticketID)
		return d.RecordEnd(ticketID, kind, now)
	})
}

// failureOf classifies the reason of a failed attempt by what it shows about the upstream.
func failureOf(reason problem.Reason) dispatch.Failure {
	switch reason {
	case "":
		return dispatch.FailureNone
	case problem.ReasonNoRoom:
		return dispatch.FailureFull
	case problem.ReasonGroupStopped:
		return dispatch.FailureStalled
	case problem.ReasonWrongIncarnation:
		return dispatch.FailureReplaced
	case problem.ReasonUpstreamUnreachable:
		return dispatch.FailureUnreachable
	case problem.ReasonUpstreamError:
		return dispatch.FailureError
	case problem.ReasonUpstreamSlow:
		return dispatch.FailureSlow
	default:
		return dispatch.FailureBroken
	}
}

// RecordReport records the load that an upstream reported with a response.
func (f *Direct) RecordReport(r api.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.RecordLoad(r.Service, r.Upstream, r.Running+r.Queued, time.Now())
}

// ReconcileCost corrects an organisation's share by the difference between the real and
// the expected cost of a request.
func (f *Direct) ReconcileCost(service, organisation string, weight int, difference float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.ReconcileCost(service, organisation, weight, difference, time.Now())
}

// Candidates returns the upstreams of a service as this entry sees them.
func (f *Direct) Candidates(service string) []selection.Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dispatcher.Candidates(service, time.Now())
}

// Hosts returns the last list of hosts that was set.
func (f *Direct) Hosts() []hosts.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts
}

// SetHosts sets the hosts of the system.
func (f *Direct) SetHosts(list []hosts.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = list
	f.dispatcher.Limits().SetEntryCount(len(hosts.EntryAddresses(list)))
}

// EntryCount returns the number of entry hosts, at least 1.
func (f *Direct) EntryCount() int {
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
