package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/load"
)

// proxyCost compares calls through one entry with direct calls of the simulators in
// alternate runs. It measures the resource usage of the entry and the agents at the load
// that is planned for one entry.
var proxyCost = Experiment{
	Name:    "proxy-cost",
	Summary: "added latency against direct calls, and CPU time of the entry and the agents at the planned load",
	run:     runProxyCost,
}

// Planned load of one entry: 780,000 tokens and 2,400 requests a second over
// 330 entries.
const (
	plannedTokensPerSecond   = 780000.0 / 330
	plannedRequestsPerSecond = 2400.0 / 330
)

// Settings of the runs.
const (
	streamTokens   = 50
	streamStepTime = 20 * time.Millisecond
	// probesPerSecond is the rate of the calls whose latency is compared.
	probesPerSecond  = 100
	costDuration     = 4 * time.Second
	costRampDuration = 1500 * time.Millisecond
)

// maxAddedLatency is the goal for the added latency at the 99th percentile.
const maxAddedLatency = time.Millisecond

// costRun is one run of the comparison.
type costRun struct {
	name   string
	direct bool
	// scale is the load as a multiple of the planned one.
	scale float64
}

var costRuns = []costRun{
	{"direct 0.5", true, 0.5},
	{"proxied 0.5", false, 0.5},
	{"direct 0.5 again", true, 0.5},
	{"proxied 0.5 again", false, 0.5},
	{"proxied 1", false, 1},
	{"proxied 2", false, 2},
}

func runProxyCost(ctx context.Context, b *bench) (*Result, error) {
	d, err := b.startDeployment(ctx, deploy.Config{
		Entries: 1, Models: 2, Orders: 1,
		EngineArgs: []string{"--slots", "512", "--step", streamStepTime.String(), "--step-per-request", "0s", "--cold-steps", "1"},
		AgentArgs:  []string{"--max-room", "256", "--min-room", "64", "--grow-every", "50ms"},
		EntryArgs:  []string{"--max-waiting", "2048"},
	})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	if _, err := b.runPhases(ctx, d, "warm-up", b.costTraffic(d, costRuns[5]), []plannedPhase{{"warm-up", nil, warmUpDuration}}); err != nil {
		return nil, err
	}
	r := &Result{}
	for _, run := range costRuns {
		v, err := b.runCost(ctx, d, run)
		if err != nil {
			return nil, err
		}
		r.Variants = append(r.Variants, *v)
	}
	r.Goals = costGoals(r.Variants)
	return r, nil
}

// costTraffic returns traffic of streams with the scaled number of tokens a second, and
// traffic of probes.
func (b *bench) costTraffic(d *deploy.Deployment, run costRun) []load.Config {
	streams := load.Config{
		Organisation: largeOrganisation.Name, Token: tokenOf(largeOrganisation), Kind: load.KindChat, Tokens: streamTokens,
		PerSecond: run.scale * plannedTokensPerSecond / streamTokens,
	}
	probe := load.Config{Organisation: smallOrganisation.Name, Token: tokenOf(smallOrganisation), Kind: load.KindStatus, PerSecond: probesPerSecond}
	if !run.direct {
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

// runCost runs one run of the comparison and measures the processes after a ramp.
func (b *bench) runCost(ctx context.Context, d *deploy.Deployment, run costRun) (*Variant, error) {
	var before []deploy.Usage
	var figures []Figure
	v, err := b.runPhases(ctx, d, run.name, b.costTraffic(d, run), []plannedPhase{
		{"ramp", nil, costRampDuration},
		{"steady", func(context.Context) (err error) { before, err = readUsages(d); return err }, costDuration},
		{"end", func(context.Context) (err error) { figures, err = usageFigures(d, before, run); return err }, 0},
	})
	if err != nil {
		return nil, err
	}
	v.Phases = v.Phases[1:2]
	v.Figures = figures
	return v, nil
}

// measuredProcesses returns the entry and the agents.
func measuredProcesses(d *deploy.Deployment) []*deploy.Process {
	return append([]*deploy.Process{d.Entries[0]}, d.Agents...)
}

func readUsages(d *deploy.Deployment) ([]deploy.Usage, error) {
	var all []deploy.Usage
	for _, p := range measuredProcesses(d) {
		u, err := p.Usage()
		if err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	return all, nil
}

// usageFigures returns the fraction of a core that each process has used since before, its
// memory, and the entry's tokens a second per core. It returns none for direct calls.
func usageFigures(d *deploy.Deployment, before []deploy.Usage, run costRun) ([]Figure, error) {
	after, err := readUsages(d)
	if err != nil || run.direct {
		return nil, err
	}
	var out []Figure
	for i, p := range measuredProcesses(d) {
		cores := (after[i].CPUTime - before[i].CPUTime).Seconds() / costDuration.Seconds()
		out = append(out,
			Figure{Name: p.Name + " processor", Unit: "% of a core", Value: 100 * cores},
			Figure{Name: p.Name + " memory", Unit: "MB", Value: float64(after[i].MemoryBytes) / (1 << 20)})
	}
	tokens := run.scale * plannedTokensPerSecond
	return append(out, Figure{Name: "entry tokens", Unit: "a second per core", Value: tokens / (out[0].Value / 100)}), nil
}

// costGoals returns the goals for the variants, which are in the order of costRuns: two
// pairs of direct and proxied runs, then the proxied run at the planned load.
func costGoals(vs []Variant) []Goal {
	var goals []Goal
	for i := 0; i+1 < 4; i += 2 {
		direct, proxied := probeCounts(&vs[i]), probeCounts(&vs[i+1])
		p50, p99 := proxied.LatencyP50-direct.LatencyP50, proxied.LatencyP99-direct.LatencyP99
		goals = append(goals, Goal{
			Name: fmt.Sprintf("%s: added latency p50 %.2f ms, p99", vs[i+1].Name, p50), Want: "under 1 ms",
			Got: fmt.Sprintf("%.2f ms", p99), Met: p99 < float64(maxAddedLatency.Milliseconds()),
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
