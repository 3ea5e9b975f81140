package entry

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/accounting"
	"github.com/acaciaglade/acaciaglade/pkg/decisionlog"
	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/operator"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// Limits on what an entry keeps in memory.
const (
	// maxAccounts is the number of organisations with separate accounts.
	maxAccounts = 50000
	// maxLabels is the number of organisations without priority that have
	// separate metrics.
	maxLabels = 100
	// maxDecisions is the size of the decision log.
	maxDecisions = 20000
)

// peerTimeout is the time limit of requests to other hosts.
const peerTimeout = 2 * time.Second

// maxPeerCalls is the number of other hosts that are called at once.
const maxPeerCalls = 16

// accounts counts the requests of this entry and logs the decisions about them. For
// operators it also collects those of other hosts.
type accounts struct {
	name             string
	requests         *prometheus.CounterVec
	refusals         *prometheus.CounterVec
	tokens           *prometheus.CounterVec
	firstPartSeconds *prometheus.HistogramVec
	responseSeconds  *prometheus.HistogramVec
	decisions        *decisionlog.Log
	peers            *peer.AgentClient
	listHosts        func() []hosts.Host

	mu       sync.Mutex
	accounts *accounting.Accounts
	labels   *accounting.LabelLimiter
}

func newAccounts(name string, peers *peer.AgentClient, listHosts func() []hosts.Host, reg prometheus.Registerer) *accounts {
	a := &accounts{
		name:      name,
		peers:     peers,
		listHosts: listHosts,
		decisions: decisionlog.New(name, maxDecisions),
		accounts:  accounting.New(maxAccounts),
		labels:    accounting.NewLabelLimiter(maxLabels),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaglade_requests_total",
			Help: "Requests of callers, by organisation and result. Beyond a number of organisations they are counted as (other).",
		}, []string{"organisation", "result"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaglade_refusals_total",
			Help: "Requests that were refused, by reason and whether they ran.",
		}, []string{"reason", "ran"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciaglade_tokens_total",
			Help: "Tokens asked for and got, by organisation. Beyond a number of organisations they are counted as (other).",
		}, []string{"organisation", "kind"}),
	}
	a.firstPartSeconds = newLatencyHistogram("acaciaglade_first_part_seconds", "Time from a request to the first part of its answer, of complete answers, by service.")
	a.responseSeconds = newLatencyHistogram("acaciaglade_answer_seconds", "Time from a request to the end of its answer, of complete answers, by service.")
	reg.MustRegister(a.requests, a.refusals, a.tokens, a.firstPartSeconds, a.responseSeconds)
	return a
}

// latencyBuckets are in seconds. 0.4 s is the latency objective of first tokens.
var latencyBuckets = []float64{0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3, 6, 12, 30, 60, 120}

func newLatencyHistogram(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: latencyBuckets}, []string{"service"})
}

// observeLatency records the latency of a complete response.
func (a *accounts) observeLatency(r *pipe.Request, now time.Time) {
	if r.Service == nil {
		return
	}
	a.responseSeconds.WithLabelValues(r.Service.Name).Observe(now.Sub(r.ReceivedAt).Seconds())
	if !r.FirstPartAt.IsZero() {
		a.firstPartSeconds.WithLabelValues(r.Service.Name).Observe(r.FirstPartAt.Sub(r.ReceivedAt).Seconds())
	}
}

// Results of requests, as values of metric labels.
const (
	resultComplete = "complete"
	resultRefused  = "refused"
)

// recordEnd counts a request that has ended. The refusal is nil if the complete
// response was delivered.
func (a *accounts) recordEnd(r *pipe.Request, refusal *problem.Problem) {
	organisation, priority := "", false
	if r.Organisation != nil {
		organisation, priority = r.Organisation.Name, r.Organisation.Priority
	}
	a.mu.Lock()
	a.accounts.Record(accounting.Request{Organisation: organisation, RequestedCost: r.ExpectedCost, DeliveredCost: r.ActualCost, Refusal: refusal})
	label := a.labels.Label(organisation, priority)
	a.mu.Unlock()
	a.tokens.WithLabelValues(label, "asked").Add(r.ExpectedCost)
	a.tokens.WithLabelValues(label, "got").Add(r.ActualCost)
	if refusal == nil {
		a.requests.WithLabelValues(label, resultComplete).Inc()
		a.observeLatency(r, time.Now())
		r.RecordDecision(resultComplete, "", "")
		return
	}
	a.requests.WithLabelValues(label, resultRefused).Inc()
	a.refusals.WithLabelValues(string(refusal.Reason), string(refusal.Ran)).Inc()
	r.RecordDecision(resultRefused+", ran: "+string(refusal.Ran), string(refusal.Reason), "")
}

// ownAccounts returns the accounts of this entry.
func (a *accounts) ownAccounts(q accounting.Query) []accounting.Account {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.accounts.Select(q)
}

// Accounts implements operator.Accounts.
func (a *accounts) Accounts(ctx context.Context, q accounting.Query, allEntries bool) operator.AccountsReport {
	report := operator.AccountsReport{Entries: []string{a.name}, Accounts: a.ownAccounts(q)}
	if !allEntries {
		return report
	}
	perEntry := [][]accounting.Account{report.Accounts}
	var mu sync.Mutex
	report.Unreachable = a.callHosts(ctx, hosts.RoleEntry, func(ctx context.Context, h hosts.Host) error {
		accounts, err := a.peers.Accounts(ctx, h.Address, q)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		perEntry = append(perEntry, accounts)
		report.Entries = append(report.Entries, h.Name)
		return nil
	})
	slices.Sort(report.Entries)
	report.Accounts = accounting.Merge(q.Limit, perEntry...)
	return report
}

// Decisions implements operator.Accounts. It queries all hosts, because a request
// may have been sent through more than one.
func (a *accounts) Decisions(ctx context.Context, requestID string) operator.DecisionsReport {
	perHost := [][]decisionlog.Decision{a.decisions.ForRequest(requestID)}
	var mu sync.Mutex
	unreachable := a.callHosts(ctx, "", func(ctx context.Context, h hosts.Host) error {
		decisions, err := a.peers.Decisions(ctx, h.Address, requestID)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		perHost = append(perHost, decisions)
		return nil
	})
	return operator.DecisionsReport{RequestID: requestID, Unreachable: unreachable, Decisions: decisionlog.Merge(perHost...)}
}

// callHosts calls fn for all other hosts of a role, up to maxPeerCalls at once, and
// returns the names of those for which it failed. An empty role means all roles.
func (a *accounts) callHosts(ctx context.Context, role hosts.Role, fn func(context.Context, hosts.Host) error) []string {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	var failed []string
	slots := make(chan struct{}, maxPeerCalls)
	for _, h := range a.listHosts() {
		if h.Name == a.name || role != "" && h.Role != role {
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			if fn(ctx, h) == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			failed = append(failed, h.Name)
		})
	}
	group.Wait()
	slices.Sort(failed)
	return failed
}

// registerPeerRoutes adds the routes that other entries call.
func (a *accounts) registerPeerRoutes(g *echo.Group) {
	g.GET(peer.PathAccounting, func(c echo.Context) error {
		q, refusal := operator.ParseQuery(c)
		if refusal != nil {
			return operator.WriteProblem(c, refusal)
		}
		return c.JSON(http.StatusOK, a.ownAccounts(q))
	})
	g.GET(peer.PathDecisions+"/:id", func(c echo.Context) error {
		return c.JSON(http.StatusOK, a.decisions.ForRequest(c.Param("id")))
	})
}

var _ operator.Accounts = (*accounts)(nil)
