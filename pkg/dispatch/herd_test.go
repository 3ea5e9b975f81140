package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet is entries and ranks in virtual time. It stands for a busy second on a large
// site: many entries that send to the ranks of one group.
type fleet struct {
	entries []*Dispatcher
	running []int
	board   GroupLoad
	uneven  bool
	busiest int
	sumMax  float64
	samples int
	ends    []ending
	rand    *rand.Rand
}

type ending struct {
	at    time.Time
	entry int
	rank  int
	id    string
}

const (
	herdEntries = 14
	herdRanks   = 63
	// herdRate is the requests a second of the large sites' heavy days.
	herdRate = 300
	// herdTook is how long a request runs there.
	herdTook = 700 * time.Millisecond
	herdFor  = 10 * time.Second
	// herdBoards is the time between two boards, herdPass between two passes.
	herdBoards = 200 * time.Millisecond
	herdPass   = 60 * time.Millisecond
)

func newFleet(seed uint64) *fleet {
	f := &fleet{running: make([]int, herdRanks), rand: rand.New(rand.NewPCG(seed, 1))}
	for i := range herdEntries {
		d := newDispatcher(seed*100+uint64(i), herdEntries, ranks(herdRanks, 10))
		f.entries = append(f.entries, d)
	}
	return f
}

// play runs the load. boards is false when entries go by their own counts only.
func (f *fleet) play(boards bool) {
	arrivals, tick := time.Duration(0), 10*time.Millisecond
	for at := time.Duration(0); at < herdFor; at += tick {
		now := t0.Add(at)
		f.finish(now)
		if at%herdBoards == 0 {
			f.board = boardOf(now, slices.Clone(f.running))
		}
		for e, d := range f.entries {
			// Each entry asks at its own time, so boards are up to two intervals old.
			if boards && (at+time.Duration(e)*tick)%herdBoards == 0 {
				d.SetGroupLoad(f.board, now)
			}
		}
		if at%herdPass == 0 && at > time.Second {
			f.sumMax += float64(slices.Max(f.running))
			f.samples++
		}
		for arrivals < at {
			arrivals += time.Duration(f.rand.ExpFloat64() * float64(time.Second) / herdRate)
			f.send(f.pick(), fmt.Sprint(arrivals), now)
		}
	}
}

// pick returns the entry of the next request. Callers spread unevenly over entries.
func (f *fleet) pick() int {
	if !f.uneven {
		return f.rand.IntN(herdEntries)
	}
	return min(f.rand.IntN(herdEntries), f.rand.IntN(herdEntries))
}

func (f *fleet) send(entry int, id string, now time.Time) {
	for _, d := range f.entries[entry].Enqueue(request(id, now), now) {
		if d.Refusal != nil {
			continue
		}
		f.running[d.Upstream.Group.Rank]++
		f.busiest = max(f.busiest, f.running[d.Upstream.Group.Rank])
		f.ends = append(f.ends, ending{at: now.Add(herdTook), entry: entry, rank: d.Upstream.Group.Rank, id: d.ID})
	}
}

func (f *fleet) finish(now time.Time) {
	for len(f.ends) > 0 && !f.ends[0].at.After(now) {
		e := f.ends[0]
		f.ends = f.ends[1:]
		f.running[e.rank]--
		f.entries[e.entry].RecordEnd(e.id, FailureNone, now)
	}
}

// TestManyEntriesDoNotCrowdOneRank answers the pattern of a herd: many entries send to
// the ranks of one group and learn of each other's requests late. A pass lasts as long
// as the busiest rank's part, so what counts is how far the busiest stands above the
// mean. Random choice, and the choice of the emptiest on a late board, reach 7 and
// more at this load; two above the mean of 3.3 and a little for chance are allowed.
func TestManyEntriesDoNotCrowdOneRank(t *testing.T) {
	const most = 6.5
	for seed := range uint64(5) {
		for _, uneven := range []bool{false, true} {
			f := newFleet(seed)
			f.uneven = uneven
			f.play(true)
			if busiest := f.sumMax / float64(f.samples); busiest > most {
				t.Errorf("seed %d, uneven %v: the busiest rank had %.1f requests in the mean of all passes", seed, uneven, busiest)
			}
			if f.busiest > 10 {
				t.Errorf("seed %d, uneven %v: a rank had %d requests for 10 slots", seed, uneven, f.busiest)
			}
		}
	}
}

// TestOneEmptyRankIsNotRushed lets all entries see one empty rank beside full ones.
func TestOneEmptyRankIsNotRushed(t *testing.T) {
	f := newFleet(7)
	running := make([]int, herdRanks)
	for i := range running {
		running[i] = 6
	}
	running[5] = 0
	for _, d := range f.entries {
		d.SetGroupLoad(boardOf(t0, running), t0)
		for id := range 4 {
			for _, decision := range d.Enqueue(request(fmt.Sprint("r", id), t0), t0) {
				f.running[decision.Upstream.Group.Rank]++
			}
		}
	}
	// Its ten slots are not overrun by what each entry sends before it hears more.
	if got := f.running[5]; got > 10 {
		t.Errorf("the empty rank got %d of %d requests at once", got, 4*herdEntries)
	}
}
