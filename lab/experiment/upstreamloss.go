package experiment

import (
	"context"
	"syscall"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
)

// upstreamLoss makes one of six engines fail in three ways.
var upstreamLoss = Experiment{
	Name:    "upstream-loss",
	Summary: "requests while one of six engines fails: engine killed, agent killed, agent frozen",
	run:     runUpstreamLoss,
}

// upstreamFailure is one way in which an upstream fails.
type upstreamFailure struct {
	name   string
	agent  bool
	signal syscall.Signal
}

var upstreamFailures = []upstreamFailure{
	{"engine killed", false, syscall.SIGKILL},
	{"agent killed", true, syscall.SIGKILL},
	{"agent frozen", true, syscall.SIGSTOP},
}

func runUpstreamLoss(ctx context.Context, b *bench) (*Result, error) {
	r := &Result{}
	for _, c := range upstreamFailures {
		v, err := b.runUpstreamFailure(ctx, c)
		if err != nil {
			return nil, err
		}
		r.Variants = append(r.Variants, *v)
		r.Goals = append(r.Goals, outageGoals(c.name, v)...)
	}
	return r, nil
}

func (b *bench) runUpstreamFailure(ctx context.Context, c upstreamFailure) (*Variant, error) {
	d, err := b.startDeployment(ctx, deploy.Config{Entries: 3, Models: 6, Orders: 3, HostListLag: time.Second})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	if err := b.warmUp(ctx, d); err != nil {
		return nil, err
	}
	victim := d.Upstreams[0]
	if c.agent {
		victim = d.Agents[0]
	}
	return b.runPhases(ctx, d, c.name, workloads(1), []plannedPhase{
		{"before", nil, beforeDuration},
		{"lost", func(context.Context) error { return victim.Signal(c.signal) }, outageDuration},
	})
}
