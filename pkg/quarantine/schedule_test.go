package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// schedule is a seeded run of several entries in front of one group of ranks, in virtual
// time. Requests with deadly parts end the rank that begins to respond; ranks also end for
// other reasons; messages between entries are delayed, lost, sent twice, or cut off.
type schedule struct {
	t    *testing.T
	rand *rand.Rand
	cfg  scheduleConfig
	now  time.Time
	// events are functions by the time at which they are due.
	events  eventQueue
	entries []*scheduledEntry
	ranks   []scheduledRank
	epoch   uint64
	// open is false from the end of a rank until the group is formed again.
	open bool
	// attempts are those that were sent and have not ended.
	attempts map[int]*scheduledAttempt
	created  int
	// store holds the reports that outlive entries.
	store map[string]Report
	// deadly are the parts that end ranks now, provenAt when a part last began at an entry.
	deadly   map[string]bool
	provenAt map[string]map[*scheduledEntry]time.Time
	// moments counts the times at which each part has ended ranks, by part and epoch.
	moments map[string]map[uint64]bool
	// sound, held and refused count requests without a deadly part.
	sound, held, refused int
}

type scheduleConfig struct {
	entries, ranks, parts, organisations int
	// perSecond is the rate of sound requests, deadlyPerSecond that of each deadly part.
	perSecond, deadlyPerSecond float64
	// deadlyFrom are the times at which a deadly part appears.
	deadlyFrom []time.Duration
	// externalEvery is the mean time between ends of ranks for other reasons, 0 for none.
	externalEvery time.Duration
	// lossShare is the share of messages that are lost or sent twice.
	lossShare float64
	// cutEntry cuts the last entry off from the others from cutFrom to cutUntil.
	cutEntry          bool
	cutFrom, cutUntil time.Duration
	// restartEvery is the mean time between restarts of an entry, 0 for none.
	restartEvery time.Duration
	length       time.Duration
	// maxMoments is the number of times at which a deadly part may end ranks, 0 for
	// minMoments.
	maxMoments int
}

type scheduledEntry struct {
	name     string
	detector *LossDetector
	q        *Quarantine
	trials   *Trials
}

type scheduledRank struct {
	key     UpstreamKey
	started int
}

type scheduledAttempt struct {
	id           int
	entry        *scheduledEntry
	rank         int
	epoch        uint64
	organisation string
	parts        []string
	sentAt       time.Time
	readyAt      time.Time
	trial        bool
	begun        bool
}

type scheduledEvent struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Times of the simulated group.
const (
	schedulePass      = 50 * time.Millisecond
	scheduleDown      = 5 * time.Second
	scheduleStall     = 1500 * time.Millisecond
	scheduleRetry     = 100 * time.Millisecond
	scheduleMaxWait   = time.Second
	scheduleExchange  = 1500 * time.Millisecond
	scheduleMaxDelay  = 20 * time.Millisecond
	scheduleStoreTime = 300 * time.Millisecond
	// scheduleContact is the time in which entries that can reach each other again have to
	// learn what they missed.
	scheduleContact = 4 * time.Second
)

func newSchedule(t *testing.T, cfg scheduleConfig, seed uint64) *schedule {
	s := &schedule{
		t: t, rand: rand.New(rand.NewPCG(seed, 7)), cfg: cfg, now: t0, epoch: 1, open: true, attempts: make(map[int]*scheduledAttempt),
		store: make(map[string]Report), deadly: make(map[string]bool), provenAt: make(map[string]map[*scheduledEntry]time.Time), moments: make(map[string]map[uint64]bool),
	}
	for i := range cfg.entries {
		e := &scheduledEntry{name: fmt.Sprint("e", i)}
		e.restart(s.rand.Uint64())
		s.entries = append(s.entries, e)
	}
	for i := range cfg.ranks {
		s.ranks = append(s.ranks, scheduledRank{key: UpstreamKey{ID: fmt.Sprint("rank", i), Incarnation: "0"}})
	}
	return s
}

func (e *scheduledEntry) restart(seed uint64) {
	e.detector, e.q, e.trials = NewLossDetector(), New(e.name, seed), NewTrials()
}

func (s *schedule) after(d time.Duration, run func()) {
	s.created++
	heap.Push(&s.events, scheduledEvent{at: s.now.Add(d), seq: s.created, run: run})
}

// every runs fn at random times with a mean interval.
func (s *schedule) every(mean time.Duration, fn func()) {
	if mean <= 0 {
		return
	}
	s.after(time.Duration(s.rand.ExpFloat64()*float64(mean)), func() {
		fn()
		s.every(mean, fn)
	})
}

func (s *schedule) run() {
	s.every(time.Duration(float64(time.Second)/s.cfg.perSecond), func() { s.arrive(nil) })
	for i, from := range s.cfg.deadlyFrom {
		part := fmt.Sprint("dead", i)
		first := s.randomPart()
		organisation := s.randomOrganisation()
		s.after(from, func() {
			s.deadly[part] = true
			s.every(time.Duration(float64(time.Second)/s.cfg.deadlyPerSecond), func() {
				s.arrive(&scheduledAttempt{organisation: organisation, parts: []string{first, part}})
			})
		})
	}
	s.every(s.cfg.externalEvery, func() { s.endRanks(1 + s.rand.IntN(3)) })
	s.every(s.cfg.restartEvery, s.restartEntry)
	s.every(schedulePass, s.pass)
	s.every(scheduleStoreTime, s.writeStore)
	for _, e := range s.entries {
		s.every(scheduleExchange, func() { s.compare(e) })
	}
	last := s.entries[len(s.entries)-1]
	s.after(s.cfg.cutFrom, func() { last.q.SetIsolated(s.cfg.cutEntry) })
	s.after(s.cfg.cutUntil, func() { last.q.SetIsolated(false) })
	end := s.now.Add(s.cfg.length)
	for s.now.Before(end) {
		ev := heap.Pop(&s.events).(scheduledEvent)
		s.now = ev.at
		ev.run()
		s.sendDue()
	}
}

// randomPart returns a sound part. A few of them are in much use.
func (s *schedule) randomPart() string {
	return fmt.Sprint("part", int(float64(s.cfg.parts)*s.rand.Float64()*s.rand.Float64()))
}

func (s *schedule) randomOrganisation() string {
	return fmt.Sprint("org", s.rand.IntN(s.cfg.organisations))
}

// arrive lets a request arrive at a random entry: a sound one if none is given.
func (s *schedule) arrive(a *scheduledAttempt) {
	if a == nil {
		a = &scheduledAttempt{organisation: s.randomOrganisation(), parts: []string{s.randomPart()}}
		s.sound++
	}
	s.created++
	a.id, a.entry = s.created, s.entries[s.rand.IntN(len(s.entries))]
	s.admit(a, s.now)
}

func (s *schedule) isDeadly(a *scheduledAttempt) string {
	for _, part := range a.parts {
		if s.deadly[part] {
			return part
		}
	}
	return ""
}

// provenTime is how long a part that has begun counts as being in use.
const provenTime = 30 * time.Second

// admit decides about a request, and again later if it has to wait.
func (s *schedule) admit(a *scheduledAttempt, arrivedAt time.Time) {
	if !s.open {
		return
	}
	v := a.entry.q.Check(model, a.organisation, a.parts, s.now)
	switch {
	case v.Action == ActionRefuse:
		s.recordRefusal(a, &v)
		return
	case v.Action == ActionTrial:
		ok, _ := s.home(a.entry).trials.Begin(model, fmt.Sprint(a.id), s.now)
		a.trial = ok
	}
	if v.Action == ActionPass || a.trial {
		s.send(a)
		return
	}
	if s.now.Equal(arrivedAt) && s.isDeadly(a) == "" {
		s.held++
	}
	if s.now.Sub(arrivedAt) < scheduleMaxWait {
		s.after(scheduleRetry, func() { s.admit(a, arrivedAt) })
	}
}

func (s *schedule) recordRefusal(a *scheduledAttempt, v *Verdict) {
	if s.isDeadly(a) != "" {
		return
	}
	s.refused++
	for _, part := range a.parts {
		for e, at := range s.provenAt[part] {
			if s.isCut(e, a.entry, scheduleContact) || s.now.Sub(at) >= provenTime {
				continue
			}
			s.t.Errorf("%v: %s, which began %v ago, is refused at %s: %+v", s.now.Sub(t0), part, s.now.Sub(at), a.entry.name, v.Gated)
		}
	}
}

// home returns the entry that grants the trials that an entry asks for.
func (s *schedule) home(e *scheduledEntry) *scheduledEntry {
	if s.isCut(e, s.entries[0], 0) {
		return e
	}
	return s.entries[0]
}

// isCut reports whether two entries are cut off from each other, or have been less than a
// time ago.
func (s *schedule) isCut(a, b *scheduledEntry, recently time.Duration) bool {
	last := s.entries[len(s.entries)-1]
	since := s.now.Sub(t0)
	return s.cfg.cutEntry && a != b && (a == last || b == last) && since >= s.cfg.cutFrom && since < s.cfg.cutUntil+recently
}

func (s *schedule) send(a *scheduledAttempt) {
	a.sentAt = s.now
	a.rank, a.epoch = s.rand.IntN(len(s.ranks)), s.epoch
	a.readyAt = s.now.Add(20*time.Millisecond + time.Duration(s.rand.Int64N(int64(150*time.Millisecond))))
	u := Upstream{UpstreamKey: s.ranks[a.rank].key, Service: model, Group: "g", Epoch: s.epoch}
	id := fmt.Sprint(a.id)
	a.entry.q.RecordSent(model, a.parts, s.now)
	a.entry.detector.RecordStart(Attempt{ID: id, RequestID: id, Organisation: a.organisation, Parts: a.parts, Upstream: u, SentAt: s.now})
	s.attempts[a.id] = a
}

// pass begins the responses that are ready, and ends those that have run.
func (s *schedule) pass() {
	if !s.open {
		return
	}
	for _, id := range s.attemptIDs() {
		a := s.attempts[id]
		switch {
		case a == nil || s.now.Before(a.readyAt):
		case a.begun:
			s.end(a, false)
		case s.isDeadly(a) != "":
			part := s.isDeadly(a)
			if s.moments[part] == nil {
				s.moments[part] = make(map[uint64]bool)
			}
			s.moments[part][s.epoch] = true
			s.endRank(a.rank)
		default:
			s.begin(a)
		}
	}
}

func (s *schedule) attemptIDs() []int {
	ids := make([]int, 0, len(s.attempts))
	for id := range s.attempts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *schedule) begin(a *scheduledAttempt) {
	a.begun, a.readyAt = true, s.now.Add(time.Second)
	for range minReceived {
		a.entry.detector.RecordPart(fmt.Sprint(a.id), s.now)
	}
	a.entry.q.RecordBegun(model, a.organisation, a.parts, s.now.Sub(a.sentAt), s.now)
	for _, part := range a.parts {
		if s.provenAt[part] == nil {
			s.provenAt[part] = make(map[*scheduledEntry]time.Time)
		}
		s.provenAt[part][a.entry] = s.now
	}
	s.endTrial(a)
}

func (s *schedule) end(a *scheduledAttempt, broken bool) {
	delete(s.attempts, a.id)
	a.entry.detector.RecordEnd(fmt.Sprint(a.id), broken, s.now)
	s.endTrial(a)
}

func (s *schedule) endTrial(a *scheduledAttempt) {
	if a.trial {
		a.trial = false
		s.home(a.entry).trials.End(model, fmt.Sprint(a.id))
	}
}

// endRanks ends some ranks for a reason outside of the requests.
func (s *schedule) endRanks(n int) {
	first := s.rand.IntN(len(s.ranks))
	for i := range n {
		s.endRank((first + i) % len(s.ranks))
	}
}

// endRank ends a rank and with it all attempts there. The group is formed again later.
func (s *schedule) endRank(rank int) {
	key := s.ranks[rank].key
	s.ranks[rank].started++
	s.ranks[rank].key.Incarnation = fmt.Sprint(s.ranks[rank].started)
	for _, id := range s.attemptIDs() {
		if a := s.attempts[id]; a.rank == rank {
			s.end(a, true)
		}
	}
	for _, e := range s.entries {
		if loss := e.detector.Confirm(key, LossRefused, s.now); loss != nil {
			e.q.RecordLoss(loss, s.now)
		}
	}
	if !s.open {
		return
	}
	s.open = false
	s.after(scheduleStall, func() {
		for _, id := range s.attemptIDs() {
			s.end(s.attempts[id], false)
		}
	})
	s.after(scheduleDown, func() {
		s.epoch++
		s.open = true
	})
}

// sendDue sends the reports that are due, and looks again when more will be.
func (s *schedule) sendDue() {
	for _, e := range s.entries {
		reports := e.q.Due(s.now)
		if len(reports) > 0 {
			for _, to := range s.entries {
				s.deliver(e, to, reports)
			}
		}
		if at, ok := e.q.NextDue(); ok && len(s.events) > 0 && s.events[0].at.After(at) {
			s.after(at.Sub(s.now), func() {})
		}
	}
}

// deliver delivers reports after a delay, or never, or twice.
func (s *schedule) deliver(from, to *scheduledEntry, reports []Report) {
	if from == to || s.isCut(from, to, 0) {
		return
	}
	copies := 1
	if s.rand.Float64() < s.cfg.lossShare {
		copies = 2 * s.rand.IntN(2)
	}
	for range copies {
		delay := time.Duration(s.rand.Int64N(int64(scheduleMaxDelay)))
		s.after(delay, func() {
			for i := range reports {
				late := reports[i]
				late.AgeMillis += delay.Milliseconds()
				if err := to.q.Merge(&late, s.now); err != nil {
					s.t.Error(err)
				}
			}
			to.q.RecordReceived(reports)
		})
	}
}

// compare exchanges all reports with a random entry.
func (s *schedule) compare(e *scheduledEntry) {
	other := s.entries[s.rand.IntN(len(s.entries))]
	if other == e || s.isCut(e, other, 0) || e.q.Digest() == other.q.Digest() {
		return
	}
	s.deliver(other, e, other.q.Reports(s.now))
	s.deliver(e, other, e.q.Reports(s.now))
}

// writeStore writes the reports that have to outlive the entries.
func (s *schedule) writeStore() {
	for _, e := range s.entries {
		for _, report := range e.q.Supporting(s.now) {
			s.store[report.Upstream+report.Incarnation] = report
		}
	}
}

// restartEntry restarts a random entry, which reads the store.
func (s *schedule) restartEntry() {
	e := s.entries[s.rand.IntN(len(s.entries))]
	for _, id := range s.attemptIDs() {
		if a := s.attempts[id]; a.entry == e {
			s.end(a, false)
		}
	}
	e.restart(s.rand.Uint64())
	for _, report := range s.store {
		if err := e.q.Merge(&report, s.now); err != nil {
			s.t.Error(err)
		}
	}
}

// settle exchanges the reports of all entries without faults.
func (s *schedule) settle() {
	s.cfg.cutEntry, s.cfg.lossShare = false, 0
	for range 4 {
		for _, e := range s.entries {
			for _, other := range s.entries {
				for _, report := range other.q.Reports(s.now) {
					if err := e.q.Merge(&report, s.now); err != nil {
						s.t.Error(err)
					}
				}
			}
		}
	}
}

// TestSchedules runs seeded schedules of deadly parts, other ends of ranks and faulty
// messages. A deadly part may end ranks at no more than two times. No part in use is ever
// refused at entries that can know of it, and few sound requests wait for a trial. An entry that is cut off from the others
// learns only from its own requests, so the part may end ranks twice on each side.
func TestSchedules(t *testing.T) {
	small := scheduleConfig{entries: 4, ranks: 12, parts: 180, organisations: 10, perSecond: 56, deadlyPerSecond: 1, length: 80 * time.Second}
	for name, change := range map[string]func(*scheduleConfig){
		"no deadly part":    func(c *scheduleConfig) { c.externalEvery = 8 * time.Second },
		"deadly from 4 s":   func(c *scheduleConfig) { c.deadlyFrom = []time.Duration{4 * time.Second} },
		"deadly from 40 s":  func(c *scheduleConfig) { c.deadlyFrom = []time.Duration{40 * time.Second} },
		"often":             func(c *scheduleConfig) { c.deadlyFrom, c.deadlyPerSecond = []time.Duration{10 * time.Second}, 12 },
		"two parts at once": func(c *scheduleConfig) { c.deadlyFrom = []time.Duration{8 * time.Second, 8 * time.Second} },
		"other ends of ranks": func(c *scheduleConfig) {
			c.deadlyFrom, c.externalEvery = []time.Duration{8 * time.Second}, 9*time.Second
		},
		"lost messages": func(c *scheduleConfig) { c.deadlyFrom, c.lossShare = []time.Duration{8 * time.Second}, 0.3 },
		"restarts": func(c *scheduleConfig) {
			c.deadlyFrom, c.restartEvery = []time.Duration{8 * time.Second}, 4*time.Second
		},
		"entry cut off": func(c *scheduleConfig) {
			c.deadlyFrom, c.maxMoments = []time.Duration{8 * time.Second}, 2*minMoments
			c.cutEntry, c.cutFrom, c.cutUntil = true, 5*time.Second, 50*time.Second
		},
		"many entries": func(c *scheduleConfig) {
			c.entries, c.ranks, c.parts, c.perSecond, c.deadlyFrom = 17, 63, 600, 240, []time.Duration{6 * time.Second}
		},
	} {
		cfg := small
		change(&cfg)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended, conclusive, sound, held, refused := 0, 0, 0, 0, 0
			for seed := range uint64(scheduleSeeds) {
				s := newSchedule(t, cfg, seed)
				s.run()
				for part, moments := range s.moments {
					ended += len(moments)
					if len(moments) == 1 {
						conclusive++
					}
					if len(moments) > max(minMoments, cfg.maxMoments) {
						t.Errorf("seed %d: %s has ended ranks at %d times", seed, part, len(moments))
					}
				}
				sound, held, refused = sound+s.sound, held+s.held, refused+s.refused
				if s.settle(); s.entries[0].q.Digest() != s.entries[1].q.Digest() {
					t.Errorf("seed %d: entries hold different reports in the end", seed)
				}
			}
			if float64(held+refused) > maxHeldShare*float64(sound) {
				t.Errorf("of %d sound requests %d were held and %d refused", sound, held, refused)
			}
			t.Logf("%d times, %d parts with one; of %d sound requests %d held, %d refused", ended, conclusive, sound, held, refused)
		})
	}
}

const (
	// scheduleSeeds is the number of seeds of each schedule.
	scheduleSeeds = 12
	// maxHeldShare is the share of sound requests that may wait or be refused.
	maxHeldShare = 0.01
)
