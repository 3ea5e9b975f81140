package shares

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// View is an entry's view of the work that came through other entries.
type View struct {
	agents map[string]*agentView
}

// agentView is the merged state of one agent's reports.
type agentView struct {
	incarnation string
	// sequence is that of the last merged report, rowSequence the cursor that its rows
	// reach.
	sequence    uint64
	rowSequence uint64
	// hasBaseline is true once all rows have been received, or when the agent is
	// known to have started counting at 0.
	hasBaseline bool
	rows        map[string]rowState
	lastReport  time.Time
}

// rowState is the last cumulative cost of a row.
type rowState struct {
	generation uint64
	cost       float64
	at         time.Time
}

// Charge is the service that an organisation attained through other entries since
// the last report.
type Charge struct {
	Organisation string
	Weight       int
	Cost         float64
}

// NewView returns an empty view.
func NewView() *View { return &View{agents: make(map[string]*agentView)} }

// Len returns the number of rows.
func (v *View) Len() int {
	n := 0
	for _, a := range v.agents {
		n += len(a.rows)
	}
	return n
}

// Cursor returns the position from which to request rows of an agent: its
// incarnation and the sequence of the last rows received.
func (v *View) Cursor(upstream string) (incarnation string, cursor uint64) {
	a, ok := v.agents[upstream]
	if !ok {
		return "", 0
	}
	return a.incarnation, a.rowSequence
}

// Merge merges an agent's report and returns the service attained since the last one.
// Reports that are older than one already merged are dropped. The first reports of an
// agent, until all its rows have been received, only set the baseline.
func (v *View) Merge(r *api.Report, now time.Time) []Charge {
	if r.Shares == nil {
		return nil
	}
	a := v.agent(r)
	if r.Sequence <= a.sequence {
		return nil
	}
	var charges []Charge
	for _, row := range r.Shares.Rows {
		if cost := a.addedCost(row, now); cost != 0 {
			charges = append(charges, Charge{Organisation: row.Organisation, Weight: row.Weight, Cost: cost})
		}
	}
	a.sequence, a.rowSequence, a.lastReport = r.Sequence, r.Shares.Sequence, now
	a.hasBaseline = a.hasBaseline || !r.Shares.More
	a.removeIdle(now)
	v.removeIdleAgents(now)
	return charges
}

// agent returns the state of the report's agent, which is reset when the agent has
// restarted.
func (v *View) agent(r *api.Report) *agentView {
	a, ok := v.agents[r.Upstream]
	if !ok || a.incarnation != r.Incarnation {
		// When this entry had reports of an earlier incarnation, the new one's
		// counters started at 0 since then and are charged in full.
		a = &agentView{incarnation: r.Incarnation, hasBaseline: ok, rows: make(map[string]rowState)}
		v.agents[r.Upstream] = a
	}
	return a
}

// addedCost returns the cost that was added to a row since its last report.
func (a *agentView) addedCost(row api.ShareRow, now time.Time) float64 {
	last, ok := a.rows[row.Organisation]
	a.rows[row.Organisation] = rowState{generation: row.Generation, cost: row.Cost, at: now}
	switch {
	case ok && last.generation == row.Generation:
		return row.Cost - last.cost
	case a.hasBaseline:
		return row.Cost
	default:
		return 0
	}
}

// removeIdle removes rows that were not reported for so long that the agent has removed
// them too.
func (a *agentView) removeIdle(now time.Time) {
	for name, r := range a.rows {
		if now.Sub(r.at) > 2*idleTimeout {
			delete(a.rows, name)
		}
	}
}

// removeIdleAgents removes agents without a recent report.
func (v *View) removeIdleAgents(now time.Time) {
	for name, a := range v.agents {
		if now.Sub(a.lastReport) > 2*idleTimeout {
			delete(v.agents, name)
		}
	}
}
