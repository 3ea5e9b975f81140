package plan

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/popularity"
)

var start = time.Unix(1000, 0)

func config(size expertmap.Size) Config {
	return Config{
		Size: size, ExpertBytes: 44e6, LoadBytesPerSecond: 1e9, LoadSlowdown: 0.05, StepsLost: 2,
		Horizon: time.Minute, Hysteresis: 2, MinInterval: time.Minute, UrgentSkew: 0.1,
		BudgetBytesPerSecond: 1e8, BudgetBurstBytes: 1e11, NoiseDeviations: 2,
	}
}

func zipf(rng *rand.Rand, exponent float64, n int) []float64 {
	w := make([]float64, n)
	sum := 0.0
	for i, place := range rng.Perm(n) {
		w[i] = math.Pow(float64(place+1), -exponent)
		sum += w[i]
	}
	for i := range w {
		w[i] /= sum
	}
	return w
}

func input(rng *rand.Rand, size expertmap.Size, picks float64) *Input {
	in := &Input{Current: expertmap.Contiguous(size), ExpertTime: 20 * time.Millisecond, StepTime: 25 * time.Millisecond}
	for range size.Ranks {
		in.Speeds = append(in.Speeds, 1)
	}
	for range size.Layers {
		in.Popularity = append(in.Popularity, popularity.Estimate{Shares: zipf(rng, 1, size.Experts), EffectivePicks: picks})
	}
	return in
}

func TestPlansAreValidAndNeverSlower(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		ranks := 2 + rng.IntN(12)
		size := expertmap.Size{Ranks: ranks, Layers: 2, Experts: ranks + rng.IntN(3*ranks), Slots: 4 + rng.IntN(2)}
		p := New(config(size))
		in := input(rng, size, 1e6)
		in.Speeds[0] = 0.3 + rng.Float64()
		result := p.Plan(in, start)
		if result.Map == nil {
			continue
		}
		if err := result.Map.Check(size); err != nil {
			t.Fatalf("%+v: %v", size, err)
		}
		if result.SkewAfter > result.SkewBefore || result.Saving <= result.Cost {
			t.Fatalf("%+v: skew %.3f to %.3f, saving %s, cost %s", size, result.SkewBefore, result.SkewAfter, result.Saving, result.Cost)
		}
		in.Current = result.Map
		if again := New(config(size)).Plan(in, start); again.SkewBefore > result.SkewAfter+1e-9 {
			t.Fatalf("planned skew %.4f, got %.4f", result.SkewAfter, again.SkewBefore)
		}
	}
}

func TestPlanRejectsChangesNotWorthwhile(t *testing.T) {
	size := expertmap.Size{Ranks: 8, Layers: 2, Experts: 16, Slots: 3}
	for name, change := range map[string]func(*Config, *Input){
		"sampling noise explains the skew": func(_ *Config, in *Input) { in.Popularity[0].EffectivePicks, in.Popularity[1].EffectivePicks = 2, 2 },
		"the cost exceeds the saving":      func(c *Config, _ *Input) { c.ExpertBytes = 1e15; c.BudgetBurstBytes = math.Inf(1) },
		"steps lost exceed the saving":     func(c *Config, _ *Input) { c.StepsLost = 1e6 },
		"the budget is spent":              func(c *Config, _ *Input) { c.BudgetBurstBytes = 0; c.UrgentSkew = math.Inf(1) },
		"there are no selections yet":      func(_ *Config, in *Input) { in.Popularity[0].EffectivePicks, in.Popularity[1].EffectivePicks = 0, 0 },
	} {
		c, in := config(size), input(rand.New(rand.NewPCG(1, 1)), size, 1e6)
		if New(c).Plan(in, start).Map == nil {
			t.Fatal("no plan for the unchanged input; the case tests nothing")
		}
		change(&c, in)
		if result := New(c).Plan(in, start); result.Map != nil {
			t.Errorf("%s: planned %d loads, want no plan", name, result.Loads)
		}
	}
}

func TestOnlyUrgentChangesIgnoreMinInterval(t *testing.T) {
	size := expertmap.Size{Ranks: 8, Layers: 2, Experts: 16, Slots: 3}
	for name, c := range map[string]struct {
		urgent float64
		want   bool
	}{"urgent": {0.1, true}, "not urgent": {100, false}} {
		cfg := config(size)
		cfg.UrgentSkew = c.urgent
		p := New(cfg)
		p.RecordChange(0, start)
		in := input(rand.New(rand.NewPCG(1, 1)), size, 1e6)
		if got := p.Plan(in, start.Add(time.Second)).Map != nil; got != c.want {
			t.Errorf("%s: planned %t, want %t", name, got, c.want)
		}
	}
}

// BenchmarkPlan plans for a group with 58 layers whose map fits the popularity except for
// a small drift, as between two plans.
func BenchmarkPlan(b *testing.B) {
	size := expertmap.Size{Ranks: 32, Layers: 58, Experts: 64, Slots: 3}
	rng := rand.New(rand.NewPCG(1, 1))
	in := input(rng, size, 1e7)
	for l := range in.Popularity {
		in.Current.Layers[l] = PlaceLayer(in.Popularity[l].Shares, in.Speeds, size)
		a, c := rng.IntN(size.Experts), rng.IntN(size.Experts)
		shares := in.Popularity[l].Shares
		shares[a], shares[c] = (3*shares[a]+shares[c])/4, (shares[a]+3*shares[c])/4
	}
	for b.Loop() {
		New(config(size)).Plan(in, start)
	}
}

// BenchmarkFirstPlan plans for a group of the same size from its initial map.
func BenchmarkFirstPlan(b *testing.B) {
	size := expertmap.Size{Ranks: 32, Layers: 58, Experts: 64, Slots: 3}
	in := input(rand.New(rand.NewPCG(1, 1)), size, 1e7)
	for b.Loop() {
		New(config(size)).Plan(in, start)
	}
}
