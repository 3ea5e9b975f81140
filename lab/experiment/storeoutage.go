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

// storeOutage makes the platform's object API unavailable for a while.
var storeOutage = Experiment{
	Name:    "store-outage",
	Summary: "requests that complete, and requests that are refused as not run, while the platform's store is down",
	run:     runStoreOutage,
}

func runStoreOutage(ctx context.Context, b *bench) (*Result, error) {
	d, err := b.startDeployment(ctx, deploy.Config{Entries: 3, Models: 6, Orders: 3, HostListLag: time.Second})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	if err := b.warmUp(ctx, d); err != nil {
		return nil, err
	}
	faults := func(f objectapi.Faults) func(context.Context) error {
		return func(ctx context.Context) error { return deploy.PutJSON(ctx, d.Objects.URL()+"/lab/faults", f) }
	}
	v, err := b.runPhases(ctx, d, "store", workloads(1), []plannedPhase{
		{"before", nil, beforeDuration},
		{"down", faults(objectapi.Faults{Down: true}), outageDuration},
		{"after", faults(objectapi.Faults{}), afterDuration},
	})
	if err != nil {
		return nil, err
	}
	confirms := confirmCounts(&v.Phases[1])
	refusedNotRun := 0
	for _, f := range confirms.Refusals {
		if f.Ran == problem.RanNo {
			refusedNotRun += f.Count
		}
	}
	return &Result{Variants: []Variant{*v}, Goals: []Goal{
		idempotentGoal("store down", v),
		{
			Name: "keyed confirmations while the store is down: complete, refused as not run, others", Want: "others 0",
			Got: fmt.Sprintf("%d, %d, %d", confirms.Complete, refusedNotRun, confirms.Sent-confirms.Complete-refusedNotRun),
			Met: confirms.Sent == confirms.Complete+refusedNotRun,
		},
	}}, nil
}

func confirmCounts(p *Phase) Counts {
	for _, k := range p.Kinds {
		if k.Kind == load.KindConfirm {
			return k
		}
	}
	return Counts{}
}
