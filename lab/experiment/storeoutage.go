package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/load"
	"github.com/acaciaglade/acaciaglade/lab/objectapi"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// storeOutage takes the platform's object API away and gives it back.
var storeOutage = Experiment{
	Name:    "store-outage",
	Summary: "what goes on, and what is refused as not run, while the platform's store is down",
	run:     runStoreOutage,
}

func runStoreOutage(ctx context.Context, b *bench) (*Result, error) {
	d, err := b.start(ctx, deploy.Config{Entries: 3, Models: 6, Orders: 3, HostListLag: time.Second})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	if err := b.warm(ctx, d); err != nil {
		return nil, err
	}
	faults := func(f objectapi.Faults) func(context.Context) error {
		return func(ctx context.Context) error { return deploy.PutJSON(ctx, d.Objects.URL()+"/lab/faults", f) }
	}
	v, err := b.drive(ctx, d, "store", workloads(1), []step{
		{"before", nil, beforeLasts},
		{"down", faults(objectapi.Faults{Down: true}), outLasts},
		{"after", faults(objectapi.Faults{}), afterLasts},
	})
	if err != nil {
		return nil, err
	}
	confirms := confirmsOf(&v.Phases[1])
	honest := 0
	for _, f := range confirms.Refusals {
		if f.Ran == problem.RanNo {
			honest += f.Count
		}
	}
	return &Result{Variants: []Variant{*v}, Goals: []Goal{
		idempotentGoal("store down", v),
		{
			Name: "keyed confirmations while the store is down: complete, refused as not run, others", Want: "others 0",
			Got: fmt.Sprintf("%d, %d, %d", confirms.Complete, honest, confirms.Sent-confirms.Complete-honest),
			Met: confirms.Sent == confirms.Complete+honest,
		},
	}}, nil
}

func confirmsOf(p *Phase) Counts {
	for _, k := range p.Kinds {
		if k.Kind == load.KindConfirm {
			return k
		}
	}
	return Counts{}
}
