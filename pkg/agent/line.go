package agent

import (
	"context"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// turn says what becomes of a request that waits in the line. An empty reason
// means that it has room.
type turn struct{ refused problem.Reason }

// turns tells the requests in the line what becomes of them. The caller holds
// the lock.
func (a *Agent) turns() {
	t := a.gate.ProcessQueue(time.Now())
	for _, id := range t.Start {
		a.runs[id].turn <- turn{}
	}
	for _, refused := range t.Refuse {
		a.runs[refused.RequestID].turn <- turn{refused: refused.Reason}
	}
}

// leaveLine takes a request that nobody waits for any more out of the line, if
// it is there. The caller holds the lock.
func (a *Agent) leaveLine(r *run) {
	if a.gate.RemoveQueued(r.id) {
		r.turn <- turn{refused: problem.ReasonWithdrawn}
	}
}

// serve waits for room, runs an admitted request and gives the room back.
func (a *Agent) serve(ctx context.Context, req *api.AttemptRequest, r *run) {
	if r.queued && !a.wait(r) {
		a.account(req, r)
		a.metrics.running.Dec()
		return
	}
	a.execute(ctx, req, r)
	a.account(req, r)
	a.release()
}

// wait reports whether a request in the line got room. Otherwise it has ended
// the run as not run.
func (a *Agent) wait(r *run) bool {
	t := <-r.turn
	if t.refused == "" {
		return true
	}
	a.mu.Lock()
	a.gate.RefuseAdmitted(r.id, r.attempt)
	a.mu.Unlock()
	a.metrics.refusals.WithLabelValues(string(t.refused)).Inc()
	r.refuse(api.OutcomeNotRun, t.refused, "")
	return false
}
