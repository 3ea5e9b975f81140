package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/load"
)

// proxyCost compares calls through one entry with direct calls of the stand-ins,
// in turn, and measures what entry and agents use at the load that is planned
// for one entry.
var proxyCost = Experiment{
	Name:    "proxy-cost",
	Summary: "added latency against direct calls, and processor time of entry and agents at the planned load",
	run:     runProxyCost,
}

// Planned load of one entry: 780,000 tokens and 2,400 requests a second over
// 330 entries.
const (
	plannedTokens   = 780000.0 / 330
	plannedRequests = 2400.0 / 330
)

// Shape of the streams of the run.
const (
	streamTokens = 50
	streamStep   = 20 * time.Millisecond
	// probes is the rate of calls whose latency is compared.
	probes        = 100
	costLasts     = 4 * time.Second
	costRampLasts = 1500 * time.Millisecond
)

// costGoal is the largest added latency at the 99th percentile.
const costGoal = time.Millisecond

// costTurn is one turn of the comparison.
type costTurn struct {
	name   string
	direct bool
	// scale is the load as a part of the planned one.
	scale float64
}

var costTurns = []costTurn{
	{"direct 0.5", true, 0.5},
	{"proxied 0.5", false, 0.5},
	{"direct 0.5 again", true, 0.5},
	{"proxied 0.5 again", false, 0.5},
	{"proxied 1", false, 1},
	{"proxied 2", false, 2},
}

func runProxyCost(ctx context.Context, b *bench) (*Result, error) {
	d, err := b.start(ctx, deploy.Config{
		Entries: 1, Models: 2, Orders: 1,
		EngineArgs: []string{"--slots", "512", "--step", streamStep.String(), "--step-per-request", "0s", "--cold-steps", "1"},
		AgentArgs:  []string{"--max-room", "256", "--min-room", "64", "--grow-every", "50ms"},
		EntryArgs:  []string{"--max-waiting", "2048"},
	})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	if _, err := b.drive(ctx, d, "warm-up", b.costTraffic(d, costTurns[5]), []step{{"warm-up", nil, warmLasts}}); err != nil {
		return nil, err
	}
	r := &Result{}
	for _, t := range costTurns {
		v, err := b.turn(ctx, d, t)
		if err != nil {
			return nil, err
		}
		r.Variants = append(r.Variants, *v)
	}
	r.Goals = costGoals(r.Variants)
	return r, nil
}

// costTraffic is streams of the planned number of tokens a second, and probes.
func (b *bench) costTraffic(d *deploy.Deployment, t costTurn) []load.Config {
	streams := load.Config{
		Organisation: large.Name, Token: token(large), Kind: load.KindChat, Tokens: streamTokens,
		PerSecond: t.scale * plannedTokens / streamTokens,
	}
	probe := load.Config{Organisation: small.Name, Token: token(small), Kind: load.KindStatus, PerSecond: probes}
	if !t.direct {
		return []load.Config{streams, probe}
	}
	streams.Direct, probe.Direct = true, true
	for i, a := range d.Agents {
		if a.Name == deploy.OrderService+"-0" {
			probe.Entries = []string{d.Upstreams[i].URL()}
			continue
		}
		streams.Entries = append(streams.Entries, d.Upstreams[i].URL())
	}
	return []load.Config{streams, probe}
}

// turn runs one turn, and measures the processes after a ramp.
func (b *bench) turn(ctx context.Context, d *deploy.Deployment, t costTurn) (*Variant, error) {
	var before []deploy.Usage
	var figures []Figure
	v, err := b.drive(ctx, d, t.name, b.costTraffic(d, t), []step{
		{"ramp", nil, costRampLasts},
		{"steady", func(context.Context) (err error) { before, err = usages(d); return err }, costLasts},
		{"end", func(context.Context) (err error) { figures, err = used(d, before, t); return err }, 0},
	})
	if err != nil {
		return nil, err
	}
	v.Phases = v.Phases[1:2]
	v.Figures = figures
	return v, nil
}

func measured(d *deploy.Deployment) []*deploy.Process {
	return append([]*deploy.Process{d.Entries[0]}, d.Agents...)
}

func usages(d *deploy.Deployment) ([]deploy.Usage, error) {
	var all []deploy.Usage
	for _, p := range measured(d) {
		u, err := p.Usage()
		if err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	return all, nil
}

// used returns the part of a core that each process used since before.
func used(d *deploy.Deployment, before []deploy.Usage, t costTurn) ([]Figure, error) {
	after, err := usages(d)
	if err != nil || t.direct {
		return nil, err
	}
	var out []Figure
	for i, p := range measured(d) {
		cores := (after[i].Processor - before[i].Processor).Seconds() / costLasts.Seconds()
		out = append(out,
			Figure{Name: p.Name + " processor", Unit: "% of a core", Value: 100 * cores},
			Figure{Name: p.Name + " memory", Unit: "MB", Value: float64(after[i].MemoryBytes) / (1 << 20)})
	}
	tokens := t.scale * plannedTokens
	return append(out, Figure{Name: "entry tokens", Unit: "a second per core", Value: tokens / (out[0].Value / 100)}), nil
}

func costGoals(vs []Variant) []Goal {
	var goals []Goal
	for i := 0; i+1 < 4; i += 2 {
		direct, proxied := probeCounts(&vs[i]), probeCounts(&vs[i+1])
		p50, p99 := proxied.WholeP50-direct.WholeP50, proxied.WholeP99-direct.WholeP99
		goals = append(goals, Goal{
			Name: fmt.Sprintf("%s: added latency p50 %.2f ms, p99", vs[i+1].Name, p50), Want: "under 1 ms",
			Got: fmt.Sprintf("%.2f ms", p99), Met: p99 < float64(costGoal.Milliseconds()),
		})
	}
	cores := vs[4].Figures[0].Value
	return append(goals, Goal{
		Name: "entry at the planned load", Want: "under half of one core",
		Got: fmt.Sprintf("%.0f%% of a core, %.0f tokens/s per core", cores, vs[4].Figures[len(vs[4].Figures)-1].Value), Met: cores < 50,
	})
}

func probeCounts(v *Variant) Counts {
	for _, k := range v.Phases[0].Kinds {
		if k.Kind == load.KindStatus {
			return k
		}
	}
	return Counts{}
}
