// Package fleet is an entry's view of its upstreams: it runs the scheduler,
// reads the reports of agents, and hands out upstreams to requests.
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

// Config is the settings of a fleet view.
type Config struct {
	// Entry is the name of this entry.
	Entry string
	// QueuePerOrganisation is how many attempts of one organisation may wait at
	// one agent.
	QueuePerOrganisation int
	// SubsetSize is how many upstreams this entry takes; 0 means all.
	SubsetSize int
	// ReportInterval is the time between two reports of an agent.
	ReportInterval time.Duration
	// HostsInterval is the time between two reads of the host list.
	HostsInterval time.Duration
	// MaxReportAge is the age beyond which a report is not used.
	MaxReportAge time.Duration
	// MergeProvisional takes the marks of a report that are not yet in the
	// table.
	MergeProvisional func([]api.ProvisionalMark)
	// Seed seeds the choice of upstreams.
	Seed uint64
	// Scheduler is the settings of the scheduler.
	Scheduler scheduler.Config
}

// Upstream is where a granted request goes.
type Upstream struct {
	Report  api.Report
	Address string
	// Entry is the name of the entry that was granted the upstream.
	Entry string
	// SelectionReason says what decided for the upstream, empty when it had room.
	SelectionReason string
	// VirtualTime is the organisation's virtual time.
	VirtualTime float64
	// EntryCutOff is closed when the entry finds that it can't reach any upstream. It may
	// be nil.
	EntryCutOff <-chan struct{}
	// MoveRequested is closed when the attempt should go on at another upstream. It may be nil.
	MoveRequested <-chan struct{}
}

// Fleet is an entry's view of its upstreams.
type Fleet struct {
	cfg    Config
	list   *hosts.Client
	agents *peer.AgentClient
	log    *logrus.Entry

	mu        sync.Mutex
	scheduler *scheduler.Scheduler
	waiting   map[string]chan answer
	addresses map[string]string
	pollers   map[string]context.CancelFunc
	entries   int
	hosts     []hosts.Host
	index     *table.Index
	// services is what each upstream that has reported serves.
	services map[string]string
	choice   choice
}

// prefixSlack is how far above the mean load an upstream with a cached prefix may
// be, as a fraction of its limit.
const prefixSlack = 0.25

// New returns a fleet view. Run must be called for it to see upstreams.
func New(cfg Config, list *hosts.Client, agents *peer.AgentClient) *Fleet {
	policy := &selection.PrefixAffinity{
		Limits: selection.Limits{MaxReportAge: cfg.MaxReportAge, MaxQueuedPerOrganisation: cfg.QueuePerOrganisation},
		Rand:   rand.New(rand.NewPCG(cfg.Seed, 0)),
		Slack:  prefixSlack,
	}
	return &Fleet{
		cfg:       cfg,
		list:      list,
		agents:    agents,
		log:       logging.For("fleet"),
		scheduler: scheduler.New(cfg.Scheduler, policy),
		waiting:   make(map[string]chan answer),
		addresses: make(map[string]string),
		pollers:   make(map[string]context.CancelFunc),
		services:  make(map[string]string),
		entries:   1,
	}
}

// Run reads the host list and expires waiting requests until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	list := time.NewTicker(f.cfg.HostsInterval)
	defer list.Stop()
	tick := time.NewTicker(f.cfg.ReportInterval / 4)
	defer tick.Stop()
	f.readHosts(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-list.C:
			f.readHosts(ctx)
		case now := <-tick.C:
			f.mu.Lock()
			f.deliver(f.scheduler.Tick(now))
			f.mu.Unlock()
		}
	}
}

// SetIndex takes a new version of the table.
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
	return f.entries
}

// Acquire waits for an upstream for a request.
func (f *Fleet) Acquire(ctx context.Context, r scheduler.Request) (Upstream, error) {
	granted := make(chan answer, 1)
	f.mu.Lock()
	f.waiting[r.ID] = granted
	f.deliver(f.scheduler.Enqueue(r, time.Now()))
	f.mu.Unlock()
	return await(ctx, granted, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.scheduler.Cancel(r.Service, r.ID)
		delete(f.waiting, r.ID)
	})
}

// await waits for the answer to a waiting request. When the caller leaves first,
// withdraw takes the request out of its queue; the answer may have come meanwhile.
func await(ctx context.Context, granted <-chan answer, withdraw func()) (Upstream, error) {
	select {
	case a := <-granted:
		return a.upstream, a.err
	case <-ctx.Done():
	}
	withdraw()
	select {
	case a := <-granted:
		return a.upstream, a.err
	default:
		return Upstream{}, problem.New(problem.ReasonDeadlineExceeded, "")
	}
}

// RecordStart records that the upstream has started to answer a request.
func (f *Fleet) RecordStart(requestID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deliver(f.scheduler.RecordStart(requestID, time.Now()))
}

// RecordPart does nothing: the agents watch the answers.
func (f *Fleet) RecordPart(string) {}

// Release gives back the upstream of a request after an attempt.
func (f *Fleet) Release(requestID string, failure problem.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deliver(f.scheduler.RecordEnd(requestID, failure != "", time.Now()))
}

// RecordReport takes a report that came with an answer.
func (f *Fleet) RecordReport(r api.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.services[r.Upstream] = r.Service
	f.deliver(f.scheduler.RecordReport(r, time.Now()))
}

// ReconcileCost corrects an organisation's share after a request.
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

// answer is what a waiting request gets.
type answer struct {
	upstream Upstream
	err      error
}

// answer turns a grant into what the waiting request gets. The caller holds the
// lock.
func (f *Fleet) answer(g scheduler.Decision) answer {
	if g.Refusal != nil {
		return answer{err: g.Refusal}
	}
	return answer{upstream: Upstream{
		Report:      g.Upstream,
		Address:     f.addresses[g.Upstream.Upstream],
		Entry:       f.cfg.Entry,
		VirtualTime: g.VirtualTime,
	}}
}

// deliver hands grants to the waiting requests. The caller holds the lock.
func (f *Fleet) deliver(grants []scheduler.Decision) {
	for _, g := range grants {
		f.waiting[g.ID] <- f.answer(g)
		delete(f.waiting, g.ID)
	}
}
