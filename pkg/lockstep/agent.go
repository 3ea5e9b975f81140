package lockstep

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

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
	// Direct returns the engine at an address on another host.
	Direct func(address string) Engine
	// Members lists the ranks of a group.
	Members Members
	// Shapes tells the shape of the model.
	Shapes Shapes
	// HTTP calls other agents.
	HTTP *http.Client
	// PollInterval is the time between two readings of the counts.
	PollInterval time.Duration
	// Bounds limit one change of the map.
	Bounds plan.Bounds
}

// Intervals and bounds of a coordinator.
const (
	// stepInterval is the time between two steps of a round.
	stepInterval = 20 * time.Millisecond
	// callTimeout bounds a call of an agent; the next try goes to the engine.
	callTimeout = 200 * time.Millisecond
	// orderTimeout bounds an order to the agent's own rank, so that its agent can
	// still answer that it has no answer.
	orderTimeout = 100 * time.Millisecond
	// prepareTimeout bounds the copying of experts.
	prepareTimeout = 3 * time.Second
	// armTimeout bounds the arming, during which a pass may be held.
	armTimeout = 600 * time.Millisecond
	// absentAfter is how long a rank must stay without an answer to count as out
	// of reach.
	absentAfter = 200 * time.Millisecond
	// silentFor is how long an agent that did not answer is not asked again.
	silentFor = time.Second
	// margin is how many passes ahead a switch is placed.
	margin = 2
)

// Agent is the process's part in its group.
type Agent struct {
	cfg    Config
	engine Engine
	http   *http.Client
	log    *logrus.Entry

	mu       sync.Mutex
	election *election
	place    Place

	results chan answered
	polled  chan poll
	run     *round
}

// answered is the result of a command.
type answered struct {
	run *round
	cmd holdswitch.Command
	res holdswitch.Result
}

// poll is what one rank told.
type poll struct {
	run   *round
	rank  int
	reply *readReply
}

// round is a coordinator's work in one epoch.
type round struct {
	place       Place
	coordinator *holdswitch.Coordinator
	members     map[int]Member
	size        expertmap.Size
	shape       Shape
	popularity  *popularity
	last        map[int]*Counts
	// batch is the picks that the ranks have told of since the last poll began.
	batch       [][]float64
	told        int
	paces       []float64
	held        map[int]*Held
	nextPoll    time.Time
	nextMembers time.Time
	quietUntil  time.Time
	polls       int
	silent      silence
}

// New returns an agent.
func New(cfg Config) *Agent {
	return &Agent{
		cfg: cfg, engine: cfg.Engine, http: cfg.HTTP, log: logging.For("group"),
		results: make(chan answered, 256), polled: make(chan poll, 256),
	}
}

// hear records a question of another agent of the same group.
func (a *Agent) hear(from Place) {
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
				a.run.coordinator.Result(r.cmd, r.res, time.Now())
				a.step(ctx, time.Now())
			}
		case p := <-a.polled:
			if p.run == a.run && a.run != nil {
				a.take(p, time.Now())
			}
		case now := <-tick.C:
			if !now.Before(nextRead) {
				nextRead = now.Add(a.readInterval())
				a.locate(ctx, now)
			}
			a.step(ctx, now)
		}
	}
}

// readInterval is the time between two readings of the agent's own rank. Only
// ranks that may coordinate need to look often.
func (a *Agent) readInterval() time.Duration {
	if a.place.Rank < standbys {
		return 100 * time.Millisecond
	}
	return time.Second
}

// locate reads the agent's own rank and begins or ends the coordination.
func (a *Agent) locate(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reading, err := a.engine.Read(ctx)
	if err != nil {
		return
	}
	a.mu.Lock()
	if reading.Place != a.place {
		a.place = reading.Place
		a.election = newElection(a.place.Rank, now)
	}
	coordinates := a.election.coordinates(now)
	a.mu.Unlock()
	switch {
	case a.run != nil && (a.run.place != a.place || a.run.coordinator.Lost() || !coordinates):
		a.log.WithFields(logrus.Fields{"epoch": a.run.place.Epoch, "rank": a.place.Rank}).Info("no longer coordinating")
		a.run = nil
	case a.run == nil && coordinates && a.place.Ranks > 1:
		a.begin(ctx, now)
	}
	if a.run != nil {
		a.run.coordinator.Observe(a.place.Rank, reading.State, now)
	}
}

// begin starts to coordinate.
func (a *Agent) begin(ctx context.Context, now time.Time) {
	shape, err := a.cfg.Shapes.Shape(ctx)
	if err != nil {
		a.log.WithError(err).Debug("shape of the model not known")
		return
	}
	size := expertmap.Size{Ranks: a.place.Ranks, Layers: shape.Layers, Experts: shape.Experts, Slots: shape.Slots}
	if size.Check() != nil {
		return
	}
	a.run = &round{
		place: a.place, size: size, shape: shape, popularity: newPopularity(size),
		last: make(map[int]*Counts), held: make(map[int]*Held), paces: make([]float64, size.Ranks), members: make(map[int]Member),
		coordinator: holdswitch.New(holdswitch.Config{
			Rank: a.place.Rank, Ranks: a.place.Ranks, Epoch: a.place.Epoch, Margin: margin,
			Standbys: standbys, AbsentAfter: absentAfter,
			PrepareTimeout: prepareTimeout, ArmTimeout: armTimeout, ReadInterval: 50 * time.Millisecond,
			NewVersion: newVersion(a.place.Rank),
		}),
	}
	a.log.WithFields(logrus.Fields{"epoch": a.place.Epoch, "rank": a.place.Rank, "ranks": a.place.Ranks}).Info("coordinating")
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
	if len(r.members) < r.size.Ranks && !now.Before(r.nextMembers) {
		r.nextMembers = now.Add(500 * time.Millisecond)
		a.findMembers(ctx, r)
	}
	if len(r.members) < r.size.Ranks {
		return
	}
	if !now.Before(r.nextPoll) {
		r.nextPoll = now.Add(a.cfg.PollInterval)
		a.pollRanks(ctx, r)
	}
	for _, cmd := range r.coordinator.Step(now) {
		go a.give(ctx, r, cmd)
	}
	for _, e := range r.coordinator.Events() {
		a.log.WithFields(logrus.Fields{
			"what": e.What, "version": e.Version, "step": e.Step, "rank": e.Rank,
			"prepare_ms": e.Prepare.Milliseconds(), "arm_ms": e.Arm.Milliseconds(), "settle_ms": e.Settle.Milliseconds(),
		}).Info("map switch")
	}
}

func (a *Agent) findMembers(ctx context.Context, r *round) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	list, err := a.cfg.Members.Members(ctx, r.place.Group)
	if err != nil {
		a.log.WithError(err).Warn("members of the group not read")
		return
	}
	for _, m := range list {
		r.members[m.Place.Rank] = m
	}
}

// give gives an order to a rank through its agent, or straight to its engine when
// the agent does not answer. Orders to hold a pass and let it go are always given
// straight: whoever takes over must reach the rank that holds.
func (a *Agent) give(ctx context.Context, r *round, cmd holdswitch.Command) {
	res := a.deliver(ctx, r, cmd)
	if res.Verdict == holdswitch.Unanswered {
		a.log.WithFields(logrus.Fields{"order": cmd.Order.Kind, "rank": cmd.Rank, "verdict": res.Verdict, "version": cmd.Order.Version, "step": cmd.Order.Step}).Warn("rank did not answer an order")
	}
	a.results <- answered{run: r, cmd: cmd, res: res}
}

func (a *Agent) deliver(ctx context.Context, r *round, cmd holdswitch.Command) holdswitch.Result {
	m := r.members[cmd.Rank]
	if cmd.Rank == r.place.Rank {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return a.orderOwn(ctx, cmd.Order)
	}
	straight := cmd.Order.Kind == holdswitch.OrderHold || cmd.Order.Kind == holdswitch.OrderGo
	if !straight && !r.silent.is(cmd.Rank, time.Now()) {
		var res holdswitch.Result
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := a.call(callCtx, m.Agent, pathOrder, &orderRequest{From: r.place, Order: cmd.Order}, &res)
		if err == nil {
			return res
		}
		r.silent.mark(cmd.Rank, time.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return a.cfg.Direct(m.Engine).Order(ctx, cmd.Order)
}

// orderOwn gives the agent's own rank an order and reads its state after it.
func (a *Agent) orderOwn(ctx context.Context, o holdswitch.Order) holdswitch.Result {
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	res := a.engine.Order(orderCtx, o)
	if reading, err := a.engine.Read(ctx); err == nil {
		res.State = &reading.State
	}
	return res
}

// pollRanks asks ranks what they have counted.
func (a *Agent) pollRanks(ctx context.Context, r *round) {
	r.polls++
	r.observe(time.Now())
	needHeld := r.coordinator.Current() == nil
	for rank, m := range r.members {
		request := &readRequest{From: r.place, Counts: true, Held: needHeld}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			var reply *readReply
			var err error
			if rank == r.place.Rank {
				reply, err = a.read(ctx, request)
			} else {
				reply = &readReply{}
				err = a.call(ctx, m.Agent, pathRead, request, reply)
			}
			if err != nil {
				return
			}
			a.polled <- poll{run: r, rank: rank, reply: reply}
		}()
	}
}

// take takes what a rank told, and plans once all have told.
func (a *Agent) take(p poll, now time.Time) {
	r := p.run
	if p.reply.Reading.Place != (Place{Group: r.place.Group, Epoch: r.place.Epoch, Rank: p.rank, Ranks: r.place.Ranks}) {
		return
	}
	r.paces[p.rank] = p.reply.Reading.Pace
	r.coordinator.Observe(p.rank, p.reply.Reading.State, now)
	if p.reply.Held != nil {
		r.held[p.rank] = p.reply.Held
		r.assemble()
	}
	if c := p.reply.Counts; c != nil && c.Epoch == r.place.Epoch && len(c.Counts) == r.size.Layers*r.size.Experts {
		if last := r.last[p.rank]; last != nil {
			r.add(c, last)
		}
		r.last[p.rank] = c
	}
	if r.told >= r.size.Ranks {
		r.observe(now)
		a.plan(r, now)
	}
}

// observe hands the batch to the popularity.
func (r *round) observe(now time.Time) {
	if r.told > 0 {
		r.popularity.observe(r.batch, now)
	}
	r.batch, r.told = nil, 0
}

// add adds the picks between two readings of a rank to the batch.
func (r *round) add(now, before *Counts) {
	if r.batch == nil {
		r.batch = make([][]float64, r.size.Layers)
		for l := range r.batch {
			r.batch[l] = make([]float64, r.size.Experts)
		}
	}
	r.told++
	for i := range now.Counts {
		if now.Counts[i] > before.Counts[i] {
			r.batch[i/r.size.Experts][i%r.size.Experts] += float64(now.Counts[i] - before.Counts[i])
		}
	}
}

// assemble joins what the ranks hold to the map in force.
func (r *round) assemble() {
	version, ok := r.coordinator.Uses()
	if !ok || len(r.held) < r.size.Ranks {
		r.fill()
		return
	}
	m := &expertmap.Map{Version: version, Layers: make([]expertmap.Layer, r.size.Layers)}
	for l := range m.Layers {
		m.Layers[l] = make(expertmap.Layer, r.size.Ranks)
	}
	for rank, h := range r.held {
		if h.Epoch != r.place.Epoch || h.Version != version || len(h.Experts) != r.size.Layers {
			return
		}
		for l := range m.Layers {
			m.Layers[l][rank] = h.Experts[l]
		}
	}
	if m.Check(r.size) == nil {
		r.coordinator.SetCurrent(m)
		clear(r.held)
	}
}

// fill makes a map from what the ranks that have told hold. The others get the
// experts that are left, which one of them must hold.
func (r *round) fill() {
	if len(r.held) < r.size.Ranks-1 {
		return
	}
	m := &expertmap.Map{Layers: make([]expertmap.Layer, r.size.Layers)}
	for l := range m.Layers {
		m.Layers[l] = make(expertmap.Layer, r.size.Ranks)
		missing, held := -1, make([]bool, r.size.Experts)
		for rank := range m.Layers[l] {
			h := r.held[rank]
			if h == nil || len(h.Experts) != r.size.Layers {
				missing = rank
				continue
			}
			m.Layers[l][rank] = h.Experts[l]
			for _, e := range h.Experts[l] {
				if e >= 0 && e < len(held) {
					held[e] = true
				}
			}
		}
		for e, ok := range held {
			if !ok && missing >= 0 {
				m.Layers[l][missing] = append(m.Layers[l][missing], e)
			}
		}
	}
	if m.Check(r.size) == nil {
		r.coordinator.SetFiller(m)
	}
}

// plan proposes a better map.
func (a *Agent) plan(r *round, now time.Time) {
	current := r.coordinator.Current()
	if current == nil || r.coordinator.Phase() != holdswitch.PhaseIdle || now.Before(r.quietUntil) || !r.popularity.ready() {
		return
	}
	r.quietUntil = now.Add(50 * time.Millisecond)
	speeds := make([]float64, r.size.Ranks)
	for i, pace := range r.paces {
		speeds[i] = 1 / max(1, pace)
	}
	bounds := a.cfg.Bounds
	bounds.MaxNew = r.shape.Spare
	m, copies := planMap(current, r.popularity, speeds, bounds)
	if m == nil {
		return
	}
	shares := r.popularity.shares()
	if r.coordinator.Propose(m, now) {
		a.log.WithFields(logrus.Fields{
			"copies": copies, "skew_before": plan.Skew(current, shares, speeds, r.size),
			"skew_after": plan.Skew(m, shares, speeds, r.size), "shifts": r.popularity.shifts,
		}).Info("new map proposed")
	}
}
