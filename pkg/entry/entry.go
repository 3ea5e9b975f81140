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
	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/decisionlog"
	"github.com/acaciaglade/acaciaglade/pkg/filter/attempt"
	"github.com/acaciaglade/acaciaglade/pkg/filter/authenticate"
	"github.com/acaciaglade/acaciaglade/pkg/filter/ceiling"
	"github.com/acaciaglade/acaciaglade/pkg/filter/deadline"
	"github.com/acaciaglade/acaciaglade/pkg/filter/freshness"
	"github.com/acaciaglade/acaciaglade/pkg/filter/route"
	"github.com/acaciaglade/acaciaglade/pkg/logging"
	"github.com/acaciaglade/acaciaglade/pkg/operator"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/server"
	"github.com/acaciaglade/acaciaglade/pkg/table"
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
	// ServeWhileLeaving is true when requests that still arrive while the entry
	// leaves are served: callers keep open connections until it is gone.
	ServeWhileLeaving bool
	// RetryElsewhereAfter is the time after which a caller comes back that another entry can
	// serve at once, 0 for the time that the reason of the refusal names.
	RetryElsewhereAfter time.Duration
	// CeilingBurst is the time for which an unused ceiling can be saved up.
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
	// SetIndex takes a new version of the table.
	SetIndex(ix *table.Index)
	// Run keeps the view up to date until ctx ends.
	Run(ctx context.Context)
}

// Directory holds the table in force.
type Directory interface {
	// Index returns the table in force, nil before one is known, and how old the
	// proof is that its keys are valid.
	Index() (*table.Index, time.Duration)
	// Subscribe calls fn with each newer table from now on.
	Subscribe(fn func(*table.Index))
}

// Dependencies are what an entry is made of.
type Dependencies struct {
	// Store keeps the operators' table.
	Store *tablestore.Store
	// Directory holds the table in force, whose routes name what calls need. When
	// it is nil, the table is the store's and every call needs a token.
	Directory Directory
	// MaxKeyAge returns the age beyond which the proof of keys is not trusted, 0
	// for none. It may be nil.
	MaxKeyAge func() time.Duration
	// RelayTables is true when entries tell each other newer tables.
	RelayTables bool
	Fleet       Fleet
	Link        attempt.Transport
	// Agents calls the agents of other hosts.
	Agents   *peer.AgentClient
	Registry *prometheus.Registry
}

// Entry serves callers and operators.
type Entry struct {
	cfg       Config
	store     *tablestore.Store
	directory Directory
	fleet     Fleet
	exchange  *tablestore.PeerSync
	ceilings  *ceilings
	chain     pipe.Handler
	api       *operator.API
	registry  *prometheus.Registry
	accounts  *accounts
	stopping  atomic.Bool
	log       *logrus.Entry
}

// ownTable is the operators' table as the directory of an entry.
type ownTable struct{ *tablestore.Store }

// Index implements Directory. Keys change only with the table, which entries
// relay, so their proof has no age.
func (t ownTable) Index() (*table.Index, time.Duration) { return t.Store.Index(), 0 }

// New builds the filters of an entry.
func New(cfg Config, p Dependencies) *Entry {
	entries := peer.NewEntryClient(cfg.PeerToken)
	routed := p.Directory != nil
	if !routed {
		p.Directory = ownTable{p.Store}
	}
	if p.MaxKeyAge == nil {
		p.MaxKeyAge = func() time.Duration { return 0 }
	}
	f := p.Fleet
	e := &Entry{
		cfg:       cfg,
		store:     p.Store,
		directory: p.Directory,
		fleet:     f,
		ceilings:  newCeilings(cfg.Name, cfg.CeilingBurst, entries, f.Hosts, f.EntryCount),
		accounts:  newAccounts(cfg.Name, p.Agents, f.Hosts, p.Registry),
		registry:  p.Registry,
		log:       logging.For("entry"),
	}
	if p.RelayTables {
		e.exchange = tablestore.NewPeerSync(p.Store, entries, f.Hosts)
	}
	operatorConfig := operator.Config{Token: cfg.OperatorToken, Entry: cfg.Name, Accounts: e.accounts}
	if routed {
		operatorConfig.Directory = p.Directory
	}
	e.api = operator.New(operatorConfig, p.Store, f, entries, p.Agents)
	p.Store.RegisterMetrics(p.Registry)
	e.chain = attempt.New(cfg.Attempt, f, p.Link, p.Registry)
	e.chain = ceiling.New(e.chain, e.ceilings)
	e.chain = deadline.New(e.chain, cfg.Deadline)
	e.chain = freshness.New(e.chain, p.MaxKeyAge)
	if routed {
		// Whether a call needs a key depends on its route.
		e.chain = route.New(authenticate.New(e.chain))
	} else {
		e.chain = authenticate.New(route.New(e.chain))
	}
	p.Directory.Subscribe(f.SetIndex)
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
	s.GET("/readyz", e.ready)
	e.RegisterOperation(s)
	s.POST(route.PathChat, e.chat)
	s.Any(route.PrefixServices+"*", e.plain)
}

// RegisterOperation adds the routes of operators and of other entries.
func (e *Entry) RegisterOperation(s *echo.Echo) {
	s.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	server.RegisterMetrics(s, e.registry)
	peers := s.Group("", peer.RequireToken(e.cfg.PeerToken))
	e.store.RegisterPeer(peers)
	e.accounts.registerPeer(peers)
	e.ceilings.registerPeer(peers)
	e.api.Register(s)
}

func (e *Entry) ready(c echo.Context) error {
	if !e.Ready() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// Ready reports whether the entry takes new callers.
func (e *Entry) Ready() bool {
	ix, _ := e.directory.Index()
	return ix != nil && !e.stopping.Load()
}

// IsStopping reports whether the entry has begun to leave.
func (e *Entry) IsStopping() bool { return e.stopping.Load() }

// serve runs a request through the filters and answers refusals.
func (e *Entry) serve(c echo.Context, r *pipe.Request, reply committer) error {
	c.Response().Header().Set(HeaderRequestID, r.ID)
	r.Reply = reply
	if refusal := e.Serve(c.Request().Context(), r, func() error { return e.receive(c, r) }); refusal != nil {
		return reply.Refuse(refusal)
	}
	return nil
}

// Serve runs a request through the filters, after receive has filled it in. It
// returns why the request was refused or broke off, nil when its answer was
// delivered whole.
func (e *Entry) Serve(ctx context.Context, r *pipe.Request, receive func() error) *problem.Problem {
	r.Decisions = e.accounts.decisions
	err := e.admit(r)
	if err == nil {
		err = receive()
	}
	if err == nil {
		err = e.chain.Serve(ctx, r)
	}
	if err == nil {
		e.accounts.ended(r, nil)
		e.logEnd(r, nil)
		return nil
	}
	p := asProblem(err)
	if e.cfg.RetryElsewhereAfter > 0 && p.CanRetryElsewhere() && p.Reason != problem.ReasonEntryCutOff {
		// An entry that is cut off knows itself when callers are sent elsewhere.
		p = p.WithRetryAfter(e.cfg.RetryElsewhereAfter)
	}
	p.RequestID = r.ID
	e.accounts.ended(r, p)
	e.logEnd(r, p)
	return p
}

// logEnd logs what became of a request, with what decided it.
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
	if !r.FirstPartAt.IsZero() {
		fields["first_part_ms"] = r.FirstPartAt.Sub(r.ReceivedAt).Milliseconds()
		fields["longest_pause_ms"] = r.LongestPause.Milliseconds()
	}
	if p != nil || len(r.TriedUpstreams) > 1 {
		fields["decisions"] = texts(r.FirstDecisions)
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

// texts returns decisions as texts.
func texts(decisions []decisionlog.Decision) []string {
	out := make([]string, len(decisions))
	for i := range decisions {
		out[i] = decisions[i].String()
	}
	return out
}

// admit gives the request the table in force.
func (e *Entry) admit(r *pipe.Request) error {
	if e.stopping.Load() && !e.cfg.ServeWhileLeaving {
		return problem.New(problem.ReasonStopping, "")
	}
	if r.Index, r.IndexAge = e.directory.Index(); r.Index == nil {
		return problem.New(problem.ReasonNotReady, "")
	}
	return nil
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
	go e.store.RunSettle(ctx)
	if e.exchange != nil {
		go e.exchange.Run(ctx)
	}
	go e.ceilings.run(ctx)
	e.fleet.Run(ctx)
}
