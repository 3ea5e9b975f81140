package experiment

import (
	"context"
	"syscall"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
)

// upstreamLoss loses one of six engines in three ways.
var upstreamLoss = Experiment{
	Name:    "upstream-loss",
	Summary: "requests while one of six engines is lost: engine killed, agent killed, agent frozen",
	run:     runUpstreamLoss,
}

// lossCase is one way of losing an upstream.
type lossCase struct {
	name   string
	agent  bool
	signal syscall.Signal
}

var lossCases = []lossCase{
	{"engine killed", false, syscall.SIGKILL},
	{"agent killed", true, syscall.SIGKILL},
	{"agent frozen", true, syscall.SIGSTOP},
}

func runUpstreamLoss(ctx context.Context, b *bench) (*Result, error) {
	r := &Result{}
	for _, c := range lossCases {
		v, err := b.loseUpstream(ctx, c)
		if err != nil {
			return nil, err
		}
		r.Variants = append(r.Variants, *v)
		r.Goals = append(r.Goals, lossGoals(c.name, v)...)
	}
	return r, nil
}

func (b *bench) loseUpstream(ctx context.Context, c lossCase) (*Variant, error) {
	d, err := b.start(ctx, deploy.Config{Entries: 3, Models: 6, Orders: 3, HostListLag: time.Second})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	if err := b.warm(ctx, d); err != nil {
		return nil, err
	}
	victim := d.Upstreams[0]
	if c.agent {
		victim = d.Agents[0]
	}
	return b.drive(ctx, d, c.name, workloads(1), []step{
		{"before", nil, beforeLasts},
		{"lost", func(context.Context) error { return victim.Signal(c.signal) }, outLasts},
	})
}
