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
	t := a.gate.Turns()
	for _, id := range t.Start {
		a.runs[id].turn <- turn{}
	}
	for _, id := range t.Refuse {
		a.runs[id].turn <- turn{refused: t.Reason}
	}
}

// serve waits for room, runs an admitted request and gives the room back.
func (a *Agent) serve(ctx context.Context, req *api.AttemptRequest, r *run) {
	if r.queued && !a.wait(ctx, r) {
		a.settle(req, r)
		a.metrics.running.Dec()
		return
	}
	a.execute(ctx, req, r)
	a.settle(req, r)
	a.release()
}

// wait reports whether a request in the line got room. Otherwise it has ended
// the run as not run.
func (a *Agent) wait(ctx context.Context, r *run) bool {
	select {
	case t := <-r.turn:
		return t.refused == "" || a.leaveLine(r, t.refused)
	case <-ctx.Done():
	}
	a.mu.Lock()
	left := a.gate.LeaveLine(r.id)
	a.mu.Unlock()
	if !left {
		// The turn was given at the same time, or the request was withdrawn.
		select {
		case t := <-r.turn:
			return t.refused == "" || a.leaveLine(r, t.refused)
		default:
		}
	}
	return a.leaveLine(r, a.lineReason(ctx))
}

// leaveLine ends a request that never got room, as not run. It reports false.
func (a *Agent) leaveLine(r *run, reason problem.Reason) bool {
	a.refuseAdmitted(r.id)
	a.metrics.refusals.WithLabelValues(string(reason)).Inc()
	r.refuse(api.OutcomeNotRun, reason, "")
	return false
}

func (a *Agent) lineReason(ctx context.Context) problem.Reason {
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return problem.ReasonDeadlineExceeded
	}
	return problem.ReasonWithdrawn
}
