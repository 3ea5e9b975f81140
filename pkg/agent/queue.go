package agent

import (
	"context"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// queueOutcome is why a queued run was refused, or an empty reason if it has acquired
// capacity.
type queueOutcome struct{ refusal problem.Reason }

// processQueue processes the gate's queue, and passes the outcome to each run that
// has left it. The caller must hold a.mu.
func (a *Agent) processQueue() {
	result := a.gate.ProcessQueue(time.Now())
	for _, id := range result.Start {
		a.runs[id].queueOutcome <- queueOutcome{}
	}
	for _, refused := range result.Refuse {
		a.runs[refused.RequestID].queueOutcome <- queueOutcome{refusal: refused.Reason}
	}
}

// removeQueued removes a run from the queue, if it is queued, and ends it as
// withdrawn. The caller must hold a.mu.
func (a *Agent) removeQueued(r *run) {
	if a.gate.RemoveQueued(r.id) {
		r.queueOutcome <- queueOutcome{refusal: problem.ReasonWithdrawn}
	}
}

// serve waits for capacity if a request was queued, executes the request, and releases
// the capacity.
func (a *Agent) serve(ctx context.Context, req *api.AttemptRequest, r *run) {
	if r.queued && !a.waitForCapacity(r) {
		a.reconcileCost(req, r)
		a.metrics.running.Dec()
		return
	}
	a.execute(ctx, req, r)
	a.reconcileCost(req, r)
	a.release()
}

// waitForCapacity waits until a queued run has acquired capacity. It reports false if
// the run was refused or withdrawn, and has then ended it as not run.
func (a *Agent) waitForCapacity(r *run) bool {
	outcome := <-r.queueOutcome
	if outcome.refusal == "" {
		return true
	}
	a.mu.Lock()
	a.gate.RefuseAdmitted(r.id, r.attempt)
	a.mu.Unlock()
	a.metrics.refusals.WithLabelValues(string(outcome.refusal)).Inc()
	r.refuse(api.OutcomeNotRun, outcome.refusal, "")
	return false
}
