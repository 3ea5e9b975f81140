package fleet

import (
	"context"
	"net/http"
	"sync"
	"time"

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

// tickInterval is the time between two looks at what has waited too long.
const tickInterval = 20 * time.Millisecond

// Bounds of the search for upstreams within reach.
const (
	// probeInterval is the time between two tries, probeTimeout how long one may
	// take.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 200 * time.Millisecond
	// probeCount is how many upstreams are tried at once.
	probeCount = 3
	// rotation is how long the platform's balancer takes to send callers to other
	// entries once this one is not ready: two of its questions, a second apart.
	rotation = 2200 * time.Millisecond
	// leastReturn is the shortest time after which a caller is told to come back.
	leastReturn = 100 * time.Millisecond
)

// Direct is an entry's view of upstreams that it calls itself.
type Direct struct {
	probe func(ctx context.Context, address string) error
	log   *logrus.Entry

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	waiting    map[string]chan answer
	// moves hold, for each attempt that runs, what asks it to go on elsewhere.
	moves  map[string]chan struct{}
	boards *boards
	// listed are the upstreams that the platform lists now, by ID, groups their groups.
	listed    map[string]dispatch.Upstream
	groups    map[string]dispatch.GroupState
	hosts     []hosts.Host
	reach     *reachability.Detector
	cutOff    bool
	lost      chan struct{}
	probing   bool
	nextProbe time.Time
}

// NewDirect returns a view without upstreams. probe opens a connection to an
// upstream, client asks the agents of other hosts.
func NewDirect(cfg dispatch.Config, probe func(ctx context.Context, address string) error, client *http.Client) *Direct {
	f := &Direct{
		probe: probe, log: logging.For("fleet"), dispatcher: dispatch.New(cfg),
		waiting: make(map[string]chan answer), moves: make(map[string]chan struct{}),
		reach: reachability.New(), lost: make(chan struct{}),
	}
	f.boards = &boards{http: client, log: f.log, take: f.setBoard, agents: f.coordinators, busy: f.busy}
	return f
}

func (f *Direct) setBoard(b dispatch.GroupLoad) {
	f.step(func(d *dispatch.Dispatcher) []dispatch.Decision { return d.SetGroupLoad(b, time.Now()) })
}

// coordinators returns the agents that may coordinate, by group.
func (f *Direct) coordinators() map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dispatcher.Coordinators(lockstep.CoordinatorCandidates, time.Now())
}

// busy reports whether a group is nearly full.
func (f *Direct) busy(group string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dispatcher.IsGroupBusy(group)
}

// CutOff reports whether no upstream can be reached.
func (f *Direct) CutOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutOff
}

// look tries some upstreams when there is doubt that any can be reached. The
// caller holds the lock.
func (f *Direct) look(ctx context.Context, now time.Time) {
	if f.probing || now.Before(f.nextProbe) || !f.cutOff && !f.reach.IsSuspected() && !f.dispatcher.IsStalled(now) {
		return
	}
	f.probing, f.nextProbe = true, now.Add(probeInterval)
	sample := f.dispatcher.SampleUpstreams(probeCount)
	go func() {
		var tries sync.WaitGroup
		for _, u := range sample {
			tries.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, probeTimeout)
				defer cancel()
				err := f.probe(ctx, u.Address)
				f.mu.Lock()
				defer f.mu.Unlock()
				f.reached(u.ID, err == nil, time.Now())
			})
		}
		tries.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.probing = false
	}()
}

// reached records whether an upstream could be reached. The caller holds the
// lock.
func (f *Direct) reached(upstream string, ok bool, now time.Time) {
	if ok {
		f.reach.RecordResponse(now)
	} else {
		f.reach.RecordFailure(upstream, now)
	}
	_, cutOff := f.reach.CutOffSince()
	if cutOff == f.cutOff {
		return
	}
	f.cutOff = cutOff
	if !cutOff {
		f.log.WithField("upstream", upstream).Info("an upstream can be reached again")
		return
	}
	f.log.WithField("upstream", upstream).Warn("no upstream can be reached; callers are sent to other entries")
	close(f.lost)
	f.lost = make(chan struct{})
	f.deliver(f.dispatcher.RefuseAll(func() *problem.Problem { return f.elsewhere(now) }))
}

// elsewhere refuses a request that another entry can take once the balancer has
// noticed that this one is not ready.
func (f *Direct) elsewhere(now time.Time) *problem.Problem {
	since, _ := f.reach.CutOffSince()
	return problem.New(problem.ReasonEntryCutOff, "").WithRetryAfter(max(leastReturn, since.Add(rotation).Sub(now)))
}

// Run expires waiting requests until ctx ends.
func (f *Direct) Run(ctx context.Context) {
	go f.boards.run(ctx)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f.step(func(d *dispatch.Dispatcher) []dispatch.Decision { return d.Tick(now) })
			f.mu.Lock()
			f.move(now)
			f.look(ctx, now)
			f.mu.Unlock()
		}
	}
}

// move asks the attempts that should go on elsewhere to do so. The caller holds the lock.
func (f *Direct) move(now time.Time) {
	for _, id := range f.dispatcher.RequestsToMove(now) {
		close(f.moves[id])
	}
}

// step gives the dispatcher an event and tells the waiting requests what follows.
func (f *Direct) step(event func(*dispatch.Dispatcher) []dispatch.Decision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deliver(event(f.dispatcher))
}

// deliver tells the waiting requests what was decided. The caller holds the lock.
func (f *Direct) deliver(decisions []dispatch.Decision) {
	for _, d := range decisions {
		f.waiting[d.ID] <- f.answer(d)
		delete(f.waiting, d.ID)
	}
}

func (f *Direct) answer(d dispatch.Decision) answer {
	if d.Refusal != nil {
		return answer{err: d.Refusal}
	}
	u := d.Upstream
	move := make(chan struct{})
	f.moves[d.ID] = move
	return answer{upstream: Upstream{
		Report:          api.Report{Upstream: u.ID, FailureDomain: u.FailureDomain, Service: u.Service, Incarnation: u.Incarnation},
		Address:         u.Address,
		SelectionReason: d.SelectionReason(),
		EntryCutOff:     f.lost,
		MoveRequested:   move,
	}}
}

// SetIndex takes a new version of the table.
func (f *Direct) SetIndex(ix *table.Index) {
	f.step(func(d *dispatch.Dispatcher) []dispatch.Decision { return d.SetIndex(ix, time.Now()) })
}

// SetLimitDivisor takes into how many parts bounds that hold over all entries are divided.
func (f *Direct) SetLimitDivisor(n int) {
	f.step(func(d *dispatch.Dispatcher) []dispatch.Decision { return d.SetLimitDivisor(n, time.Now()) })
}

// SetUpstreams takes the upstreams that the platform lists now.
func (f *Direct) SetUpstreams(list []dispatch.Upstream) {
	f.step(func(d *dispatch.Dispatcher) []dispatch.Decision {
		f.logChanges(list)
		return d.SetUpstreams(list, time.Now())
	})
}

// Acquire waits for an upstream for a request.
func (f *Direct) Acquire(ctx context.Context, r scheduler.Request) (Upstream, error) {
	granted := make(chan answer, 1)
	f.mu.Lock()
	if f.cutOff {
		defer f.mu.Unlock()
		return Upstream{}, f.elsewhere(time.Now())
	}
	f.waiting[r.ID] = granted
	f.mu.Unlock()
	f.step(func(d *dispatch.Dispatcher) []dispatch.Decision { return d.Enqueue(directRequest(r), time.Now()) })
	return await(ctx, granted, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.dispatcher.Cancel(r.Service, r.ID)
		delete(f.waiting, r.ID)
	})
}

func directRequest(r scheduler.Request) dispatch.Request {
	return dispatch.Request{
		ID: r.ID, Service: r.Service, Organisation: r.Organisation, Weight: r.Weight,
		Priority: r.Priority, Cost: r.Cost, Deadline: r.Deadline, FirstPartDeadline: r.FirstPartDeadline, TriedUpstreams: r.TriedUpstreams,
	}
}

// RecordStart records that the upstream has started to answer a request.
func (f *Direct) RecordStart(string) {}

// RecordPart records that a part of an answer has arrived.
func (f *Direct) RecordPart(requestID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.reach.RecordResponse(now)
	f.dispatcher.RecordPart(requestID, now)
}

// Release gives back the upstream of a request after an attempt.
func (f *Direct) Release(requestID string, failure problem.Reason) {
	now, kind := time.Now(), failureOf(failure)
	f.step(func(d *dispatch.Dispatcher) []dispatch.Decision {
		switch upstream := d.UpstreamOf(requestID); kind {
		case dispatch.FailureBroken:
		case dispatch.FailureUnreachable:
			f.reached(upstream, false, now)
		default:
			f.reached(upstream, true, now)
		}
		delete(f.moves, requestID)
		return d.RecordEnd(requestID, kind, now)
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

// RecordReport takes the load that an upstream told with an answer.
func (f *Direct) RecordReport(r api.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.RecordLoad(r.Service, r.Upstream, r.Running+r.Queued, time.Now())
}

// ReconcileCost corrects an organisation's share after a request.
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

// EntryCount returns the number of entry hosts.
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
