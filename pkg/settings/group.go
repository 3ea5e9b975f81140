package settings

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// Group holds the settings of the agent of one rank of a group. If it has no members, the
// agent is in no group.
type Group struct {
	MemberURLs           []string      `long:"group-member" env:"ACACIAGLADE_GROUP_MEMBERS" env-delim:"," description:"Base URL of the agent of a rank, once for each rank in order. None: the upstream is not a rank of a group."`
	Rank                 int           `long:"group-rank" env:"ACACIAGLADE_GROUP_RANK" description:"Rank of this host in its group. The agent of rank 0 receives the group's requests."`
	ChecksFencing        bool          `long:"rank-checks-fencing" env:"ACACIAGLADE_RANK_CHECKS_FENCING" description:"The engine refuses orders with an old fencing token."`
	Layers               int           `long:"group-layers" env:"ACACIAGLADE_GROUP_LAYERS" default:"1" description:"Number of layers with experts."`
	Experts              int           `long:"group-experts" env:"ACACIAGLADE_GROUP_EXPERTS" default:"64" description:"Number of experts in each layer."`
	ExpertSlots          int           `long:"group-expert-slots" env:"ACACIAGLADE_GROUP_EXPERT_SLOTS" default:"3" description:"Number of experts of a layer that one rank can hold."`
	Interval             time.Duration `long:"group-interval" env:"ACACIAGLADE_GROUP_INTERVAL" default:"500ms" description:"Time between two messages to each member, and between two reads of the rank's status."`
	ElectionTimeout      time.Duration `long:"group-patience" env:"ACACIAGLADE_GROUP_PATIENCE" default:"2s" description:"Time for which all higher ranks must be silent before this agent takes over coordination."`
	OrderTimeout         time.Duration `long:"rank-order-timeout" env:"ACACIAGLADE_RANK_ORDER_TIMEOUT" default:"2s" description:"Longest time after which an order without a response can still take effect on the rank."`
	LoadTimeout          time.Duration `long:"rank-load-timeout" env:"ACACIAGLADE_RANK_LOAD_TIMEOUT" default:"5m" description:"Maximum time in which the ranks load the experts of a map."`
	HoldMargin           uint64        `long:"group-hold-margin" env:"ACACIAGLADE_GROUP_HOLD_MARGIN" default:"4" description:"Number of steps between scheduling a switch and the switch. It grows while ranks refuse the scheduled step as too near."`
	PlanInterval         time.Duration `long:"plan-interval" env:"ACACIAGLADE_PLAN_INTERVAL" default:"10s" description:"Time between two plans. 0 disables planning."`
	PlanHorizon          time.Duration `long:"plan-horizon" env:"ACACIAGLADE_PLAN_HORIZON" default:"1m" description:"Time over which a change must save more than it costs."`
	PlanCooldown         time.Duration `long:"plan-rest" env:"ACACIAGLADE_PLAN_REST" default:"45s" description:"Minimum time between two changes that are not urgent."`
	ExpertBytes          float64       `long:"expert-bytes" env:"ACACIAGLADE_EXPERT_BYTES" default:"44e6" description:"Size of one expert of one layer, in bytes."`
	LoadBytesPerSecond   float64       `long:"load-bytes-per-second" env:"ACACIAGLADE_LOAD_BYTES_PER_SECOND" default:"1e9" description:"Rate at which the group loads experts from the weight store or a peer, in bytes per second."`
	BudgetBytesPerSecond float64       `long:"budget-bytes-per-second" env:"ACACIAGLADE_BUDGET_BYTES_PER_SECOND" default:"250e6" description:"Maximum average rate at which experts are moved, in bytes per second."`
}

// Size returns the size of the group's expert map.
func (g *Group) Size() expertmap.Size {
	return expertmap.Size{Ranks: len(g.MemberURLs), Layers: g.Layers, Experts: g.Experts, Slots: g.ExpertSlots}
}

func (c *checker) checkGroup(g *Group) {
	if len(g.MemberURLs) == 0 {
		return
	}
	for _, url := range g.MemberURLs {
		c.requireURL(url, "group-member")
	}
	c.require(g.Rank >= 0 && g.Rank < len(g.MemberURLs), "group-rank", "give a number from 0 to one less than the members")
	c.require(g.Size().Check() == nil, "group-expert-slots", "give at least as many slots over all ranks as there are experts, and at least 1 layer and expert")
	c.requirePositive(g.Interval, "group-interval")
	c.require(g.ElectionTimeout > g.Interval, "group-patience", "give a time above --group-interval")
	c.requirePositive(g.OrderTimeout, "rank-order-timeout")
	c.requirePositive(g.LoadTimeout, "rank-load-timeout")
	c.require(g.PlanInterval >= 0, "plan-interval", "give a time of at least 0")
	c.requirePositive(g.PlanHorizon, "plan-horizon")
	c.require(g.PlanCooldown >= 0, "plan-rest", "give a time of at least 0")
	c.require(g.ExpertBytes > 0, "expert-bytes", "give a number above 0")
	c.require(g.LoadBytesPerSecond > 0, "load-bytes-per-second", "give a number above 0")
	c.require(g.BudgetBytesPerSecond >= 0, "budget-bytes-per-second", "give a number of at least 0")
}
