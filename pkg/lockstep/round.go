package lockstep

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/holdswitch"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/plan"
)

// Intervals of a coordinator's questions.
const (
	// picksInterval is the time between two questions for picks. Popularity changes
	// within seconds, and a switch takes some hundred milliseconds.
	picksInterval = 150 * time.Millisecond
	// surveyInterval is the time between two questions to all ranks. Entries choose
	// ranks by the answers.
	surveyInterval = 200 * time.Millisecond
	// publishDelay is how long the answers to a survey are waited for.
	publishDelay = 60 * time.Millisecond
	// sampled is how many ranks are asked for picks: all see about the same
	// popularity.
	sampled = 12
	// samplePatience is how long a sample may tell of no picks before another one is
	// taken: ranks without requests choose no experts.
	samplePatience = time.Second
	// planPause is the time between two plans.
	planPause = 50 * time.Millisecond
	// copyBudget is how long a switch may copy experts.
	copyBudget = 120 * time.Millisecond
	// leastCopies is how many experts a rank may copy in a switch however long a
	// copy takes.
	leastCopies = 2
)

// round is a coordinator's work in one epoch.
type round struct {
	place       Membership
	coordinator *holdswitch.Coordinator
	members     map[int]Member
	size        expertmap.Size
	shape       ModelShape
	popularity  *popularity
	// batch is the picks that ranks have told of since the last question, told how
	// many ranks have, asked how many were asked.
	batch [][]float64
	told  int
	asked int
	held  map[int]*HeldExperts
	// recalled is the version that was last looked for among the maps that this agent
	// was sent, memory the map if it was found.
	recalled expertmap.Version
	memory   *expertmap.Map
	// mapUnknown is true once an agent did not know a map that an order named.
	mapUnknown bool
	// unanswered are the ranks that did not answer since nextUnanswered was set.
	unanswered     map[orderKey][]int
	nextUnanswered time.Time
	// readings are the latest of each rank, readAt when they were asked for.
	readings []RankStatus
	readAt   []time.Time

	// offset shifts the sample, pickedAt is when it last told of picks.
	offset   int
	pickedAt time.Time
	// surveyedAt is when all ranks were last asked, nextPublish when the answers are
	// put on the board.
	surveyedAt  time.Time
	nextPublish time.Time
	nextPicks   time.Time
	nextSurvey  time.Time
	nextMembers time.Time
	nextPlan    time.Time
}

// noVersion is no map's version.
const noVersion = math.MaxUint64

func newRound(place Membership, size expertmap.Size, shape ModelShape) *round {
	return &round{
		place: place, size: size, shape: shape, popularity: newPopularity(size), recalled: noVersion,
		held: make(map[int]*HeldExperts), unanswered: make(map[orderKey][]int), members: make(map[int]Member),
		readings: make([]RankStatus, size.Ranks), readAt: make([]time.Time, size.Ranks),
		coordinator: holdswitch.New(holdswitch.Config{
			Rank: place.Rank, Ranks: place.Ranks, Epoch: place.Epoch, MinMargin: margin,
			Candidates: CoordinatorCandidates, UnreachableAfter: absentAfter,
			PrepareTimeout: prepareTimeout, ArmTimeout: armTimeout, ReadInterval: readInterval,
			NewVersion: newVersion(place.Rank),
		}),
	}
}

func (r *round) target(rank int) target {
	m := r.members[rank]
	return target{Rank: rank, Agent: m.Agent, Engine: m.Engine}
}

// sample returns the ranks that are asked for picks. They lie apart, as neighbours
// stand in one failure domain, which may get no requests. The CoordinatorCandidates are among
// those that are asked, as they hear the coordinator by it.
func (r *round) sample(now time.Time) []int {
	if now.Sub(r.pickedAt) > samplePatience {
		r.offset, r.pickedAt = r.offset+1, now
	}
	n := min(sampled, r.size.Ranks)
	chosen := make([]bool, r.size.Ranks)
	for i := range n {
		chosen[(i*r.size.Ranks/n+r.offset)%r.size.Ranks] = true
	}
	for rank := range min(CoordinatorCandidates, r.size.Ranks) {
		chosen[rank] = true
	}
	var list []int
	for rank, ok := range chosen {
		if ok {
			list = append(list, rank)
		}
	}
	return list
}

// survey asks ranks what is due: picks of a few, and how all of them do.
func (a *Agent) survey(ctx context.Context, r *round, now time.Time) {
	// The first answers tell which map is in force, and it is mostly known what it holds.
	q := ask{From: r.place, Held: r.coordinator.CurrentMap() == nil && !r.surveyedAt.IsZero()}
	if !now.Before(r.nextPicks) {
		r.nextPicks = now.Add(picksInterval)
		a.digest(r, now)
		picks := q
		picks.Picks = true
		list := r.sample(now)
		r.asked = len(list)
		for _, rank := range list {
			go a.tell(r, now, func() answer { return a.pickOf(ctx, &picks, r.target(rank)) })
		}
	}
	if !now.Before(r.nextSurvey) {
		r.nextSurvey = now.Add(surveyInterval)
		var list []target
		for rank := range r.size.Ranks {
			if rank != r.place.Rank && now.Sub(r.readAt[rank]) >= surveyInterval/2 {
				list = append(list, r.target(rank))
			}
		}
		a.fanOut(ctx, q, list, func(out []answer) {
			for _, one := range out {
				a.told <- telling{run: r, asked: now, answer: one}
			}
		})
		r.surveyedAt, r.nextPublish = now, now.Add(publishDelay)
	}
	if !r.nextPublish.IsZero() && !now.Before(r.nextPublish) {
		r.nextPublish = time.Time{}
		a.publish(r, r.surveyedAt)
	}
}

// pickOf asks one rank for its picks.
func (a *Agent) pickOf(ctx context.Context, q *ask, t target) answer {
	if t.Rank == q.From.Rank {
		out := a.answerOwn(ctx, q)
		out.Rank = t.Rank
		return out
	}
	return a.askRank(ctx, *q, t)
}

func (a *Agent) tell(r *round, asked time.Time, question func() answer) {
	a.told <- telling{run: r, asked: asked, answer: question()}
}

// take takes what a rank told, and plans once all have told.
func (a *Agent) take(t telling, now time.Time) {
	r, rank, reading := t.run, t.answer.Rank, t.answer.Reading
	if reading == nil || reading.Place != (Membership{Group: r.place.Group, Epoch: r.place.Epoch, Rank: rank, Ranks: r.place.Ranks}) {
		return
	}
	r.readings[rank], r.readAt[rank] = *reading, t.asked
	// The rank may have been read as soon as it was asked.
	state := reading.State
	state.Age += now.Sub(t.asked)
	r.coordinator.Observe(rank, state, now)
	a.recall(r, state.Map)
	if t.answer.Held != nil {
		r.held[rank] = t.answer.Held
		r.assemble()
	}
	if len(t.answer.Picks) > 0 {
		a.addPicks(r, rank, t.answer.Picks, now)
	}
	if r.told > 0 && r.told == r.asked {
		a.digest(r, now)
	}
}

// recall takes the map in force from what this agent was once sent, so that a
// coordinator that takes over need not ask all ranks for it. A group is formed with a map
// that deals the experts in turn.
func (a *Agent) recall(r *round, version expertmap.Version) {
	if r.recalled == version {
		return
	}
	r.recalled, r.memory = version, nil
	m := a.maps.version(version)
	if version == 0 {
		m = expertmap.RoundRobin(r.size)
	}
	if m != nil && m.Check(r.size) == nil {
		r.memory = m
		r.coordinator.SetCurrentMap(m)
	}
}

// addPicks adds a rank's picks to the batch.
func (a *Agent) addPicks(r *round, rank int, packed []byte, now time.Time) {
	var picks []uint64
	if err := unpack(packed, &picks); err != nil || len(picks) != r.size.Layers*r.size.Experts {
		a.log.WithError(err).WithField("rank", rank).Warn("picks of a rank can't be read; they are left out")
		return
	}
	if r.batch == nil {
		r.batch = make([][]float64, r.size.Layers)
		for l := range r.batch {
			r.batch[l] = make([]float64, r.size.Experts)
		}
	}
	r.told++
	for i, n := range picks {
		if n > 0 {
			r.pickedAt = now
		}
		r.batch[i/r.size.Experts][i%r.size.Experts] += float64(n)
	}
}

// digest hands the batch to the popularity and plans by it.
func (a *Agent) digest(r *round, now time.Time) {
	if r.told > 0 {
		r.popularity.observe(r.batch, now)
		a.plan(r, now)
	}
	r.batch, r.told, r.asked = nil, 0, 0
}

// assemble joins what the ranks hold to the map in force.
func (r *round) assemble() {
	version, ok := r.coordinator.CurrentVersion()
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
		r.coordinator.SetCurrentMap(m)
		clear(r.held)
	}
}

// fill makes a map from what the ranks that have told hold. The others get the
// experts that are left, which one of them must hold.
func (r *round) fill() {
	if r.memory != nil || len(r.held) < r.size.Ranks-1 {
		return
	}
	m := &expertmap.Map{Layers: make([]expertmap.Layer, r.size.Layers)}
	for l := range m.Layers {
		m.Layers[l] = r.fillLayer(l)
	}
	if m.Check(r.size) == nil {
		r.coordinator.SetFallbackMap(m)
	}
}

func (r *round) fillLayer(l int) expertmap.Layer {
	layer := make(expertmap.Layer, r.size.Ranks)
	missing, held := -1, make([]bool, r.size.Experts)
	for rank := range layer {
		h := r.held[rank]
		if h == nil || len(h.Experts) != r.size.Layers {
			missing = rank
			continue
		}
		layer[rank] = h.Experts[l]
		for _, e := range h.Experts[l] {
			if e >= 0 && e < len(held) {
				held[e] = true
			}
		}
	}
	for e, ok := range held {
		if !ok && missing >= 0 {
			layer[missing] = append(layer[missing], e)
		}
	}
	return layer
}

// plan proposes a better map.
func (a *Agent) plan(r *round, now time.Time) {
	current := r.coordinator.CurrentMap()
	if current == nil || r.coordinator.Phase() != holdswitch.PhaseIdle || now.Before(r.nextPlan) || !r.popularity.ready() {
		return
	}
	r.nextPlan = now.Add(planPause)
	speeds, shares := r.speeds(), r.popularity.shares()
	m, copies := plan.Rebalance(current, shares, speeds, r.size, r.bounds(a.cfg.Bounds))
	if m == nil {
		return
	}
	if r.coordinator.Propose(m, now) {
		a.log.WithFields(logrus.Fields{
			"copies": copies, "skew_before": plan.Skew(current, shares, speeds, r.size),
			"skew_after": plan.Skew(m, shares, speeds, r.size), "shifts": r.popularity.shifts,
		}).Info("new map proposed")
	}
}

// speeds returns how fast the ranks are, 1 for one that is not slow.
func (r *round) speeds() []float64 {
	speeds := make([]float64, r.size.Ranks)
	for rank := range speeds {
		speeds[rank] = 1 / max(1, r.readings[rank].Slowdown)
	}
	return speeds
}

// bounds completes the bounds of a change by what the engine can do.
func (r *round) bounds(b plan.RebalanceLimits) plan.RebalanceLimits {
	b.MaxNewPerLayer = r.shape.MaxNew
	b.MaxCopiesPerRank = leastCopies
	if r.shape.CopyTime > 0 {
		b.MaxCopiesPerRank = max(leastCopies, int(copyBudget/r.shape.CopyTime))
	}
	return b
}
