package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/load"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// Size and load of the deployment that is overloaded. Three engines of eight slots
// sustain about 70 chats of 24 tokens a second.
const (
	overloadChatsPerSecond = 70.0
	overloadDuration       = 5 * time.Second
	overloadModels         = 3
)

var overloadConfig = deploy.Config{
	Entries: 2, Models: overloadModels, Orders: 1,
	EngineArgs: []string{"--slots", "8"}, AgentArgs: []string{"--max-room", "8"},
}

// overload offers half, one and two times the capacity of the engines.
var overload = Experiment{
	Name:    "overload",
	Summary: "goodput at 0.5, 1 and 2 times the capacity of the engines",
	run:     runOverload,
}

// keptFraction is the fraction of the goodput at capacity that must remain at twice the
// load.
const keptFraction = 0.9

func runOverload(ctx context.Context, b *bench) (*Result, error) {
	d, err := b.startDeployment(ctx, overloadConfig)
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	if err := b.warmUp(ctx, d); err != nil {
		return nil, err
	}
	r := &Result{}
	goodput := make(map[float64]float64)
	late, refusedAfterStart := 0, 0
	for _, scale := range []float64{0.5, 1, 2} {
		traffic := []load.Config{chatTraffic(scale * overloadChatsPerSecond)}
		v, err := b.runPhases(ctx, d, fmt.Sprintf("load %g", scale), traffic, []plannedPhase{{"steady", nil, overloadDuration}})
		if err != nil {
			return nil, err
		}
		r.Variants = append(r.Variants, *v)
		t := v.totalCounts()
		goodput[scale] = float64(t.Complete) / overloadDuration.Seconds()
		late += t.Late + t.Failed
		refusedAfterStart += v.countRefusedAfterStart()
	}
	r.Goals = []Goal{
		{
			Name: fmt.Sprintf("goodput at 2 against %.0f a second at 1", goodput[1]), Want: "90%",
			Got: fmt.Sprintf("%.0f a second", goodput[2]), Met: goodput[2] >= keptFraction*goodput[1],
		},
		{Name: "late or failed, of those that were not refused", Want: "0", Got: fmt.Sprint(late), Met: late == 0},
		{Name: "refused after they had begun (ran: unknown)", Want: "0", Got: fmt.Sprint(refusedAfterStart), Met: refusedAfterStart == 0},
	}
	return r, nil
}

// countRefusedAfterStart returns the number of refusals of requests that may have run.
func (v *Variant) countRefusedAfterStart() int {
	n := 0
	for _, p := range v.Phases {
		for _, k := range p.Kinds {
			for _, f := range k.Refusals {
				if f.Ran != problem.RanNo {
					n += f.Count
				}
			}
		}
	}
	return n
}

// chatTraffic returns traffic of streamed chats of the large organisation.
func chatTraffic(perSecond float64) load.Config {
	return load.Config{
		Organisation: largeOrganisation.Name, Token: tokenOf(largeOrganisation), Kind: load.KindChat, PerSecond: perSecond,
		Tokens: 24, Deadline: chatDeadline, FirstTokenDeadline: chatDeadline,
	}
}
