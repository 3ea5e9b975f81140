package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/load"
)

// domainLeaves takes a failure domain away and gives it back, in a planned way
// and in two unplanned ones, under traffic that the other domains can carry.
var domainLeaves = Experiment{
	Name:    "domain-leaves",
	Summary: "completed, late, refused and failed requests while a failure domain leaves and returns",
	run:     runDomainLeaves,
}

// Lengths of the phases.
const (
	beforeLasts = 3 * time.Second
	outLasts    = 5 * time.Second
	afterLasts  = 4 * time.Second
)

// leaver is the failure domain that leaves.
const leaver = "fd-c"

// Deadlines of the workloads.
const (
	chatDeadline    = 3 * time.Second
	firstToken      = 400 * time.Millisecond
	statusDeadline  = time.Second
	confirmDeadline = 3 * time.Second
)

// workloads is the traffic of the users: a shop assistant's chat, a draft that
// must arrive whole, the look at an order, and a confirmed order.
func workloads(scale float64) []load.Config {
	return []load.Config{
		{Organisation: large.Name, Token: token(large), Kind: load.KindChat, PerSecond: 30 * scale, Tokens: 24, Deadline: chatDeadline, FirstTokenDeadline: firstToken},
		{Organisation: small.Name, Token: token(small), Kind: load.KindDraft, PerSecond: 10 * scale, Tokens: 24, Deadline: chatDeadline},
		{Organisation: large.Name, Token: token(large), Kind: load.KindStatus, PerSecond: 20 * scale, Deadline: statusDeadline},
		{Organisation: priority.Name, Token: token(priority), Kind: load.KindConfirm, PerSecond: 10 * scale, Deadline: confirmDeadline},
	}
}

// way is one way in which the domain leaves and returns.
type way struct {
	name    string
	planned bool
	leave   func(ctx context.Context, d *deploy.Deployment) error
	back    func(ctx context.Context, d *deploy.Deployment) error
}

var ways = []way{
	{"planned", true, markDomain("out"), markDomain("in")},
	{
		"cut", false,
		func(_ context.Context, d *deploy.Deployment) error { d.PartitionDomain(leaver); return nil },
		func(_ context.Context, d *deploy.Deployment) error { d.HealDomain(leaver); return nil },
	},
	{
		"killed", false,
		func(ctx context.Context, d *deploy.Deployment) error { return d.KillDomain(ctx, leaver) },
		func(_ context.Context, d *deploy.Deployment) error { return d.RestartDomain(leaver) },
	},
}

func markDomain(mark string) func(context.Context, *deploy.Deployment) error {
	return func(ctx context.Context, d *deploy.Deployment) error {
		_, err := d.Operator(0).MarkFailureDomain(ctx, leaver, mark)
		return err
	}
}

func runDomainLeaves(ctx context.Context, b *bench) (*Result, error) {
	r := &Result{}
	for _, w := range ways {
		v, err := b.leaveAndReturn(ctx, w)
		if err != nil {
			return nil, err
		}
		r.Variants = append(r.Variants, *v)
		r.Goals = append(r.Goals, domainGoals(w, v)...)
	}
	return r, nil
}

func (b *bench) leaveAndReturn(ctx context.Context, w way) (*Variant, error) {
	d, err := b.start(ctx, deploy.Config{Entries: 3, Models: 6, Orders: 3, HostListLag: time.Second, Links: true})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	if err := b.warm(ctx, d); err != nil {
		return nil, err
	}
	return b.drive(ctx, d, w.name, workloads(1), []step{
		{"before", nil, beforeLasts},
		{"out", func(ctx context.Context) error { return w.leave(ctx, d) }, outLasts},
		{"after", func(ctx context.Context) error { return w.back(ctx, d) }, afterLasts},
	})
}

// warmLasts is how long the upstreams are warmed up.
const warmLasts = 3 * time.Second

// warm sends traffic that isn't counted until the upstreams have warmed up.
func (b *bench) warm(ctx context.Context, d *deploy.Deployment) error {
	_, err := b.drive(ctx, d, "warm-up", workloads(1), []step{{"warm-up", nil, warmLasts}})
	return err
}

// recoveryTime is within how long goodput has to be back.
const recoveryTime = 3 * time.Second

// recoveredPart is the part of the goodput before that counts as back.
const recoveredPart = 0.95

func domainGoals(w way, v *Variant) []Goal {
	if w.planned {
		t := v.total()
		return []Goal{{
			Name: w.name + ": failed, late, refused", Want: "0, 0, 0",
			Got: fmt.Sprintf("%d, %d, %d of %d", t.Failed, t.Late, t.Refused, t.Sent),
			Met: t.Failed+t.Late+t.Refused == 0,
		}}
	}
	return lossGoals(w.name, v)
}

// lossGoals is the goals of an unplanned loss.
func lossGoals(name string, v *Variant) []Goal {
	recovered := goodputBack(v)
	return []Goal{
		idempotentGoal(name, v),
		{
			Name: name + ": goodput after 3 s", Want: "95% of offered",
			Got: fmt.Sprintf("%.1f%%", 100*recovered), Met: recovered >= recoveredPart,
		},
	}
}

// idempotentGoal is that all idempotent requests complete within their deadline.
func idempotentGoal(name string, v *Variant) Goal {
	lost, lateFirst, sent := idempotentLost(v)
	return Goal{
		Name: name + ": idempotent requests not completed within their deadline", Want: "0",
		Got: fmt.Sprintf("%d of %d, and %d with a late first token", lost, sent, lateFirst), Met: lost == 0,
	}
}

// idempotentLost counts the idempotent requests that did not complete within
// their deadline, and those that did with a late first token.
func idempotentLost(v *Variant) (lost, lateFirst, sent int) {
	for _, p := range v.Phases {
		for _, k := range p.Kinds {
			if k.Kind != load.KindConfirm {
				sent += k.Sent
				lateFirst += k.LateFirst
				lost += k.Sent - k.Complete - k.LateFirst
			}
		}
	}
	return lost, lateFirst, sent
}

// goodputBack returns the part of the ended requests that ended in time, from
// the recovery time after the domain left until it returned.
func goodputBack(v *Variant) float64 {
	good, bad := v.Series[0], v.Series[1]
	from := int((beforeLasts + recoveryTime) / seriesStep)
	until := min(len(good.Points), int((beforeLasts+outLasts)/seriesStep))
	ended, inTime := 0.0, 0.0
	for i := from; i < until; i++ {
		ended += good.Points[i] + bad.Points[i]
		inTime += good.Points[i]
	}
	if ended == 0 {
		return 0
	}
	return inTime / ended
}
