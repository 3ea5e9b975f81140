package group

import "github.com/acaciaglade/acaciaglade/pkg/expertmap/mapswitch"

// Paths of the API between the agents of a group.
const (
	PathMessage = "/v1/group/message"
	PathLeave   = "/v1/group/leave"
	PathStatus  = "/v1/group/status"
)

// Paths of a rank's API.
const (
	PathOrder  = "/v1/rank/order"
	PathReport = "/v1/rank/report"
)

// RankReport is a rank's report of the group's work. Its figures only grow while
// the incarnation stays the same.
type RankReport struct {
	Incarnation string `json:"incarnation"`
	// Picks is how often each expert of each layer was picked.
	Picks [][]float64 `json:"picks"`
	// Work and BusyMillis are each rank's work and the time it took.
	Work       []float64 `json:"work"`
	BusyMillis []float64 `json:"busy_millis"`
	// StepMillis is the recent time of a step, ExpertMillis what a perfect split
	// of the expert work would take of it.
	StepMillis   float64 `json:"step_millis"`
	ExpertMillis float64 `json:"expert_millis"`
}

// LeaveRequest tells the agent of rank 0 that another rank's host is about to
// stop.
type LeaveRequest struct {
	Rank        int    `json:"rank"`
	Incarnation string `json:"incarnation"`
}

// LeaveReply says whether the group has no work left.
type LeaveReply struct {
	Drained bool `json:"drained"`
}

// Status is the agent's view of its group.
type Status struct {
	Switch mapswitch.Status `json:"switch"`
	// Leaving lists the ranks whose hosts are about to stop.
	Leaving []int `json:"leaving"`
	// Plans counts the maps that this agent has proposed.
	Plans int `json:"plans"`
	// Skew is the expected skew of the last plan, before and after it.
	SkewBefore float64 `json:"skew_before"`
	SkewAfter  float64 `json:"skew_after"`
}
