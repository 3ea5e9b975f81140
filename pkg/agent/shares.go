package agent

import (
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// reportFor returns the response to an entry's report request.
func (a *Agent) reportFor(q *api.ReportRequest) api.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.ReportFor(q, time.Now())
}

// reconcileCost charges an attempt's organisation with the real cost instead of the
// expected one: the cost of the prompt, and one token for each part of the response. An
// attempt without a response costs nothing.
func (a *Agent) reconcileCost(req *api.AttemptRequest, r *run) {
	cost := float64(r.partCount())
	if cost > 0 {
		cost += req.PromptCost
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.ReconcileCost(req, cost, time.Now())
}
