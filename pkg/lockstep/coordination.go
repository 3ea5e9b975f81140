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

// Intervals and limits of a coordinator's queries and plans.
const (
	// picksInterval is the time between two queries for expert selections. Popularity
	// changes within seconds, and a switch takes a few hundred milliseconds.
	picksInterval = 150 * time.Millisecond
	// pollInterval is the time between two queries for the status of all ranks. Entries
	// select ranks by the published status.
	pollInterval = 200 * time.Millisecond
	// publishDelay is the time from a poll to the publication of its replies.
	publishDelay = 60 * time.Millisecond
	// sampleSize is how many ranks are queried for expert selections. A sample is
	// enough, as all ranks observe about the same popularity.
	sampleSize = 12
	// sampleTimeout is how long a sample may report no expert selections before another
	// one is drawn: ranks without requests select no experts.
	sampleTimeout = time.Second
	// planInterval is the shortest time between two plans.
	planInterval = 50 * time.Millisecond
	// maxCopyTime is how long a rank may copy experts in one switch.
	maxCopyTime = 120 * time.Millisecond
	// minCopies is how many experts a rank may copy in one switch even if that takes
	// longer than maxCopyTime, or if the time of a copy is unknown.
	minCopies = 2
)

// coordination is the state of a coordinator in one epoch.
type coordination struct {
	membership  Membership
	coordinator *holdswitch.Coordinator
	members     map[int]Member
	size        expertmap.Size
	shape       ModelShape
	popularity  *popularity
	// pendingPicks sums the expert selections that ranks have reported since the last
	// query for them, by layer and expert. repliedCount is how many ranks have reported,
	// queriedCount how many were queried.
	pendingPicks [][]float64
	repliedCount int
	queriedCount int
	heldExperts  map[int]*HeldExperts
	// lookedUpVersion is the version that was last looked up in the agent's map cache,
	// cachedMap the map if it was found.
	lookedUpVersion expertmap.Version
	cachedMap       *expertmap.Map
	// sendWholeMaps is set once an agent did not have a map that a query referred to.
	sendWholeMaps bool
	// unanswered lists the ranks that did not respond to an order and have not been logged
	// yet. nextUnanswered is the earliest time of the next log line.
	unanswered     map[orderKey][]int
	nextUnanswered time.Time
	// statuses holds the latest status of each rank, statusAt when it was queried.
	statuses []RankStatus
	statusAt []time.Time

	// sampleOffset shifts the sample. lastPicksAt is when it last reported expert
	// selections, or when it was drawn.
	sampleOffset int
	lastPicksAt  time.Time
	// polledAt is when all ranks were last polled, nextPublish when the replies are
	// published as group load.
	polledAt    time.Time
	nextPublish time.Time
	nextPicks   time.Time
	nextPoll    time.Time
	nextMembers time.Time
	nextPlan    time.Time
}

// noVersion is not the version of any map.
const noVersion = math.MaxUint64

func newCoordination(membership Membership, size expertmap.Size, shape ModelShape) *coordination {
	return &coordination{
		membership: membership, size: size, shape: shape, popularity: newPopularity(size), lookedUpVersion: noVersion,
		heldExperts: make(map[int]*HeldExperts), unanswered: make(map[orderKey][]int), members: make(map[int]Member),
		statuses: make([]RankStatus, size.Ranks), statusAt: make([]time.Time, size.Ranks),
		coordinator: holdswitch.New(holdswitch.Config{
			Rank: membership.Rank, Ranks: membership.Ranks, Epoch: membership.Epoch, MinMargin: minMargin,
			Candidates: CoordinatorCandidates, UnreachableAfter: unreachableAfter,
			PrepareTimeout: prepareTimeout, ArmTimeout: armTimeout, ReadInterval: readInterval,
			NewVersion: newVersion(membership.Rank),
		}),
	}
}

func (c *coordination) target(rank int) target {
	m := c.members[rank]
	return target{Rank: rank, Agent: m.Agent, Engine: m.Engine}
}

// ranksToSample returns the ranks to query for expert selections. They are spread over
// the group, as neighbouring ranks are in one failure domain, which may receive no
// requests. The candidates are always queried, as they detect the coordinator by its
// queries.
func (c *coordination) ranksToSample(now time.Time) []int {
	if now.Sub(c.lastPicksAt) > sampleTimeout {
		c.sampleOffset, c.lastPicksAt = c.sampleOffset+1, now
	}
	n := min(sampleSize, c.size.Ranks)
	chosen := make([]bool, c.size.Ranks)
	for i := range n {
		chosen[(i*c.size.Ranks/n+c.sampleOffset)%c.size.Ranks] = true
	}
	for rank := range min(CoordinatorCandidates, c.size.Ranks) {
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

// pollRanks sends the queries that are due: for the expert selections of a sample, and
// for the status of all ranks. It also publishes the group load when that is due.
func (a *Agent) pollRanks(ctx context.Context, c *coordination, now time.Time) {
	// The first replies report the version of the current map, which is usually in the
	// cache. Held experts are requested only if the map is still unknown afterwards.
	q := query{From: c.membership, Held: c.coordinator.CurrentMap() == nil && !c.polledAt.IsZero()}
	if !now.Before(c.nextPicks) {
		c.nextPicks = now.Add(picksInterval)
		a.applyPicks(c, now)
		picks := q
		picks.Picks = true
		list := c.ranksToSample(now)
		c.queriedCount = len(list)
		for _, rank := range list {
			go a.deliverReply(c, now, func() reply { return a.queryPicks(ctx, &picks, c.target(rank)) })
		}
	}
	if !now.Before(c.nextPoll) {
		c.nextPoll = now.Add(pollInterval)
		var list []target
		for rank := range c.size.Ranks {
			if rank != c.membership.Rank && now.Sub(c.statusAt[rank]) >= pollInterval/2 {
				list = append(list, c.target(rank))
			}
		}
		a.fanOutQuery(ctx, q, list, func(out []reply) {
			for _, one := range out {
				a.replies <- rankReply{coordination: c, queriedAt: now, reply: one}
			}
		})
		c.polledAt, c.nextPublish = now, now.Add(publishDelay)
	}
	if !c.nextPublish.IsZero() && !now.Before(c.nextPublish) {
		c.nextPublish = time.Time{}
		a.publishGroupLoad(c, c.polledAt)
	}
}

// queryPicks queries one rank for its expert selections.
func (a *Agent) queryPicks(ctx context.Context, q *query, t target) reply {
	if t.Rank == q.From.Rank {
		out := a.queryOwnRank(ctx, q)
		out.Rank = t.Rank
		return out
	}
	return a.queryRank(ctx, *q, t)
}

// deliverReply sends a query and passes the reply to Run.
func (a *Agent) deliverReply(c *coordination, queriedAt time.Time, send func() reply) {
	a.replies <- rankReply{coordination: c, queriedAt: queriedAt, reply: send()}
}

// handleReply records a rank's reply, and plans once all sampled ranks have replied.
func (a *Agent) handleReply(r rankReply, now time.Time) {
	c, rank, status := r.coordination, r.reply.Rank, r.reply.Status
	if status == nil || rank < 0 || rank >= c.size.Ranks || status.Membership != (Membership{Group: c.membership.Group, Epoch: c.membership.Epoch, Rank: rank, Ranks: c.membership.Ranks}) {
		return
	}
	c.statuses[rank], c.statusAt[rank] = *status, r.queriedAt
	// The status may be as old as the query.
	state := status.State
	state.Age += now.Sub(r.queriedAt)
	c.coordinator.Observe(rank, state, now)
	a.restoreCurrentMap(c, state.Map)
	if r.reply.Held != nil {
		c.heldExperts[rank] = r.reply.Held
		c.assembleCurrentMap()
	}
	if len(r.reply.Picks) > 0 {
		a.addPicks(c, rank, r.reply.Picks, now)
	}
	if c.repliedCount > 0 && c.repliedCount == c.queriedCount {
		a.applyPicks(c, now)
	}
}

// restoreCurrentMap looks the current map up in the maps that this agent has received, so
// that a new coordinator need not query all ranks for it. Version 0 is the map with which
// a group is formed; it assigns the experts round-robin.
func (a *Agent) restoreCurrentMap(c *coordination, version expertmap.Version) {
	if c.lookedUpVersion == version {
		return
	}
	c.lookedUpVersion, c.cachedMap = version, nil
	m := a.maps.byVersion(version)
	if version == 0 {
		m = expertmap.RoundRobin(c.size)
	}
	if m != nil && m.Check(c.size) == nil {
		c.cachedMap = m
		c.coordinator.SetCurrentMap(m)
	}
}

// addPicks adds a rank's encoded expert selections to pendingPicks.
func (a *Agent) addPicks(c *coordination, rank int, packed []byte, now time.Time) {
	var picks []uint64
	if err := unpack(packed, &picks); err != nil || len(picks) != c.size.Layers*c.size.Experts {
		a.log.WithError(err).WithField("rank", rank).Warn("expert selections of a rank could not be decoded or have the wrong size; they are ignored")
		return
	}
	if c.pendingPicks == nil {
		c.pendingPicks = make([][]float64, c.size.Layers)
		for l := range c.pendingPicks {
			c.pendingPicks[l] = make([]float64, c.size.Experts)
		}
	}
	c.repliedCount++
	for i, n := range picks {
		if n > 0 {
			c.lastPicksAt = now
		}
		c.pendingPicks[i/c.size.Experts][i%c.size.Experts] += float64(n)
	}
}

// applyPicks adds pendingPicks to the popularity, plans with it, and resets pendingPicks.
func (a *Agent) applyPicks(c *coordination, now time.Time) {
	if c.repliedCount > 0 {
		c.popularity.observe(c.pendingPicks, now)
		a.proposeMap(c, now)
	}
	c.pendingPicks, c.repliedCount, c.queriedCount = nil, 0, 0
}

// assembleCurrentMap assembles the current map from the experts that the ranks hold.
func (c *coordination) assembleCurrentMap() {
	version, ok := c.coordinator.CurrentVersion()
	if !ok || len(c.heldExperts) < c.size.Ranks {
		c.assembleFallbackMap()
		return
	}
	m := &expertmap.Map{Version: version, Layers: make([]expertmap.Layer, c.size.Layers)}
	for l := range m.Layers {
		m.Layers[l] = make(expertmap.Layer, c.size.Ranks)
	}
	for rank, h := range c.heldExperts {
		if h.Epoch != c.membership.Epoch || h.Version != version || len(h.Experts) != c.size.Layers {
			return
		}
		for l := range m.Layers {
			m.Layers[l][rank] = h.Experts[l]
		}
	}
	if m.Check(c.size) == nil {
		c.coordinator.SetCurrentMap(m)
		clear(c.heldExperts)
	}
}

// assembleFallbackMap assembles a map if at most one rank has not reported the experts
// that it holds. That rank is assigned all experts that no other rank holds.
func (c *coordination) assembleFallbackMap() {
	if c.cachedMap != nil || len(c.heldExperts) < c.size.Ranks-1 {
		return
	}
	m := &expertmap.Map{Layers: make([]expertmap.Layer, c.size.Layers)}
	for l := range m.Layers {
		m.Layers[l] = c.fallbackLayer(l)
	}
	if m.Check(c.size) == nil {
		c.coordinator.SetFallbackMap(m)
	}
}

func (c *coordination) fallbackLayer(l int) expertmap.Layer {
	layer := make(expertmap.Layer, c.size.Ranks)
	missing, held := -1, make([]bool, c.size.Experts)
	for rank := range layer {
		h := c.heldExperts[rank]
		if h == nil || len(h.Experts) != c.size.Layers {
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

// proposeMap plans a better map and proposes it to the coordinator, if no switch is in
// progress.
func (a *Agent) proposeMap(c *coordination, now time.Time) {
	current := c.coordinator.CurrentMap()
	if current == nil || c.coordinator.Phase() != holdswitch.PhaseIdle || now.Before(c.nextPlan) || !c.popularity.hasEnoughPicks() {
		return
	}
	c.nextPlan = now.Add(planInterval)
	speeds, shares := c.rankSpeeds(), c.popularity.shares()
	m, changes := plan.Rebalance(current, shares, speeds, c.size, c.rebalanceLimits(a.cfg.Limits))
	if m == nil {
		return
	}
	if c.coordinator.Propose(m, now) {
		a.log.WithFields(logrus.Fields{
			"copies": changes, "skew_before": plan.Skew(current, shares, speeds, c.size),
			"skew_after": plan.Skew(m, shares, speeds, c.size), "shifts": c.popularity.shifts,
		}).Info("new map proposed")
	}
}

// rankSpeeds returns the relative speed of each rank, 1 for a rank that is not slow.
func (c *coordination) rankSpeeds() []float64 {
	speeds := make([]float64, c.size.Ranks)
	for rank := range speeds {
		speeds[rank] = 1 / max(1, c.statuses[rank].Slowdown)
	}
	return speeds
}

// rebalanceLimits returns limits with the values that follow from the model's shape.
func (c *coordination) rebalanceLimits(limits plan.RebalanceLimits) plan.RebalanceLimits {
	limits.MaxNewPerLayer = c.shape.MaxNew
	limits.MaxCopiesPerRank = minCopies
	if c.shape.CopyTime > 0 {
		limits.MaxCopiesPerRank = max(minCopies, int(maxCopyTime/c.shape.CopyTime))
	}
	return limits
}

// untilNextMembers returns the time between two reads of the member list, 0 if it has all
// ranks in this epoch. A list may have ranks as they were in an earlier epoch, at other
// addresses: a rank has not registered again yet, or the platform's store has come back from
// a copy.
func (c *coordination) untilNextMembers() time.Duration {
	if len(c.members) < c.size.Ranks {
		return membersInterval
	}
	for _, m := range c.members {
		if m.Membership.Epoch < c.membership.Epoch {
			return outdatedMembersInterval
		}
	}
	return 0
}

// addMembers applies a member list. Of two members with the same rank, the one of the newer
// epoch counts.
func (c *coordination) addMembers(list []Member) {
	for _, m := range list {
		if m.Membership.Rank < 0 || m.Membership.Rank >= c.size.Ranks {
			continue
		}
		if known, ok := c.members[m.Membership.Rank]; !ok || m.Membership.Epoch >= known.Membership.Epoch {
			c.members[m.Membership.Rank] = m
		}
	}
}
