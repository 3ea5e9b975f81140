package cli

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap/plan"
	"github.com/acaciaglade/acaciaglade/pkg/group"
	"github.com/acaciaglade/acaciaglade/pkg/settings"
)

// Settings of the planner that have no flag. plan.Config describes them.
const (
	loadSlowdown    = 0.05
	stepsLost       = 2
	planHysteresis  = 1.75
	urgentSkew      = 0.1
	noiseDeviations = 2
	budgetBurstTime = 2 * time.Minute // of loading at settings.Group.LoadBytesPerSecond
)

// groupConfig returns the configuration of the agent's group, nil if it is in none.
func groupConfig(s *settings.Agent) *group.Config {
	g := &s.Group
	if len(g.MemberURLs) == 0 {
		return nil
	}
	return &group.Config{
		Rank: g.Rank, MemberURLs: g.MemberURLs, RankURL: s.UpstreamURL, PeerToken: s.PeerToken, ChecksFencing: g.ChecksFencing,
		Interval: g.Interval, ElectionTimeout: g.ElectionTimeout, OrderTimeout: g.OrderTimeout, LoadTimeout: g.LoadTimeout,
		HoldMargin: g.HoldMargin, PlanInterval: g.PlanInterval,
		Planner: plan.Config{
			Size: g.Size(), ExpertBytes: g.ExpertBytes, LoadBytesPerSecond: g.LoadBytesPerSecond,
			LoadSlowdown: loadSlowdown, StepsLost: stepsLost, Horizon: g.PlanHorizon, Hysteresis: planHysteresis,
			UrgentSkew: urgentSkew, MinInterval: g.PlanCooldown, NoiseDeviations: noiseDeviations,
			BudgetBytesPerSecond: g.BudgetBytesPerSecond, BudgetBurstBytes: budgetBurstTime.Seconds() * g.LoadBytesPerSecond,
		},
	}
}
