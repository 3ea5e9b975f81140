package experiment

import (
	"context"
	"fmt"

	"github.com/acaciaglade/acaciaglade/lab/load"
)

// priorityArrival lets the organisation with priority arrive while another one
// asks for twice what the engines carry, and does the same without priority.
var priorityArrival = Experiment{
	Name:    "priority-arrival",
	Summary: "first tokens of an organisation with priority that arrives in an overload, against none",
	run:     runPriorityArrival,
}

// arrivingRate is the arriving organisation's chats a second.
const arrivingRate = 10

func runPriorityArrival(ctx context.Context, b *bench) (*Result, error) {
	r := &Result{}
	for _, has := range []bool{false, true} {
		v, err := b.arrive(ctx, has)
		if err != nil {
			return nil, err
		}
		r.Variants = append(r.Variants, *v)
	}
	without, with := arrived(&r.Variants[0]), arrived(&r.Variants[1])
	r.Goals = []Goal{{
		Name: fmt.Sprintf("first token p95 with priority, against %.0f ms and %d of %d complete without", without.FirstTokenP95, without.Complete, without.Sent),
		Want: "400 ms and all complete",
		Got:  fmt.Sprintf("%.0f ms and %d of %d complete", with.FirstTokenP95, with.Complete, with.Sent),
		Met:  with.Complete == with.Sent && with.FirstTokenP95 <= float64(firstToken.Milliseconds()),
	}}
	return r, nil
}

// arrive runs the overload.
func (b *bench) arrive(ctx context.Context, hasPriority bool) (*Variant, error) {
	d, err := b.start(ctx, overloadShape)
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	organisation, name := small, "no priority"
	if hasPriority {
		organisation, name = priority, "priority"
	}
	if err := b.warm(ctx, d); err != nil {
		return nil, err
	}
	arriving := chats(arrivingRate)
	arriving.Organisation, arriving.Token = organisation.Name, token(organisation)
	arriving.FirstTokenDeadline = firstToken
	arriving.Kind = load.KindCounter
	return b.drive(ctx, d, name, []load.Config{chats(2 * overloadCapacity), arriving}, []step{
		{"overload", nil, overloadLasts},
	})
}

// arrived returns the counts of the arriving organisation.
func arrived(v *Variant) Counts {
	for _, k := range v.Phases[0].Kinds {
		if k.Kind == load.KindCounter {
			return k
		}
	}
	return Counts{}
}
