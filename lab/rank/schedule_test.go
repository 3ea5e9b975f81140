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

const (
	tick         = 10 * time.Millisecond
	orderDelay   = 200 * time.Millisecond
	faultTicks   = 200
	settleTicks  = 600
	messageDelay = 80 * time.Millisecond
)

// host is one rank and its agent.
type host struct {
	rank        *Rank
	member      *mapswitch.Member
	stoppedTill time.Time // paused until then
	cutTill     time.Time // no message passes until then
	memberDown  bool
	ranks       int // started so far
	members     int // started so far
	orders      []delayed
}

// delayed is an order on its way to a rank, from one incarnation of the agent.
type delayed struct {
	at    time.Time
	order mapswitch.Order
	from  int
	lost  bool // the answer is lost
	reset bool // the rank restarted before the order took effect
}

// fate is what ranks that still exist know of a version.
type fate struct {
	committed, aborted, used map[string]bool
}

// world runs one schedule.
type world struct {
	rng      *rand.Rand
	now      time.Time
	hosts    []*host
	checks   bool
	noHold   bool
	loss     int // percent of messages
	rough    int // per mille of process faults in a tick
	patience time.Duration
	calm     bool
	network  map[int64][]mapswitch.Message // by the tick of arrival
	step     uint64
	fates    map[expertmap.Version]*fate
	commits  int
	aborts   int
	rejoins  int
	switches map[expertmap.Version]bool
	duels    int
	fault    string
}

func newWorld(seed int64, noHold bool) *world {
	rng := rand.New(rand.NewPCG(uint64(seed), 5))
	w := &world{rng: rng, now: time.Unix(1000, 0), checks: rng.IntN(2) == 0, noHold: noHold, loss: rng.IntN(25), rough: 1 + rng.IntN(9), patience: time.Duration(4+rng.IntN(10)) * tick, step: 1, fates: map[expertmap.Version]*fate{}, switches: map[expertmap.Version]bool{}, network: map[int64][]mapswitch.Message{}}
	for i := range 2 + rng.IntN(4) {
		w.hosts = append(w.hosts, &host{})
		w.startRank(i)
	}
	for i := range w.hosts {
		w.startMember(i)
	}
	return w
}

func (w *world) startRank(i int) {
	h := w.hosts[i]
	if h.rank != nil {
		for _, f := range w.fates {
			delete(f.committed, h.rank.incarnation)
			delete(f.aborted, h.rank.incarnation)
			delete(f.used, h.rank.incarnation)
		}
	}
	h.ranks++
	h.rank = New(fmt.Sprintf("rank-%d-%d", i, h.ranks), w.checks, w.step)
	h.rank.ignoresHold = w.noHold
	for j := range h.orders { // orders die with the connection to the old process
		h.orders[j].reset = true
	}
}

func (w *world) startMember(i int) {
	h := w.hosts[i]
	h.members++
	h.member = mapswitch.New(mapswitch.Config{
		Rank: i, Ranks: len(w.hosts), Incarnation: fmt.Sprintf("agent-%d-%d", i, h.members), ChecksFencing: w.checks,
		Interval: 2 * tick, ElectionTimeout: w.patience, RoundTimeout: 20 * tick, LoadTimeout: 40 * tick, OrderTimeout: orderDelay + tick,
		HoldMargin: uint64(w.rng.IntN(4)),
		Initial:    expertmap.Contiguous(expertmap.Size{Ranks: len(w.hosts), Layers: 1, Experts: len(w.hosts), Slots: 2}),
	})
}

func (w *world) chance(percent int) bool { return !w.calm && w.rng.IntN(100) < percent }

func (w *world) within(d time.Duration) time.Time {
	return w.now.Add(time.Duration(w.rng.Int64N(int64(d))))
}

func (w *world) cut(i int) bool { return !w.calm && w.now.Before(w.hosts[i].cutTill) }

func (w *world) post(i int, out mapswitch.Output) {
	for _, msg := range out.Messages {
		copies := 1
		if w.chance(w.loss) || w.cut(i) || w.cut(msg.To) {
			copies = 0
		} else if w.chance(10) {
			copies = 2
		}
		for range copies {
			at := w.now
			if w.chance(30) {
				at = w.within(messageDelay)
			}
			if w.chance(3) {
				at = w.within(100 * tick)
			}
			w.carry(at, msg)
		}
	}
	if out.Order != nil {
		h := w.hosts[i]
		d := delayed{at: w.within(tick), order: *out.Order, from: h.members, lost: w.chance(5)}
		if w.chance(20) {
			d.at = w.within(orderDelay)
		}
		h.orders = append(h.orders, d)
	}
}

// carry makes a message arrive at the first tick after a time.
func (w *world) carry(at time.Time, msg mapswitch.Message) {
	arrival := max(at.UnixNano()/int64(tick), w.now.UnixNano()/int64(tick)) + 1
	w.network[arrival] = append(w.network[arrival], msg)
}

// deliver hands over the messages that have arrived at hosts that run.
func (w *world) deliver() {
	arrival := w.now.UnixNano() / int64(tick)
	for _, msg := range w.network[arrival] {
		h := w.hosts[msg.To]
		if h.memberDown {
			continue
		}
		if w.now.Before(h.stoppedTill) {
			w.carry(h.stoppedTill, msg)
			continue
		}
		w.post(msg.To, h.member.Receive(msg, w.now))
	}
	delete(w.network, arrival)
}

// apply lets the orders that have arrived take effect, also those of an agent
// that has died since.
func (w *world) apply(i int) {
	h := w.hosts[i]
	due := h.orders
	h.orders = nil
	for _, d := range due {
		if d.at.After(w.now) {
			h.orders = append(h.orders, d)
			continue
		}
		var result mapswitch.OrderResult
		if !d.reset {
			before := h.rank.State()
			result = h.rank.Apply(&d.order)
			w.observe(h.rank, &before, &d.order, result)
		}
		if h.memberDown || d.from != h.members {
			continue
		}
		if d.lost || d.reset {
			w.post(i, h.member.OrderFailed(w.now))
			continue
		}
		w.post(i, h.member.OrderDone(result, w.now))
	}
}

// observe checks that a decision never changes.
func (w *world) observe(r *Rank, before *mapswitch.RankState, o *mapswitch.Order, result mapswitch.OrderResult) {
	if result.Refused {
		return
	}
	v := o.Version
	if o.Kind == mapswitch.OrderInstall && before.Current == nil {
		w.rejoins++
		if o.Next == nil {
			return
		}
		v = o.Next.Map.Version
	}
	f := w.fates[v]
	if f == nil {
		f = &fate{committed: map[string]bool{}, aborted: map[string]bool{}, used: map[string]bool{}}
		w.fates[v] = f
	}
	switch {
	case o.Kind == mapswitch.OrderCommit || o.Kind == mapswitch.OrderInstall:
		f.committed[r.incarnation] = true
		w.commits++
	case o.Kind == mapswitch.OrderAbort && before.Next != nil && before.Next.Map.Version == v:
		f.aborted[r.incarnation] = true
		w.aborts++
	}
	if len(f.aborted) > 0 && (len(f.committed)+len(f.used) > 0) {
		w.fail("version %d both committed and aborted", v)
	}
}

func (w *world) fail(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

// runStep lets the ranks that may enter the step; it runs once all have.
func (w *world) runStep() {
	versions := make([]expertmap.Version, len(w.hosts))
	for i, h := range w.hosts {
		if w.now.Before(h.stoppedTill) || w.chance(30) {
			return
		}
		m := h.rank.Enter(w.step)
		if m == nil {
			return
		}
		versions[i] = m.Version
	}
	for i, v := range versions {
		if v != versions[0] {
			w.fail("step %d: rank %d uses map %d, rank 0 map %d", w.step, i, v, versions[0])
		}
	}
	for _, h := range w.hosts {
		if f := w.fates[versions[0]]; f != nil {
			f.used[h.rank.incarnation] = true
		}
	}
	w.switches[versions[0]] = true
	w.step++
}

// disturb makes processes crash, restart and pause.
func (w *world) disturb(i int) {
	h := w.hosts[i]
	if h.memberDown && (w.calm || w.chance(50)) {
		h.memberDown = false
		w.startMember(i)
	}
	if w.calm {
		return
	}
	switch fault := w.rng.IntN(1000); {
	case fault < w.rough:
		h.memberDown = true
	case fault < 2*w.rough:
		h.stoppedTill = w.within(40 * tick)
	case fault < 3*w.rough:
		h.cutTill = w.within(40 * tick)
	case fault < 3*w.rough+w.rough/2:
		w.startRank(i)
	}
}

func (w *world) run(ticks int, done func() bool) bool {
	for range ticks {
		w.now = w.now.Add(tick)
		leaders := 0
		w.deliver()
		for i, h := range w.hosts {
			w.disturb(i)
			w.apply(i)
			if h.rank.Loading() != nil && !w.chance(70) {
				h.rank.FinishLoad()
			}
			if h.memberDown || w.now.Before(h.stoppedTill) {
				continue
			}
			w.post(i, h.member.Tick(w.now))
			status := h.member.Status(w.now)
			if status.Phase != "" {
				leaders++
			}
			if status.IsCoordinator && status.Rank.Current != nil && w.rng.IntN(10) == 0 {
				h.member.Propose(mapswitch.Proposal{Map: status.Rank.Current, Base: status.Rank.Current.Version})
			}
		}
		if leaders > 1 {
			w.duels++
		}
		w.runStep()
		if w.fault != "" || done() {
			return true
		}
	}
	return false
}

// schedule runs faults, then none, and returns what went wrong.
func (w *world) schedule() string {
	w.run(faultTicks, func() bool { return false })
	w.calm = true
	step, switches := w.step, len(w.switches)
	resumed := w.run(settleTicks, func() bool { return w.step > step+20 && len(w.switches) > switches+1 })
	if w.fault == "" && !resumed {
		return fmt.Sprintf("no progress: step %d to %d, %d switches", step, w.step, len(w.switches)-switches)
	}
	return w.fault
}

const schedules = 10000

// seed returns the seed of this run, from SCHEDULE_SEED when it is set.
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

func TestOneMapInEveryStep(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(seed(t))
	parameters.MinSuccessfulTests = schedules
	parameters.Workers = 1
	properties := gopter.NewProperties(parameters)
	var commits, aborts, rejoins, duels, steps int
	properties.Property("one map in every step, decisions stay, progress resumes", prop.ForAll(func(s int64) string {
		w := newWorld(s, false)
		fault := w.schedule()
		commits, aborts, rejoins, duels, steps = commits+w.commits, aborts+w.aborts, rejoins+w.rejoins, duels+w.duels, steps+int(w.step)
		return fault
	}, gen.Int64()))
	properties.TestingRun(t)
	t.Logf("%d schedules: %d steps, %d commits, %d aborts, %d rejoins, %d ticks with two coordinators", schedules, steps, commits, aborts, rejoins, duels)
	for name, count := range map[string]int{"commits": commits, "aborts": aborts, "rejoins": rejoins, "two coordinators": duels} {
		if count < schedules/10 {
			t.Errorf("%s: only %d; the schedules prove nothing about them", name, count)
		}
	}
}

// TestCheckerSeesMissingHold shows that the check of the steps can fail.
func TestCheckerSeesMissingHold(t *testing.T) {
	found := 0
	first := seed(t)
	for i := range int64(500) {
		w := newWorld(first+i, true)
		w.schedule()
		if strings.HasPrefix(w.fault, "step") {
			found++
		}
	}
	t.Logf("500 schedules without the hold: %d found a fault", found)
	if found == 0 {
		t.Error("ranks that run on without the decision were not noticed")
	}
}
