// Package fleet is an entry's view of its upstreams: it queues requests and dispatches
// them to upstreams, based on the load that is reported.
//
// There are two implementations. Fleet is for upstreams with an agent beside each: it polls
// the agents for reports and leaves the decisions to package scheduler. Direct is for
// upstreams that the entry calls itself: it uses the load in their responses and that
// reported by the coordinators of groups, leaves the decisions to package dispatch, and
// detects when no upstream can be reached.
package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/logging"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/scheduler"
	"github.com/acaciaglade/acaciaglade/pkg/selection"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// Config holds the settings of a fleet view.
type Config struct {
	// Entry is the name of this entry.
	Entry string
	// QueuePerOrganisation is the number of attempts of one organisation that may be
	// queued at one agent.
	QueuePerOrganisation int
	// SubsetSize is the number of upstreams of each service that this entry uses; 0 means
	// all.
	SubsetSize int
	// ReportInterval is the time between two reports of an agent.
	ReportInterval time.Duration
	// HostsInterval is the time between two reads of the host list.
	HostsInterval time.Duration
	// MaxReportAge is the age above which a report is not used.
	MaxReportAge time.Duration
	// MergeProvisional is called with the marks of a report that are not yet in the table.
	MergeProvisional func([]api.ProvisionalMark)
	// Seed seeds the random selection of upstreams.
	Seed uint64
	// Scheduler holds the settings of the scheduler.
	Scheduler scheduler.Config
}

// Upstream is the upstream that a request is dispatched to.
type Upstream struct {
	Report  api.Report
	Address string
	// Group and Epoch are those of a rank that the entry calls itself. Group is empty for
	// any other upstream.
	Group string
	Epoch uint64
	// Entry is the name of the entry that dispatched the request.
	Entry string
	// SelectionReason describes why this upstream was selected. It is empty if the
	// upstream had free capacity.
	SelectionReason string
	// VirtualTime is the organisation's virtual time.
	VirtualTime float64
	// EntryCutOff is closed when the entry finds that it can't reach any upstream. It may
	// be nil.
	EntryCutOff <-chan struct{}
	// MoveRequested is closed when the attempt should move to another upstream. It may be
	// nil.
	MoveRequested <-chan struct{}
}

// Fleet is an entry's view of upstreams with agents.
type Fleet struct {
	cfg      Config
	hostList *hosts.Client
	agents   *peer.AgentClient
	log      *logrus.Entry

	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	// waiting has a channel for each waiting request, by ID.
	waiting map[string]chan acquireResult
	// addresses and pollers are by name of the upstream. Each poller polls one agent.
	addresses  map[string]string
	pollers    map[string]context.CancelFunc
	entryCount int
	hosts      []hosts.Host
	index      *table.Index
	// services maps each upstream that has reported to its service.
	services  map[string]string
	selection subsetSelection
}

// prefixSlack is how far the load of an upstream with a cached prefix may be above the
// mean, as a fraction of the upstream's limit.
const prefixSlack = 0.25

// New returns a fleet view without upstreams. Run reads the host list.
func New(cfg Config, hostList *hosts.Client, agents *peer.AgentClient) *Fleet {
	policy := &selection.PrefixAffinity{
		Limits: selection.Limits{MaxReportAge: cfg.MaxReportAge, MaxQueuedPerOrganisation: cfg.QueuePerOrganisation},
		Rand:   rand.New(rand.NewPCG(cfg.Seed, 0)),
		Slack:  prefixSlack,
	}
	return &Fleet{
		cfg:        cfg,
		hostList:   hostList,
		agents:     agents,
		log:        logging.For("fleet"),
		scheduler:  scheduler.New(cfg.Scheduler, policy),
		waiting:    make(map[string]chan acquireResult),
		addresses:  make(map[string]string),
		pollers:    make(map[string]context.CancelFunc),
		services:   make(map[string]string),
		entryCount: 1,
	}
}

// Run reads the host list and refuses requests that have waited too long until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	hostsTick := time.NewTicker(f.cfg.HostsInterval)
	defer hostsTick.Stop()
	tick := time.NewTicker(f.cfg.ReportInterval / 4)
	defer tick.Stop()
	f.updateHosts(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hostsTick.C:
			f.updateHosts(ctx)
		case now := <-tick.C:
			f.mu.Lock()
			f.deliver(f.scheduler.Tick(now))
			f.mu.Unlock()
		}
	}
}

// SetIndex applies a new version of the table.
func (f *Fleet) SetIndex(ix *table.Index) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index = ix
	f.deliver(f.scheduler.SetOutOfService(ix.IsOutOfService, time.Now()))
}

// EntryCount returns the number of entry hosts in the host list.
func (f *Fleet) EntryCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entryCount
}

// Acquire waits until a request is dispatched to an upstream or refused.
func (f *Fleet) Acquire(ctx context.Context, r scheduler.Request) (Upstream, error) {
	result := make(chan acquireResult, 1)
	f.mu.Lock()
	f.waiting[r.ID] = result
	f.deliver(f.scheduler.Enqueue(r, time.Now()))
	f.mu.Unlock()
	return awaitResult(ctx, result, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.scheduler.Cancel(r.Service, r.ID)
		delete(f.waiting, r.ID)
	})
}

// awaitResult waits for the result of a waiting request. If ctx ends first, it calls cancel
// to remove the request from its queue; the result may arrive before that.
func awaitResult(ctx context.Context, result <-chan acquireResult, cancel func()) (Upstream, error) {
	select {
	case r := <-result:
		return r.upstream, r.err
	case <-ctx.Done():
	}
	cancel()
	select {
	case r := <-result:
		return r.upstream, r.err
	default:
		return Upstream{}, problem.New(problem.ReasonDeadlineExceeded, "")
	}
}

// RecordStart records that the upstream has started to run a request.
func (f *Fleet) RecordStart(ticketID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deliver(f.scheduler.RecordStart(ticketID, time.Now()))
}

// RecordPart does nothing: agents track the responses.
func (f *Fleet) RecordPart(string) {}

// Release releases the upstream of a request after an attempt.
func (f *Fleet) Release(ticketID string, failure problem.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deliver(f.scheduler.RecordEnd(ticketID, failure != "", time.Now()))
}

// RecordReport records a report that came with a response.
func (f *Fleet) RecordReport(r api.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.services[r.Upstream] = r.Service
	f.deliver(f.scheduler.RecordReport(r, time.Now()))
}

// ReconcileCost corrects an organisation's share by the difference between the real and
// the expected cost of a request.
func (f *Fleet) ReconcileCost(service, organisation string, weight int, difference float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scheduler.ReconcileCost(service, organisation, weight, difference, time.Now())
}

// Candidates returns the upstreams of a service as this entry sees them.
func (f *Fleet) Candidates(service string) []selection.Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.scheduler.Candidates(service)
}

// acquireResult is the result of Acquire for a waiting request.
type acquireResult struct {
	upstream Upstream
	err      error
}

// newAcquireResult converts a decision to the result of Acquire. The caller holds the lock.
func (f *Fleet) newAcquireResult(d scheduler.Decision) acquireResult {
	if d.Refusal != nil {
		return acquireResult{err: d.Refusal}
	}
	return acquireResult{upstream: Upstream{
		Report:      d.Upstream,
		Address:     f.addresses[d.Upstream.Upstream],
		Entry:       f.cfg.Entry,
		VirtualTime: d.VirtualTime,
	}}
}

// deliver passes decisions to the waiting requests. The caller holds the lock.
func (f *Fleet) deliver(decisions []scheduler.Decision) {
	for _, d := range decisions {
		f.waiting[d.ID] <- f.newAcquireResult(d)
		delete(f.waiting, d.ID)
	}
}
