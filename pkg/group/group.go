// Package group runs an agent's part in switching the expert maps of its group, for
// engines that switch by package mapswitch; package lockstep does the same for engines
// that switch by package holdswitch. It connects the switch and the planner (package
// plan), which do no I/O, with the network: it exchanges messages with the other agents
// and sends orders to the agent's own rank.
package group

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/mapswitch"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/plan"
	"github.com/acaciaglade/acaciaglade/pkg/logging"
)

// Config configures an agent's part in its group.
type Config struct {
	// Rank is the agent's rank. MemberURLs are the base URLs of all agents by rank.
	Rank       int
	MemberURLs []string
	// RankURL is the base URL of the agent's own rank.
	RankURL string
	// PeerToken is the secret that all processes of the system share.
	PeerToken string
	// ChecksFencing is true when the engine refuses old fencing tokens.
	ChecksFencing bool
	// Interval is the time between two pings and between two reads of the rank.
	Interval time.Duration
	// ElectionTimeout is the time without messages from the higher ranks after which
	// this agent coordinates. One Interval is added for each higher rank.
	ElectionTimeout time.Duration
	// OrderTimeout is the maximum time after which an order without a response can
	// still take effect.
	OrderTimeout time.Duration
	// LoadTimeout limits the loading of a map's experts on all ranks.
	LoadTimeout time.Duration
	// HoldMargin is the number of steps between the next step and a switch.
	HoldMargin uint64
	// PlanInterval is the minimum time between two plans. 0 disables planning.
	PlanInterval time.Duration
	// Planner configures the planner.
	Planner plan.Config
}

// Group is an agent's part in its group.
type Group struct {
	cfg             Config
	incarnation     string
	client          *client
	log             *logrus.Entry
	queues          []chan mapswitch.Message
	orders          chan mapswitch.Order
	runningRequests func() int
	closeAdmission  func()

	mu      sync.Mutex
	member  *mapswitch.Member
	planner *planner
	// drainingIncarnations holds, by rank, the incarnation of each agent that has
	// requested to drain the group and has not been replaced by a new incarnation yet.
	drainingIncarnations map[int]string
}

// queueLength is the maximum number of queued messages to one agent. Further messages are
// dropped, as if the network had lost them.
const queueLength = 64

// New returns an agent's part in its group. runningRequests returns the number of running
// requests of the group. closeAdmission is called when the group must take no new requests.
func New(cfg Config, runningRequests func() int, closeAdmission func()) *Group {
	g := &Group{
		cfg: cfg, incarnation: uuid.NewString(), client: newClient(cfg.PeerToken, cfg.OrderTimeout),
		log: logging.For("group"), orders: make(chan mapswitch.Order, 1), runningRequests: runningRequests, closeAdmission: closeAdmission,
		planner: newPlanner(cfg.Planner, cfg.PlanInterval), drainingIncarnations: make(map[int]string),
	}
	g.member = mapswitch.New(mapswitch.Config{
		Rank: cfg.Rank, Ranks: len(cfg.MemberURLs), Incarnation: g.incarnation, ChecksFencing: cfg.ChecksFencing,
		Interval: cfg.Interval, ElectionTimeout: cfg.ElectionTimeout, RoundTimeout: cfg.ElectionTimeout + cfg.OrderTimeout,
		LoadTimeout: cfg.LoadTimeout, OrderTimeout: cfg.OrderTimeout, HoldMargin: cfg.HoldMargin,
		Initial: expertmap.Contiguous(cfg.Planner.Size),
	})
	for range cfg.MemberURLs {
		g.queues = append(g.queues, make(chan mapswitch.Message, queueLength))
	}
	return g
}

// Run participates in the group until ctx ends.
func (g *Group) Run(ctx context.Context) {
	for r := range g.queues {
		if r != g.cfg.Rank {
			go g.deliver(ctx, r)
		}
	}
	go g.sendOrders(ctx)
	go g.watchReports(ctx)
	ticker := time.NewTicker(g.cfg.Interval)
	defer ticker.Stop()
	for {
		g.handleEvent(func(now time.Time) mapswitch.Output { return g.member.Tick(now) })
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// handleEvent passes an event to the member and carries out the actions that it returns.
func (g *Group) handleEvent(event func(now time.Time) mapswitch.Output) {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := event(time.Now())
	for _, msg := range out.Messages {
		select {
		case g.queues[msg.To] <- msg:
		default:
		}
	}
	if out.Order != nil {
		g.orders <- *out.Order
	}
}

// deliver sends the queued messages to one agent, in order.
func (g *Group) deliver(ctx context.Context, rank int) {
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-g.queues[rank]:
			if err := g.client.post(ctx, g.cfg.MemberURLs[rank]+PathMessage, &msg, nil); err != nil {
				g.log.WithError(err).WithField("rank", rank).Debug("failed to send a message to the rank's agent")
			}
		}
	}
}

// sendOrders sends orders to the agent's own rank, one at a time.
func (g *Group) sendOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-g.orders:
			var result mapswitch.OrderResult
			err := g.client.post(ctx, g.cfg.RankURL+PathOrder, &order, &result)
			if err != nil {
				g.log.WithError(err).WithField("order", order.Kind).Warn("no response to an order; the rank is read again before the next order")
				g.handleEvent(func(now time.Time) mapswitch.Output { return g.member.OrderFailed(now) })
				continue
			}
			g.logOrder(&order, &result)
			g.handleEvent(func(now time.Time) mapswitch.Output { return g.member.OrderDone(result, now) })
		}
	}
}

// logOrder logs orders other than reads and loads.
func (g *Group) logOrder(order *mapswitch.Order, result *mapswitch.OrderResult) {
	switch order.Kind {
	case mapswitch.OrderRead, mapswitch.OrderLoad:
		return
	}
	g.log.WithFields(logrus.Fields{"order": order.Kind, "fence": order.Fence, "version": order.Version, "step": order.AtStep, "refused": result.Refused}).Info("order sent to the rank")
}

// watchReports reads the rank's reports and plans while this agent coordinates.
func (g *Group) watchReports(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var report RankReport
		if err := g.client.get(ctx, g.cfg.RankURL+PathReport, &report); err != nil {
			continue
		}
		g.proposePlan(&report)
	}
}

// reportInterval is the time between two reads of the rank's report.
const reportInterval = 500 * time.Millisecond

func (g *Group) proposePlan(report *RankReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.planner.observe(report, now)
	status := g.member.Status(now)
	if !status.IsCoordinator || !status.Ready || g.member.HasProposal() {
		return
	}
	if status.Rank.Current == nil || status.Rank.Next != nil {
		return
	}
	result, ok := g.planner.plan(status.Rank.Current, report, now)
	if !ok {
		return
	}
	g.log.WithFields(logrus.Fields{"loads": result.Loads, "skew_before": result.SkewBefore, "skew_after": result.SkewAfter}).Info("new map proposed")
	g.member.Propose(mapswitch.Proposal{Map: result.Map, Base: status.Rank.Current.Version})
}

// IsDraining reports whether the host of some rank is about to stop, or has stopped and
// the rank has not restarted yet.
func (g *Group) IsDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.drainingIncarnations) > 0
}

// Register adds the group's routes to an HTTP server. The caller's route group must check
// the peer token.
func (g *Group) Register(e *echo.Group) {
	e.POST(PathMessage, g.handleMessage)
	e.POST(PathDrain, g.handleDrain)
	e.GET(PathStatus, g.handleStatus)
}

func (g *Group) handleMessage(c echo.Context) error {
	var msg mapswitch.Message
	if err := decode(c.Request().Body, &msg); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	g.handleEvent(func(now time.Time) mapswitch.Output {
		if g.drainingIncarnations[msg.From] != msg.FromIncarnation {
			delete(g.drainingIncarnations, msg.From)
		}
		return g.member.Receive(msg, now)
	})
	return c.JSON(http.StatusOK, struct{}{})
}

func (g *Group) handleStatus(c echo.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Status{Switch: g.member.Status(time.Now()), Plans: g.planner.plans, SkewBefore: g.planner.lastResult.SkewBefore, SkewAfter: g.planner.lastResult.SkewAfter}
	for rank := range g.cfg.MemberURLs {
		if _, ok := g.drainingIncarnations[rank]; ok {
			s.Draining = append(s.Draining, rank)
		}
	}
	return c.JSON(http.StatusOK, s)
}
