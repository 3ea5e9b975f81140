// Package entry is the process on an entry host. It builds the filters, takes
// callers' requests over HTTP and writes their answers.
package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/filter/attempt"
	"github.com/acaciaglade/acaciaglade/pkg/filter/authenticate"
	"github.com/acaciaglade/acaciaglade/pkg/filter/ceiling"
	"github.com/acaciaglade/acaciaglade/pkg/filter/deadline"
	"github.com/acaciaglade/acaciaglade/pkg/filter/route"
	"github.com/acaciaglade/acaciaglade/pkg/fleet"
	"github.com/acaciaglade/acaciaglade/pkg/logging"
	"github.com/acaciaglade/acaciaglade/pkg/operator"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/tablestore"
)

// Headers of callers.
const (
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"
)

// Config is the settings of an entry.
type Config struct {
	// Name is the name of the entry host.
	Name string
	// PeerToken is the shared secret of the system's processes.
	PeerToken string
	// OperatorToken is the operators' bearer token.
	OperatorToken string
	// MaxBodyBytes is the largest body of a request.
	MaxBodyBytes int64
	// LeaveDelay is how long the entry stays reachable after it began to leave.
	LeaveDelay time.Duration
	// CeilingBurst is the time for which an unused ceiling can be saved up.
	CeilingBurst time.Duration
	// Deadline and Attempt are the settings of the filters.
	Deadline deadline.Config
	Attempt  attempt.Config
}

// Entry serves callers and operators.
type Entry struct {
	cfg      Config
	store    *tablestore.Store
	fleet    *fleet.Fleet
	exchange *tablestore.Exchange
	ceilings *ceilings
	chain    pipe.Handler
	api      *operator.API
	registry *prometheus.Registry
	accounts *accounts
	stopping atomic.Bool
	log      *logrus.Entry
}

// New builds the filters of an entry.
func New(cfg Config, store *tablestore.Store, f *fleet.Fleet, agents *peer.AgentClient, reg *prometheus.Registry) *Entry {
	entries := peer.NewEntryClient(cfg.PeerToken)
	e := &Entry{
		cfg:      cfg,
		store:    store,
		fleet:    f,
		exchange: tablestore.NewExchange(store, entries, f.Hosts),
		ceilings: newCeilings(cfg.Name, cfg.CeilingBurst, entries, f.Hosts, f.Entries),
		accounts: newAccounts(cfg.Name, agents, f.Hosts, reg),
		registry: reg,
		log:      logging.For("entry"),
	}
	e.api = operator.New(operator.Config{Token: cfg.OperatorToken, Entry: cfg.Name, Accounts: e.accounts}, store, f, entries, agents)
	store.RegisterMetrics(reg)
	e.chain = attempt.New(cfg.Attempt, f, attempt.NewAgentLink(agents), reg)
	e.chain = ceiling.New(e.chain, e.ceilings)
	e.chain = deadline.New(e.chain, cfg.Deadline)
	e.chain = route.New(e.chain)
	e.chain = authenticate.New(e.chain)
	store.Subscribe(f.SetIndex)
	return e
}

// Leave makes the entry not ready and refuse new requests. It returns after the
// leave delay, by which the balancer sends no more callers. Running requests go
// on.
func (e *Entry) Leave(ctx context.Context) error {
	e.stopping.Store(true)
	e.log.Info("leaving; new callers are refused")
	select {
	case <-time.After(e.cfg.LeaveDelay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Register adds the entry's routes to an HTTP server.
func (e *Entry) Register(s *echo.Echo) {
	s.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	s.GET("/readyz", e.ready)
	s.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{})))
	peers := s.Group("", peer.RequireToken(e.cfg.PeerToken))
	e.store.RegisterPeer(peers)
	e.accounts.registerPeer(peers)
	e.ceilings.registerPeer(peers)
	e.api.Register(s)
	s.POST(route.PathChat, e.chat)
	s.Any(route.PrefixServices+"*", e.plain)
}

func (e *Entry) ready(c echo.Context) error {
	if e.store.Index() == nil || e.stopping.Load() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// serve runs a request through the filters and answers refusals.
func (e *Entry) serve(c echo.Context, r *pipe.Request, reply committer) error {
	c.Response().Header().Set(HeaderRequestID, r.ID)
	r.Reply, r.Decisions = reply, e.accounts.decisions
	err := e.receive(c, r)
	if err == nil {
		err = e.chain.Serve(c.Request().Context(), r)
	}
	if err == nil {
		e.accounts.ended(r, nil)
		return nil
	}
	p := asProblem(err)
	p.RequestID = r.ID
	e.accounts.ended(r, p)
	return reply.Refuse(p)
}

func asProblem(err error) *problem.Problem {
	var p *problem.Problem
	if errors.As(err, &p) {
		return p
	}
	return problem.New(problem.ReasonInternal, err.Error())
}

// Run follows the platform's store and the fleet until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	go e.store.Watch(ctx)
	go e.store.SettleProvisional(ctx)
	go e.exchange.Run(ctx)
	go e.ceilings.run(ctx)
	e.fleet.Run(ctx)
}
