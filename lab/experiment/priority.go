package experiment

import (
	"context"
	"fmt"

	"github.com/acaciaglade/acaciaglade/lab/load"
)

// priorityArrival sends requests of an organisation with priority while another one
// requests twice the capacity of the engines, and the same without priority.
var priorityArrival = Experiment{
	Name:    "priority-arrival",
	Summary: "time to first token of an organisation with priority that arrives in an overload, against one without",
	run:     runPriorityArrival,
}

// arrivingChatsPerSecond is the request rate of the arriving organisation.
const arrivingChatsPerSecond = 10

func runPriorityArrival(ctx context.Context, b *bench) (*Result, error) {
	r := &Result{}
	for _, hasPriority := range []bool{false, true} {
		v, err := b.runArrival(ctx, hasPriority)
		if err != nil {
			return nil, err
		}
		r.Variants = append(r.Variants, *v)
	}
	without, with := arrivingCounts(&r.Variants[0]), arrivingCounts(&r.Variants[1])
	r.Goals = []Goal{{
		Name: fmt.Sprintf("first token p95 with priority, against %.0f ms and %d of %d complete without", without.FirstTokenP95, without.Complete, without.Sent),
		Want: "400 ms and all complete",
		Got:  fmt.Sprintf("%.0f ms and %d of %d complete", with.FirstTokenP95, with.Complete, with.Sent),
		Met:  with.Complete == with.Sent && with.FirstTokenP95 <= float64(firstTokenDeadline.Milliseconds()),
	}}
	return r, nil
}

// runArrival runs the overload with or without priority for the arriving organisation.
func (b *bench) runArrival(ctx context.Context, hasPriority bool) (*Variant, error) {
	d, err := b.startDeployment(ctx, overloadConfig)
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	organisation, name := smallOrganisation, "no priority"
	if hasPriority {
		organisation, name = priorityOrganisation, "priority"
	}
	if err := b.warmUp(ctx, d); err != nil {
		return nil, err
	}
	arriving := chatTraffic(arrivingChatsPerSecond)
	arriving.Organisation, arriving.Token = organisation.Name, tokenOf(organisation)
	arriving.FirstTokenDeadline = firstTokenDeadline
	arriving.Kind = load.KindCounter
	return b.runPhases(ctx, d, name, []load.Config{chatTraffic(2 * overloadChatsPerSecond), arriving}, []plannedPhase{
		{"overload", nil, overloadDuration},
	})
}

// arrivingCounts returns the counts of the arriving organisation.
func arrivingCounts(v *Variant) Counts {
	for _, k := range v.Phases[0].Kinds {
		if k.Kind == load.KindCounter {
			return k
		}
	}
	return Counts{}
}
