// Package agent implements the process beside one upstream (a sidecar). It admits work
// to the upstream, records requests so that work runs at most once, and keeps responses
// until they are delivered.
//
// Entries, the processes that receive callers' requests, send attempts of them to
// agents. An attempt passes the admission gate, the claim of its idempotency key, and
// dispatch to the upstream. Its response is kept as frames, so that an entry can read
// the rest of it on a new connection after each interruption.
package agent

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/admission"
	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/claim"
	"github.com/acaciaglade/acaciaglade/pkg/decisionlog"
	"github.com/acaciaglade/acaciaglade/pkg/group"
	"github.com/acaciaglade/acaciaglade/pkg/logging"
	"github.com/acaciaglade/acaciaglade/pkg/objects"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/warmup"
)

// Config is the settings of an agent.
type Config struct {
	// Upstream is the upstream's name. FailureDomain and Service are those that
	// it belongs to.
	Upstream      string
	FailureDomain string
	Service       string
	// ModelEngine is true if the upstream is a model engine: it streams a response as
	// server-sent events, and refuses a request with status 429 without starting it.
	ModelEngine bool
	// UpstreamURL is the base URL of the upstream.
	UpstreamURL string
	// PeerToken is the shared secret of the system's processes.
	PeerToken string
	// ClockError is the largest difference between two hosts' clocks.
	ClockError time.Duration
	// HeartbeatInterval is the time between heartbeats on idle streams.
	HeartbeatInterval time.Duration
	// DrainDelay is the minimum time for which a draining agent stays reachable and
	// refuses work.
	DrainDelay time.Duration
	// OrphanTimeout is how long a run is kept while no entry reads its response.
	OrphanTimeout time.Duration
	// SampleInterval is the time between two samples of the upstream.
	SampleInterval time.Duration
	// MaxQueued is how many admitted attempts may wait for capacity.
	MaxQueued int
	// Reserved is the part of the admission limit, in requests, that only priority work
	// may use.
	Reserved int
	// Warmup is the settings of the admission limit.
	Warmup warmup.Config
	// Group is the settings of the upstream's group of ranks, nil if the upstream is
	// not part of a group.
	Group *group.Config
}

// marksSettleTime is the gate's MarksSettleTime. With default settings every entry
// requests two reports in this time, and with each request it sends newer marks.
const marksSettleTime = 500 * time.Millisecond

// Agent serves the attempts of entries.
type Agent struct {
	cfg         Config
	incarnation string
	upstream    *upstreamClient
	claims      *claim.Registry
	metrics     *agentMetrics
	decisions   *decisionlog.Log
	log         logger

	// mu guards gate and runs. runs holds the runs by request ID.
	mu   sync.Mutex
	gate *admission.Gate
	runs map[string]*run
	// kept is the memory that the responses of all runs take, in bytes.
	kept atomic.Int64

	// work counts the runs that have not ended and the writes that are retried.
	work  sync.WaitGroup
	group *group.Group
}

// New returns an agent. It admits no work until Run is called.
func New(cfg Config, store objects.Store, reg prometheus.Registerer) *Agent {
	incarnation := uuid.NewString()
	a := &Agent{
		cfg:         cfg,
		incarnation: incarnation,
		upstream:    newUpstreamClient(cfg.UpstreamURL, cfg.ModelEngine),
		claims:      claim.NewRegistry(store),
		metrics:     newAgentMetrics(reg),
		decisions:   decisionlog.New(cfg.Upstream, maxDecisions),
		log:         logging.For("agent"),
		gate: admission.New(admission.Config{
			Upstream:        cfg.Upstream,
			FailureDomain:   cfg.FailureDomain,
			Service:         cfg.Service,
			Incarnation:     incarnation,
			Started:         time.Now(),
			ClockError:      cfg.ClockError,
			MarksSettleTime: marksSettleTime,
			MaxQueued:       cfg.MaxQueued,
			Reserved:        cfg.Reserved,
			Warmup:          cfg.Warmup,
		}),
		runs: make(map[string]*run),
	}
	a.group = a.newGroup(cfg.Group)
	return a
}

// Run samples the upstream, removes abandoned runs and runs the agent's part in its
// group, if it has one, until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	if a.group != nil {
		go a.group.Run(ctx)
	}
	ticker := time.NewTicker(a.cfg.SampleInterval)
	defer ticker.Stop()
	for {
		a.sample(ctx)
		a.sweep(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Drain stops the admission of new work, waits until all running work has ended and the
// drain delay has passed, and then drains the group of ranks, or returns when ctx ends.
// During the drain delay the agent refuses attempts. With a closed connection instead of
// a refusal, an entry could not tell whether its attempt ran.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.gate.StartDraining()
	a.processQueue()
	a.mu.Unlock()
	a.log.Info("draining; no new work is admitted")
	done := make(chan struct{})
	go func() {
		<-time.After(a.cfg.DrainDelay)
		a.work.Wait()
		close(done)
	}()
	select {
	case <-done:
		return a.requestGroupDrain(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sample reads the upstream's load and adapts the admission limit.
func (a *Agent) sample(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.SampleInterval)
	defer cancel()
	load, err := a.upstream.readLoad(ctx)
	draining := a.isGroupDraining()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil || draining {
		a.gate.SetUnreachable()
		a.processQueue()
		return
	}
	a.gate.Observe(warmup.Sample{
		Incarnation: load.Incarnation,
		Step:        time.Duration(load.StepMillis * float64(time.Millisecond)),
		Cold:        load.Cold,
	}, load.Skew, time.Now())
	a.processQueue()
}

// sweep removes runs that have ended and whose response no entry has read for the
// orphan timeout, and abandons the others that no entry reads.
func (a *Agent) sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, r := range a.runs {
		if !r.isAbandoned(now, a.cfg.OrphanTimeout) {
			continue
		}
		if r.hasEnded() {
			a.kept.Add(-r.keptBytes())
			delete(a.runs, id)
			continue
		}
		a.abandon(r)
	}
}

// abandon stops a run that no entry needs any more. Work that is not idempotent
// continues if it was dispatched, so that its outcome becomes known. The caller must
// hold a.mu.
func (a *Agent) abandon(r *run) {
	a.removeQueued(r)
	if r.idempotent {
		r.cancel()
		return
	}
	a.gate.RefuseAdmitted(r.id, r.attempt)
}

// admit decides on an attempt, and starts its run if it is admitted.
func (a *Agent) admit(req *api.AttemptRequest, now time.Time) (admission.Decision, *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.gate.Admit(req, now)
	if d.Attach {
		return a.existingRun(req.RequestID)
	}
	if !d.Admitted {
		a.metrics.refusals.WithLabelValues(d.Refusal.Reason).Inc()
		return d, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := newRun(req, cancel, now)
	r.queued = d.Queued
	a.runs[req.RequestID] = r
	a.metrics.running.Inc()
	a.work.Go(func() {
		defer cancel()
		a.serve(ctx, req, r)
	})
	return d, r
}

// existingRun returns the run of a request that was seen before, or a refusal with
// unknown outcome if the run was removed.
func (a *Agent) existingRun(id string) (admission.Decision, *run) {
	if r, ok := a.runs[id]; ok {
		return admission.Decision{Attach: true}, r
	}
	refusal := &api.Refusal{Reason: string(problem.ReasonOutcomeUnknown)}
	return admission.Decision{Outcome: api.OutcomeUnknown, Refusal: refusal}, nil
}

func (a *Agent) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Release()
	a.processQueue()
	a.metrics.running.Dec()
}

func (a *Agent) report() api.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Report()
}

// Register adds the agent's routes to an HTTP server.
func (a *Agent) Register(e *echo.Echo) {
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	a.registerPeerRoutes(e)
}
