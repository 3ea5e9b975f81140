package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/load"
)

// domainLeaves takes a failure domain out of service and returns it, once as planned by
// an operator and twice by failures, under traffic that the other domains can serve.
var domainLeaves = Experiment{
	Name:    "domain-leaves",
	Summary: "completed, late, refused and failed requests while a failure domain goes out of service and returns",
	run:     runDomainLeaves,
}

// Durations of the phases.
const (
	beforeDuration = 3 * time.Second
	outageDuration = 5 * time.Second
	afterDuration  = 4 * time.Second
)

// lostDomain is the failure domain that is taken out of service or fails.
const lostDomain = "fd-c"

// Time limits of the workloads.
const (
	chatDeadline       = 3 * time.Second
	firstTokenDeadline = 400 * time.Millisecond
	statusDeadline     = time.Second
	confirmDeadline    = 3 * time.Second
)

// workloads returns the traffic of the users: a shop assistant's streamed chat, a draft
// that isn't streamed, the status of an order, and the confirmation of an order. scale
// multiplies the rates.
func workloads(scale float64) []load.Config {
	return []load.Config{
		{Organisation: largeOrganisation.Name, Token: tokenOf(largeOrganisation), Kind: load.KindChat, PerSecond: 30 * scale, Tokens: 24, Deadline: chatDeadline, FirstTokenDeadline: firstTokenDeadline},
		{Organisation: smallOrganisation.Name, Token: tokenOf(smallOrganisation), Kind: load.KindDraft, PerSecond: 10 * scale, Tokens: 24, Deadline: chatDeadline},
		{Organisation: largeOrganisation.Name, Token: tokenOf(largeOrganisation), Kind: load.KindStatus, PerSecond: 20 * scale, Deadline: statusDeadline},
		{Organisation: priorityOrganisation.Name, Token: tokenOf(priorityOrganisation), Kind: load.KindConfirm, PerSecond: 10 * scale, Deadline: confirmDeadline},
	}
}

// domainOutage is one kind of outage of lostDomain, with the functions that begin and
// end it.
type domainOutage struct {
	name    string
	planned bool
	begin   func(ctx context.Context, d *deploy.Deployment) error
	end     func(ctx context.Context, d *deploy.Deployment) error
}

var domainOutages = []domainOutage{
	{"planned", true, markDomain("out"), markDomain("in")},
	{
		"cut", false,
		func(_ context.Context, d *deploy.Deployment) error { d.PartitionDomain(lostDomain); return nil },
		func(_ context.Context, d *deploy.Deployment) error { d.HealDomain(lostDomain); return nil },
	},
	{
		"killed", false,
		func(ctx context.Context, d *deploy.Deployment) error { return d.KillDomain(ctx, lostDomain) },
		func(_ context.Context, d *deploy.Deployment) error { return d.RestartDomain(lostDomain) },
	},
}

func markDomain(mark string) func(context.Context, *deploy.Deployment) error {
	return func(ctx context.Context, d *deploy.Deployment) error {
		_, err := d.Operator(0).MarkFailureDomain(ctx, lostDomain, mark)
		return err
	}
}

func runDomainLeaves(ctx context.Context, b *bench) (*Result, error) {
	r := &Result{}
	for _, o := range domainOutages {
		v, err := b.runDomainOutage(ctx, o)
		if err != nil {
			return nil, err
		}
		r.Variants = append(r.Variants, *v)
		r.Goals = append(r.Goals, domainGoals(o, v)...)
	}
	return r, nil
}

func (b *bench) runDomainOutage(ctx context.Context, o domainOutage) (*Variant, error) {
	d, err := b.startDeployment(ctx, deploy.Config{Entries: 3, Models: 6, Orders: 3, HostListLag: time.Second, Links: true})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	if err := b.warmUp(ctx, d); err != nil {
		return nil, err
	}
	return b.runPhases(ctx, d, o.name, workloads(1), []plannedPhase{
		{"before", nil, beforeDuration},
		{"out", func(ctx context.Context) error { return o.begin(ctx, d) }, outageDuration},
		{"after", func(ctx context.Context) error { return o.end(ctx, d) }, afterDuration},
	})
}

// warmUpDuration is the duration of the traffic that warms up the upstreams.
const warmUpDuration = 3 * time.Second

// warmUp sends traffic that isn't counted, so that the upstreams warm up.
func (b *bench) warmUp(ctx context.Context, d *deploy.Deployment) error {
	_, err := b.runPhases(ctx, d, "warm-up", workloads(1), []plannedPhase{{"warm-up", nil, warmUpDuration}})
	return err
}

// recoveryLimit is the time after the start of an outage within which the goodput must
// recover.
const recoveryLimit = 3 * time.Second

// recoveredFraction is the fraction of the ended requests that must be in time for the
// goodput to count as recovered.
const recoveredFraction = 0.95

func domainGoals(o domainOutage, v *Variant) []Goal {
	if o.planned {
		t := v.totalCounts()
		return []Goal{{
			Name: o.name + ": failed, late, refused", Want: "0, 0, 0",
			Got: fmt.Sprintf("%d, %d, %d of %d", t.Failed, t.Late, t.Refused, t.Sent),
			Met: t.Failed+t.Late+t.Refused == 0,
		}}
	}
	return outageGoals(o.name, v)
}

// outageGoals returns the goals of an unplanned outage.
func outageGoals(name string, v *Variant) []Goal {
	recovered := recoveredGoodput(v)
	return []Goal{
		idempotentGoal(name, v),
		{
			Name: name + ": goodput after 3 s", Want: "95% of offered",
			Got: fmt.Sprintf("%.1f%%", 100*recovered), Met: recovered >= recoveredFraction,
		},
	}
}

// idempotentGoal returns the goal that all idempotent requests complete within their
// deadline.
func idempotentGoal(name string, v *Variant) Goal {
	incomplete, lateFirstToken, sent := countIdempotent(v)
	return Goal{
		Name: name + ": idempotent requests not completed within their deadline", Want: "0",
		Got: fmt.Sprintf("%d of %d, and %d with a late first token", incomplete, sent, lateFirstToken), Met: incomplete == 0,
	}
}

// countIdempotent counts the idempotent requests that did not complete within their
// deadline, those that did with a late first token, and all that were sent.
func countIdempotent(v *Variant) (incomplete, lateFirstToken, sent int) {
	for _, p := range v.Phases {
		for _, k := range p.Kinds {
			if k.Kind != load.KindConfirm {
				sent += k.Sent
				lateFirstToken += k.LateFirstToken
				incomplete += k.Sent - k.Complete - k.LateFirstToken
			}
		}
	}
	return incomplete, lateFirstToken, sent
}

// recoveredGoodput returns the fraction of the ended requests that completed in time,
// from recoveryLimit after the start of the outage until its end.
func recoveredGoodput(v *Variant) float64 {
	completed, others := v.Series[0], v.Series[1]
	from := int((beforeDuration + recoveryLimit) / seriesInterval)
	until := min(len(completed.Points), int((beforeDuration+outageDuration)/seriesInterval))
	ended, inTime := 0.0, 0.0
	for i := from; i < until; i++ {
		ended += completed.Points[i] + others.Points[i]
		inTime += completed.Points[i]
	}
	if ended == 0 {
		return 0
	}
	return inTime / ended
}
