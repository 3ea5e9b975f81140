package agent

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// answer returns the report for the entry that asks.
func (a *Agent) answer(q *api.ReportRequest) api.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.ReportFor(q, time.Now())
}

// account counts the real cost of an attempt to its organisation: the prompt, and
// one token for each part of the answer. An attempt without an answer is free.
func (a *Agent) account(req *api.AttemptRequest, r *run) {
	cost := float64(r.parts())
	if cost > 0 {
		cost += req.PromptCost
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.ReconcileCost(req, cost, time.Now())
}
