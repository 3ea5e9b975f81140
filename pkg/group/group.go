// Package group drives the expert map of a group of ranks from their agents. It
// is the thin shell around the pure switch and planner: it carries messages
// between the agents and gives orders to the agent's own rank.
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

// Config is the settings of an agent's part in its group.
type Config struct {
	// Rank is the agent's rank. Members are the base URLs of all agents by rank.
	Rank       int
	MemberURLs []string
	// RankURL is the base URL of the agent's own rank.
	RankURL string
	// PeerToken is the shared secret of the system's processes.
	PeerToken string
	// ChecksFencing is true when the engine refuses old fencing numbers.
	ChecksFencing bool
	// Interval is the time between two pings and reads of the rank.
	Interval time.Duration
	// ElectionTimeout is how long the higher ranks must be silent before this one
	// coordinates.
	ElectionTimeout time.Duration
	// OrderTimeout is the longest time after which an order whose answer is
	// missing can still take effect.
	OrderTimeout time.Duration
	// LoadTimeout is how long the loading of a map's experts may take.
	LoadTimeout time.Duration
	// HoldMargin is how many steps ahead a switch is placed.
	HoldMargin uint64
	// PlanInterval is the time between two plans. 0 turns planning off.
	PlanInterval time.Duration
	// Planner is the settings of the planner.
	Planner plan.Config
}

// Group is an agent's part in its group.
type Group struct {
	cfg         Config
	incarnation string
	client      *client
	log         *logrus.Entry
	queues      []chan mapswitch.Message
	orders      chan mapswitch.Order
	running     func() int
	closed      func()

	mu      sync.Mutex
	member  *mapswitch.Member
	planner *planner
	leaving map[int]string
}

// queueLength is how many messages to one agent may wait. More are dropped, as
// if the network had lost them.
const queueLength = 64

// New returns an agent's part in its group. running returns the number of
// requests that the group runs, closed is called when it must take no new ones.
func New(cfg Config, running func() int, closed func()) *Group {
	g := &Group{
		cfg: cfg, incarnation: uuid.NewString(), client: newClient(cfg.PeerToken, cfg.OrderTimeout),
		log: logging.For("group"), orders: make(chan mapswitch.Order, 1), running: running, closed: closed,
		planner: newPlanner(cfg.Planner, cfg.PlanInterval), leaving: make(map[int]string),
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

// Run takes part in the group until ctx ends.
func (g *Group) Run(ctx context.Context) {
	for r := range g.queues {
		if r != g.cfg.Rank {
			go g.deliver(ctx, r)
		}
	}
	go g.obey(ctx)
	go g.watch(ctx)
	ticker := time.NewTicker(g.cfg.Interval)
	defer ticker.Stop()
	for {
		g.step(func(now time.Time) mapswitch.Output { return g.member.Tick(now) })
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// step gives the switch an event and carries out what it wants done.
func (g *Group) step(event func(now time.Time) mapswitch.Output) {
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

// deliver sends the messages to one agent in turn.
func (g *Group) deliver(ctx context.Context, rank int) {
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-g.queues[rank]:
			if err := g.client.post(ctx, g.cfg.MemberURLs[rank]+PathMessage, &msg, nil); err != nil {
				g.log.WithError(err).WithField("rank", rank).Debug("message not delivered")
			}
		}
	}
}

// obey gives orders to the agent's own rank, one at a time.
func (g *Group) obey(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-g.orders:
			var result mapswitch.OrderResult
			err := g.client.post(ctx, g.cfg.RankURL+PathOrder, &order, &result)
			if err != nil {
				g.log.WithError(err).WithField("order", order.Kind).Warn("order has no answer; the rank is read again before the next one")
				g.step(func(now time.Time) mapswitch.Output { return g.member.OrderFailed(now) })
				continue
			}
			g.note(&order, &result)
			g.step(func(now time.Time) mapswitch.Output { return g.member.OrderDone(result, now) })
		}
	}
}

// note logs the orders that change a rank.
func (g *Group) note(order *mapswitch.Order, result *mapswitch.OrderResult) {
	switch order.Kind {
	case mapswitch.OrderRead, mapswitch.OrderLoad:
		return
	}
	g.log.WithFields(logrus.Fields{"order": order.Kind, "fence": order.Fence, "version": order.Version, "step": order.AtStep, "refused": result.Refused}).Info("order given to the rank")
}

// watch reads the rank's report and plans while this agent coordinates.
func (g *Group) watch(ctx context.Context) {
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
		g.plan(&report)
	}
}

// reportInterval is the time between two reads of the rank's report.
const reportInterval = 500 * time.Millisecond

func (g *Group) plan(report *RankReport) {
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

// IsDraining reports whether a rank's host is about to stop, or has stopped and not
// come back.
func (g *Group) IsDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.leaving) > 0
}

// Register adds the routes of the group to an HTTP server, behind the check of
// the shared secret.
func (g *Group) Register(e *echo.Group) {
	e.POST(PathMessage, g.handleMessage)
	e.POST(PathLeave, g.handleLeave)
	e.GET(PathStatus, g.handleStatus)
}

func (g *Group) handleMessage(c echo.Context) error {
	var msg mapswitch.Message
	if err := decode(c.Request().Body, &msg); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	g.step(func(now time.Time) mapswitch.Output {
		if g.leaving[msg.From] != msg.FromIncarnation {
			delete(g.leaving, msg.From)
		}
		return g.member.Receive(msg, now)
	})
	return c.JSON(http.StatusOK, struct{}{})
}

func (g *Group) handleStatus(c echo.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Status{Switch: g.member.Status(time.Now()), Plans: g.planner.plans, SkewBefore: g.planner.last.SkewBefore, SkewAfter: g.planner.last.SkewAfter}
	for rank := range g.cfg.MemberURLs {
		if _, ok := g.leaving[rank]; ok {
			s.Leaving = append(s.Leaving, rank)
		}
	}
	return c.JSON(http.StatusOK, s)
}
