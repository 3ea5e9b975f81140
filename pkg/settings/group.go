package settings

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
)

// Group is the settings of an agent beside one rank of a group. Without members
// the agent is in no group.
type Group struct {
	Members         []string      `long:"group-member" env:"ACACIAGLADE_GROUP_MEMBERS" env-delim:"," description:"Base URL of the agent of a rank, once for each rank in order. None: the upstream is no group."`
	Rank            int           `long:"group-rank" env:"ACACIAGLADE_GROUP_RANK" description:"Rank of this host in its group. The agent of rank 0 takes the group's requests."`
	ChecksFencing   bool          `long:"rank-checks-fencing" env:"ACACIAGLADE_RANK_CHECKS_FENCING" description:"The engine refuses orders with an old fencing number."`
	Layers          int           `long:"group-layers" env:"ACACIAGLADE_GROUP_LAYERS" default:"1" description:"Layers with experts."`
	Experts         int           `long:"group-experts" env:"ACACIAGLADE_GROUP_EXPERTS" default:"64" description:"Experts in each layer."`
	ExpertSlots     int           `long:"group-expert-slots" env:"ACACIAGLADE_GROUP_EXPERT_SLOTS" default:"3" description:"Experts of a layer that one rank can hold."`
	Interval        time.Duration `long:"group-interval" env:"ACACIAGLADE_GROUP_INTERVAL" default:"500ms" description:"Time between two messages to each member, and between two reads of the rank."`
	ElectionTimeout time.Duration `long:"group-patience" env:"ACACIAGLADE_GROUP_PATIENCE" default:"2s" description:"Silence of the higher ranks after which this agent coordinates."`
	OrderTimeout    time.Duration `long:"rank-order-timeout" env:"ACACIAGLADE_RANK_ORDER_TIMEOUT" default:"2s" description:"Longest time after which an order without an answer can still take effect on the rank."`
	LoadTimeout     time.Duration `long:"rank-load-timeout" env:"ACACIAGLADE_RANK_LOAD_TIMEOUT" default:"5m" description:"Longest time in which the ranks load the experts of a map."`
	HoldMargin      uint64        `long:"group-hold-margin" env:"ACACIAGLADE_GROUP_HOLD_MARGIN" default:"4" description:"Steps between the choice of a switch and the switch. It grows while ranks find it too near."`
	PlanInterval    time.Duration `long:"plan-interval" env:"ACACIAGLADE_PLAN_INTERVAL" default:"10s" description:"Time between two plans. 0 turns planning off."`
	PlanHorizon     time.Duration `long:"plan-horizon" env:"ACACIAGLADE_PLAN_HORIZON" default:"1m" description:"Time over which a change must save more than it costs."`
	PlanCooldown    time.Duration `long:"plan-rest" env:"ACACIAGLADE_PLAN_REST" default:"45s" description:"Shortest time between two changes that are not urgent."`
	ExpertBytes     float64       `long:"expert-bytes" env:"ACACIAGLADE_EXPERT_BYTES" default:"44e6" description:"Size of one expert of one layer, in bytes."`
	LoadBytes       float64       `long:"load-bytes-per-second" env:"ACACIAGLADE_LOAD_BYTES_PER_SECOND" default:"1e9" description:"Rate at which the weight store or a peer gives experts to the group."`
	BudgetBytes     float64       `long:"budget-bytes-per-second" env:"ACACIAGLADE_BUDGET_BYTES_PER_SECOND" default:"250e6" description:"Most bytes of experts that are moved a second, on average."`
}

// Size returns the shape of the model on the group.
func (g *Group) Size() expertmap.Size {
	return expertmap.Size{Ranks: len(g.Members), Layers: g.Layers, Experts: g.Experts, Slots: g.ExpertSlots}
}

func (c *checker) group(g *Group) {
	if len(g.Members) == 0 {
		return
	}
	for _, member := range g.Members {
		c.url(member, "group-member")
	}
	c.require(g.Rank >= 0 && g.Rank < len(g.Members), "group-rank", "give a number from 0 to one less than the members")
	c.require(g.Size().Check() == nil, "group-expert-slots", "give at least as many slots over all ranks as there are experts, and at least 1 layer and expert")
	c.positive(g.Interval, "group-interval")
	c.require(g.ElectionTimeout > g.Interval, "group-patience", "give a time above --group-interval")
	c.positive(g.OrderTimeout, "rank-order-timeout")
	c.positive(g.LoadTimeout, "rank-load-timeout")
	c.require(g.PlanInterval >= 0, "plan-interval", "give a time of at least 0")
	c.positive(g.PlanHorizon, "plan-horizon")
	c.require(g.PlanCooldown >= 0, "plan-rest", "give a time of at least 0")
	c.require(g.ExpertBytes > 0, "expert-bytes", "give a number above 0")
	c.require(g.LoadBytes > 0, "load-bytes-per-second", "give a number above 0")
	c.require(g.BudgetBytes >= 0, "budget-bytes-per-second", "give a number of at least 0")
}
