package sendlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/ceiling"
)

// Parameters of a schedule.
const (
	tick = 20 * time.Millisecond
	// window is the span in which sent requests are counted. At most windowFactor times the
	// limit and windowSlack more are allowed in it.
	window       = 4 * time.Second
	windowFactor = 1.5
	windowSlack  = 5.0
)

var start = time.Unix(1_800_000_000, 0)

var upstreamKey = Key{Upstream: "u", Incarnation: "1"}

// schedule drives the tables of several entries, whose lease requests are delayed and lost.
type schedule struct {
	random  *rand.Rand
	limit   float64
	names   []string
	entries map[string]*simulatedEntry
	now     time.Time
	// side is the side of a partition that an entry is on.
	side map[string]int
	// loss is the share of messages that are lost, maxDelay their longest delay.
	loss     float64
	maxDelay time.Duration
	messages []message
	sent     []time.Time
}

type simulatedEntry struct {
	table      *Table
	allocators *ceiling.Allocators
	starts     int
	busy       bool
	// noRequests is true if the entry has no requests of the service, not even one that could
	// confirm the limit.
	noRequests bool
	nextLease  time.Time
}

type message struct {
	at      time.Time
	deliver func()
}

func newSchedule(seed uint64, entries int, limit float64) *schedule {
	s := &schedule{random: rand.New(rand.NewPCG(seed, 7)), limit: limit, entries: make(map[string]*simulatedEntry), now: start, side: make(map[string]int), maxDelay: 10 * time.Millisecond}
	for i := range entries {
		name := fmt.Sprint("entry", i)
		s.names = append(s.names, name)
		s.entries[name] = &simulatedEntry{}
		s.restart(name)
	}
	return s
}

// restart replaces an entry by one that knows the limit and nothing else.
func (s *schedule) restart(name string) {
	e := s.entries[name]
	e.starts++
	e.table = New(name, s.random.Uint64())
	e.allocators = ceiling.NewAllocators(fmt.Sprint(name, "-", e.starts))
	e.table.Observe(&Notice{Key: upstreamKey, Limited: true, Rate: s.limit, SentAt: s.now.Add(-time.Millisecond), ReceivedAt: s.now})
}

// send delivers a message after a random delay, unless it is lost.
func (s *schedule) send(from, to string, deliver func()) {
	if s.side[from] != s.side[to] || s.random.Float64() < s.loss {
		return
	}
	delay := time.Millisecond + time.Duration(s.random.Int64N(int64(s.maxDelay)))
	s.messages = append(s.messages, message{at: s.now.Add(delay), deliver: deliver})
}

// step advances the time by a tick.
func (s *schedule) step() {
	s.now = s.now.Add(tick)
	due := slices.Clone(s.messages)
	s.messages = nil
	for _, m := range due {
		if m.at.After(s.now) {
			s.messages = append(s.messages, m)
			continue
		}
		m.deliver()
	}
	for _, name := range s.names {
		e := s.entries[name]
		e.table.Tick(s.now)
		if !s.now.Before(e.nextLease) {
			e.nextLease = s.now.Add(ceiling.RequestInterval)
			s.requestLeases(name)
		}
		for !e.noRequests && (e.table.MustConfirm(upstreamKey, s.now) || e.busy && e.table.Allows(upstreamKey, s.now)) {
			e.table.Spend(upstreamKey, s.now)
			s.sent = append(s.sent, s.now)
			e.table.Observe(&Notice{Key: upstreamKey, Limited: true, Rate: s.limit, SentAt: s.now, ReceivedAt: s.now.Add(time.Millisecond)})
		}
	}
}

func (s *schedule) requestLeases(name string) {
	e := s.entries[name]
	starts := e.starts
	for home, batch := range e.table.LeaseRequests(s.names, s.now) {
		s.send(name, home, func() {
			grants := s.entries[home].allocators.Grant(batch, s.now)
			s.send(home, name, func() {
				if e.starts == starts {
					e.table.ApplyGrants(grants, s.now)
				}
			})
		})
	}
}

// check returns an error if too many requests were sent in any window.
func (s *schedule) check() error {
	allowed := windowFactor*max(minRate, s.limit)*window.Seconds() + windowSlack
	for i, from := range s.sent {
		n := 0
		for _, at := range s.sent[i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		if float64(n) > allowed {
			return fmt.Errorf("%d requests in %v from %v on, %.1f are allowed", n, window, from.Sub(start), allowed)
		}
	}
	return nil
}

var scheduleSizes = []struct {
	entries int
	limit   float64
}{{2, 0}, {4, 0.2}, {4, 2.2}, {4, 30}, {17, 0.2}, {17, 2}, {17, 8}, {17, 100}}

// TestLimitHoldsOverAllEntries guards against entries that together send more than an
// upstream takes: while they become busy and idle, restart, lose messages and can't reach
// each other.
func TestLimitHoldsOverAllEntries(t *testing.T) {
	for _, size := range scheduleSizes {
		for seed := range uint64(12) {
			s := newSchedule(seed, size.entries, size.limit)
			s.loss, s.maxDelay = 0.3*s.random.Float64(), 180*time.Millisecond
			for s.now.Sub(start) < 40*time.Second {
				if s.random.IntN(50) == 0 {
					for _, name := range s.names {
						s.side[name] = s.random.IntN(1 + s.random.IntN(3))
					}
				}
				if s.random.IntN(25) == 0 {
					all, busy := s.random.IntN(3) == 0, s.random.IntN(2) == 0
					for _, name := range s.names {
						if all {
							s.entries[name].busy = busy
						} else if s.random.IntN(4) == 0 {
							s.entries[name].busy = !s.entries[name].busy
						}
					}
				}
				if s.random.IntN(250) == 0 {
					s.restart(s.names[s.random.IntN(len(s.names))])
				}
				s.step()
			}
			if err := s.check(); err != nil {
				t.Errorf("%d entries, limit %v, seed %d: %v", size.entries, size.limit, seed, err)
			}
		}
	}
}

// TestLimitIsUsed guards against an upstream that idles while requests wait for it, at one
// entry or at all of them.
func TestLimitIsUsed(t *testing.T) {
	for _, size := range scheduleSizes {
		for _, busy := range []int{1, size.entries} {
			s := newSchedule(1, size.entries, size.limit)
			for _, name := range s.names[:busy] {
				s.entries[name].busy = true
			}
			rate := max(minRate, size.limit)
			settle, length := 5*time.Second, 20*time.Second+time.Duration(20/rate*float64(time.Second))
			for s.now.Sub(start) < settle+length {
				s.step()
			}
			n := 0
			for _, at := range s.sent {
				if at.Sub(start) > settle {
					n++
				}
			}
			if want := 0.9*rate*length.Seconds() - 1; float64(n) < want {
				t.Errorf("%d of %d entries busy, limit %v: %d requests in %v, want %.0f", busy, size.entries, size.limit, n, length, want)
			}
		}
	}
}

// TestExpectedCallerFindsAllowance guards against a limit far below one request per second
// of which callers that return as told never get anything.
func TestExpectedCallerFindsAllowance(t *testing.T) {
	s := newSchedule(3, 17, 0.2)
	table := s.entries["entry0"].table
	for s.now.Sub(start) < 10*time.Second {
		s.step()
	}
	table.Allows(upstreamKey, s.now)
	table.Expect(upstreamKey, s.now.Add(8*time.Second), s.now)
	for until := s.now.Add(8 * time.Second); s.now.Before(until); {
		s.step()
	}
	if !table.Allows(upstreamKey, s.now) {
		t.Error("the upstream takes no request 8 s later")
	}
}

// TestLowerLimitAppliesAtOnce guards against entries that keep to parts of an earlier, higher
// limit that they have leased.
func TestLowerLimitAppliesAtOnce(t *testing.T) {
	for _, entries := range []int{4, 17} {
		s := newSchedule(1, entries, 30)
		for _, name := range s.names {
			s.entries[name].busy = true
		}
		for s.now.Sub(start) < 6*time.Second {
			s.step()
		}
		s.limit, s.sent = 1, nil
		for _, name := range s.names {
			s.entries[name].table.Observe(&Notice{Key: upstreamKey, Limited: true, Rate: s.limit, SentAt: s.now, ReceivedAt: s.now.Add(time.Millisecond)})
		}
		for s.now.Sub(start) < 16*time.Second {
			s.step()
		}
		if err := s.check(); err != nil {
			t.Errorf("%d entries: %v", entries, err)
		}
	}
}

// TestLateTickTakesNothingBack guards against an entry that gets far less than its part beside
// busy processes: a tick that was due before a request arrived, and is processed after it, took
// back what the allowance had grown since.
func TestLateTickTakesNothingBack(t *testing.T) {
	const (
		length = 60 * time.Second
		lateBy = 400 * time.Millisecond
		// Of two entries that have leased nothing, each may send half of the limit.
		limit = 2.0
	)
	table := New("entry0", 1)
	table.SetEntryCount(2)
	table.Observe(&Notice{Key: upstreamKey, Limited: true, Rate: limit, SentAt: start, ReceivedAt: start})
	sent := 0
	for after := time.Duration(0); after < length; after += tick {
		now := start.Add(after)
		table.Tick(now)
		for table.Allows(upstreamKey, now) {
			table.Spend(upstreamKey, now)
			sent++
		}
		if after%(25*tick) == 0 {
			table.Tick(now.Add(-lateBy))
		}
	}
	if want := int(0.9 * limit / 2 * length.Seconds()); sent < want {
		t.Errorf("%d requests in %v, want %d", sent, length, want)
	}
	if most := int(limit/2*length.Seconds()) + 1; sent > most {
		t.Errorf("%d requests in %v, want at most %d", sent, length, most)
	}
}

// TestSteadyDemandKeepsParts guards against entries that exchange parts of a limit all the time
// although requests wait at all of them, so that some of the limit is always on its way and
// unused. Ticks of a busy process are late, and leases are requested between them.
func TestSteadyDemandKeepsParts(t *testing.T) {
	const (
		settle     = 5 * time.Second
		length     = 25 * time.Second
		resolution = time.Millisecond
	)
	for _, size := range scheduleSizes {
		s := newSchedule(1, size.entries, size.limit)
		ticks, leases := make(map[string]time.Duration), make(map[string]time.Duration)
		for _, name := range s.names {
			leases[name] = time.Duration(s.random.Int64N(int64(ceiling.RequestInterval))).Truncate(resolution)
		}
		used, rate := 0.0, max(minRate, size.limit)
		for after := time.Duration(0); after < length; after += resolution {
			s.now = start.Add(after)
			for _, name := range s.names {
				table := s.entries[name].table
				if after >= ticks[name] {
					ticks[name] = after + tick + time.Duration(s.random.Int64N(int64(2*tick)))
					table.Tick(s.now)
					for table.Allows(upstreamKey, s.now) {
						table.Spend(upstreamKey, s.now)
					}
				}
				if after%ceiling.RequestInterval == leases[name] {
					for home, batch := range table.LeaseRequests(s.names, s.now) {
						table.ApplyGrants(s.entries[home].allocators.Grant(batch, s.now), s.now)
					}
				}
				if after >= settle {
					used += table.Limits(s.now)[0].OwnRate * resolution.Seconds()
				}
			}
		}
		if want := 0.99 * rate * (length - settle).Seconds(); used < want {
			t.Errorf("%d entries, limit %v: the parts sum to %.2f requests in %v, want %.2f", size.entries, size.limit, used, length-settle, want)
		}
	}
}

// TestEntriesConfirmLimitApart guards against an upstream that gets a request of each entry at
// once: the home of its limit has no requests, and all others confirm the limit in its place.
func TestEntriesConfirmLimitApart(t *testing.T) {
	for _, size := range scheduleSizes {
		s := newSchedule(1, size.entries, size.limit)
		s.entries[ceiling.HomeEntry(upstreamKey.leaseName(), s.names)].noRequests = true
		for s.now.Sub(start) < 5*time.Minute {
			s.step()
		}
		if err := s.check(); err != nil {
			t.Errorf("%d entries, limit %v: %v", size.entries, size.limit, err)
		}
	}
}
