package rank

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/mapswitch"
)

// Times of a schedule.
const (
	tick          = 10 * time.Millisecond
	maxOrderDelay = 200 * time.Millisecond
	// faultTicks is the number of ticks with faults, recoveryTicks the number of
	// ticks without faults in which the group must make progress again.
	faultTicks      = 200
	recoveryTicks   = 600
	maxMessageDelay = 80 * time.Millisecond
)

// host is a host with one rank and its agent.
type host struct {
	rank             *Rank
	member           *mapswitch.Member
	pausedUntil      time.Time // the agent is idle and the rank enters no step until then; orders in transit are applied
	partitionedUntil time.Time // messages from and to the host are lost until then
	memberDown       bool
	rankStarts       int // number of starts so far
	memberStarts     int // number of starts so far
	orders           []pendingOrder
}

// pendingOrder is an order in transit from one incarnation of the agent to a rank.
type pendingOrder struct {
	arrivesAt    time.Time
	order        mapswitch.Order
	memberStart  int
	responseLost bool // the network loses the response
	reset        bool // the rank restarted before it applied the order
}

// versionRecord holds which ranks have committed, aborted or used a map version, by
// incarnation. Ranks that have restarted are removed.
type versionRecord struct {
	committed, aborted, used map[string]bool
}

// simulation runs one random schedule of faults.
type simulation struct {
	rng             *rand.Rand
	now             time.Time
	hosts           []*host
	checksFencing   bool
	ignoresHold     bool
	lossPercent     int // lost messages
	faultPerMille   int // probability of a crash, a pause and a partition of a host in one tick; half of it for a restart of the rank
	electionTimeout time.Duration
	faultsEnded     bool
	network         map[int64][]mapswitch.Message // by tick of arrival
	step            uint64
	versionRecords  map[expertmap.Version]*versionRecord
	commits         int
	aborts          int
	rejoins         int // maps installed on restarted ranks
	usedVersions    map[expertmap.Version]bool
	contendedTicks  int // ticks with more than one coordinator in a round
	violation       string
}

func newSimulation(seed int64, noHold bool) *simulation {
	rng := rand.New(rand.NewPCG(uint64(seed), 5))
	s := &simulation{rng: rng, now: time.Unix(1000, 0), checksFencing: rng.IntN(2) == 0, ignoresHold: noHold, lossPercent: rng.IntN(25), faultPerMille: 1 + rng.IntN(9), electionTimeout: time.Duration(4+rng.IntN(10)) * tick, step: 1, versionRecords: map[expertmap.Version]*versionRecord{}, usedVersions: map[expertmap.Version]bool{}, network: map[int64][]mapswitch.Message{}}
	for i := range 2 + rng.IntN(4) {
		s.hosts = append(s.hosts, &host{})
		s.startRank(i)
	}
	for i := range s.hosts {
		s.startMember(i)
	}
	return s
}

func (s *simulation) startRank(i int) {
	h := s.hosts[i]
	if h.rank != nil {
		for _, f := range s.versionRecords {
			delete(f.committed, h.rank.incarnation)
			delete(f.aborted, h.rank.incarnation)
			delete(f.used, h.rank.incarnation)
		}
	}
	h.rankStarts++
	h.rank = New(fmt.Sprintf("rank-%d-%d", i, h.rankStarts), s.checksFencing, s.step)
	h.rank.ignoresHold = s.ignoresHold
	for j := range h.orders { // orders are lost with the connection to the old process
		h.orders[j].reset = true
	}
}

func (s *simulation) startMember(i int) {
	h := s.hosts[i]
	h.memberStarts++
	h.member = mapswitch.New(mapswitch.Config{
		Rank: i, Ranks: len(s.hosts), Incarnation: fmt.Sprintf("agent-%d-%d", i, h.memberStarts), ChecksFencing: s.checksFencing,
		Interval: 2 * tick, ElectionTimeout: s.electionTimeout, RoundTimeout: 20 * tick, LoadTimeout: 40 * tick, OrderTimeout: maxOrderDelay + tick,
		HoldMargin: uint64(s.rng.IntN(4)),
		Initial:    expertmap.Contiguous(expertmap.Size{Ranks: len(s.hosts), Layers: 1, Experts: len(s.hosts), Slots: 2}),
	})
}

// chance returns true with a probability in percent, or false once the faults have
// ended.
func (s *simulation) chance(percent int) bool { return !s.faultsEnded && s.rng.IntN(100) < percent }

func (s *simulation) randomTime(d time.Duration) time.Time {
	return s.now.Add(time.Duration(s.rng.Int64N(int64(d))))
}

func (s *simulation) isPartitioned(i int) bool {
	return !s.faultsEnded && s.now.Before(s.hosts[i].partitionedUntil)
}

// send sends the messages of a member, some of which are lost, duplicated or delayed,
// and its order to the rank on its host.
func (s *simulation) send(i int, out mapswitch.Output) {
	for _, msg := range out.Messages {
		copies := 1
		if s.chance(s.lossPercent) || s.isPartitioned(i) || s.isPartitioned(msg.To) {
			copies = 0
		} else if s.chance(10) {
			copies = 2
		}
		for range copies {
			at := s.now
			if s.chance(30) {
				at = s.randomTime(maxMessageDelay)
			}
			if s.chance(3) {
				at = s.randomTime(100 * tick)
			}
			s.schedule(at, msg)
		}
	}
	if out.Order != nil {
		h := s.hosts[i]
		d := pendingOrder{arrivesAt: s.randomTime(tick), order: *out.Order, memberStart: h.memberStarts, responseLost: s.chance(5)}
		if s.chance(20) {
			d.arrivesAt = s.randomTime(maxOrderDelay)
		}
		h.orders = append(h.orders, d)
	}
}

// schedule delivers a message at the first tick after a time.
func (s *simulation) schedule(at time.Time, msg mapswitch.Message) {
	arrival := max(at.UnixNano()/int64(tick), s.now.UnixNano()/int64(tick)) + 1
	s.network[arrival] = append(s.network[arrival], msg)
}

// deliver passes the messages of this tick to their members. A message to a paused
// host is postponed, one to a member that is down is dropped.
func (s *simulation) deliver() {
	arrival := s.now.UnixNano() / int64(tick)
	for _, msg := range s.network[arrival] {
		h := s.hosts[msg.To]
		if h.memberDown {
			continue
		}
		if s.now.Before(h.pausedUntil) {
			s.schedule(h.pausedUntil, msg)
			continue
		}
		s.send(msg.To, h.member.Receive(msg, s.now))
	}
	delete(s.network, arrival)
}

// applyOrders applies the orders that have arrived at a rank, including those of an
// agent that has crashed since it sent them.
func (s *simulation) applyOrders(i int) {
	h := s.hosts[i]
	due := h.orders
	h.orders = nil
	for _, d := range due {
		if d.arrivesAt.After(s.now) {
			h.orders = append(h.orders, d)
			continue
		}
		var result mapswitch.OrderResult
		if !d.reset {
			before := h.rank.State()
			result = h.rank.Apply(&d.order)
			s.checkDecision(h.rank, &before, &d.order, result)
		}
		if h.memberDown || d.memberStart != h.memberStarts {
			continue
		}
		if d.responseLost || d.reset {
			s.send(i, h.member.OrderFailed(s.now))
			continue
		}
		s.send(i, h.member.OrderDone(result, s.now))
	}
}

// checkDecision checks that no version is both committed and aborted.
func (s *simulation) checkDecision(r *Rank, before *mapswitch.RankState, o *mapswitch.Order, result mapswitch.OrderResult) {
	if result.Refused {
		return
	}
	v := o.Version
	if o.Kind == mapswitch.OrderInstall && before.Current == nil {
		s.rejoins++
		if o.Next == nil {
			return
		}
		v = o.Next.Map.Version
	}
	f := s.versionRecords[v]
	if f == nil {
		f = &versionRecord{committed: map[string]bool{}, aborted: map[string]bool{}, used: map[string]bool{}}
		s.versionRecords[v] = f
	}
	switch {
	case o.Kind == mapswitch.OrderCommit || o.Kind == mapswitch.OrderInstall:
		f.committed[r.incarnation] = true
		s.commits++
	case o.Kind == mapswitch.OrderAbort && before.Next != nil && before.Next.Map.Version == v:
		f.aborted[r.incarnation] = true
		s.aborts++
	}
	if len(f.aborted) > 0 && (len(f.committed)+len(f.used) > 0) {
		s.recordViolation("version %d both committed and aborted", v)
	}
}

func (s *simulation) recordViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// runStep lets each rank enter the step if it can, and checks that all ranks use
// the same map once all have entered.
func (s *simulation) runStep() {
	versions := make([]expertmap.Version, len(s.hosts))
	for i, h := range s.hosts {
		if s.now.Before(h.pausedUntil) || s.chance(30) {
			return
		}
		m := h.rank.Enter(s.step)
		if m == nil {
			return
		}
		versions[i] = m.Version
	}
	for i, v := range versions {
		if v != versions[0] {
			s.recordViolation("step %d: rank %d uses map %d, rank 0 map %d", s.step, i, v, versions[0])
		}
	}
	for _, h := range s.hosts {
		if f := s.versionRecords[versions[0]]; f != nil {
			f.used[h.rank.incarnation] = true
		}
	}
	s.usedVersions[versions[0]] = true
	s.step++
}

// injectFault randomly crashes or restarts a process of the host, pauses the host
// or partitions it from the network.
func (s *simulation) injectFault(i int) {
	h := s.hosts[i]
	if h.memberDown && (s.faultsEnded || s.chance(50)) {
		h.memberDown = false
		s.startMember(i)
	}
	if s.faultsEnded {
		return
	}
	switch fault := s.rng.IntN(1000); {
	case fault < s.faultPerMille:
		h.memberDown = true
	case fault < 2*s.faultPerMille:
		h.pausedUntil = s.randomTime(40 * tick)
	case fault < 3*s.faultPerMille:
		h.partitionedUntil = s.randomTime(40 * tick)
	case fault < 3*s.faultPerMille+s.faultPerMille/2:
		s.startRank(i)
	}
}

// run advances the simulation by at most a number of ticks. It returns true once done
// does, or at a violation.
func (s *simulation) run(ticks int, done func() bool) bool {
	for range ticks {
		s.now = s.now.Add(tick)
		coordinators := 0
		s.deliver()
		for i, h := range s.hosts {
			s.injectFault(i)
			s.applyOrders(i)
			if h.rank.Loading() != nil && !s.chance(70) {
				h.rank.FinishLoad()
			}
			if h.memberDown || s.now.Before(h.pausedUntil) {
				continue
			}
			s.send(i, h.member.Tick(s.now))
			status := h.member.Status(s.now)
			if status.Phase != "" {
				coordinators++
			}
			if status.IsCoordinator && status.Rank.Current != nil && s.rng.IntN(10) == 0 {
				h.member.Propose(mapswitch.Proposal{Map: status.Rank.Current, Base: status.Rank.Current.Version})
			}
		}
		if coordinators > 1 {
			s.contendedTicks++
		}
		s.runStep()
		if s.violation != "" || done() {
			return true
		}
	}
	return false
}

// runSchedule runs with faults, then without, and returns the first violation. The
// group must make progress once the faults have ended.
func (s *simulation) runSchedule() string {
	s.run(faultTicks, func() bool { return false })
	s.faultsEnded = true
	step, switches := s.step, len(s.usedVersions)
	resumed := s.run(recoveryTicks, func() bool { return s.step > step+20 && len(s.usedVersions) > switches+1 })
	if s.violation == "" && !resumed {
		return fmt.Sprintf("no progress after the faults: from step %d to %d, %d switches", step, s.step, len(s.usedVersions)-switches)
	}
	return s.violation
}

// scheduleCount is the number of random schedules.
const scheduleCount = 10000

// seed returns the seed of the schedules, which SCHEDULE_SEED overrides.
func seed(t *testing.T) int64 {
	t.Helper()
	value := int64(20261204)
	if text := os.Getenv("SCHEDULE_SEED"); text != "" {
		var err error
		if value, err = strconv.ParseInt(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("SCHEDULE_SEED=%d", value)
	return value
}

// TestSchedulesUseOneMapInEveryStep runs random schedules of crashes, restarts, pauses,
// partitions, and lost, delayed and duplicated messages. All ranks must use one map in
// each step, no version may be both committed and aborted, and switches must resume
// after the faults.
func TestSchedulesUseOneMapInEveryStep(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(seed(t))
	parameters.MinSuccessfulTests = scheduleCount
	parameters.Workers = 1
	properties := gopter.NewProperties(parameters)
	var commits, aborts, rejoins, contendedTicks, steps int
	properties.Property("one map in every step, decisions are final, progress resumes", prop.ForAll(func(s int64) string {
		sim := newSimulation(s, false)
		violation := sim.runSchedule()
		commits, aborts, rejoins, contendedTicks, steps = commits+sim.commits, aborts+sim.aborts, rejoins+sim.rejoins, contendedTicks+sim.contendedTicks, steps+int(sim.step)
		return violation
	}, gen.Int64()))
	properties.TestingRun(t)
	t.Logf("%d schedules: %d steps, %d commits, %d aborts, %d rejoins, %d ticks with two coordinators", scheduleCount, steps, commits, aborts, rejoins, contendedTicks)
	for name, count := range map[string]int{"commits": commits, "aborts": aborts, "rejoins": rejoins, "two coordinators": contendedTicks} {
		if count < scheduleCount/10 {
			t.Errorf("%s: only %d, too few to be tested by the schedules", name, count)
		}
	}
}

// TestSchedulesDetectIgnoredHold checks that runStep detects ranks that enter a step
// at which they must be held.
func TestSchedulesDetectIgnoredHold(t *testing.T) {
	found := 0
	first := seed(t)
	for i := range int64(500) {
		sim := newSimulation(first+i, true)
		sim.runSchedule()
		if strings.HasPrefix(sim.violation, "step") {
			found++
		}
	}
	t.Logf("500 schedules without the hold: %d detected a violation", found)
	if found == 0 {
		t.Error("no schedule detected ranks that enter the step of a switch without the decision")
	}
}
