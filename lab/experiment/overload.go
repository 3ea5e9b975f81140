package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/load"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// Shape of the small deployment that is overloaded. Three engines of eight slots
// carry about 70 chats of 24 tokens a second.
const (
	overloadCapacity = 70.0
	overloadLasts    = 5 * time.Second
	overloadModels   = 3
)

var overloadShape = deploy.Config{
	Entries: 2, Models: overloadModels, Orders: 1,
	EngineArgs: []string{"--slots", "8"}, AgentArgs: []string{"--max-room", "8"},
}

// overload offers half, one and two times what the engines carry.
var overload = Experiment{
	Name:    "overload",
	Summary: "goodput at half, one and two times what the engines carry",
	run:     runOverload,
}

// keptPart is the part of the goodput at capacity that has to be kept at twice
// the load.
const keptPart = 0.9

func runOverload(ctx context.Context, b *bench) (*Result, error) {
	d, err := b.start(ctx, overloadShape)
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	if err := b.warm(ctx, d); err != nil {
		return nil, err
	}
	r := &Result{}
	goodput := make(map[float64]float64)
	late, begun := 0, 0
	for _, scale := range []float64{0.5, 1, 2} {
		traffic := []load.Config{chats(scale * overloadCapacity)}
		v, err := b.drive(ctx, d, fmt.Sprintf("load %g", scale), traffic, []step{{"steady", nil, overloadLasts}})
		if err != nil {
			return nil, err
		}
		r.Variants = append(r.Variants, *v)
		t := v.total()
		goodput[scale] = float64(t.Complete) / overloadLasts.Seconds()
		late += t.Late + t.Failed
		begun += v.begun()
	}
	r.Goals = []Goal{
		{
			Name: fmt.Sprintf("goodput at 2 against %.0f a second at 1", goodput[1]), Want: "90%",
			Got: fmt.Sprintf("%.0f a second", goodput[2]), Met: goodput[2] >= keptPart*goodput[1],
		},
		{Name: "late or failed, of those that were not refused", Want: "0", Got: fmt.Sprint(late), Met: late == 0},
		{Name: "refused after they had begun (ran: unknown)", Want: "0", Got: fmt.Sprint(begun), Met: begun == 0},
	}
	return r, nil
}

// begun counts the refusals of requests that may have run.
func (v *Variant) begun() int {
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

// chats is streamed chats of the large organisation.
func chats(perSecond float64) load.Config {
	return load.Config{
		Organisation: large.Name, Token: token(large), Kind: load.KindChat, PerSecond: perSecond,
		Tokens: 24, Deadline: chatDeadline, FirstTokenDeadline: chatDeadline,
	}
}
