package lockstep

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/plan"
	"github.com/acaciaglade/acaciaglade/pkg/logging"
)

// Config is the settings of an agent.
type Config struct {
	// Engine is the engine of the agent's own rank.
	Engine Engine
	// EngineAt returns the engine at an address on another host.
	EngineAt func(address string) Engine
	// MemberLister lists the ranks of a group.
	MemberLister MemberLister
	// ShapeReader reads the shape of the model.
	ShapeReader ModelShapeReader
	// HTTPClient is used to call other agents.
	HTTPClient *http.Client
	// Limits restrict one change of the map. MaxNewPerLayer and MaxCopiesPerRank are
	// overwritten by values derived from the model's shape.
	Limits plan.RebalanceLimits
	// Registry registers the agent's metrics. It may be nil.
	Registry prometheus.Registerer
}

// Intervals and limits of a coordinator.
const (
	// advanceInterval is the time between two calls of Agent.advance.
	advanceInterval = 20 * time.Millisecond
	// prepareTimeout limits the time for copying experts.
	prepareTimeout = 3 * time.Second
	// armTimeout limits the time for arming, during which a forward pass may be held.
	armTimeout = 600 * time.Millisecond
	// unreachableAfter is how long a rank is without a response before it counts as
	// unreachable.
	unreachableAfter = 200 * time.Millisecond
	// readInterval is the time between two reads of a rank that copies experts or waits
	// for a pass.
	readInterval = 50 * time.Millisecond
	// minMargin is the smallest number of passes between now and the scheduled switch.
	minMargin = 2
	// ownStatusInterval is the time between two reads of the own rank's status by an
	// agent that may coordinate, idleStatusInterval by any other.
	ownStatusInterval  = 100 * time.Millisecond
	idleStatusInterval = time.Second
	// membersInterval is the time between two reads of the group's member list while
	// it is incomplete.
	membersInterval = 500 * time.Millisecond
	// outdatedMembersInterval is the time between two reads while the list has a rank of an
	// earlier epoch. Ranks register within about a second after their group was formed.
	outdatedMembersInterval = 2 * time.Second
	// storeTimeout limits a call of the platform's store.
	storeTimeout = time.Second
)

// Agent takes part in the coordination of its rank's group.
type Agent struct {
	cfg          Config
	engine       Engine
	http         *http.Client
	log          *logrus.Entry
	metrics      *metrics
	shape        *shapeCache
	unresponsive unresponsiveAgents
	maps         mapCache
	// ownRankUnresponsive is true while the own rank does not respond. Only Run uses it.
	ownRankUnresponsive bool

	mu         sync.Mutex
	election   *election
	membership Membership
	// lastCounts holds, by querying rank, the counts at that rank's latest query.
	lastCounts  map[int]Counts
	groupLoad   *GroupLoad
	groupLoadAt time.Time

	results chan commandResult
	replies chan rankReply
	// coordination is nil while this agent does not coordinate. Only Run uses it.
	coordination *coordination
}

// commandResult is the result of a coordinator's command.
type commandResult struct {
	coordination *coordination
	command      holdswitch.Command
	result       holdswitch.Result
	// needsMap is true if the rank's agent does not have the map of the order.
	needsMap bool
}

// rankReply is a rank's reply to a query without an order.
type rankReply struct {
	coordination *coordination
	queriedAt    time.Time
	reply        reply
}

// New returns an agent.
func New(cfg Config) *Agent {
	log := logging.For("group")
	return &Agent{
		cfg: cfg, engine: cfg.Engine, http: cfg.HTTPClient, log: log, lastCounts: make(map[int]Counts),
		metrics: newMetrics(cfg.Registry),
		shape:   &shapeCache{source: cfg.ShapeReader, log: log},
		results: make(chan commandResult, 256), replies: make(chan rankReply, 256),
	}
}

// ownMembership returns the membership of the agent's own rank.
func (a *Agent) ownMembership() Membership {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.membership
}

// recordQuery records a query by another agent of the same formation of the group.
func (a *Agent) recordQuery(from Membership) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.election != nil && from.Group == a.membership.Group && from.Epoch == a.membership.Epoch {
		a.election.recordQuery(from.Rank, time.Now())
	}
}

// Run takes part in the coordination of the group until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	tick := time.NewTicker(advanceInterval)
	defer tick.Stop()
	nextRead := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-a.results:
			if r.coordination == a.coordination && a.coordination != nil {
				a.coordination.recordResult(&r)
				a.coordination.coordinator.HandleResult(r.command, r.result, time.Now())
				if len(a.results) == 0 {
					// Advance after a burst of results, so that the orders that follow
					// are sent in one batch.
					a.advance(ctx, time.Now())
				}
			}
		case reply := <-a.replies:
			if reply.coordination == a.coordination && a.coordination != nil {
				a.handleReply(reply, time.Now())
			}
		case now := <-tick.C:
			if !now.Before(nextRead) {
				nextRead = now.Add(a.statusInterval())
				a.updateRole(ctx, now)
			}
			a.advance(ctx, now)
			a.logUnanswered(now)
		}
	}
}

// statusInterval returns the time between two reads of the own rank's status. Only
// candidates need a recent status.
func (a *Agent) statusInterval() time.Duration {
	if a.membership.Rank < CoordinatorCandidates {
		return ownStatusInterval
	}
	return idleStatusInterval
}

// updateRole reads the status of the agent's own rank, and starts or stops coordinating.
func (a *Agent) updateRole(ctx context.Context, now time.Time) {
	status, err := a.ownStatus(ctx)
	a.logOwnRankChange(err)
	if err != nil {
		return
	}
	if status.Membership.Rank < CoordinatorCandidates {
		a.shape.startReading(ctx)
	}
	a.mu.Lock()
	if status.Membership != a.membership {
		a.membership = status.Membership
		a.election = newElection(a.membership.Rank, now)
	}
	isCoordinator := a.election.isCoordinator(now)
	a.mu.Unlock()
	switch {
	case a.coordination != nil && (a.coordination.membership != a.membership || a.coordination.coordinator.EpochEnded() || !isCoordinator):
		a.log.WithFields(logrus.Fields{"epoch": a.coordination.membership.Epoch, "rank": a.membership.Rank}).Info("no longer coordinating")
		a.coordination = nil
		a.metrics.coordinating.Set(0)
		a.publishGroupLoad(nil, now)
	case a.coordination == nil && isCoordinator && a.membership.Ranks > 1:
		a.startCoordinating(now)
	}
	if a.coordination != nil {
		a.coordination.coordinator.Observe(a.membership.Rank, status.State, time.Now())
	}
}

// ownStatus reads the status of the agent's own rank.
func (a *Agent) ownStatus(ctx context.Context) (RankStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.engine.Status(ctx)
}

// logOwnRankChange logs when the own rank stops responding and when it responds again.
func (a *Agent) logOwnRankChange(err error) {
	if unresponsive := err != nil; unresponsive == a.ownRankUnresponsive {
		return
	}
	a.ownRankUnresponsive = err != nil
	if a.ownRankUnresponsive {
		a.log.WithError(err).WithField("epoch", a.membership.Epoch).Warn("the status of the own rank could not be read; it is read again")
		return
	}
	a.log.WithField("epoch", a.membership.Epoch).Info("the status of the own rank can be read again")
}

// startCoordinating makes this agent the coordinator, once the shape of the model is
// known.
func (a *Agent) startCoordinating(now time.Time) {
	shape, ok := a.shape.get()
	if !ok {
		return
	}
	size := expertmap.Size{Ranks: a.membership.Ranks, Layers: shape.Layers, Experts: shape.Experts, Slots: shape.Slots}
	if err := size.Check(); err != nil {
		a.log.WithError(err).Warn("the model does not fit the group; its expert map is not changed")
		return
	}
	a.coordination = newCoordination(a.membership, size, shape)
	// All ranks were reachable when the group was formed.
	a.unresponsive.clear()
	for rank := range a.membership.Rank {
		// A lower rank is unresponsive, otherwise it would coordinate.
		a.unresponsive.add(rank, now)
		a.coordination.coordinator.MarkUnreachable(rank, now.Add(-electionTimeout))
	}
	a.log.WithFields(logrus.Fields{"epoch": a.membership.Epoch, "rank": a.membership.Rank, "ranks": a.membership.Ranks}).Info("coordinating")
	a.metrics.coordinating.Set(1)
}

// newVersion returns a function that draws versions which no other coordinator uses:
// they increase with time, and contain the rank and a random part.
func newVersion(rank int) func(above expertmap.Version) expertmap.Version {
	const (
		ranks  = 1 << 6
		random = 1 << 10
	)
	return func(above expertmap.Version) expertmap.Version {
		v := expertmap.Version((time.Now().Unix()*ranks+int64(rank%ranks))*random + rand.Int64N(random))
		if v <= above {
			v = above + 1 + expertmap.Version(rand.Int64N(random))
		}
		return v
	}
}

// advance sends the queries and orders that are due. It does nothing while this agent
// does not coordinate.
func (a *Agent) advance(ctx context.Context, now time.Time) {
	c := a.coordination
	if c == nil {
		return
	}
	if interval := c.untilNextMembers(); interval > 0 && !now.Before(c.nextMembers) {
		c.nextMembers = now.Add(interval)
		a.readMembers(ctx, c)
	}
	if len(c.members) < c.size.Ranks {
		return
	}
	a.pollRanks(ctx, c, now)
	if c.cachedMap != nil {
		c.coordinator.SetFallbackMap(c.cachedMap)
	}
	a.sendOrders(ctx, c, c.coordinator.Advance(now))
	for _, e := range c.coordinator.Events() {
		a.metrics.countEvent(&e)
		a.log.WithFields(logrus.Fields{
			"what": e.Name, "version": e.Version, "step": e.Step, "rank": e.Rank,
			"prepare_ms": e.Prepare.Milliseconds(), "arm_ms": e.Arm.Milliseconds(), "settle_ms": e.Settle.Milliseconds(),
		}).Info("map switch")
	}
}

func (a *Agent) readMembers(ctx context.Context, c *coordination) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := a.cfg.MemberLister.Members(ctx, c.membership.Group)
	if err != nil {
		a.log.WithError(err).Warn("the group's members could not be read from the platform's store; they are read again")
		return
	}
	c.addMembers(list)
}

// sendOrders sends commands to their ranks. The same order to many ranks is relayed by
// some of their agents. Orders to hold and to release a pass are always sent directly to
// the engine: the next coordinator must be able to reach the rank that holds the pass.
func (a *Agent) sendOrders(ctx context.Context, c *coordination, commands []holdswitch.Command) {
	for _, batch := range batches(commands) {
		q, err := a.maps.newQuery(c.membership, batch[0].Order, c.sendWholeMaps)
		if err != nil {
			a.log.WithError(err).Error("the map of an order could not be encoded; restart this agent, since it sends no further orders to the order's ranks")
			continue
		}
		if k := q.Order.Kind; k != holdswitch.OrderRead {
			a.log.WithFields(logrus.Fields{
				"order": k, "version": q.Order.Version, "step": q.Order.Step, "epoch": c.membership.Epoch,
				"ranks": len(batch), "map_bytes": len(q.Map), "void": q.Order.Void,
			}).Info("order sent")
		}
		byRank := make(map[int]holdswitch.Command, len(batch))
		var others []target
		for _, cmd := range batch {
			byRank[cmd.Rank] = cmd
			t := c.target(cmd.Rank)
			switch {
			case cmd.Rank == c.membership.Rank:
				go func() {
					out := a.queryOwnRank(ctx, &q)
					out.Rank = t.Rank
					a.deliverResult(c, cmd, out)
				}()
			case cmd.Order.Kind == holdswitch.OrderHold || cmd.Order.Kind == holdswitch.OrderGo:
				go func() { a.deliverResult(c, cmd, a.orderDirectly(ctx, cmd.Order, t)) }()
			default:
				others = append(others, t)
			}
		}
		a.fanOutQuery(ctx, q, others, func(list []reply) {
			for _, out := range list {
				a.deliverResult(c, byRank[out.Rank], out)
			}
		})
	}
}

// deliverResult passes the result of a command to Run.
func (a *Agent) deliverResult(c *coordination, cmd holdswitch.Command, out reply) {
	res := holdswitch.Result{Outcome: out.Outcome}
	a.metrics.orders.WithLabelValues(string(cmd.Order.Kind), string(out.Outcome)).Inc()
	if out.Status != nil {
		res.State = &out.Status.State
	}
	a.results <- commandResult{coordination: c, command: cmd, result: res, needsMap: out.NeedsMap}
}

// batches groups commands by their order.
func batches(commands []holdswitch.Command) [][]holdswitch.Command {
	var out [][]holdswitch.Command
	index := make(map[holdswitch.Order]int)
	for _, cmd := range commands {
		i, ok := index[cmd.Order]
		if !ok {
			i = len(out)
			index[cmd.Order] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], cmd)
	}
	return out
}
