package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// cluster simulates, in virtual time, many entries of a large site that send requests to
// the ranks of one group under heavy load.
type cluster struct {
	entries     []*Dispatcher
	running     []int
	groupLoad   GroupLoad
	uneven      bool
	maxLoad     int
	sumMaxLoad  float64
	samples     int
	completions []completion
	rand        *rand.Rand
}

// completion is the end of a running request.
type completion struct {
	at    time.Time
	entry int
	rank  int
	id    string
}

const (
	herdEntries = 14
	herdRanks   = 63
	// herdRate is the requests per second of large sites under heavy load.
	herdRate = 300
	// herdDuration is how long a request runs there.
	herdDuration = 700 * time.Millisecond
	herdRunTime  = 10 * time.Second
	// herdLoadInterval is the time between two reports of the group load,
	// herdPassInterval that between two passes.
	herdLoadInterval = 200 * time.Millisecond
	herdPassInterval = 60 * time.Millisecond
)

func newCluster(seed uint64) *cluster {
	c := &cluster{running: make([]int, herdRanks), rand: rand.New(rand.NewPCG(seed, 1))}
	for i := range herdEntries {
		d := newDispatcher(seed*100+uint64(i), herdEntries, ranks(herdRanks, 10))
		c.entries = append(c.entries, d)
	}
	return c
}

// run simulates the load. Without pollLoad, entries only use their own counts.
func (c *cluster) run(pollLoad bool) {
	arrivals, tick := time.Duration(0), 10*time.Millisecond
	for at := time.Duration(0); at < herdRunTime; at += tick {
		now := t0.Add(at)
		c.completeDue(now)
		if at%herdLoadInterval == 0 {
			c.groupLoad = groupLoadOf(now, slices.Clone(c.running))
		}
		for e, d := range c.entries {
			// Entries poll at different times, so group loads are up to two intervals old.
			if pollLoad && (at+time.Duration(e)*tick)%herdLoadInterval == 0 {
				d.SetGroupLoad(c.groupLoad, now)
			}
		}
		if at%herdPassInterval == 0 && at > time.Second {
			c.sumMaxLoad += float64(slices.Max(c.running))
			c.samples++
		}
		for arrivals < at {
			arrivals += time.Duration(c.rand.ExpFloat64() * float64(time.Second) / herdRate)
			c.send(c.pickEntry(), fmt.Sprint(arrivals), now)
		}
	}
}

// pickEntry returns the entry of the next request. With uneven, some entries get more
// requests than others.
func (c *cluster) pickEntry() int {
	if !c.uneven {
		return c.rand.IntN(herdEntries)
	}
	return min(c.rand.IntN(herdEntries), c.rand.IntN(herdEntries))
}

func (c *cluster) send(entry int, id string, now time.Time) {
	for _, d := range c.entries[entry].Enqueue(request(id, now), now) {
		if d.Refusal != nil {
			continue
		}
		c.running[d.Upstream.Group.Rank]++
		c.maxLoad = max(c.maxLoad, c.running[d.Upstream.Group.Rank])
		c.completions = append(c.completions, completion{at: now.Add(herdDuration), entry: entry, rank: d.Upstream.Group.Rank, id: d.ID})
	}
}

func (c *cluster) completeDue(now time.Time) {
	for len(c.completions) > 0 && !c.completions[0].at.After(now) {
		e := c.completions[0]
		c.completions = c.completions[1:]
		c.running[e.rank]--
		c.entries[e.entry].RecordEnd(e.id, FailureNone, now)
	}
}

// TestEntriesDoNotHerdOnOneRank guards against herding: many entries send to the ranks of
// one group and receive each other's load late. A pass takes as long as its busiest rank,
// so the load of the busiest rank must stay close to the mean. Random selection, and
// selection of the least loaded rank by a stale group load, reach 7 and more at this load.
// Two above the mean of 3.3 and a little for chance are allowed.
func TestEntriesDoNotHerdOnOneRank(t *testing.T) {
	const maxMean = 6.5
	for seed := range uint64(5) {
		for _, uneven := range []bool{false, true} {
			c := newCluster(seed)
			c.uneven = uneven
			c.run(true)
			if mean := c.sumMaxLoad / float64(c.samples); mean > maxMean {
				t.Errorf("seed %d, uneven %v: the busiest rank had %.1f requests on average over all passes", seed, uneven, mean)
			}
			if c.maxLoad > 10 {
				t.Errorf("seed %d, uneven %v: a rank had %d requests for 10 slots", seed, uneven, c.maxLoad)
			}
		}
	}
}

// TestEmptyRankIsNotOverloaded guards against entries that all send to the same rank when
// the group load reports it as the only empty one to all of them at the same time.
func TestEmptyRankIsNotOverloaded(t *testing.T) {
	c := newCluster(7)
	running := make([]int, herdRanks)
	for i := range running {
		running[i] = 6
	}
	running[5] = 0
	for _, d := range c.entries {
		d.SetGroupLoad(groupLoadOf(t0, running), t0)
		for id := range 4 {
			for _, decision := range d.Enqueue(request(fmt.Sprint("r", id), t0), t0) {
				c.running[decision.Upstream.Group.Rank]++
			}
		}
	}
	// Requests that entries send before the next report must not exceed its ten slots.
	if got := c.running[5]; got > 10 {
		t.Errorf("the empty rank got %d of %d requests at once", got, 4*herdEntries)
	}
}
