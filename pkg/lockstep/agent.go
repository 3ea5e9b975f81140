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
	// Engine is the agent's own rank.
	Engine Engine
	// EngineAt returns the engine at an address on another host.
	EngineAt func(address string) Engine
	// MemberLister lists the ranks of a group.
	MemberLister MemberLister
	// ShapeReader tells the shape of the model.
	ShapeReader ModelShapeReader
	// HTTPClient calls other agents.
	HTTPClient *http.Client
	// Bounds limit one change of the map. MaxNewPerLayer and MaxCopiesPerRank follow from the
	// engine.
	Bounds plan.RebalanceLimits
	// Registry takes the agent's metrics. It may be nil.
	Registry prometheus.Registerer
}

// Intervals and bounds of a coordinator.
const (
	// stepInterval is the time between two steps of a round.
	stepInterval = 20 * time.Millisecond
	// prepareTimeout bounds the copying of experts.
	prepareTimeout = 3 * time.Second
	// armTimeout bounds the arming, during which a pass may be held.
	armTimeout = 600 * time.Millisecond
	// absentAfter is how long a rank must stay without an answer to count as out
	// of reach.
	absentAfter = 200 * time.Millisecond
	// readInterval is the time between two readings of a rank that copies or waits
	// for a pass.
	readInterval = 50 * time.Millisecond
	// margin is how many passes ahead a switch is placed at least.
	margin = 2
	// ownInterval is the time between two readings of the own rank by an agent that
	// may coordinate, idleInterval by any other.
	ownInterval  = 100 * time.Millisecond
	idleInterval = time.Second
	// membersInterval is the time between two readings of the group's members while
	// some are missing.
	membersInterval = 500 * time.Millisecond
	// storeTimeout bounds a call of the platform's store.
	storeTimeout = time.Second
)

// Agent is the process's part in its group.
type Agent struct {
	cfg    Config
	engine Engine
	http   *http.Client
	log    *logrus.Entry
	stats  *metrics
	shape  *shapeKeeper
	silent silence
	maps   mapCache
	// lost is true while the own rank does not answer.
	lost bool

	mu       sync.Mutex
	election *election
	place    Membership
	// counted is what each asker has been told of the own rank's counts.
	counted map[int]Counts
	board   *GroupLoad
	boardAt time.Time

	results chan result
	told    chan telling
	run     *round
}

// result is the result of a command.
type result struct {
	run *round
	cmd holdswitch.Command
	res holdswitch.Result
	// needsMap is true when the rank's agent does not know the map of the order.
	needsMap bool
}

// telling is what a rank told when it was asked without an order.
type telling struct {
	run    *round
	asked  time.Time
	answer answer
}

// New returns an agent.
func New(cfg Config) *Agent {
	log := logging.For("group")
	return &Agent{
		cfg: cfg, engine: cfg.Engine, http: cfg.HTTPClient, log: log, counted: make(map[int]Counts),
		stats:   newMetrics(cfg.Registry),
		shape:   &shapeKeeper{source: cfg.ShapeReader, log: log},
		results: make(chan result, 256), told: make(chan telling, 256),
	}
}

// ownPlace returns where the agent's own rank stands.
func (a *Agent) ownPlace() Membership {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.place
}

// hear records a question of another agent of the same group.
func (a *Agent) hear(from Membership) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.election != nil && from.Group == a.place.Group && from.Epoch == a.place.Epoch {
		a.election.hear(from.Rank, time.Now())
	}
}

// Run takes part in the group until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	nextRead := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-a.results:
			if r.run == a.run && a.run != nil {
				a.run.note(&r)
				a.run.coordinator.HandleResult(r.cmd, r.res, time.Now())
				if len(a.results) == 0 {
					// Results that come together lead to orders that go out together.
					a.step(ctx, time.Now())
				}
			}
		case t := <-a.told:
			if t.run == a.run && a.run != nil {
				a.take(t, time.Now())
			}
		case now := <-tick.C:
			if !now.Before(nextRead) {
				nextRead = now.Add(a.ownInterval())
				a.locate(ctx, now)
			}
			a.step(ctx, now)
			a.logUnanswered(now)
		}
	}
}

// ownInterval is the time between two readings of the agent's own rank. Only
// ranks that may coordinate need to look often.
func (a *Agent) ownInterval() time.Duration {
	if a.place.Rank < CoordinatorCandidates {
		return ownInterval
	}
	return idleInterval
}

// locate reads the agent's own rank and begins or ends the coordination.
func (a *Agent) locate(ctx context.Context, now time.Time) {
	reading, err := a.readOwn(ctx)
	a.reachedOwn(err)
	if err != nil {
		return
	}
	if reading.Place.Rank < CoordinatorCandidates {
		a.shape.want(ctx)
	}
	a.mu.Lock()
	if reading.Place != a.place {
		a.place = reading.Place
		a.election = newElection(a.place.Rank, now)
	}
	coordinates := a.election.coordinates(now)
	a.mu.Unlock()
	switch {
	case a.run != nil && (a.run.place != a.place || a.run.coordinator.EpochEnded() || !coordinates):
		a.log.WithFields(logrus.Fields{"epoch": a.run.place.Epoch, "rank": a.place.Rank}).Info("no longer coordinating")
		a.run = nil
		a.stats.coordinating.Set(0)
		a.publish(nil, now)
	case a.run == nil && coordinates && a.place.Ranks > 1:
		a.begin(now)
	}
	if a.run != nil {
		a.run.coordinator.Observe(a.place.Rank, reading.State, time.Now())
	}
}

// readOwn reads the agent's own rank.
func (a *Agent) readOwn(ctx context.Context) (RankStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.engine.Status(ctx)
}

// reachedOwn logs when the own rank stops answering and when it answers again.
func (a *Agent) reachedOwn(err error) {
	if lost := err != nil; lost == a.lost {
		return
	}
	a.lost = err != nil
	if a.lost {
		a.log.WithError(err).WithField("epoch", a.place.Epoch).Warn("own rank does not answer")
		return
	}
	a.log.WithField("epoch", a.place.Epoch).Info("own rank answers")
}

// begin starts to coordinate once the shape of the model is known.
func (a *Agent) begin(now time.Time) {
	shape, ok := a.shape.get()
	if !ok {
		return
	}
	size := expertmap.Size{Ranks: a.place.Ranks, Layers: shape.Layers, Experts: shape.Experts, Slots: shape.Slots}
	if err := size.Check(); err != nil {
		a.log.WithError(err).Warn("the model does not fit the group; its maps are left alone")
		return
	}
	a.run = newRound(a.place, size, shape)
	// A group is formed of ranks that can be reached.
	a.silent.clear()
	for rank := range a.place.Rank {
		// They have gone silent, or they would coordinate.
		a.silent.mark(rank, now)
		a.run.coordinator.MarkUnreachable(rank, now.Add(-patience))
	}
	a.log.WithFields(logrus.Fields{"epoch": a.place.Epoch, "rank": a.place.Rank, "ranks": a.place.Ranks}).Info("coordinating")
	a.stats.coordinating.Set(1)
}

// newVersion returns versions that no other coordinator uses: they grow with the
// time, and carry the rank and a random part.
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

// step reads what is due and gives the orders that are due.
func (a *Agent) step(ctx context.Context, now time.Time) {
	r := a.run
	if r == nil {
		return
	}
	if len(r.members) < r.size.Ranks {
		if !now.Before(r.nextMembers) {
			r.nextMembers = now.Add(membersInterval)
			a.findMembers(ctx, r)
		}
		return
	}
	a.survey(ctx, r, now)
	if r.memory != nil {
		r.coordinator.SetFallbackMap(r.memory)
	}
	a.give(ctx, r, r.coordinator.Advance(now))
	for _, e := range r.coordinator.Events() {
		a.stats.event(&e)
		a.log.WithFields(logrus.Fields{
			"what": e.Name, "version": e.Version, "step": e.Step, "rank": e.Rank,
			"prepare_ms": e.Prepare.Milliseconds(), "arm_ms": e.Arm.Milliseconds(), "settle_ms": e.Settle.Milliseconds(),
		}).Info("map switch")
	}
}

func (a *Agent) findMembers(ctx context.Context, r *round) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := a.cfg.MemberLister.Members(ctx, r.place.Group)
	if err != nil {
		a.log.WithError(err).Warn("members of the group not read")
		return
	}
	for _, m := range list {
		r.members[m.Place.Rank] = m
	}
}

// give gives orders to ranks, the same order to many through others. Orders to
// hold a pass and let it go are always given straight: whoever takes over must
// reach the rank that holds.
func (a *Agent) give(ctx context.Context, r *round, commands []holdswitch.Command) {
	for _, batch := range batches(commands) {
		q, err := a.maps.newAsk(r.place, batch[0].Order, r.mapUnknown)
		if err != nil {
			a.log.WithError(err).Error("an order could not be packed; it is given again")
			continue
		}
		if k := q.Order.Kind; k != holdswitch.OrderRead {
			a.log.WithFields(logrus.Fields{
				"order": k, "version": q.Order.Version, "step": q.Order.Step, "epoch": r.place.Epoch,
				"ranks": len(batch), "map_bytes": len(q.Map), "void": q.Order.Void,
			}).Info("order given")
		}
		byRank := make(map[int]holdswitch.Command, len(batch))
		var others []target
		for _, cmd := range batch {
			byRank[cmd.Rank] = cmd
			t := r.target(cmd.Rank)
			switch {
			case cmd.Rank == r.place.Rank:
				go func() {
					out := a.answerOwn(ctx, &q)
					out.Rank = t.Rank
					a.finish(r, cmd, out)
				}()
			case cmd.Order.Kind == holdswitch.OrderHold || cmd.Order.Kind == holdswitch.OrderGo:
				go func() { a.finish(r, cmd, a.orderStraight(ctx, cmd.Order, t)) }()
			default:
				others = append(others, t)
			}
		}
		a.fanOut(ctx, q, others, func(list []answer) {
			for _, out := range list {
				a.finish(r, byRank[out.Rank], out)
			}
		})
	}
}

// finish hands on the result of a command.
func (a *Agent) finish(r *round, cmd holdswitch.Command, out answer) {
	res := holdswitch.Result{Outcome: out.Verdict}
	a.stats.orders.WithLabelValues(string(cmd.Order.Kind), string(out.Verdict)).Inc()
	if out.Reading != nil {
		res.State = &out.Reading.State
	}
	a.results <- result{run: r, cmd: cmd, res: res, needsMap: out.NeedsMap}
}

// batches groups commands with the same order.
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
