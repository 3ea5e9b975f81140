package shares

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// View is an entry's view of the work that came through other entries.
type View struct {
	agents map[string]*agentView
}

// agentView is what one agent has told.
type agentView struct {
	incarnation string
	sequence    uint64
	seen        uint64
	known       bool
	rows        map[string]counted
	usedAt      time.Time
}

// counted is the last cumulative cost of a row.
type counted struct {
	generation uint64
	cost       float64
	at         time.Time
}

// Charge is service that an organisation attained through other entries.
type Charge struct {
	Organisation string
	Weight       int
	Cost         float64
}

// NewView returns an empty view.
func NewView() *View { return &View{agents: make(map[string]*agentView)} }

// Len returns the number of rows held.
func (v *View) Len() int {
	n := 0
	for _, a := range v.agents {
		n += len(a.rows)
	}
	return n
}

// Cursor returns what to name in the next question to an agent.
func (v *View) Cursor(upstream string) (incarnation string, seen uint64) {
	a, ok := v.agents[upstream]
	if !ok {
		return "", 0
	}
	return a.incarnation, a.seen
}

// Merge takes an agent's answer and returns the service that is new to the
// entry. Answers that are older than one already merged are dropped. The first
// answer of an agent only sets the baseline.
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
		if d := a.difference(row, now); d != 0 {
			charges = append(charges, Charge{Organisation: row.Organisation, Weight: row.Weight, Cost: d})
		}
	}
	a.sequence, a.seen, a.usedAt = r.Sequence, r.Shares.Sequence, now
	a.known = a.known || !r.Shares.More
	a.forgetIdle(now)
	v.forgetAgents(now)
	return charges
}

// agent returns the state of the report's agent, fresh after a restart.
func (v *View) agent(r *api.Report) *agentView {
	a, ok := v.agents[r.Upstream]
	if !ok || a.incarnation != r.Incarnation {
		// The counters of an agent that restarted under this entry's eyes start
		// at 0, so they count in full.
		a = &agentView{incarnation: r.Incarnation, known: ok, rows: make(map[string]counted)}
		v.agents[r.Upstream] = a
	}
	return a
}

// difference returns the cost that a row adds.
func (a *agentView) difference(row api.ShareRow, now time.Time) float64 {
	last, ok := a.rows[row.Organisation]
	a.rows[row.Organisation] = counted{generation: row.Generation, cost: row.Cost, at: now}
	switch {
	case ok && last.generation == row.Generation:
		return row.Cost - last.cost
	case a.known:
		return row.Cost
	default:
		return 0
	}
}

// forgetIdle removes rows that the agent has forgotten too.
func (a *agentView) forgetIdle(now time.Time) {
	for name, c := range a.rows {
		if now.Sub(c.at) > 2*idle {
			delete(a.rows, name)
		}
	}
}

// forgetAgents removes agents that have not answered for long.
func (v *View) forgetAgents(now time.Time) {
	for name, a := range v.agents {
		if now.Sub(a.usedAt) > 2*idle {
			delete(v.agents, name)
		}
	}
}
