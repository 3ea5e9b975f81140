package attempt

import (
	"context"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/filter/queue"
	"github.com/acaciaglade/acaciaglade/pkg/fleet"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/retry"
)

// reservation is an upstream that was acquired while an attempt runs at another one.
type reservation struct {
	fleet.Upstream
	ticketID string
	pass     Pass
}

// moveSuffix distinguishes the ticket ID of a reserved upstream from that of the running
// attempt.
const moveSuffix = "/moved"

// reserveMoveTarget acquires another upstream while the attempt continues, so that the
// response is not interrupted if none is available. It reports whether one was acquired.
func (j *job) reserveMoveTarget(ctx context.Context) bool {
	now := time.Now()
	if !j.state.MayMove(now) || !j.spendRetry(now) {
		return false
	}
	ticketID := j.ticketID + moveSuffix
	u, pass, err := j.acquireAdmitted(ctx, queue.Ticket{ID: ticketID, Priority: true})
	if err != nil {
		return false
	}
	j.moveTarget = &reservation{Upstream: u, ticketID: ticketID, pass: pass}
	return true
}

// spendRetry takes a retry from the budget of the request's service.
func (j *job) spendRetry(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.budget(j.request.Service.Name).Spend(now)
}

// releaseMoveTarget releases a reserved upstream that was not used.
func (j *job) releaseMoveTarget() {
	if j.moveTarget != nil {
		j.moveTarget.pass.RecordEnd(EndUnsent)
		j.fleet.Release(j.moveTarget.ticketID, "")
		j.moveTarget = nil
	}
}

// moveResult returns the result of an attempt that was ended to continue elsewhere.
func (j *job) moveResult(result Result) Result {
	if result.Event == retry.EventComplete || result.Err != nil {
		return result
	}
	return Result{Event: retry.EventMoved, Refusal: &api.Refusal{Reason: string(problem.ReasonUpstreamSlow)}}
}
