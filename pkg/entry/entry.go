// Package entry implements the process on an entry host. It builds the filters,
// receives callers' requests over HTTP and writes the responses.
//
// A request passes the filters of package filter in this order: authenticate, receive, route,
// freshness, deadline, shutdown, ceiling and attempt. If routes determine which requests need a key,
// the order begins with route, authenticate, freshness and receive, so that a request's body is read
// only if its route and key are known.
package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/crashguard"
	"github.com/acaciaglade/acaciaglade/pkg/decisionlog"
	"github.com/acaciaglade/acaciaglade/pkg/filter/attempt"
	"github.com/acaciaglade/acaciaglade/pkg/filter/authenticate"
	"github.com/acaciaglade/acaciaglade/pkg/filter/ceiling"
	"github.com/acaciaglade/acaciaglade/pkg/filter/deadline"
	"github.com/acaciaglade/acaciaglade/pkg/filter/freshness"
	"github.com/acaciaglade/acaciaglade/pkg/filter/receive"
	"github.com/acaciaglade/acaciaglade/pkg/filter/route"
	"github.com/acaciaglade/acaciaglade/pkg/filter/shutdown"
	"github.com/acaciaglade/acaciaglade/pkg/limitexchange"
	"github.com/acaciaglade/acaciaglade/pkg/logging"
	"github.com/acaciaglade/acaciaglade/pkg/operator"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/relay"
	"github.com/acaciaglade/acaciaglade/pkg/server"
	"github.com/acaciaglade/acaciaglade/pkg/table"
	"github.com/acaciaglade/acaciaglade/pkg/tablestore"
)

// Headers of callers' requests and of the responses.
const (
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"
)

// Config holds the settings of an entry.
type Config struct {
	// Name is the name of the entry host.
	Name string
	// PeerToken is the shared secret of the system's processes.
	PeerToken string
	// OperatorToken is the operators' bearer token.
	OperatorToken string
	// MaxBodyBytes is the largest accepted body of a request.
	MaxBodyBytes int64
	// DrainDelay is how long the entry stays reachable after it started draining.
	DrainDelay time.Duration
	// ServeWhileDraining makes the entry serve requests that arrive while it drains,
	// because callers keep their connections open until the process ends.
	ServeWhileDraining bool
	// RetryElsewhereAfter is the retry delay of refusals that another entry can serve,
	// 0 for the delay of the refusal's reason.
	RetryElsewhereAfter time.Duration
	// CeilingBurst is the time over which unused tokens of a ceiling accumulate.
	CeilingBurst time.Duration
	// Deadline and Attempt are the settings of the filters.
	Deadline deadline.Config
	Attempt  attempt.Config
}

// Fleet is the entry's view of its upstreams.
type Fleet interface {
	attempt.Fleet
	operator.Fleet
	// EntryCount returns the number of entry hosts.
	EntryCount() int
	// SetIndex applies a new version of the table.
	SetIndex(ix *table.Index)
	// Run keeps the view up to date until ctx ends.
	Run(ctx context.Context)
}

// Directory holds the current table.
type Directory interface {
	// Index returns the current table, nil before the first one was read, and the
	// validation age of its keys: the time since they were last confirmed.
	Index() (*table.Index, time.Duration)
	// Subscribe calls fn with each newer table.
	Subscribe(fn func(*table.Index))
}

// Dependencies holds the components that an entry uses.
type Dependencies struct {
	// Store stores the operators' table.
	Store *tablestore.Store
	// Directory holds the current table, whose routes say which requests need a key.
	// If it is nil, the store's table is used and every request needs a token.
	Directory Directory
	// MaxKeyAge returns the validation age beyond which keys are not trusted, 0 for
	// no limit. It may be nil.
	MaxKeyAge func() time.Duration
	// RelayTables makes the entry pull newer tables from other entries.
	RelayTables bool
	Fleet       Fleet
	// Transport sends attempts to upstreams.
	Transport attempt.Transport
	// Guard keeps requests from upstreams that they would end. It may be nil.
	Guard *crashguard.Guard
	// Limits exchanges the limits that upstreams name. It may be nil.
	Limits *limitexchange.Exchange
	// History provides the history of the platform's store. It may be nil.
	History operator.StoreHistory
	// Agents calls the agents of other hosts.
	Agents   *peer.AgentClient
	Registry *prometheus.Registry
}

// Entry serves callers, operators and other entries.
type Entry struct {
	cfg       Config
	store     *tablestore.Store
	directory Directory
	fleet     Fleet
	// peerSync is nil unless the entry relays tables.
	peerSync *tablestore.PeerSync
	// guard and limits may be nil.
	guard    *crashguard.Guard
	limits   *limitexchange.Exchange
	ceilings *ceilings
	// chain is the first filter. Each filter calls the next one.
	chain    pipe.Handler
	api      *operator.API
	registry *prometheus.Registry
	accounts *accounts
	// stopping is true once the entry has started draining.
	stopping atomic.Bool
	shutdown *shutdown.Filter
	log      *logrus.Entry
}

// storeDirectory is a Directory that holds the operators' table alone.
type storeDirectory struct{ *tablestore.Store }

// Index implements Directory. The validation age is 0, because keys change only with
// the table, which entries relay to each other.
func (d storeDirectory) Index() (*table.Index, time.Duration) { return d.Store.Index(), 0 }

// New builds the filters of an entry.
func New(cfg Config, deps Dependencies) *Entry {
	client := peer.NewEntryClient(cfg.PeerToken)
	routed := deps.Directory != nil
	if !routed {
		deps.Directory = storeDirectory{deps.Store}
	}
	if deps.MaxKeyAge == nil {
		deps.MaxKeyAge = func() time.Duration { return 0 }
	}
	f := deps.Fleet
	e := &Entry{
		cfg:       cfg,
		store:     deps.Store,
		directory: deps.Directory,
		fleet:     f,
		guard:     deps.Guard,
		limits:    deps.Limits,
		ceilings:  newCeilings(cfg.Name, cfg.CeilingBurst, client, f.Hosts, f.EntryCount),
		accounts:  newAccounts(cfg.Name, deps.Agents, f.Hosts, deps.Registry),
		registry:  deps.Registry,
		shutdown:  shutdown.New(deps.Registry),
		log:       logging.For("entry"),
	}
	if holder, ok := f.(leaseHolder); ok {
		e.ceilings.others = append(e.ceilings.others, holder)
	}
	if deps.RelayTables {
		e.peerSync = tablestore.NewPeerSync(deps.Store, client, f.Hosts)
	}
	operatorConfig := operator.Config{Token: cfg.OperatorToken, Entry: cfg.Name, Accounts: e.accounts, StoreHistory: deps.History}
	if routed {
		operatorConfig.Directory = deps.Directory
	}
	if deps.Guard != nil {
		cfg.Attempt.Guard = deps.Guard
		operatorConfig.Quarantine = deps.Guard
	}
	if limits, ok := f.(operator.Limits); ok {
		operatorConfig.Limits = limits
	}
	if states, ok := f.(operator.UpstreamStates); ok {
		operatorConfig.UpstreamStates = states
	}
	e.api = operator.New(operatorConfig, deps.Store, f, client, deps.Agents)
	deps.Store.RegisterMetrics(deps.Registry)
	e.chain = attempt.New(cfg.Attempt, f, deps.Transport, deps.Registry)
	e.chain = ceiling.New(e.chain, e.ceilings)
	e.chain = e.shutdown.Wrap(e.chain)
	e.chain = deadline.New(e.chain, cfg.Deadline)
	if routed {
		// Whether a request needs a key depends on its route.
		e.chain = route.New(authenticate.New(freshness.New(receive.New(e.chain), deps.MaxKeyAge)))
	} else {
		// The body names the model.
		e.chain = authenticate.New(receive.New(route.New(freshness.New(e.chain, deps.MaxKeyAge))))
	}
	deps.Directory.Subscribe(f.SetIndex)
	return e
}

// Drain starts draining: the entry is no longer ready and, unless ServeWhileDraining is
// set, refuses new requests. Running requests continue. Drain returns after DrainDelay, by
// which time the load balancer has stopped sending callers, or when ctx ends. It does not
// wait for running requests.
func (e *Entry) Drain(ctx context.Context) error {
	e.stopping.Store(true)
	e.log.Info("draining: not ready for new callers")
	select {
	case <-time.After(e.cfg.DrainDelay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// BeginShutdown starts draining by a plan: the entry is no longer ready, and accepts only
// requests that can be expected to end in time.
func (e *Entry) BeginShutdown(p shutdown.Plan) {
	e.shutdown.Begin(p)
	e.stopping.Store(true)
	e.log.WithField("running", e.shutdown.Running()).Info("draining: not ready for new callers")
}

// RunningRequests returns the number of requests that were accepted and have not ended.
func (e *Entry) RunningRequests() int { return e.shutdown.Running() }

// EndRequests ends the requests that still run. Their callers get a response that says so, or
// see the response that has begun break off.
func (e *Entry) EndRequests() {
	if n := e.shutdown.Running(); n > 0 {
		e.log.WithField("running", n).Warn("requests end because the grace period is over")
	}
	e.shutdown.End()
}

// Register adds all routes of the entry to an HTTP server.
func (e *Entry) Register(s *echo.Echo) {
	s.GET("/readyz", e.serveReady)
	e.RegisterInternal(s)
	s.POST(route.PathChat, e.serveChat)
	s.Any(route.PrefixServices+"*", e.servePlain)
}

// RegisterInternal adds the routes of operators, other entries, metrics and the health
// check, but not those of callers and the readiness check. Register calls it; a program
// that serves the internal routes on a separate server calls it alone.
func (e *Entry) RegisterInternal(s *echo.Echo) {
	s.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	server.RegisterMetrics(s, e.registry)
	peers := s.Group("", peer.RequireToken(e.cfg.PeerToken))
	e.store.RegisterPeerRoutes(peers)
	e.accounts.registerPeerRoutes(peers)
	e.ceilings.registerPeerRoutes(peers)
	if e.guard != nil {
		e.guard.RegisterPeerRoutes(peers)
	}
	if e.limits != nil {
		e.limits.RegisterPeerRoutes(peers)
	}
	e.api.Register(s)
}

func (e *Entry) serveReady(c echo.Context) error {
	if !e.IsReady() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// IsReady reports whether the entry has a table and has not started draining, so that the
// load balancer may send it new callers. While the entry drains with ServeWhileDraining,
// it is not ready but still serves requests.
func (e *Entry) IsReady() bool {
	ix, _ := e.directory.Index()
	return ix != nil && !e.stopping.Load()
}

// IsStopping reports whether the entry has started draining.
func (e *Entry) IsStopping() bool { return e.stopping.Load() }

// serve runs a request through the filters and ends its response.
func (e *Entry) serve(c echo.Context, r *pipe.Request, w relay.Writer) error {
	c.Response().Header().Set(HeaderRequestID, r.ID)
	response := relay.New(w, r, c.Request())
	r.Reply = response
	return response.Serve(func() *problem.Problem {
		p := e.Serve(c.Request().Context(), r, func() error { return e.checkHead(c, r) })
		CloseIfUnread(c, r)
		return p
	})
}

// Serve runs a request through the filters, after checkHead has checked its head. It returns
// why the request was refused or its response aborted, nil if the complete response was
// delivered.
func (e *Entry) Serve(ctx context.Context, r *pipe.Request, checkHead func() error) *problem.Problem {
	r.Decisions = e.accounts.decisions
	err := e.admit(r)
	if err == nil {
		err = checkHead()
	}
	if err == nil {
		err = e.chain.Serve(ctx, r)
	}
	if err == nil {
		e.accounts.recordEnd(r, nil)
		e.logEnd(r, nil)
		return nil
	}
	p := asProblem(err)
	if e.cfg.RetryElsewhereAfter > 0 && p.CanRetryElsewhere() && p.Reason != problem.ReasonEntryCutOff && p.Reason != problem.ReasonStopping {
		// The refusals of an entry that is cut off or stopping already have the time after
		// which others take the request.
		p = p.WithRetryAfter(e.cfg.RetryElsewhereAfter)
	}
	p.RequestID = r.ID
	e.accounts.recordEnd(r, p)
	e.logEnd(r, p)
	return p
}

// logEnd logs the result of a request. The decisions are logged for requests that were
// refused or sent to more than one upstream.
func (e *Entry) logEnd(r *pipe.Request, p *problem.Problem) {
	now := time.Now()
	fields := logrus.Fields{"request": r.ID, "took_ms": now.Sub(r.ReceivedAt).Milliseconds(), "waited_ms": r.QueueTime.Milliseconds(), "attempts": len(r.TriedUpstreams)}
	if r.Index != nil {
		fields["table_version"], fields["table_age_ms"] = r.Index.Table().Version, r.IndexAge.Milliseconds()
	}
	if r.Service != nil {
		fields["service"] = r.Service.Name
	}
	if r.Route != nil {
		fields["route"] = r.Route.Name
	}
	if r.Organisation != nil {
		fields["organisation"] = r.Organisation.Name
	}
	if len(r.TriedUpstreams) > 0 {
		fields["upstreams"] = r.TriedUpstreams
	}
	if len(r.SharedParts) > 0 {
		fields["prompt_parts"] = r.SharedParts
	}
	if !r.FirstPartAt.IsZero() {
		fields["first_part_ms"] = r.FirstPartAt.Sub(r.ReceivedAt).Milliseconds()
		fields["longest_pause_ms"] = r.LongestPause.Milliseconds()
	}
	if r.WithoutLength {
		fields["without_length"] = true
	}
	if p != nil || len(r.TriedUpstreams) > 1 {
		fields["decisions"] = formatDecisions(r.FirstDecisions)
	}
	if p == nil {
		e.log.WithFields(fields).Info("request served")
		return
	}
	fields["reason"], fields["ran"], fields["status"] = p.Reason, p.Ran, p.Status
	if p.Detail != "" {
		fields["detail"] = p.Detail
	}
	if p.RetryAfter > 0 {
		fields["retry_after_ms"] = p.RetryAfter.Milliseconds()
	}
	e.log.WithFields(fields).Info("request not served")
}

// formatDecisions returns the decisions as strings.
func formatDecisions(decisions []decisionlog.Decision) []string {
	out := make([]string, len(decisions))
	for i := range decisions {
		out[i] = decisions[i].String()
	}
	return out
}

// admit assigns the current table to a request. It refuses the request if the entry is
// draining or has no table.
func (e *Entry) admit(r *pipe.Request) error {
	if e.stopping.Load() && !e.cfg.ServeWhileDraining {
		return problem.New(problem.ReasonStopping, "")
	}
	if r.Index, r.IndexAge = e.directory.Index(); r.Index == nil {
		return problem.New(problem.ReasonNotReady, "")
	}
	return nil
}

// asProblem returns the problem in an error, or an internal one.
func asProblem(err error) *problem.Problem {
	var p *problem.Problem
	if errors.As(err, &p) {
		return p
	}
	return problem.New(problem.ReasonInternal, err.Error())
}

// Run keeps the table, the leased rates and the view of the upstreams up to date until
// ctx ends.
func (e *Entry) Run(ctx context.Context) {
	go e.store.Watch(ctx)
	go e.store.RunSettle(ctx)
	if e.peerSync != nil {
		go e.peerSync.Run(ctx)
	}
	go e.ceilings.run(ctx)
	if e.guard != nil {
		go e.guard.Run(ctx)
	}
	if e.limits != nil {
		go e.limits.Run(ctx)
	}
	e.fleet.Run(ctx)
}
