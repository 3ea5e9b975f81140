package ceiling

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	entries = 4
	total   = 1000.0
	burst   = time.Second
	step    = 50 * time.Millisecond
)

// message is a lease request or a grant in transit.
type message struct {
	at       time.Time
	from, to int
	request  *LeaseRequest
	grant    *Grant
}

// cluster is a set of entries that exchange lease requests and grants over links
// that lose and delay messages and can be partitioned.
type cluster struct {
	random     *rand.Rand
	now        time.Time
	buckets    []*Bucket
	allocators []*Allocator
	transit    []message
	// partition is the partition of the network that each entry is in.
	partition []int
	spent     []float64
	// lossRate is the probability that a message is lost.
	lossRate float64
	ticks    int
}

func newCluster(seed uint64, lossRate float64) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0), lossRate: lossRate,
		partition: make([]int, entries), spent: make([]float64, entries),
	}
	for i := range entries {
		c.buckets = append(c.buckets, NewBucket(total/entries, burst, c.now))
		c.allocators = append(c.allocators, NewAllocator(fmt.Sprintf("home-%d", i)))
	}
	return c
}

// home returns the home that an entry sends its requests to: the first one in its
// partition.
func (c *cluster) home(entry int) int {
	for i := range entries {
		if c.partition[i] == c.partition[entry] {
			return i
		}
	}
	return entry
}

func (c *cluster) send(m message) {
	if c.random.Float64() < c.lossRate {
		return
	}
	m.at = c.now.Add(time.Duration(c.random.IntN(1+int(c.lossRate*600))) * time.Millisecond)
	c.transit = append(c.transit, m)
}

// deliver delivers the messages that are due, and drops those between partitions.
func (c *cluster) deliver() {
	due := c.transit
	c.transit = nil
	for _, m := range due {
		switch {
		case m.at.After(c.now):
			c.transit = append(c.transit, m)
		case c.partition[m.from] != c.partition[m.to]:
		case m.request != nil:
			if g, ok := c.allocators[m.to].Grant(*m.request, total, entries, c.now); ok {
				c.send(message{from: m.to, to: m.from, grant: &g})
			}
		default:
			c.buckets[m.to].ApplyGrant(*m.grant, c.now)
		}
	}
}

// run advances one step: entries send lease requests, and spend up to their demand.
func (c *cluster) run(demand []float64) {
	c.now = c.now.Add(step)
	c.deliver()
	for i, b := range c.buckets {
		home := c.home(i)
		if leaseHome := b.LeaseHome(c.now); leaseHome == "" || leaseHome == c.allocators[home].incarnation {
			if c.ticks++; c.lossRate > 0 && c.random.IntN(5) == 0 || c.lossRate == 0 && c.ticks%(5*entries) < entries {
				r := b.NextRequest("o", fmt.Sprint(i), c.now)
				c.send(message{from: i, to: home, request: &r})
			}
		}
		for cost := 5.0; cost <= demand[i]*step.Seconds(); cost += 5 {
			if _, ok := b.Spend(5, burst, c.now); ok {
				c.spent[i] += 5
			}
		}
	}
	c.deliver()
}

// totalRate returns the sum of the rates of all entries.
func (c *cluster) totalRate() float64 {
	sum := 0.0
	for _, b := range c.buckets {
		sum += b.Rate(c.now)
	}
	return sum
}

// TestRatesNeverExceedCeiling partitions and heals the network, restarts homes and
// loses and delays messages at random. At no time may the rates sum to more than the
// ceiling, nor the entries spend more than it permits.
func TestRatesNeverExceedCeiling(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(4)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("the rates sum to at most the ceiling", prop.ForAll(func(seed uint64) bool {
		c := newCluster(seed, 0.3)
		demand := make([]float64, entries)
		spent := 0.0
		for range 600 {
			switch c.random.IntN(40) {
			case 0:
				c.partition[c.random.IntN(entries)] = c.random.IntN(3)
			case 1:
				c.partition = make([]int, entries)
			case 2:
				c.allocators[c.random.IntN(entries)] = NewAllocator(fmt.Sprintf("home-%d", c.random.Uint32()))
			case 3:
				demand[c.random.IntN(entries)] = float64(c.random.IntN(4)) * total
			}
			c.run(demand)
			if c.totalRate() > total*(1+1e-9) {
				t.Logf("seed %d: rates sum to %.1f, above the ceiling", seed, c.totalRate())
				return false
			}
		}
		for _, s := range c.spent {
			spent += s
		}
		elapsed := c.now.Sub(time.Unix(0, 0)) + burst
		return spent <= total*elapsed.Seconds()+entries*5
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// TestRatesFollowDemand checks that one busy entry gets at least 90% of the
// ceiling, and that neither its rate nor the sum of all rates exceeds the ceiling
// after it is partitioned from its home.
func TestRatesFollowDemand(t *testing.T) {
	c := newCluster(1, 0)
	demand := []float64{0, 2 * total, 0, 0}
	for range 200 {
		c.run(demand)
	}
	before := c.spent[1]
	for range 200 {
		c.run(demand)
	}
	if rate := (c.spent[1] - before) / (200 * step).Seconds(); rate < 0.9*total {
		t.Errorf("the busy entry spends %.0f tokens a second of a ceiling of %.0f", rate, total)
	}
	c.partition[1] = 1
	for range int(LeaseDuration/step) + 1 {
		c.run(demand)
	}
	if rate := c.buckets[1].Rate(c.now); rate > total {
		t.Errorf("the partitioned entry has a rate of %.0f, above the ceiling", rate)
	}
	if sum := c.totalRate(); sum > total*(1+1e-9) {
		t.Errorf("the rates sum to %.0f, above the ceiling", sum)
	}
}

// TestMemoryIsBoundedAndLargeRequestLeavesDebt checks that 38,000 organisations need
// one bucket and one allocator each, which are removed once idle, and that a request
// that costs more than a full bucket leaves its level negative.
func TestMemoryIsBoundedAndLargeRequestLeavesDebt(t *testing.T) {
	now := time.Unix(0, 0)
	limiter, allocators := NewLimiter("e", burst), NewAllocators("home")
	for i := range 38_000 {
		limiter.Spend(fmt.Sprintf("org-%d", i), total, entries, 1, now)
	}
	for _, batch := range limiter.LeaseRequests([]string{"e"}, now) {
		limiter.ApplyGrants(allocators.Grant(batch, now), now)
	}
	if limiter.Len() != 38_000 || allocators.Len() != 38_000 {
		t.Errorf("%d buckets and %d allocators, want one of each for each organisation", limiter.Len(), allocators.Len())
	}
	now = now.Add(idleTimeout + LeaseDuration + time.Second)
	limiter.LeaseRequests([]string{"e"}, now)
	allocators.Grant(&BatchRequest{}, now)
	if limiter.Len() != 0 || allocators.Len() != 0 {
		t.Errorf("%d idle buckets and %d idle allocators were not removed", limiter.Len(), allocators.Len())
	}
	b := NewBucket(10, burst, now)
	if _, ok := b.Spend(100, burst, now); !ok {
		t.Error("a full bucket refuses a request that costs more than it holds")
	}
	if wait, ok := b.Spend(1, burst, now.Add(5*time.Second)); ok || wait < 4*time.Second {
		t.Errorf("in debt, the wait is %s, want a refusal with at least 4s", wait)
	}
}
