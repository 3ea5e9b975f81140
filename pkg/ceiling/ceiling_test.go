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

// message is a question or an answer on its way.
type message struct {
	at       time.Time
	from, to int
	ask      *LeaseRequest
	grant    *Grant
}

// fleet is entries that exchange questions and answers over links that lose,
// delay and cut.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	holders []*Bucket
	books   []*Allocator
	transit []message
	// side is the part of the cut that an entry stands in.
	side  []int
	spent []float64
	// faults is the chance that a message is lost.
	faults float64
	ticks  int
}

func newFleet(seed uint64, faults float64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0), faults: faults,
		side: make([]int, entries), spent: make([]float64, entries),
	}
	for i := range entries {
		f.holders = append(f.holders, NewBucket(total/entries, burst, f.now))
		f.books = append(f.books, NewAllocator(fmt.Sprintf("home-%d", i)))
	}
	return f
}

// home returns the home that an entry asks: the first that it reaches.
func (f *fleet) home(entry int) int {
	for i := range entries {
		if f.side[i] == f.side[entry] {
			return i
		}
	}
	return entry
}

func (f *fleet) send(m message) {
	if f.random.Float64() < f.faults {
		return
	}
	m.at = f.now.Add(time.Duration(f.random.IntN(1+int(f.faults*600))) * time.Millisecond)
	f.transit = append(f.transit, m)
}

// deliver delivers the messages that are due and whose link is up.
func (f *fleet) deliver() {
	due := f.transit
	f.transit = nil
	for _, m := range due {
		switch {
		case m.at.After(f.now):
			f.transit = append(f.transit, m)
		case f.side[m.from] != f.side[m.to]:
		case m.ask != nil:
			if g, ok := f.books[m.to].Grant(*m.ask, total, entries, f.now); ok {
				f.send(message{from: m.to, to: m.from, grant: &g})
			}
		default:
			f.holders[m.to].ApplyGrant(*m.grant, f.now)
		}
	}
}

// run advances one step: entries ask, and spend the demand.
func (f *fleet) run(demand []float64) {
	f.now = f.now.Add(step)
	f.deliver()
	for i, h := range f.holders {
		home := f.home(i)
		if leased := h.LeaseHome(f.now); leased == "" || leased == f.books[home].home {
			if f.ticks++; f.faults > 0 && f.random.IntN(5) == 0 || f.faults == 0 && f.ticks%(5*entries) < entries {
				q := h.NextRequest("o", fmt.Sprint(i), f.now)
				f.send(message{from: i, to: home, ask: &q})
			}
		}
		for cost := 5.0; cost <= demand[i]*step.Seconds(); cost += 5 {
			if _, ok := h.Spend(5, burst, f.now); ok {
				f.spent[i] += 5
			}
		}
	}
	f.deliver()
}

func (f *fleet) parts() float64 {
	sum := 0.0
	for _, h := range f.holders {
		sum += h.Rate(f.now)
	}
	return sum
}

// TestPartsNeverExceedCeiling cuts, heals, restarts, delays and loses at random.
func TestPartsNeverExceedCeiling(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(4)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("the parts sum to at most the ceiling", prop.ForAll(func(seed uint64) bool {
		f := newFleet(seed, 0.3)
		demand := make([]float64, entries)
		spent := 0.0
		for range 600 {
			switch f.random.IntN(40) {
			case 0:
				f.side[f.random.IntN(entries)] = f.random.IntN(3)
			case 1:
				f.side = make([]int, entries)
			case 2:
				f.books[f.random.IntN(entries)] = NewAllocator(fmt.Sprintf("home-%d", f.random.Uint32()))
			case 3:
				demand[f.random.IntN(entries)] = float64(f.random.IntN(4)) * total
			}
			f.run(demand)
			if f.parts() > total*(1+1e-9) {
				t.Logf("seed %d: parts sum to %.1f", seed, f.parts())
				return false
			}
		}
		for _, s := range f.spent {
			spent += s
		}
		elapsed := f.now.Sub(time.Unix(0, 0)) + burst
		return spent <= total*elapsed.Seconds()+entries*5
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// TestPartsFollowDemand checks that one busy entry gets at least 90% of the
// ceiling, and keeps exactly its fraction once it is cut off.
func TestPartsFollowDemand(t *testing.T) {
	f := newFleet(1, 0)
	demand := []float64{0, 2 * total, 0, 0}
	for range 200 {
		f.run(demand)
	}
	before := f.spent[1]
	for range 200 {
		f.run(demand)
	}
	if rate := (f.spent[1] - before) / (200 * step).Seconds(); rate < 0.9*total {
		t.Errorf("the busy entry spends %.0f of %.0f", rate, total)
	}
	f.side[1] = 1
	for range int(LeaseDuration/step) + 1 {
		f.run(demand)
	}
	if part := f.holders[1].Rate(f.now); part > total {
		t.Errorf("cut off, the part is %.0f", part)
	}
	if sum := f.parts(); sum > total*(1+1e-9) {
		t.Errorf("the parts sum to %.0f", sum)
	}
}

// TestBounds checks the memory at 38,000 organisations, and that a request
// dearer than a full bucket leaves a debt.
func TestBounds(t *testing.T) {
	now := time.Unix(0, 0)
	parts, homes := NewLimiter("e", burst), NewAllocators("home")
	for i := range 38_000 {
		parts.Spend(fmt.Sprintf("org-%d", i), total, entries, 1, now)
	}
	for _, q := range parts.LeaseRequests([]string{"e"}, now) {
		parts.ApplyGrants(homes.Grant(q, now), now)
	}
	if parts.Len() != 38_000 || homes.Len() != 38_000 {
		t.Errorf("%d parts and %d books, want one for each organisation", parts.Len(), homes.Len())
	}
	now = now.Add(idle + LeaseDuration + time.Second)
	parts.LeaseRequests([]string{"e"}, now)
	homes.Grant(&BatchRequest{}, now)
	if parts.Len() != 0 || homes.Len() != 0 {
		t.Errorf("%d idle parts and %d idle books are kept", parts.Len(), homes.Len())
	}
	h := NewBucket(10, burst, now)
	if _, ok := h.Spend(100, burst, now); !ok {
		t.Error("a full bucket refuses a request that is dearer")
	}
	if wait, ok := h.Spend(1, burst, now.Add(5*time.Second)); ok || wait < 4*time.Second {
		t.Errorf("in debt, the wait is %s", wait)
	}
}
