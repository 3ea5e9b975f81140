package group

import "github.com/acaciaglade/acaciaglade/pkg/expertmap/mapswitch"

// Paths of the API between the agents of a group.
const (
	PathMessage = "/v1/group/message"
	PathDrain   = "/v1/group/leave"
	PathStatus  = "/v1/group/status"
)

// Paths of the API of a rank.
const (
	PathOrder  = "/v1/rank/order"
	PathReport = "/v1/rank/report"
)

// RankReport is a rank's report of the group's work. Its counters are cumulative within an
// incarnation.
type RankReport struct {
	Incarnation string `json:"incarnation"`
	// Picks counts how often the router selected each expert of each layer.
	Picks [][]float64 `json:"picks"`
	// Work and BusyMillis are the work of each rank and the time that it took. The work
	// may have any unit that is the same for all ranks.
	Work       []float64 `json:"work"`
	BusyMillis []float64 `json:"busy_millis"`
	// StepMillis is the recent time of a step. ExpertMillis is the part of it that the
	// expert work would take if it were perfectly balanced.
	StepMillis   float64 `json:"step_millis"`
	ExpertMillis float64 `json:"expert_millis"`
}

// DrainRequest notifies the agent of rank 0 that the host of another rank is about to stop.
type DrainRequest struct {
	Rank        int    `json:"rank"`
	Incarnation string `json:"incarnation"`
}

// DrainReply reports whether the group has no work left.
type DrainReply struct {
	Drained bool `json:"drained"`
}

// Status is the state of an agent's part in its group.
type Status struct {
	Switch mapswitch.Status `json:"switch"`
	// Draining lists the ranks whose hosts are about to stop.
	Draining []int `json:"leaving"`
	// Plans is the number of maps that this agent has proposed.
	Plans int `json:"plans"`
	// SkewBefore and SkewAfter are the expected skew before and after the last plan.
	SkewBefore float64 `json:"skew_before"`
	SkewAfter  float64 `json:"skew_after"`
}
